#pragma once

#include "base/EventLoop.h"
#include "base/Random.h"

#include <cstddef>
#include <deque>
#include <functional>

namespace lovagerock::jobs {

// Retries failed calls to the key-value service. While the service is down, it retries one call at
// a time after a jittered delay that doubles up to a cap. After a success it retries the others in
// small batches, so that a recovering service does not get all of them at once. Must be used on its
// event loop's thread only.
class RetryQueue
{
public:
  using Task = std::function<void()>;

  // The number of tasks retried in each period after a success: 200 a second.
  static constexpr std::size_t kBatchSize = 4;
  static constexpr Duration kBatchPeriod{ 20 };

  // The delay lies between half of its upper bound and the bound, which grows from aFirstDelay to
  // aMaxDelay.
  RetryQueue(EventLoop& aLoop, Random& aRandom, Duration aFirstDelay, Duration aMaxDelay);

  // Queues a task whose call failed.
  void Add(Task aTask);
  // Must be called after each successful call to the service.
  void OnSuccess();
  // Drops all tasks.
  void Clear();

private:
  void Arm(Duration aDelay);
  void Run();

  EventLoop& mLoop;
  Random& mRandom;
  Duration mFirstDelay;
  Duration mMaxDelay;
  Duration mDelay;
  // Whether a call has succeeded since the last failure.
  bool mAvailable = false;
  // Whether a call has failed since the last retries.
  bool mFailed = false;
  std::deque<Task> mTasks;
  Timer mTimer;
};

} // namespace lovagerock::jobs
