#include "base/Random.h"
#include "integration/EdgeSystem.h"
#include "integration/HttpCaller.h"
#include "integration/JobTraffic.h"
#include "integration/TestFailure.h"

#include <criterion/criterion.h>

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <optional>
#include <set>
#include <string>
#include <thread>

using namespace lovagerock;
using namespace lovagerock::integration;
using namespace std::chrono_literals;

namespace {

constexpr int kCallers = 6;
// One worker of this many is in trouble in a round.
constexpr int kTroubleShare = 8;
constexpr std::chrono::milliseconds kDrainTime{ 1000 };
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
  IdleJobSoak(EdgeSystem& aSystem, const SoakSettings& aSettings)
    : mSystem(aSystem)
    , mSettings(aSettings)
    , mRandom(static_cast<std::uint64_t>(aSettings.mSeed))
    , mTraffic(aSystem, aSettings.mNodes, kCallers, static_cast<std::uint64_t>(aSettings.mSeed))
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

  // Ends the traffic and requires that each accepted job ends, that none of them was idle for too
  // long, and that nothing ran twice.
  void Finish()
  {
    const auto jobs = mTraffic.Finish();
    std::cerr << jobs.size() << " jobs accepted\n";
    for (const auto& it : jobs) {
      mSystem.AwaitState(AnyNode(), it.mName, "completed");
    }
    mSystem.RequireNothingRanTwice();
    mSystem.RequireNoIdleJob();
  }

private:
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
    IdleJobSoak soak(aSystem, settings);
    soak.LoseAllNodes();
    for (int i = 0; i < settings.mRounds; ++i) {
      soak.RunRound();
    }
    soak.Finish();
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
