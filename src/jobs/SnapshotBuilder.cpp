#include "jobs/SnapshotBuilder.h"

#include <algorithm>
#include <unordered_map>
#include <unordered_set>

namespace lovagerock::jobs {

namespace detail {
namespace {

placement::WorkerHealth
Health(const workers::WorkerView& aView)
{
  switch (aView.Health()) {
    case workers::WorkerHealth::Live:
      return placement::WorkerHealth::Live;
    case workers::WorkerHealth::Suspected:
      return placement::WorkerHealth::Suspected;
    case workers::WorkerHealth::Leaving:
      return placement::WorkerHealth::Leaving;
  }
  return placement::WorkerHealth::Suspected;
}

placement::LeasePhase
Phase(workers::LeasePhase aPhase)
{
  switch (aPhase) {
    case workers::LeasePhase::Reserved:
      return placement::LeasePhase::Reserved;
    case workers::LeasePhase::Running:
      return placement::LeasePhase::Running;
    case workers::LeasePhase::Stopping:
      return placement::LeasePhase::Stopping;
    default:
      return placement::LeasePhase::Ended;
  }
}

// Adds what the planner knows about a task's job and the worker's state does not contain.
void
AddJobDetails(const ManagedJob& aJob, int aTask, placement::LeaseView& aLease)
{
  const auto& record = aJob.mRecord;
  const auto task = static_cast<std::size_t>(aTask);
  const bool guaranteed = task < record.mPlacements.size() && record.mPlacements[task].mGuaranteed;
  aLease.mClass =
    guaranteed ? placement::CapacityClass::Guaranteed : placement::CapacityClass::Borrowed;
  aLease.mUrgent = record.mSpec.mUrgent;
  aLease.mEstimate = record.mSpec.mEstimate;
  aLease.mStarted = aJob.mStartedAt;
  aLease.mReclaimable = aJob.mReclaimable;
  if (aJob.mPhase == JobPhase::Stopping && aLease.mPhase == placement::LeasePhase::Running) {
    aLease.mPhase = placement::LeasePhase::Stopping;
  }
}

placement::LeaseView
FromLease(const workers::LeaseState& aState, const ManagedJobs& aJobs)
{
  placement::LeaseView lease;
  lease.mLease = aState.mLease;
  lease.mJob = aState.mJob;
  lease.mService = aState.mService;
  lease.mAccount = aState.mAccount;
  lease.mResources = aState.mResources;
  lease.mPhase = Phase(aState.mPhase);
  lease.mReclaimable = aState.mReclaimable;
  lease.mIdempotent = aState.mIdempotent;
  lease.mTask = aState.mTask;
  const auto it = aJobs.find(aState.mJob);
  if (it != aJobs.end()) {
    AddJobDetails(it->second, aState.mTask, lease);
  }
  return lease;
}

placement::LeaseView
FromPlacement(const ManagedJob& aJob, int aTask)
{
  placement::LeaseView lease;
  lease.mLease = TaskLeaseId(aJob.mRecord, aTask);
  lease.mJob = aJob.mRecord.mJob;
  lease.mAccount = aJob.mRecord.mAccount;
  lease.mResources = aJob.mRecord.mSpec.mPerTask;
  lease.mPhase = placement::LeasePhase::Reserved;
  lease.mIdempotent = aJob.mRecord.mSpec.mIdempotent;
  lease.mTask = aTask;
  AddJobDetails(aJob, aTask, lease);
  return lease;
}

placement::PendingJob
FromJob(const ManagedJob& aJob)
{
  const auto& record = aJob.mRecord;
  placement::PendingJob job;
  job.mJob = record.mJob;
  job.mAccount = record.mAccount;
  job.mTasks = record.mSpec.mTasks;
  job.mResourcesPerTask = record.mSpec.mPerTask;
  job.mAdjacency = record.mSpec.mAdjacency;
  job.mUrgent = record.mSpec.mUrgent;
  job.mIdempotent = record.mSpec.mIdempotent;
  job.mSubmitted = aJob.mQueuedAt;
  job.mEstimate = record.mSpec.mEstimate;
  job.mFailedWorkers = record.mFailedWorkers;
  return job;
}

} // namespace
} // namespace detail

placement::ClusterSnapshot
BuildSnapshot(const PolicyInput& aPolicy, const WorkerViews& aViews, const ManagedJobs& aJobs,
              bool aComplete, TimePoint aNow)
{
  placement::ClusterSnapshot snapshot;
  snapshot.mNow = aNow;
  snapshot.mComplete = aComplete;
  snapshot.mAccounts = aPolicy.mAccounts;
  snapshot.mServices = aPolicy.mServices;
  snapshot.mWeights = aPolicy.mWeights;
  std::unordered_map<WorkerId, std::size_t> positions;
  std::unordered_set<LeaseId> known;
  for (const auto& [id, view] : aViews) {
    if (!view.mState) {
      continue;
    }
    placement::WorkerView worker;
    worker.mWorker = id;
    worker.mRegion = view.mState->mRegion;
    worker.mZone = view.mState->mZone;
    worker.mRack = view.mState->mRack;
    worker.mCapacity = view.mState->mCapacity;
    worker.mHealth = detail::Health(view);
    for (const auto& it : view.mState->mLeases) {
      known.insert(it.mLease);
      worker.mLeases.push_back(detail::FromLease(it, aJobs));
    }
    positions[id] = snapshot.mWorkers.size();
    snapshot.mWorkers.push_back(std::move(worker));
  }
  for (const auto& [id, job] : aJobs) {
    if (job.mPhase == JobPhase::Queued && job.mNotBefore <= aNow) {
      snapshot.mJobs.push_back(detail::FromJob(job));
    }
    if (job.mPhase != JobPhase::Starting) {
      continue;
    }
    for (std::size_t i = 0; i < job.mRecord.mPlacements.size(); ++i) {
      const auto task = static_cast<int>(i);
      const auto it = positions.find(job.mRecord.mPlacements[i].mWorker);
      if (it != positions.end() && !known.contains(TaskLeaseId(job.mRecord, task))) {
        snapshot.mWorkers[it->second].mLeases.push_back(detail::FromPlacement(job, task));
      }
    }
  }
  return snapshot;
}

} // namespace lovagerock::jobs
