#include "placement/RunTimeForecast.h"

#include "placement/PlanContext.h"

#include <algorithm>

namespace lovagerock::placement {

std::optional<Duration>
RunTimeForecast::LongestRun(const QueuedJob& aJob) const
{
  const auto& job = *aJob.mJob;
  const auto whole =
    mHistory.Quantile(job.mAccount, aJob.mTotal.Size(), kCautious, job.mEstimate, job.mRanBefore);
  if (whole) {
    return *whole - job.mRanBefore;
  }
  return job.mEstimate.count() > 0 ? std::optional(job.mEstimate * kDistrust) : std::nullopt;
}

TimePoint
RunTimeForecast::EndOf(int aBorrower) const
{
  mEnds.resize(mModel.Borrowers().size());
  auto& end = mEnds[aBorrower];
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
    return mNow + kUnknown;
  }
  // A lease that has overrun its estimate is expected to run as long again.
  return mNow + (ran < lease.mEstimate ? lease.mEstimate - ran : ran);
}

} // namespace lovagerock::placement
