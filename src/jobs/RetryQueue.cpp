#include "jobs/RetryQueue.h"

#include <algorithm>
#include <utility>

namespace lovagerock::jobs {

RetryQueue::RetryQueue(EventLoop& aLoop, Random& aRandom, Duration aFirstDelay, Duration aMaxDelay)
  : mLoop(aLoop)
  , mRandom(aRandom)
  , mFirstDelay(aFirstDelay)
  , mMaxDelay(aMaxDelay)
  , mDelay(aFirstDelay)
{
}

void
RetryQueue::Add(Task aTask)
{
  mTasks.push_back(std::move(aTask));
  mAvailable = false;
  mFailed = true;
  if (!mTimer.IsPending()) {
    Arm(mRandom.Jitter(mDelay));
  }
}

void
RetryQueue::OnSuccess()
{
  mDelay = mFirstDelay;
  if (!std::exchange(mAvailable, true) && !mTasks.empty()) {
    Arm(kBatchPeriod);
  }
}

void
RetryQueue::Clear()
{
  mTimer.Cancel();
  mTasks.clear();
  mDelay = mFirstDelay;
}

void
RetryQueue::Arm(Duration aDelay)
{
  mTimer = mLoop.After(aDelay, [this] { Run(); });
}

void
RetryQueue::Run()
{
  // If no failure was reported since the last retries (the retried task made no call, or its call
  // is still open), the other tasks must not wait for it.
  const bool failed = std::exchange(mFailed, false);
  mDelay = failed && !mAvailable ? std::min(2 * mDelay, mMaxDelay) : mFirstDelay;
  std::deque<Task> due;
  const auto n = std::min(mTasks.size(), failed && !mAvailable ? 1 : kBatchSize);
  for (std::size_t i = 0; i < n; ++i) {
    due.push_back(std::move(mTasks.front()));
    mTasks.pop_front();
  }
  if (!mTasks.empty()) {
    Arm(mAvailable ? kBatchPeriod : mRandom.Jitter(mDelay));
  }
  for (const auto& it : due) {
    it();
  }
}

} // namespace lovagerock::jobs
