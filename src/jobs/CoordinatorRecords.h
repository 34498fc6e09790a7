#pragma once

// JobCoordinator: reading, adopting and writing job records.

#include "jobs/JobCoordinator.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <iterator>
#include <string>
#include <utility>
#include <vector>

namespace lovagerock::jobs {

template<kv::KeyValueStore S, workers::WorkerApi A>
ManagedJob*
JobCoordinator<S, A>::Find(const JobId& aJob)
{
  const auto it = mJobs.find(aJob);
  return it == mJobs.end() ? nullptr : &it->second;
}

template<kv::KeyValueStore S, workers::WorkerApi A>
void
JobCoordinator<S, A>::LoadRecords()
{
  mJobStore.ListLive(InTerm([this](std::error_code aError, const std::vector<Record>& aRecords) {
    if (aError) {
      LogEvent("job_list_failed", LogLevel::Warning).With("reason", aError.message());
      RetryLater([this] { LoadRecords(); });
      return;
    }
    mRetries.OnSuccess();
    mListing = false;
    mRecordsLoaded = true;
    for (const auto& it : aRecords) {
      if (!Find(it.mJob)) {
        Adopt(it);
      }
    }
    for (const auto& [id, view] : mViews) {
      CheckLeases(view);
    }
    SchedulePlan();
  }));
}

template<kv::KeyValueStore S, workers::WorkerApi A>
void
JobCoordinator<S, A>::Relist()
{
  // Otherwise each period of an outage would queue one more listing for a retry.
  if (std::exchange(mListing, true)) {
    return;
  }
  mJobStore.ListLiveIds(InTerm([this](std::error_code aError, const std::vector<JobId>& aListed) {
    if (aError) {
      LogEvent("job_list_failed", LogLevel::Warning).With("reason", aError.message());
      RetryLater([this] {
        mListing = false;
        Relist();
      });
      return;
    }
    mListing = false;
    mRetries.OnSuccess();
    LoadUnknown(aListed);
  }));
}

template<kv::KeyValueStore S, workers::WorkerApi A>
void
JobCoordinator<S, A>::LoadUnknown(const std::vector<JobId>& aListed)
{
  std::vector<JobId> unknown;
  std::copy_if(aListed.begin(), aListed.end(), std::back_inserter(unknown),
               [this](const JobId& aJob) { return !Find(aJob); });
  // Above this number, single reads cost the key-value service more than one listing.
  constexpr std::size_t kMaxReads = 32;
  if (unknown.size() > kMaxReads) {
    mListing = true;
    LoadRecords();
    return;
  }
  for (const auto& it : unknown) {
    Reload(it);
  }
}

template<kv::KeyValueStore S, workers::WorkerApi A>
void
JobCoordinator<S, A>::Reload(const JobId& aJob)
{
  mJobStore.Load(aJob, InTerm([this, aJob](std::error_code aError, const Record& aRecord) {
                   auto* job = Find(aJob);
                   if (aError == make_error_code(JobError::BadRecord) && !job) {
                     // Skipped as in a listing; the next listing reports the id again.
                     return;
                   }
                   if (aError && aError != make_error_code(JobError::NotFound)) {
                     RetryLater([this, aJob] { Reload(aJob); });
                     return;
                   }
                   mRetries.OnSuccess();
                   if (aError || aRecord.IsDone()) {
                     ForgetJob(aJob);
                   } else if (!job || job->mPhase == JobPhase::Writing ||
                              job->mRecord.mStartToken != aRecord.mStartToken) {
                     Adopt(aRecord);
                   } else {
                     job->mRecord.mCancelRequested = aRecord.mCancelRequested;
                     job->mRecord.mModifyIndex = aRecord.mModifyIndex;
                     CheckCancel(*job);
                   }
                 }));
}

template<kv::KeyValueStore S, workers::WorkerApi A>
void
JobCoordinator<S, A>::RetryLater(std::function<void()> aTask)
{
  mRetries.Add(InTerm(std::move(aTask)));
}

template<kv::KeyValueStore S, workers::WorkerApi A>
void
JobCoordinator<S, A>::Adopt(const Record& aRecord)
{
  auto& job = mJobs[aRecord.mJob];
  const auto queuedAt = job.mQueuedAt == TimePoint() ? QueuedAt(aRecord) : job.mQueuedAt;
  job = {};
  SetRecord(job, aRecord);
  job.mQueuedAt = queuedAt;
  job.mStartedAt = Now();
  job.mObservation.mSince = Now();
  job.mReclaimable = aRecord.mSpec.mIdempotent;
  job.mAnswers.resize(static_cast<std::size_t>(aRecord.mSpec.mTasks));
  if (aRecord.mState == JobState::Started) {
    job.mPhase = JobPhase::Running;
    LogEvent("job_adopted")
      .With("job", aRecord.mJob)
      .With("attempt", aRecord.mAttempt)
      .With("tasks", aRecord.mPlacements.size());
  }
  if (mUnsentStarts.erase(aRecord.mStartToken) > 0 && aRecord.mState == JobState::Started) {
    // The commit took effect although its response was lost, and no start was sent to a worker.
    job.mStopReason = StopReason::StartFailed;
    Requeue(job, Ran::No);
    return;
  }
  CheckCancel(job);
  if (auto* it = Find(aRecord.mJob); it && it->mPhase == JobPhase::Running) {
    CheckGang(*it);
  }
  SchedulePlan();
}

template<kv::KeyValueStore S, workers::WorkerApi A>
TimePoint
JobCoordinator<S, A>::QueuedAt(const Record& aRecord)
{
  using std::chrono::duration_cast;
  using std::chrono::system_clock;
  const auto wall = duration_cast<Duration>(system_clock::now().time_since_epoch()).count();
  return Now() - Duration(std::max<std::int64_t>(0, wall - aRecord.mSubmittedMs));
}

template<kv::KeyValueStore S, workers::WorkerApi A>
void
JobCoordinator<S, A>::ForgetJob(const JobId& aJob)
{
  if (auto* job = Find(aJob)) {
    mAttempts.Release(job->mRecord);
    EraseJob(aJob);
    SchedulePlan();
  }
}

template<kv::KeyValueStore S, workers::WorkerApi A>
void
JobCoordinator<S, A>::SetRecord(ManagedJob& aJob, Record aRecord)
{
  mWorkerJobs.Set(aRecord.mJob, aRecord.mPlacements);
  aJob.mRecord = std::move(aRecord);
}

template<kv::KeyValueStore S, workers::WorkerApi A>
void
JobCoordinator<S, A>::EraseJob(const JobId& aJob)
{
  mWorkerJobs.Remove(aJob);
  mJobs.erase(aJob);
}

template<kv::KeyValueStore S, workers::WorkerApi A>
void
JobCoordinator<S, A>::CheckCancel(ManagedJob& aJob)
{
  if (!aJob.mRecord.mCancelRequested) {
    return;
  }
  if (aJob.mPhase == JobPhase::Queued) {
    End(aJob, JobState::Cancelled, Ran::No, "cancelled by the caller");
  } else if (aJob.mPhase == JobPhase::Running) {
    StopGang(aJob, StopReason::Cancelled, mTimes.mReclaimDeadline);
  }
  // OnGangStart() checks a start in progress again once it has ended.
}

template<kv::KeyValueStore S, workers::WorkerApi A>
void
JobCoordinator<S, A>::Requeue(ManagedJob& aJob, Ran aRan)
{
  LogEvent("job_requeued")
    .With("job", aJob.mRecord.mJob)
    .With("attempt", aJob.mRecord.mAttempt)
    .With("reason", StopReasonName(aJob.mStopReason));
  auto record = aJob.mRecord;
  record.mState = JobState::Pending;
  record.mRan = aRan;
  record.mPlacements.clear();
  record.mAnswers.clear();
  aJob.mPhase = JobPhase::Writing;
  mJobStore.Update(
    record, InTerm([this, old = aJob.mRecord](std::error_code aError, const Record& aWritten) {
      OnWritten(old, aError, [this, old, aWritten] {
        mAttempts.Release(old);
        Adopt(aWritten);
      });
    }));
}

template<kv::KeyValueStore S, workers::WorkerApi A>
void
JobCoordinator<S, A>::End(ManagedJob& aJob, JobState aState, Ran aRan, const std::string& aError)
{
  auto record = aJob.mRecord;
  record.mState = aState;
  record.mRan = aRan;
  record.mError = aError;
  record.mEndedMs =
    std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch())
      .count();
  aJob.mPhase = JobPhase::Writing;
  mJobStore.MoveToDone(
    record, InTerm([this, old = aJob.mRecord, record](std::error_code aError2, const Record&) {
      OnWritten(old, aError2, [this, old, record] {
        LogEvent("job_done")
          .With("job", record.mJob)
          .With("account", record.mAccount)
          .With("attempt", record.mAttempt)
          .With("state", JobStateName(record.mState))
          .With("ran", RanName(record.mRan))
          .With("error", record.mError)
          .With("total_ms", record.mEndedMs - record.mSubmittedMs);
        // The workers keep the answers until the record is stored, so that an outage of the store
        // loses none.
        mAttempts.Release(old);
        EraseJob(old.mJob);
        SchedulePlan();
      });
    }));
}

