#pragma once

// JobCoordinator: starting, watching and stopping gangs.

#include "jobs/JobCoordinator.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace lovagerock::jobs {

template<kv::KeyValueStore S, workers::WorkerApi A>
LeaseLossTimeouts
JobCoordinator<S, A>::LossTimeouts() const
{
  // The lease of a silent worker may have been renewed up to one renewal period after the last
  // state that was received from it.
  return { mTimes.mGang.mStartTtl, mTimes.mGang.mRunningTtl + mTimes.mRenewPeriod };
}

template<kv::KeyValueStore S, workers::WorkerApi A>
void
JobCoordinator<S, A>::StartGang(const placement::GangStart& aStart)
{
  auto* job = Find(aStart.mJob);
  if (!job || job->mPhase != JobPhase::Queued) {
    return;
  }
  auto record = job->mRecord;
  record.mPlacements.clear();
  for (const auto& it : aStart.mWorkers) {
    const auto view = mViews.find(it);
    if (view == mViews.end()) {
      return;
    }
    record.mPlacements.push_back(
      { it, view->second.mAddress, aStart.mClass == placement::CapacityClass::Guaranteed });
  }
  record.mStartToken = mRandom.Token().substr(0, 16);
  SetRecord(*job, record);
  job->mReclaimable = aStart.mReclaimable;
  job->mPhase = JobPhase::Starting;
  job->mStartedAt = Now();
  LogStart(aStart, *job);
  auto start = std::make_shared<GangStart<S, A>>(
    mLoop, mApi, mJobStore, record, mFence, mTimes.mGang,
    InTerm([this](GangOutcome aOutcome, Record aRecord, const std::vector<WorkerId>& aRefused) {
      OnGangStart(aOutcome, std::move(aRecord), aRefused);
    }));
  start->Run();
}

template<kv::KeyValueStore S, workers::WorkerApi A>
bool
JobCoordinator<S, A>::MustDefer(const placement::GangStart& aStart, bool aOtherDeferred) const
{
  const auto it = mJobs.find(aStart.mJob);
  const bool urgent = it != mJobs.end() && it->second.mRecord.mSpec.mUrgent;
  if (urgent || aStart.mClass == placement::CapacityClass::Guaranteed) {
    return false;
  }
  std::size_t starting = 0;
  for (const auto& [id, job] : mJobs) {
    starting += job.mPhase == JobPhase::Starting ? job.mRecord.mPlacements.size() : 0;
  }
  return aOtherDeferred ||
         (starting > 0 && starting + aStart.mWorkers.size() > mTimes.mMaxStartingTasks);
}

template<kv::KeyValueStore S, workers::WorkerApi A>
void
JobCoordinator<S, A>::LogStart(const placement::GangStart& aStart, const ManagedJob& aJob) const
{
  LogEvent event("placement");
  event.With("job", aStart.mJob)
    .With("account", aStart.mAccount)
    .With("tasks", aStart.mWorkers.size())
    .With("class",
          aStart.mClass == placement::CapacityClass::Guaranteed ? "guaranteed" : "borrowed")
    .With("waited_ms", std::chrono::duration_cast<Duration>(Now() - aJob.mQueuedAt))
    .With("epoch", mFence.mEpoch);
  std::string workers;
  for (const auto& it : aStart.mWorkers) {
    workers += (workers.empty() ? "" : ",") + it.Value();
  }
  event.With("workers", workers);
}

template<kv::KeyValueStore S, workers::WorkerApi A>
void
JobCoordinator<S, A>::OnGangStart(GangOutcome aOutcome, Record aRecord,
                                  const std::vector<WorkerId>& aRefused)
{
  auto* job = Find(aRecord.mJob);
  if (!job) {
    return;
  }
  switch (aOutcome) {
    case GangOutcome::Started:
      SetRecord(*job, std::move(aRecord));
      job->mPhase = JobPhase::Running;
      job->mStartedAt = Now();
      job->mStartedHere = true;
      job->mFinishedAt.reset();
      job->mObservation = { Now(), {} };
      job->mAnswers.assign(job->mRecord.mPlacements.size(), std::nullopt);
      RenewGang(job->mRecord);
      CheckCancel(*job);
      break;
    case GangOutcome::NotReserved:
      job->mPhase = JobPhase::Queued;
      job->mNotBefore = Now() + mRandom.Jitter(2 * mTimes.mStartRetry);
      CheckCancel(*job);
      CheckRefusals(aRefused);
      break;
    case GangOutcome::Fenced:
      StepDown();
      return;
    case GangOutcome::NotCommitted:
      mUnsentStarts.insert(aRecord.mStartToken);
      job->mPhase = JobPhase::Writing;
      Reload(aRecord.mJob);
      break;
    case GangOutcome::StartFailed:
      SetRecord(*job, std::move(aRecord));
      job->mPhase = JobPhase::Running;
      job->mObservation = { Now(), {} };
      StopGang(*job, StopReason::StartFailed, Duration(0));
      break;
  }
  SchedulePlan();
}

template<kv::KeyValueStore S, workers::WorkerApi A>
void
JobCoordinator<S, A>::CheckRefusals(const std::vector<WorkerId>& aWorkers)
{
  for (const auto& it : std::set<WorkerId>(aWorkers.begin(), aWorkers.end())) {
    const auto view = mViews.find(it);
    if (view != mViews.end() && mRecordsLoaded) {
      CheckOrphans(view->second);
    }
  }
}

