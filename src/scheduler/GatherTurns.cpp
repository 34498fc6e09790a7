#include "scheduler/GatherTurns.h"

#include <algorithm>

namespace lovagerock::scheduler {

GatherTurns::GatherTurns(Duration aFirst, Duration aLongest, Duration aPause, Duration aPassedTime)
  : mFirst(aFirst)
  , mLongest(aLongest)
  , mPause(aPause)
  , mPassedTime(aPassedTime)
{
}

bool
GatherTurns::IsPausing(const StepKey& aStep, TimePoint aNow) const
{
  const auto it = mTurns.find(aStep);
  if (it == mTurns.end()) {
    return false;
  }
  const auto end = it->second.mBegan + it->second.mLength;
  return aNow >= end && aNow < end + mPause;
}

bool
GatherTurns::IsProtected(const StepKey& aStep, TimePoint aNow) const
{
  const auto it = mTurns.find(aStep);
  return it != mTurns.end() && it->second.mIsProtected &&
         aNow < it->second.mBegan + it->second.mLength;
}

void
GatherTurns::OnGathered(const StepKey& aStep, TimePoint aNow)
{
  auto& turn = mTurns.try_emplace(aStep, Turn{ aNow, mFirst, aNow, aNow, false }).first->second;
  if (aNow >= turn.mBegan + turn.mLength + mPause) {
    turn.mBegan = aNow;
    turn.mLength = std::min(2 * turn.mLength, mLongest);
    turn.mIsProtected = aNow - turn.mPassedSince >= mPassedTime;
    if (turn.mIsProtected) {
      turn.mPassedSince = aNow;
    }
  }
  turn.mLastGathered = aNow;
}

void
GatherTurns::Prune(TimePoint aNow)
{
  // Longer than a pause, or each turn would be a first one.
  const auto limit = aNow - 10 * mPause;
  std::erase_if(mTurns, [limit](const auto& aIt) { return aIt.second.mLastGathered < limit; });
}

} // namespace lovagerock::scheduler
