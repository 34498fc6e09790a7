#include "standin/worker/UsageHistory.h"

namespace lovagerock::standin {

void
UsageHistory::Record(Accelerators aBusy, TimePoint aNow)
{
  if (aBusy != mLatest) {
    mLatest = aBusy;
    mPending.emplace_back(aNow + mLag, aBusy);
  }
}

Accelerators
UsageHistory::Reported(TimePoint aNow)
{
  while (!mPending.empty() && mPending.front().first <= aNow) {
    mReported = mPending.front().second;
    mPending.pop_front();
  }
  return mReported;
}

std::optional<TimePoint>
UsageHistory::NextDue() const
{
  return mPending.empty() ? std::nullopt : std::optional(mPending.front().first);
}

} // namespace lovagerock::standin
