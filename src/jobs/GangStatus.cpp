#include "jobs/GangStatus.h"

#include <algorithm>

namespace lovagerock::jobs {

namespace detail {
namespace {

TaskStatus
FromPhase(workers::LeasePhase aPhase)
{
  switch (aPhase) {
    case workers::LeasePhase::Reserved:
      return TaskStatus::Reserved;
    case workers::LeasePhase::Running:
      return TaskStatus::Running;
    case workers::LeasePhase::Stopping:
      return TaskStatus::Stopping;
    case workers::LeasePhase::Finished:
      return TaskStatus::Finished;
    case workers::LeasePhase::Failed:
      return TaskStatus::Failed;
    case workers::LeasePhase::Stopped:
      return TaskStatus::Lost;
  }
  return TaskStatus::Unknown;
}

const workers::LeaseState*
FindLease(const workers::WorkerState& aState, const LeaseId& aLease)
{
  const auto it = std::find_if(
    aState.mLeases.begin(), aState.mLeases.end(),
    [&](const workers::LeaseState& aCandidate) { return aCandidate.mLease == aLease; });
  return it == aState.mLeases.end() ? nullptr : &*it;
}

} // namespace
} // namespace detail

bool
GangStatus::All(TaskStatus aStatus) const
{
  return std::all_of(mTasks.begin(), mTasks.end(),
                     [aStatus](TaskStatus aTask) { return aTask == aStatus; });
}

bool
GangStatus::Any(TaskStatus aStatus) const
{
  return std::find(mTasks.begin(), mTasks.end(), aStatus) != mTasks.end();
}

bool
GangStatus::HasEnded() const
{
  return std::all_of(mTasks.begin(), mTasks.end(), [](TaskStatus aTask) {
    return aTask == TaskStatus::Finished || aTask == TaskStatus::Failed ||
           aTask == TaskStatus::Lost;
  });
}

GangStatus
ReadGangStatus(const JobRecord& aRecord, const WorkerViews& aViews, GangObservation& aObservation,
               const LeaseLossTimeouts& aTimeouts, TimePoint aNow)
{
  GangStatus status;
  status.mTasks.resize(aRecord.mPlacements.size(), TaskStatus::Unknown);
  status.mCheckpoints = aRecord.mCheckpoints;
  status.mCheckpoints.resize(aRecord.mPlacements.size());
  aObservation.mSeen.resize(aRecord.mPlacements.size(), false);
  for (std::size_t i = 0; i < aRecord.mPlacements.size(); ++i) {
    const auto it = aViews.find(aRecord.mPlacements[i].mWorker);
    const bool known = it != aViews.end() && it->second.mState;
    const auto* lease =
      known ? detail::FindLease(*it->second.mState, TaskLeaseId(aRecord, static_cast<int>(i)))
            : nullptr;
    const auto heard = known ? it->second.mLastHeard : aObservation.mSince;
    const bool silent = !known || it->second.mSuspected;
    if (lease) {
      aObservation.mSeen[i] = true;
      status.mTasks[i] = detail::FromPhase(lease->mPhase);
    }
    const bool lapsed =
      silent && aNow - std::max(heard, aObservation.mSince) > aTimeouts.mSilenceTimeout;
    const bool gone =
      !silent && !lease &&
      (aObservation.mSeen[i] || aNow - aObservation.mSince > aTimeouts.mUnseenTimeout);
    if (lapsed || gone) {
      status.mTasks[i] = TaskStatus::Lost;
    }
    if (lease && !lease->mCheckpoint.empty()) {
      status.mCheckpoints[i] = lease->mCheckpoint;
    }
    if (status.mTasks[i] == TaskStatus::Failed && status.mFailedTask < 0) {
      status.mFailedTask = static_cast<int>(i);
      status.mError = lease->mError;
    }
  }
  return status;
}

} // namespace lovagerock::jobs