template<kv::KeyValueStore S, workers::WorkerApi A>
void
JobCoordinator<S, A>::OnWritten(const Record& aOld, std::error_code aError,
                                const std::function<void()>& aNext)
{
  if (!aError) {
    mRetries.OnSuccess();
    aNext();
    return;
  }
  LogEvent("job_write_failed", LogLevel::Warning)
    .With("job", aOld.mJob)
    .With("reason", aError.message());
  RetryLater([this, job = aOld.mJob] { Reload(job); });
}

template<kv::KeyValueStore S, workers::WorkerApi A>
void
JobCoordinator<S, A>::CheckOrphans(const workers::WorkerView& aView)
{
  const auto isManaged = [this](const workers::LeaseState& aLease) {
    const auto* job = Find(aLease.mJob);
    return job && (job->mPhase == JobPhase::Writing ||
                   TaskLeaseId(job->mRecord, aLease.mTask) == aLease.mLease);
  };
  mAttempts.Check(aView, isManaged, [this](const std::string& aPrefix, const JobId& aJob) {
    // Read the record, because it may be newer than the copy from the last listing.
    CheckAttempt(aPrefix, aJob);
  });
}

template<kv::KeyValueStore S, workers::WorkerApi A>
void
JobCoordinator<S, A>::CheckAttempt(const std::string& aPrefix, const JobId& aJob)
{
  mJobStore.Load(aJob, InTerm([this, aPrefix](std::error_code aError, const Record& aRecord) {
                   mAttempts.EndCheck(aPrefix);
                   if (aError && aError != make_error_code(JobError::NotFound)) {
                     return;
                   }
                   const bool live = !aError && !aRecord.IsDone();
                   if (live && mAttempts.Prefix(TaskLeaseId(aRecord, 0)) == aPrefix) {
                     AdoptCommitted(aRecord);
                   } else if (live && aRecord.mState == JobState::Pending) {
                     FenceRecord(aPrefix, aRecord);
                   } else {
                     ReleaseOrphan(aPrefix);
                   }
                 }));
}

