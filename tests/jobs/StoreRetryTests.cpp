#include "JobFixture.h"
#include "jobs/RetryQueue.h"

#include <algorithm>
#include <functional>

using namespace lovagerock;
using namespace lovagerock::jobs;

namespace {

// A service that is down at first, and a retry queue with tasks that each call it.
struct FlakyService
{
  EventLoop mLoop;
  Random mRandom;
  RetryQueue mQueue{ mLoop, mRandom, Duration(40), Duration(160) };
  Timer mLimit = mLoop.After(Duration(60000), [] { cr_assert_fail("test did not finish"); });
  bool mIsUp = false;
  int mFailed = 0;
  int mDone = 0;
  // Calls since the last tick. A tick is shorter than each delay of the queue, so that calls in one
  // tick belong to one batch.
  int mCallsInTick = 0;
  int mMaxCallsInTick = 0;
  Timer mTick = mLoop.Every(Duration(10), [this] { mCallsInTick = 0; });

  explicit FlakyService(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
  }

  void Call()
  {
    mMaxCallsInTick = std::max(mMaxCallsInTick, ++mCallsInTick);
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

// Guards against retrying all failed calls at once, during an outage or when the service recovers,
// and against failed calls that are never retried.
Test(RetryQueue, limits_concurrent_retries)
{
  FlakyService service(1);
  for (int i = 0; i < 200; ++i) {
    service.mQueue.Add([&] { service.Call(); });
  }
  service.Until([&] { return service.mFailed >= 10; });
  cr_assert_eq(service.mMaxCallsInTick, 1);
  service.mIsUp = true;
  service.Until([&] { return service.mDone == 200; });
  cr_assert_leq(service.mMaxCallsInTick, static_cast<int>(RetryQueue::kBatchSize));
}

// Guards against tasks that wait forever behind a retried task that makes no call.
Test(RetryQueue, is_not_blocked_by_a_task_without_a_call)
{
  FlakyService service(1);
  service.mIsUp = true;
  int n = 0;
  for (int i = 0; i < 50; ++i) {
    service.mQueue.Add([&] { ++n; });
  }
  service.Until([&] { return n == 50; });
}

// Guards against queueing one more listing in each period of an outage, all of which would be
// retried when the store recovers.
Test(JobCoordinator, does_not_accumulate_listings_in_an_outage)
{
  Cluster cluster(1);
  CoordinatorSettings times;
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
  // Listings are made one at a time, at least two periods apart. One more listing in each period
  // would result in several hundred calls.
  cr_assert_leq(cluster.mStore.Calls() - calls, 50U);
  cluster.mStore.SetAvailable(true);
  const auto job = cluster.Submit(cluster.Job("k", 1, kShortPayload));
  cr_assert_eq(cluster.UntilDone(job.mJob).mState, JobState::Finished);
}
