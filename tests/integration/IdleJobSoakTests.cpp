#include "base/Random.h"
#include "integration/DeploymentJobs.h"
#include "integration/EdgeSystem.h"
#include "integration/HttpCaller.h"
#include "integration/JobTraffic.h"
#include "integration/TestFailure.h"
#include "integration/UsageWatch.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <iterator>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace lovagerock;
using namespace lovagerock::integration;
using namespace std::chrono_literals;

namespace {

constexpr int kCallers = 6;
// One worker of this many is in trouble in a round.
constexpr int kTroubleShare = 8;
constexpr std::chrono::milliseconds kDrainTime{ 1000 };
constexpr std::chrono::milliseconds kStandstill{ 12000 };
constexpr std::chrono::milliseconds kStatePeriod{ 50 };
// A gang that takes most of the workers may have to wait until all other jobs have ended.
constexpr std::chrono::seconds kGangEndLimit{ 180 };
// Enough that some hand jobs in while others wait for a node that stands still.
constexpr int kDeploymentCallers = 24;
// A gang that takes at least this part of a rack counts as large.
constexpr double kLargeGangRackShare = 0.5;
// The time between changes, in which jobs begin and end undisturbed. It is longer than the calm
// time and the limit of IdleJobCheck together, so that what stands after a change is found.
constexpr std::chrono::milliseconds kRoundTime{ 12000 };

// The number in an environment variable, or the default.
int
SettingOr(const char* aName, int aDefault)
{
  const char* text = std::getenv(aName);
  return text ? std::atoi(text) : aDefault;
}

// The default seed kills the leader while workers are drained and gone, the case that leaves most
// jobs idle.
struct SoakSettings
{
  int mNodes = SettingOr("LOVAGEROCK_EDGE_SOAK_NODES", 5);
  int mWorkers = SettingOr("LOVAGEROCK_EDGE_SOAK_WORKERS", 40);
  int mRounds = SettingOr("LOVAGEROCK_EDGE_SOAK_ROUNDS", 1);
  int mSeed = SettingOr("LOVAGEROCK_EDGE_SOAK_SEED", 3);
};

// The default seed and load leave gangs idle that prefer one rack, while other racks have room.
struct GangSoakSettings : SoakSettings
{
  GangSoakSettings()
  {
    mWorkers = SettingOr("LOVAGEROCK_EDGE_SOAK_WORKERS", 48);
    mSeed = SettingOr("LOVAGEROCK_EDGE_SOAK_SEED", 4);
  }

  // The part of the accelerators that the jobs would keep in use if none of them waited.
  int mLoadPercent = SettingOr("LOVAGEROCK_EDGE_SOAK_LOAD_PERCENT", 80);
};

enum class WorkerTrouble
{
  Silence,
  Departure,
  Restart,
};

enum class LeaderLoss
{
  Kill,
  Freeze,
  Shutdown,
  ClosedStore,
};

const char*
ToString(WorkerTrouble aTrouble)
{
  switch (aTrouble) {
    case WorkerTrouble::Silence:
      return "silent";
    case WorkerTrouble::Departure:
      return "drained and gone";
    case WorkerTrouble::Restart:
      return "restarted";
  }
  return "";
}

const char*
ToString(LeaderLoss aLoss)
{
  switch (aLoss) {
    case LeaderLoss::Kill:
      return "killed";
    case LeaderLoss::Freeze:
      return "frozen";
    case LeaderLoss::Shutdown:
      return "shut down";
    case LeaderLoss::ClosedStore:
      return "cut off from the store";
  }
  return "";
}

// Losses of leaders beside trouble of workers by the numbers of a seed, while jobs are handed in.
class IdleJobSoak
{
public:
  IdleJobSoak(EdgeSystem& aSystem, const SoakSettings& aSettings, int aCallers, JobSource aSource)
    : mSystem(aSystem)
    , mSettings(aSettings)
    , mRandom(static_cast<std::uint64_t>(aSettings.mSeed))
    , mTraffic(aSystem, aSettings.mNodes, aCallers, static_cast<std::uint64_t>(aSettings.mSeed),
               std::move(aSource))
  {
  }

  // Kills all nodes soon after the first jobs and starts them again.
  void LoseAllNodes()
  {
    std::this_thread::sleep_for(2500ms);
    for (int i = 0; i < mSettings.mNodes; ++i) {
      mSystem.Kill(i);
    }
    std::this_thread::sleep_for(1200ms);
    for (int i = 0; i < mSettings.mNodes; ++i) {
      mSystem.Start(i);
    }
    for (int i = 0; i < mSettings.mNodes; ++i) {
      mSystem.AwaitReady(i);
    }
    std::this_thread::sleep_for(kRoundTime);
  }

  void RunRound()
  {
    const auto trouble = static_cast<WorkerTrouble>(mRandom.Below(3));
    const auto loss = static_cast<LeaderLoss>(mRandom.Below(4));
    const auto freeze = 4000ms + std::chrono::milliseconds(mRandom.Below(8000));
    const auto workers = DrawWorkers();
    const int leader = mSystem.AwaitLeaderExcept({});
    std::cerr << "leader edge-" << leader << ' ' << ToString(loss) << ", " << workers.size()
              << " workers " << ToString(trouble) << '\n';
    Trouble(trouble, workers);
    LoseLeader(leader, loss, freeze);
    std::this_thread::sleep_for(kRoundTime);
    BringBack(leader, loss);
    EndTrouble(trouble, workers);
    std::this_thread::sleep_for(kRoundTime);
  }