template<kv::KeyValueStore S, workers::WorkerApi A>
void
JobCoordinator<S, A>::AdoptCommitted(const Record& aRecord)
{
  const auto* job = Find(aRecord.mJob);
  // A start in progress here fails with a conflict, after which the record is read again.
  if (!job || job->mPhase == JobPhase::Queued) {
    Adopt(aRecord);
  }
}

template<kv::KeyValueStore S, workers::WorkerApi A>
void
JobCoordinator<S, A>::FenceRecord(const std::string& aPrefix, const Record& aRecord)
{
  auto* job = Find(aRecord.mJob);
  if (job && job->mPhase != JobPhase::Queued) {
    // This planner's own write of the record has the same effect: the other commit will fail.
    return;
  }
  if (job) {
    job->mPhase = JobPhase::Writing;
  }
  mJobStore.Update(aRecord, InTerm([this, aPrefix](std::error_code aError, const Record& aWritten) {
                     if (aError) {
                       Reload(aWritten.mJob);
                       return;
                     }
                     ReleaseOrphan(aPrefix);
                     Adopt(aWritten);
                   }));
}

template<kv::KeyValueStore S, workers::WorkerApi A>
void
JobCoordinator<S, A>::ReleaseOrphan(const std::string& aPrefix)
{
  LogEvent("attempt_orphaned").With("leases", aPrefix);
  mAttempts.ReleaseReported(aPrefix);
}

} // namespace lovagerock::jobs
