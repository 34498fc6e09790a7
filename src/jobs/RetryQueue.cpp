#include "jobs/RetryQueue.h"

#include <algorithm>
#include <utility>

namespace lovagerock::jobs {

RetryQueue::RetryQueue(EventLoop& aLoop, Random& aRandom, Duration aFirst, Duration aCap)
  : mLoop(aLoop)
  , mRandom(aRandom)
  , mFirst(aFirst)
  , mCap(aCap)
  , mDelay(aFirst)
{
}

void
RetryQueue::Add(Task aTask)
{
  mTasks.push_back(std::move(aTask));
  mAnswers = false;
  mFailed = true;
  if (!mTimer.IsPending()) {
    Arm(mRandom.Jitter(mDelay));
  }
}

void
RetryQueue::OnSuccess()
{
  mDelay = mFirst;
  if (!std::exchange(mAnswers, true) && !mTasks.empty()) {
    Arm(kBatchPeriod);
  }
}

void
RetryQueue::Clear()
{
  mTimer.Cancel();
  mTasks.clear();
  mDelay = mFirst;
}

void
RetryQueue::Arm(Duration aDelay)
{
  mTimer = mLoop.After(aDelay, [this] { Run(); });
}

void
RetryQueue::Run()
{
  // A task that made no call, or has no answer yet, must not hold the others up.
  const bool failed = std::exchange(mFailed, false);
  mDelay = failed && !mAnswers ? std::min(2 * mDelay, mCap) : mFirst;
  std::deque<Task> due;
  const auto n = std::min(mTasks.size(), failed && !mAnswers ? 1 : kBatch);
  for (std::size_t i = 0; i < n; ++i) {
    due.push_back(std::move(mTasks.front()));
    mTasks.pop_front();
  }
  if (!mTasks.empty()) {
    Arm(mAnswers ? kBatchPeriod : mRandom.Jitter(mDelay));
  }
  for (const auto& it : due) {
    it();
  }
}

} // namespace lovagerock::jobs
