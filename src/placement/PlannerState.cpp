#include "placement/PlannerState.h"

#include <algorithm>

namespace lovagerock::placement {

void
PlannerState::RecordFailure(const WorkerId& aWorker, const JobId& aJob, Duration aRanFor,
                            TimePoint aNow)
{
  auto& record = mRecords[aWorker];
  if (aRanFor >= kFastFailure || (record.mFailures > 0 && record.mLastFailedJob == aJob)) {
    return;
  }
  record.mLastFailedJob = aJob;
  if (++record.mFailures < kFailuresToQuarantine) {
    return;
  }
  record.mFailures = 0;
  record.mQuarantinedUntil = aNow + record.mNextQuarantine;
  record.mNextQuarantine = std::min(record.mNextQuarantine * 2, kMaxQuarantine);
}

void
PlannerState::RecordSuccess(const WorkerId& aWorker)
{
  mRecords.erase(aWorker);
}

bool
PlannerState::IsQuarantined(const WorkerId& aWorker, TimePoint aNow) const
{
  const auto it = mRecords.find(aWorker);
  return it != mRecords.end() && it->second.mQuarantinedUntil &&
         aNow < *it->second.mQuarantinedUntil;
}

int
PlannerState::ConsecutiveFailures(const WorkerId& aWorker) const
{
  const auto it = mRecords.find(aWorker);
  return it == mRecords.end() ? 0 : it->second.mFailures;
}

} // namespace lovagerock::placement
