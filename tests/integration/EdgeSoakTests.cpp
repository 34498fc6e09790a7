#include "base/Random.h"
#include "integration/EdgeSystem.h"
#include "integration/TestFailure.h"

#include <criterion/criterion.h>

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

using namespace lovagerock;
using namespace lovagerock::integration;
using namespace std::chrono_literals;

namespace {

constexpr int kNodes = 3;
constexpr int kWorkers = 5;
// So many workers stay, so that all jobs can end.
constexpr int kStayingWorkers = 3;
constexpr int kJobsPerRound = 3;

// The number in an environment variable, or the default.
int
SettingOr(const char* aName, int aDefault)
{
  const char* text = std::getenv(aName);
  return text ? std::atoi(text) : aDefault;
}

std::string
WorkerName(std::uint64_t aNumber)
{
  return "worker-" + std::to_string(aNumber);
}

// Jobs and faults by the numbers of a seed.
class EdgeSoak
{
public:
  EdgeSoak(EdgeSystem& aSystem, std::uint64_t aSeed)
    : mSystem(aSystem)
    , mRandom(aSeed)
  {
  }

  void RunRound()
  {
    for (int i = 0; i < kJobsPerRound; ++i) {
      SubmitJob();
    }
    SetWorkerFaults();
    if (mRandom.Below(3) == 0 && mDrained < kWorkers - kStayingWorkers) {
      mSystem.Drain(WorkerName(kStayingWorkers + mDrained), mRandom.Jitter(2000ms));
      ++mDrained;
    }
    StopLeaders(mRandom.Below(2) == 0 ? 1 : 2);
    AskForAllJobs();
  }

  // Ends all faults and waits for the end of all jobs.
  void Finish()
  {
    mSystem.CloseStoreTo({});
    mSystem.SetFaults(
      { { "silent_workers", Json::array() }, { "lost_starts", 0 }, { "late_starts", 0 } });
    for (int i = 0; i < mJobs; ++i) {
      mSystem.AwaitState(AnyNode(), JobName(i), "completed");
    }
    mSystem.RequireNothingRanTwice();
  }

private:
  static std::string JobName(int aNumber)
  {
    const auto digits = std::to_string(aNumber);
    return std::string(16 - digits.size(), '0') + digits;
  }

  int AnyNode() { return static_cast<int>(mRandom.Below(kNodes)); }

  // A job of two steps, so that ends of its tasks are spread over its time.
  void SubmitJob()
  {
    const auto step = [](int aCount) {
      return Json{
        { "count", aCount }, { "cpu", 100 }, { "mem_mb", 100 }, { "gpu", 1 }, { "estimate_ms", 500 }
      };
    };
    auto second = step(2);
    second["after"] = { 0 };
    const Json steps{ step(4), second };
    const std::vector<std::chrono::milliseconds> times{ mRandom.Jitter(2000ms),
                                                        mRandom.Jitter(1000ms) };
    const auto job = JobName(mJobs++);
    AwaitTrue(job + " to be accepted",
              [&] { return mSystem.Submit(AnyNode(), job, steps, times).Is(200); });
  }

  void SetWorkerFaults()
  {
    Json silent = Json::array();
    if (mRandom.Below(3) > 0) {
      silent.push_back(WorkerName(mRandom.Below(kWorkers)));
    }
    mSystem.SetFaults({ { "silent_workers", silent },
                        { "lost_starts", mRandom.Below(3) },
                        { "late_starts", mRandom.Below(2) },
                        { "late_start_ms", mRandom.Jitter(3000ms).count() },
                        { "lost_answers", mRandom.Below(2) },
                        { "discard_history", mRandom.Below(3) == 0 } });
  }

  // Stops leaders in a row, some of them while the store refuses them, and starts them again.
  void StopLeaders(int aCount)
  {
    std::vector<int> stopped;
    for (int i = 0; i < aCount; ++i) {
      const int leader = mSystem.AwaitLeaderExcept(stopped);
      if (mRandom.Below(3) == 0) {
        mSystem.CloseStoreTo({ leader });
        std::this_thread::sleep_for(mRandom.Jitter(1500ms));
      }
      mSystem.Stop(leader);
      stopped.push_back(leader);
      std::this_thread::sleep_for(mRandom.Jitter(800ms));
    }
    mSystem.AwaitLeaderExcept(stopped);
    mSystem.CloseStoreTo({});
    for (const int it : stopped) {
      mSystem.AwaitStopped(it);
      mSystem.Start(it);
      mSystem.AwaitReady(it);
    }
  }

  // The ledger is told of each job that is shown as completed.
  void AskForAllJobs()
  {
    for (int i = 0; i < mJobs; ++i) {
      mSystem.State(AnyNode(), JobName(i));
    }
  }

  EdgeSystem& mSystem;
  Random mRandom;
  int mJobs = 0;
  std::uint64_t mDrained = 0;
};

} // namespace

// Guards against runs that are repeated in series of planned stops of leaders, while workers are
// silent or leave, starts are late, answers are lost and the store refuses a leader.
Test(EdgeSoak, repeats_nothing_in_a_series_of_faults)
{
  const int seed = SettingOr("LOVAGEROCK_EDGE_SOAK_SEED", 1);
  const int rounds = SettingOr("LOVAGEROCK_EDGE_SOAK_ROUNDS", 5);
  std::cerr << "edge soak: seed " << seed << ", rounds " << rounds << '\n';
  RunWithEdges(kNodes, kWorkers, [=](EdgeSystem& aSystem) {
    EdgeSoak soak(aSystem, static_cast<std::uint64_t>(seed));
    for (int i = 0; i < rounds; ++i) {
      soak.RunRound();
    }
    soak.Finish();
  });
}
