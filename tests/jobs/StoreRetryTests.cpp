#include "JobFixture.h"
#include "jobs/RetryQueue.h"

#include <algorithm>
#include <functional>

using namespace lovagerock;
using namespace lovagerock::jobs;

namespace {

// Tasks that each make a call to a service that is down at first.
struct Service
{
  EventLoop mLoop;
  Random mRandom;
  RetryQueue mQueue{ mLoop, mRandom, Duration(40), Duration(160) };
  Timer mLimit = mLoop.After(Duration(60000), [] { cr_assert_fail("test did not finish"); });
  bool mIsUp = false;
  int mFailed = 0;
  int mDone = 0;
  // Calls since the last tick, which is shorter than each delay of the queue.
  int mTogether = 0;
  int mMostTogether = 0;
  Timer mTick = mLoop.Every(Duration(10), [this] { mTogether = 0; });

  explicit Service(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
  }

  void Call()
  {
    mMostTogether = std::max(mMostTogether, ++mTogether);
    mLoop.Post([this] {
      if (mIsUp) {
        ++mDone;
        mQueue.OnSuccess();
      } else {
        ++mFailed;
        mQueue.Add([this] { Call(); });
      }
    });
  }

  void Until(const std::function<bool()>& aCondition)
  {
    const auto check = mLoop.Every(Duration(1), [&] {
      if (aCondition()) {
        mLoop.Stop();
      }
    });
    mLoop.Run();
  }
};

} // namespace

// Guards against a burst of all calls that failed in an outage, in it and when the service returns,
// and against calls that are never made again.
Test(RetryQueue, makes_few_calls_at_once)
{
  const auto seed = Random::SystemSeed();
  cr_log_warn("seed %llu", static_cast<unsigned long long>(seed));
  Service service(seed);
  for (int i = 0; i < 200; ++i) {
    service.mQueue.Add([&] { service.Call(); });
  }
  service.Until([&] { return service.mFailed >= 10; });
  cr_assert_eq(service.mMostTogether, 1);
  service.mIsUp = true;
  service.Until([&] { return service.mDone == 200; });
  cr_assert_leq(service.mMostTogether, static_cast<int>(RetryQueue::kBatch));
}

// Guards against tasks that wait for ever behind one that makes no call.
Test(RetryQueue, is_not_held_up_by_a_task_without_a_call)
{
  Service service(1);
  service.mIsUp = true;
  int n = 0;
  for (int i = 0; i < 50; ++i) {
    service.mQueue.Add([&] { ++n; });
  }
  service.Until([&] { return n == 50; });
}

// Guards against a listing more in each period of an outage, all of which are made again together
// when the service returns.
Test(JobCoordinator, adds_no_listings_in_an_outage)
{
  Cluster cluster(1);
  CoordinatorTimes times;
  times.mRelistPeriod = Duration(10);
  times.mStoreRetry = Duration(40);
  times.mMaxStoreRetry = Duration(40);
  Planner planner(cluster, "n1", times);
  planner.mCoordinator.Activate();
  cluster.mStore.SetAvailable(false);
  const auto calls = cluster.mStore.Calls();
  int ticks = 0;
  const auto tick = cluster.mLoop.Every(times.mRelistPeriod, [&] { ++ticks; });
  cluster.Until([&] { return ticks >= 50; });
  // One listing at a time, each two periods or more after the one before; one more in each period
  // would make several hundred.
  cr_assert_leq(cluster.mStore.Calls() - calls, 50U);
  cluster.mStore.SetAvailable(true);
  const auto job = cluster.Submit(cluster.Job("k", 1, kShort));
  cr_assert_eq(cluster.UntilDone(job.mJob).mState, JobState::Finished);
}
