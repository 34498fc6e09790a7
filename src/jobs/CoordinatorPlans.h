#pragma once

// JobCoordinator: making and executing plans.

#include "jobs/JobCoordinator.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace lovagerock::jobs {

template<kv::KeyValueStore S, workers::WorkerApi A>
void
JobCoordinator<S, A>::OnTick()
{
  mAttempts.Expire();
  // Some conditions depend on time alone, such as the expiry of a silent worker's lease.
  std::vector<JobId> ids;
  for (const auto& [id, job] : mJobs) {
    if (job.mPhase == JobPhase::Running || job.mPhase == JobPhase::Stopping) {
      ids.push_back(id);
    }
  }
  for (const auto& it : ids) {
    if (auto* job = Find(it)) {
      CheckGang(*job);
    }
  }
  SchedulePlan();
}

template<kv::KeyValueStore S, workers::WorkerApi A>
void
JobCoordinator<S, A>::SchedulePlan()
{
  if (mActive && !mPlanDelayTimer.IsPending()) {
    mPlanDelayTimer = mLoop.After(mTimes.mPlanDelay, [this] { MakePlan(); });
  }
}

template<kv::KeyValueStore S, workers::WorkerApi A>
void
JobCoordinator<S, A>::MakePlan()
{
  if (!mActive || !mRecordsLoaded) {
    return;
  }
  if (mPlanThread.IsBusy()) {
    mPlanAgain = true;
    return;
  }
  const auto now = Now();
  for (const auto& it : mFailures) {
    mState.RecordFailure(it.mWorker, it.mJob, it.mRan, now);
  }
  for (const auto& it : mSuccesses) {
    mState.RecordSuccess(it);
  }
  for (const auto& it : mRunTimes) {
    mState.mRunTimes.Record(it.mAccount, it.mSize, it.mRunTime);
  }
  mFailures.clear();
  mSuccesses.clear();
  mRunTimes.clear();
  mPlanThread.Compute(BuildSnapshot(mPolicy, mViews, mJobs, mAllWorkersKnown, now),
                      std::move(mState),
                      [this, term = mTerm](placement::Plan aPlan, placement::PlannerState aState) {
                        if (std::exchange(mPlanAgain, false)) {
                          SchedulePlan();
                        }
                        if (!mActive || term != mTerm) {
                          return;
                        }
                        mState = std::move(aState);
                        Execute(aPlan);
                        mLastPlan = std::move(aPlan);
                      });
  mState = {};
}

template<kv::KeyValueStore S, workers::WorkerApi A>
void
JobCoordinator<S, A>::Execute(const placement::Plan& aPlan)
{
  for (const auto& it : aPlan.mReclaims) {
    Reclaim(it);
  }
  for (const auto& it : aPlan.mReleases) {
    ReleaseService(it.mLease, ReleaseDeadline());
  }
  bool deferred = false;
  for (const auto& it : aPlan.mStarts) {
    // No gang overtakes a deferred one, or a stream of small gangs could starve a large one.
    if (MustDefer(it, deferred)) {
      deferred = true;
    } else {
      StartGang(it);
    }
  }
  for (const auto& it : aPlan.mGrants) {
    GrantService(it);
  }
  for (const auto& it : aPlan.mRefused) {
    if (auto* job = Find(it.mJob); job && job->mPhase == JobPhase::Queued) {
      const auto ran = job->mRecord.mAttempt > 0 ? Ran::Partly : Ran::No;
      const std::string name(placement::RefusalReasonName(it.mReason));
      End(*job, JobState::Failed, ran, name + ": " + it.mDetail + LastErrorSuffix(*job));
    }
  }
  for (const auto& it : aPlan.mWaiting) {
    RecordWaitReason(it);
  }
}

template<kv::KeyValueStore S, workers::WorkerApi A>
std::string
JobCoordinator<S, A>::LastErrorSuffix(const ManagedJob& aJob)
{
  return aJob.mError.empty() ? std::string() : " (last error: " + aJob.mError + ")";
}

template<kv::KeyValueStore S, workers::WorkerApi A>
void
JobCoordinator<S, A>::RecordWaitReason(const placement::WaitingJob& aWaiting)
{
  auto* job = Find(aWaiting.mJob);
  if (!job) {
    return;
  }
  const std::string reason(placement::WaitReasonName(aWaiting.mReason));
  if (job->mWaitReason != reason) {
    LogEvent("job_waits")
      .With("job", aWaiting.mJob)
      .With("reason", reason)
      .With("detail", aWaiting.mDetail);
  }
  job->mWaitReason = reason;
  job->mWaitDetail = aWaiting.mDetail;
}

template<kv::KeyValueStore S, workers::WorkerApi A>
void
JobCoordinator<S, A>::Reclaim(const placement::Reclaim& aReclaim)
{
  LogEvent("reclaim")
    .With("job", aReclaim.mJob)
    .With("service", aReclaim.mService)
    .With("account", aReclaim.mAccount)
    .With("reason", placement::ReclaimReasonName(aReclaim.mReason))
    .With("for_job", aReclaim.mForJob)
    .With("for_service", aReclaim.mForService);
  if (auto* job = Find(aReclaim.mJob)) {
    if (job->mPhase == JobPhase::Running) {
      StopGang(*job, StopReason::Reclaimed, mTimes.mReclaimDeadline);
    }
    return;
  }
  for (const auto& it : aReclaim.mLeases) {
    ReleaseService(it, mTimes.mReclaimDeadline);
  }
}

template<kv::KeyValueStore S, workers::WorkerApi A>
void
JobCoordinator<S, A>::ReleaseService(const LeaseId& aLease, Duration aDeadline)
{
  for (const auto& [id, view] : mViews) {
    const auto& leases = view.mState->mLeases;
    const bool here = std::any_of(leases.begin(), leases.end(), [&](const auto& aState) {
      return aState.mLease == aLease && aState.mKind == workers::LeaseKind::Service;
    });
    if (here) {
      mServices.Release(aLease, view.mAddress, mFence, aDeadline);
    }
  }
}

template<kv::KeyValueStore S, workers::WorkerApi A>
void
JobCoordinator<S, A>::GrantService(const placement::ServiceGrant& aGrant)
{
  const auto view = mViews.find(aGrant.mWorker);
  const auto service =
    std::find_if(mPolicy.mServices.begin(), mPolicy.mServices.end(),
                 [&](const auto& aService) { return aService.mService == aGrant.mService; });
  if (view != mViews.end() && service != mPolicy.mServices.end()) {
    mServices.Grant(aGrant, service->mIdempotent, view->second, mFence, mTimes.mGang.mRunningTtl);
  }
}

} // namespace lovagerock::jobs