template<kv::KeyValueStore S, workers::WorkerApi A>
void
JobCoordinator<S, A>::CheckLeases(const workers::WorkerView& aView)
{
  const auto& jobs = mWorkerJobs.JobsOn(aView.mState->mWorker);
  mChangedJobs.insert(jobs.begin(), jobs.end());
  if (!mChangedJobs.empty() && !mCheckDelayTimer.IsPending()) {
    mCheckDelayTimer = mLoop.After(mTimes.mCheckDelay, [this] { CheckChangedJobs(); });
  }
  if (mRecordsLoaded) {
    CheckOrphans(aView);
  }
}

template<kv::KeyValueStore S, workers::WorkerApi A>
void
JobCoordinator<S, A>::CheckChangedJobs()
{
  for (const auto& it : std::exchange(mChangedJobs, {})) {
    if (auto* job = Find(it)) {
      CheckGang(*job);
    }
  }
}

template<kv::KeyValueStore S, workers::WorkerApi A>
void
JobCoordinator<S, A>::CheckGang(ManagedJob& aJob)
{
  if (aJob.mPhase != JobPhase::Running && aJob.mPhase != JobPhase::Stopping) {
    return;
  }
  const auto status =
    ReadGangStatus(aJob.mRecord, mViews, aJob.mObservation, LossTimeouts(), Now());
  if (aJob.mPhase == JobPhase::Stopping) {
    if (status.HasEnded()) {
      aJob.mRecord.mCheckpoints = status.mCheckpoints;
      EndAttempt(aJob);
    }
    return;
  }
  if (status.mFailedTask >= 0) {
    RecordFailure(aJob, status);
    StopGang(aJob, StopReason::TaskFailed, Duration(0));
  } else if (status.Any(TaskStatus::Lost)) {
    StopGang(aJob, StopReason::TaskLost, mTimes.mReclaimDeadline);
  } else if (status.Any(TaskStatus::Reserved)) {
    ResumeStart(aJob, status);
  } else {
    CollectAnswers(aJob, status);
  }
}

template<kv::KeyValueStore S, workers::WorkerApi A>
void
JobCoordinator<S, A>::RecordFailure(ManagedJob& aJob, const GangStatus& aStatus)
{
  const auto& worker =
    aJob.mRecord.mPlacements[static_cast<std::size_t>(aStatus.mFailedTask)].mWorker;
  const auto ran = std::chrono::duration_cast<Duration>(Now() - aJob.mStartedAt);
  aJob.mError = aStatus.mError;
  auto& failed = aJob.mRecord.mFailedWorkers;
  if (std::find(failed.begin(), failed.end(), worker) == failed.end()) {
    failed.push_back(worker);
  }
  mFailures.push_back({ worker, aJob.mRecord.mJob, ran });
  LogEvent("task_failed", LogLevel::Warning)
    .With("job", aJob.mRecord.mJob)
    .With("task", aStatus.mFailedTask)
    .With("worker", worker)
    .With("ran_ms", ran)
    .With("error", aStatus.mError);
}

template<kv::KeyValueStore S, workers::WorkerApi A>
void
JobCoordinator<S, A>::ResumeStart(ManagedJob& aJob, const GangStatus& aStatus)
{
  for (std::size_t i = 0; i < aStatus.mTasks.size(); ++i) {
    if (aStatus.mTasks[i] != TaskStatus::Reserved) {
      continue;
    }
    mApi.Start(aJob.mRecord.mPlacements[i].mAddress, TaskLeaseId(aJob.mRecord, static_cast<int>(i)),
               mFence, mTimes.mGang.mRunningTtl,
               InTerm([this](std::error_code aError) { CheckFenced(aError); }));
  }
}

template<kv::KeyValueStore S, workers::WorkerApi A>
void
JobCoordinator<S, A>::StopGang(ManagedJob& aJob, StopReason aReason, Duration aDeadline)
{
  aJob.mPhase = JobPhase::Stopping;
  aJob.mStopReason = aReason;
  const bool checkpoint = aJob.mRecord.mSpec.mIdempotent && aDeadline.count() > 0;
  LogEvent("gang_stop")
    .With("job", aJob.mRecord.mJob)
    .With("attempt", aJob.mRecord.mAttempt)
    .With("reason", StopReasonName(aReason))
    .With("deadline_ms", aDeadline);
  for (std::size_t i = 0; i < aJob.mRecord.mPlacements.size(); ++i) {
    mApi.Stop(aJob.mRecord.mPlacements[i].mAddress, TaskLeaseId(aJob.mRecord, static_cast<int>(i)),
              mFence, aDeadline, checkpoint,
              InTerm([this](std::error_code aError) { CheckFenced(aError); }));
  }
  mLoop.Post(InTerm([this, id = aJob.mRecord.mJob] {
    if (auto* job = Find(id); job && job->mPhase == JobPhase::Stopping) {
      CheckGang(*job);
    }
  }));
}

template<kv::KeyValueStore S, workers::WorkerApi A>
void
JobCoordinator<S, A>::EndAttempt(ManagedJob& aJob)
{
  const auto reason = aJob.mStopReason;
  const bool idempotent = aJob.mRecord.mSpec.mIdempotent;
  if (aJob.mRecord.mCancelRequested || reason == StopReason::Cancelled) {
    End(aJob, JobState::Cancelled, Ran::Partly, "cancelled by the caller");
  } else if (idempotent) {
    Requeue(aJob, Ran::Partly);
  } else if (reason == StopReason::TaskFailed) {
    End(aJob, JobState::Failed, Ran::Partly, aJob.mError);
  } else {
    End(aJob, JobState::Interrupted, Ran::Partly, StopReasonName(reason));
  }
}

} // namespace lovagerock::jobs
