#pragma once

#include "base/EventLoop.h"
#include "base/Random.h"

#include <cstddef>
#include <deque>
#include <functional>

namespace lovagerock::jobs {

// Calls to the key-value service that failed and are made again. While the service is down, one of
// them tries it after a jittered delay that doubles up to a cap. After a success the others follow
// a few at a time, so that a service that returns isn't hit by all of them at once. Belongs to its
// loop.
class RetryQueue
{
public:
  using Task = std::function<void()>;

  // The tasks made again in each period after a success: 200 a second.
  static constexpr std::size_t kBatch = 4;
  static constexpr Duration kBatchPeriod{ 20 };

  // The delay lies between half of its upper bound and the bound, which starts with aFirst.
  RetryQueue(EventLoop& aLoop, Random& aRandom, Duration aFirst, Duration aCap);

  // Queues a task after a failure.
  void Add(Task aTask);
  // A call succeeded.
  void OnSuccess();
  // Drops all tasks.
  void Clear();

private:
  void Arm(Duration aDelay);
  void Run();

  EventLoop& mLoop;
  Random& mRandom;
  Duration mFirst;
  Duration mCap;
  Duration mDelay;
  // Whether the service answered since the last failure.
  bool mAnswers = false;
  // Whether a call failed since the last tasks were made again.
  bool mFailed = false;
  std::deque<Task> mTasks;
  Timer mTimer;
};

} // namespace lovagerock::jobs
