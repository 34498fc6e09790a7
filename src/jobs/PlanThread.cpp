#include "jobs/PlanThread.h"

#include <memory>

namespace lovagerock::jobs {

PlanThread::PlanThread(EventLoop& aLoop)
  : mLoop(aLoop)
  , mThread([this] { Run(); })
{
}

PlanThread::~PlanThread()
{
  *mAlive = false;
  {
    const std::lock_guard lock(mMutex);
    mStopping = true;
  }
  mChanged.notify_one();
  mThread.join();
}

void
PlanThread::Compute(placement::ClusterSnapshot aSnapshot, placement::PlannerState aState,
                    Callback aCallback)
{
  mBusy = true;
  {
    const std::lock_guard lock(mMutex);
    mWork.emplace(Work{ std::move(aSnapshot), std::move(aState), std::move(aCallback) });
  }
  mChanged.notify_one();
}

void
PlanThread::Run()
{
  for (;;) {
    std::unique_lock lock(mMutex);
    mChanged.wait(lock, [this] { return mStopping || mWork; });
    if (mStopping) {
      return;
    }
    auto work = std::make_shared<Work>(std::move(*mWork));
    mWork.reset();
    lock.unlock();
    auto plan =
      std::make_shared<placement::Plan>(placement::ComputePlan(work->mSnapshot, work->mState));
    mLoop.Post([this, alive = mAlive, work, plan] {
      if (*alive) {
        mBusy = false;
        work->mCallback(std::move(*plan), std::move(work->mState));
      }
    });
  }
}

} // namespace lovagerock::jobs
