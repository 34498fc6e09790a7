#include "placement/RunTimeForecast.h"

#include "placement/PlanContext.h"

#include <algorithm>

namespace lovagerock::placement {

std::optional<Duration>
RunTimeForecast::RemainingTimeBound(const QueuedJob& aJob) const
{
  const auto& job = *aJob.mJob;
  const auto whole = mHistory.Quantile(job.mAccount, aJob.mTotal.Size(), kBackfillQuantile,
                                       job.mEstimate, job.mRanBefore);
  if (whole) {
    return *whole - job.mRanBefore;
  }
  return job.mEstimate.count() > 0 ? std::optional(job.mEstimate * kDeclaredTimeFactor)
                                   : std::nullopt;
}

TimePoint
RunTimeForecast::ExpectedEnd(int aBorrower) const
{
  mExpectedEnds.resize(mModel.Borrowers().size());
  auto& end = mExpectedEnds[aBorrower];
  if (!end) {
    end = ComputeEnd(mModel.Borrowers()[aBorrower]);
  }
  return *end;
}

TimePoint
RunTimeForecast::ComputeEnd(const Borrower& aBorrower) const
{
  const auto& lease = *aBorrower.mFirst;
  const auto ran = std::chrono::duration_cast<Duration>(mNow - lease.mStarted) + lease.mRanBefore;
  if (lease.mEstimate.count() == 0) {
    return mNow + kDefaultRemainingTime;
  }
  // A lease that has overrun its estimate is expected to run for as long again as it has run.
  return mNow + (ran < lease.mEstimate ? lease.mEstimate - ran : ran);
}

} // namespace lovagerock::placement
