#include "scheduler/Fleet.h"

#include <algorithm>
#include <utility>

namespace lovagerock::scheduler {

PlacedRun*
Worker::Find(const RunRef& aRun)
{
  const auto it = std::find_if(mRuns.begin(), mRuns.end(),
                               [&aRun](const auto& aPlaced) { return aPlaced.mRun == aRun; });
  return it == mRuns.end() ? nullptr : &*it;
}

PlacedRun&
Worker::Add(PlacedRun aRun)
{
  mUsed += aRun.mDemand;
  return mRuns.emplace_back(std::move(aRun));
}

void
Worker::Remove(const RunRef& aRun)
{
  const auto it = std::find_if(mRuns.begin(), mRuns.end(),
                               [&aRun](const auto& aPlaced) { return aPlaced.mRun == aRun; });
  if (it != mRuns.end()) {
    mUsed -= it->mDemand;
    mRuns.erase(it);
  }
}

} // namespace lovagerock::scheduler
