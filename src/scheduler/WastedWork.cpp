#include "scheduler/WastedWork.h"

#include "base/LogEvent.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <numeric>

namespace lovagerock::scheduler {

double
CoreSeconds(const Capacity& aDemand, Duration aTime)
{
  constexpr double kMilliCoresPerCore = 1000;
  const double cores = static_cast<double>(aDemand.mCpu.Value()) / kMilliCoresPerCore +
                       kCoresPerAccelerator * static_cast<double>(aDemand.mAccelerators.Value());
  return cores * std::chrono::duration<double>(aTime).count();
}

const char*
WasteCauseName(WasteCause aCause)
{
  switch (aCause) {
    case WasteCause::Evicted:
      return "evicted";
    case WasteCause::Moved:
      return "moved";
    case WasteCause::Drained:
      return "drained";
    case WasteCause::GangBroken:
      return "gang_broken";
    case WasteCause::GangIncomplete:
      return "gang_incomplete";
    case WasteCause::LeaseExpired:
      return "lease_expired";
    case WasteCause::WorkerLost:
      return "worker_lost";
    case WasteCause::Failed:
      return "failed";
    case WasteCause::Cancelled:
      return "cancelled";
    case WasteCause::Other:
      break;
  }
  return "other";
}

double
WasteCounts::Total() const
{
  return std::accumulate(mCoreSeconds.begin(), mCoreSeconds.end(), 0.0);
}

void
WastedWork::Add(WasteCause aCause, double aCoreSeconds)
{
  mCounts.mCoreSeconds[static_cast<std::size_t>(aCause)] += std::max(aCoreSeconds, 0.0);
}

WasteCause
WastedWork::CauseOf(const EndedRun& aRun)
{
  if (aRun.mCause) {
    return *aRun.mCause;
  }
  switch (aRun.mEnd) {
    case RunEnd::Failed:
      return WasteCause::Failed;
    case RunEnd::LeaseExpired:
      return WasteCause::LeaseExpired;
    case RunEnd::GangMemberEnded:
      return WasteCause::GangBroken;
    case RunEnd::GangIncomplete:
      return WasteCause::GangIncomplete;
    case RunEnd::Done:
    case RunEnd::Stopped:
      break;
  }
  return WasteCause::Other;
}

void
WastedWork::OnEnded(const EndedRun& aRun)
{
  const bool hasNeverBegun = aRun.mEnd == RunEnd::GangIncomplete;
  const auto waited = hasNeverBegun ? aRun.mElapsed : std::min(aRun.mWaited, aRun.mElapsed);
  Add(WasteCause::GangIncomplete, CoreSeconds(aRun.mDemand, waited));
  if (aRun.mEnd != RunEnd::Done) {
    const auto lost = std::min(aRun.mElapsed - waited, aRun.mUnsaved);
    Add(CauseOf(aRun), CoreSeconds(aRun.mDemand, lost));
  }
}

void
WastedWork::LogGrowth(TimePoint aNow)
{
  const auto total = mCounts.Total();
  if (total - mLoggedTotal < 1 || aNow - mLoggedAt < kLogPeriod) {
    return;
  }
  LogEvent event("work_wasted");
  event.With("core_seconds", std::llround(total))
    .With("growth", std::llround(total - mLoggedTotal));
  for (const auto it : AllWasteCauses()) {
    if (const auto count = std::llround(mCounts.Of(it)); count > 0) {
      event.With(WasteCauseName(it), count);
    }
  }
  mLoggedTotal = total;
  mLoggedAt = aNow;
}

} // namespace lovagerock::scheduler