  // Kills a leader, and makes the next one stand still until it is replaced.
  void LoseTwoLeaders()
  {
    const int killed = mSystem.AwaitLeaderExcept({});
    std::cerr << "leader edge-" << killed << " killed\n";
    LoseLeader(killed, LeaderLoss::Kill, 0ms);
    std::this_thread::sleep_for(kRoundTime);
    BringBack(killed, LeaderLoss::Kill);
    const int frozen = mSystem.AwaitLeaderExcept({});
    std::cerr << "leader edge-" << frozen << " frozen\n";
    LoseLeader(frozen, LeaderLoss::Freeze, kStandstill);
    std::this_thread::sleep_for(kRoundTime);
  }

  // Ends the traffic, awaits the end of each accepted job for at most the time, and gives the jobs.
  std::vector<AcceptedJob> AwaitEnds(std::chrono::seconds aLimit)
  {
    auto jobs = mTraffic.Finish();
    std::cerr << jobs.size() << " jobs accepted\n";
    for (const auto& it : jobs) {
      AwaitEnd(it.mName, aLimit);
    }
    return jobs;
  }

  // Requires that nothing ran twice, and that no job was idle for too long.
  void RequireKeptPromises()
  {
    mSystem.RequireNothingRanTwice();
    mSystem.RequireNoIdleJob();
  }

private:
  void AwaitEnd(const std::string& aJob, std::chrono::seconds aLimit)
  {
    const auto end = std::chrono::steady_clock::now() + aLimit;
    while (mSystem.State(AnyNode(), aJob) != "completed") {
      Require(std::chrono::steady_clock::now() < end, aJob + " doesn't end");
      std::this_thread::sleep_for(kStatePeriod);
    }
  }

  int AnyNode() { return static_cast<int>(Below(mSettings.mNodes)); }
  std::uint64_t Below(int aBound) { return mRandom.Below(static_cast<std::uint64_t>(aBound)); }

  std::set<std::string> DrawWorkers()
  {
    std::set<std::string> workers;
    while (static_cast<int>(workers.size()) * kTroubleShare < mSettings.mWorkers) {
      workers.insert("worker-" + std::to_string(Below(mSettings.mWorkers)));
    }
    return workers;
  }

  void Trouble(WorkerTrouble aTrouble, const std::set<std::string>& aWorkers)
  {
    if (aTrouble == WorkerTrouble::Silence) {
      mSystem.SetFaults({ { "silent_workers", aWorkers } });
      return;
    }
    for (const auto& it : aWorkers) {
      if (aTrouble == WorkerTrouble::Departure) {
        mSystem.Drain(it, kDrainTime);
      } else {
        mSystem.Restart(it, mRandom.Jitter(1500ms));
      }
    }
  }

  // A worker that is gone comes back as a new incarnation.
  void EndTrouble(WorkerTrouble aTrouble, const std::set<std::string>& aWorkers)
  {
    if (aTrouble == WorkerTrouble::Silence) {
      mSystem.SetFaults({ { "silent_workers", Json::array() } });
    } else if (aTrouble == WorkerTrouble::Departure) {
      for (const auto& it : aWorkers) {
        mSystem.Restart(it);
      }
    }
  }

  void LoseLeader(int aLeader, LeaderLoss aLoss, std::chrono::milliseconds aFreeze)
  {
    switch (aLoss) {
      case LeaderLoss::Kill:
        mSystem.Kill(aLeader);
        return;
      case LeaderLoss::Freeze:
        mSystem.Freeze(aLeader);
        std::this_thread::sleep_for(aFreeze);
        mSystem.Resume(aLeader);
        return;
      case LeaderLoss::Shutdown:
        mSystem.Stop(aLeader);
        mSystem.AwaitStopped(aLeader);
        return;
      case LeaderLoss::ClosedStore:
        mSystem.CloseStoreTo({ aLeader });
        mSystem.AwaitLeaderExcept({ aLeader });
        mSystem.CloseStoreTo({});
        return;
    }
  }

  // A leader that was ended stays away for a while, so that its start is no change that excuses
  // what stands.
  void BringBack(int aLeader, LeaderLoss aLoss)
  {
    if (aLoss == LeaderLoss::Kill || aLoss == LeaderLoss::Shutdown) {
      mSystem.Start(aLeader);
      mSystem.AwaitReady(aLeader);
    }
  }

  EdgeSystem& mSystem;
  SoakSettings mSettings;
  Random mRandom;
  JobTraffic mTraffic;
};

std::vector<AcceptedJob>
LargeGangs(const std::vector<AcceptedJob>& aJobs, const WorkerFleet& aWorkers)
{
  const auto rackShare = [&](const Json& aStep) {
    const auto share = [&](const char* aResource, int aOfWorker) {
      return aStep.at("count").get<double>() * aStep.at(aResource).get<double>() / aOfWorker /
             aWorkers.mPerRack;
    };
    return std::max(share("cpu", aWorkers.mMilliCores), share("gpu", aWorkers.mAccelerators));
  };
  std::vector<AcceptedJob> gangs;
  std::copy_if(aJobs.begin(), aJobs.end(), std::back_inserter(gangs), [&](const auto& aIt) {
    const auto& step = aIt.mSteps.at(0);
    return JsonValue(step, "gang", false) && rackShare(step) >= kLargeGangRackShare;
  });
  return gangs;
}

// Prints how long the jobs waited for their first start, so that jobs that starve can be seen.
void
PrintWaits(const char* aWhat, const std::vector<AcceptedJob>& aJobs,
           const std::map<std::string, std::chrono::milliseconds>& aWaits)
{
  std::chrono::milliseconds sum{ 0 };
  std::chrono::milliseconds longest{ 0 };
  for (const auto& it : aJobs) {
    const auto wait = aWaits.at(it.mName);
    sum += wait;
    longest = std::max(longest, wait);
  }
  const auto count = std::max<std::int64_t>(1, static_cast<std::int64_t>(aJobs.size()));
  std::cerr << "waits of " << aJobs.size() << ' ' << aWhat << ": longest " << longest.count()
            << " ms, mean " << sum.count() / count << " ms\n";
}

} // namespace

// Guards against accepted jobs of which nothing runs for many seconds after the loss of a leader,
// because its successor waits for workers that are silent or gone, and against tasks that run
// twice because it doesn't wait.
Test(IdleJobSoak, leaves_no_accepted_job_idle)
{
  const SoakSettings settings;
  std::cerr << "idle job soak: seed " << settings.mSeed << ", nodes " << settings.mNodes
            << ", workers " << settings.mWorkers << ", rounds " << settings.mRounds << '\n';
  RunWithEdges(settings.mNodes, settings.mWorkers, [&](EdgeSystem& aSystem) {
    IdleJobSoak soak(aSystem, settings, kCallers, SmallJobs());
    soak.LoseAllNodes();
    for (int i = 0; i < settings.mRounds; ++i) {
      soak.RunRound();
    }
    soak.AwaitEnds(kWaitLimit);
    soak.RequireKeptPromises();
  });
}

// Guards against gangs of which nothing runs for many seconds, although the workers have room for
// them twice over, because the leader keeps the room for others or waits for a rack with all of it.
Test(IdleJobSoak, leaves_no_gang_idle_beside_room)
{
  const GangSoakSettings settings;
  std::cerr << "gang soak: seed " << settings.mSeed << ", nodes " << settings.mNodes << ", workers "
            << settings.mWorkers << ", rounds " << settings.mRounds << ", load "
            << settings.mLoadPercent << " %\n";
  const auto workers = DeploymentWorkers(settings.mWorkers);
  RunWithEdges(settings.mNodes, workers, [&](EdgeSystem& aSystem) {
    IdleJobSoak soak(aSystem, settings, kDeploymentCallers,
                     DeploymentJobs(settings.mLoadPercent, workers, kDeploymentCallers));
    soak.LoseAllNodes();
    UsageWatch usage(aSystem);
    for (int i = 0; i < settings.mRounds; ++i) {
      soak.LoseTwoLeaders();
    }
    std::cerr << usage.Finish() << '\n';
    const auto jobs = soak.AwaitEnds(kGangEndLimit);
    const auto waits = aSystem.Waits();
    PrintWaits("large gangs", LargeGangs(jobs, workers), waits);
    PrintWaits("all jobs", jobs, waits);
    soak.RequireKeptPromises();
  });
}

// Guards against accepted jobs that wait for a worker which doesn't answer the next leader,
// although no leader has ever ordered a run of theirs: the leader stands still while they are
// accepted, and is killed.
Test(IdleJobs, start_although_a_worker_is_silent_when_the_leader_changes)
{
  RunWithEdges(3, 3, [](EdgeSystem& aSystem) {
    const int leader = aSystem.AwaitLeaderExcept({});
    const int other = (leader + 1) % 3;
    const Json step{
      { "count", 1 }, { "cpu", 100 }, { "mem_mb", 100 }, { "gpu", 1 }, { "estimate_ms", 500 }
    };
    HttpCaller caller;
    const auto submit = [&](const std::string& aJob) {
      AwaitTrue(aJob + " to be accepted", [&] {
        return aSystem.SubmitChecked(caller, other, aJob, Json::array({ step }), 500ms);
      });
    };
    // Once it has ended, the leader's own takeover is settled and noted.
    submit("0000000000000001");
    aSystem.AwaitState(other, "0000000000000001", "completed");
    aSystem.Freeze(leader);
    submit("0000000000000002");
    aSystem.SetFaults({ { "silent_workers", { "worker-2" } } });
    aSystem.Kill(leader);
    aSystem.AwaitState(other, "0000000000000002", "completed");
    aSystem.RequireNoIdleJob();
    aSystem.RequireNothingRanTwice();
  });
}
