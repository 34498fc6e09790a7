#pragma once

#include "base/EventLoop.h"
#include "base/LogEvent.h"
#include "base/Random.h"
#include "jobs/AnswerStore.h"
#include "jobs/GangStart.h"
#include "jobs/JobStore.h"
#include "jobs/PlanThread.h"
#include "jobs/ServiceLeases.h"
#include "jobs/SnapshotBuilder.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace lovagerock::jobs {

// Times of the coordinator.
struct CoordinatorTimes
{
  GangTimes mGang;
  // Running leases are renewed this often.
  Duration mRenewPeriod{ 20000 };
  // A borrower must have stopped after this time, checkpoint included.
  Duration mReclaimDeadline{ 2000 };
  // Changes within this time lead to one plan.
  Duration mPlanDelay{ 20 };
  // A plan is made at least this often, because some rules depend on time alone.
  Duration mPlanPeriod{ 1000 };
  // All records are read again this often, in case a notification was lost.
  Duration mRelistPeriod{ 60000 };
  Duration mStoreRetry{ 1000 };
  // A job isn't planned again for this time after a start that was not possible.
  Duration mStartRetry{ 200 };
};

// Drives all jobs and service replicas of a region while this node is the region's planner: reads
// the records, plans, starts gangs, renews leases, stops gangs whole, and stores answers. What it
// knows comes from the key-value service and the workers, so that any node can take over.
// Belongs to its loop.
template<kv::KeyValueStore Store, workers::WorkerApi Api>
class JobCoordinator
{
public:
  JobCoordinator(EventLoop& aLoop, Api& aApi, JobStore<Store>& aJobStore,
                 AnswerStore<Store>& aAnswers, Random& aRandom, NodeId aNode,
                 const CoordinatorTimes& aTimes = {})
    : mLoop(aLoop)
    , mApi(aApi)
    , mJobStore(aJobStore)
    , mAnswerStore(aAnswers)
    , mRandom(aRandom)
    , mTimes(aTimes)
    , mServices(aApi, aRandom)
    , mPlanThread(aLoop)
  {
    mFence.mNode = std::move(aNode);
  }

  // Takes over the planner role with an epoch above all that the workers have seen.
  void Activate()
  {
    if (mActive) {
      return;
    }
    mActive = true;
    mRecordsLoaded = false;
    ++mTerm;
    for (const auto& [id, view] : mViews) {
      if (view.mState) {
        mFence.mEpoch = std::max(mFence.mEpoch, view.mState->mFence.mEpoch);
      }
    }
    ++mFence.mEpoch;
    LogEvent("planner_active").With("epoch", mFence.mEpoch).With("workers", mViews.size());
    RenewLeases();
    mRenewTimer = mLoop.Every(mTimes.mRenewPeriod, [this] { RenewLeases(); });
    mRelistTimer = mLoop.Every(mTimes.mRelistPeriod, [this] { LoadRecords(); });
    mPlanTimer = mLoop.Every(mTimes.mPlanPeriod, [this] { OnTick(); });
    LoadRecords();
  }

  // Gives up the planner role. Running tasks go on under their leases.
  void Deactivate(const char* aReason)
  {
    if (!mActive) {
      return;
    }
    mActive = false;
    ++mTerm;
    mRenewTimer.Cancel();
    mRelistTimer.Cancel();
    mPlanTimer.Cancel();
    mPlanSoon.Cancel();
    mRetryTimer.Cancel();
    mRetries.clear();
    mAttemptChecks.clear();
    mReleased.clear();
    mJobs.clear();
    mState = {};
    LogEvent("planner_inactive").With("epoch", mFence.mEpoch).With("reason", aReason);
  }

  bool IsActive() const { return mActive; }
  // Called after a worker refused this node's fence and the role was given up.
  void OnFenced(std::function<void()> aCallback) { mOnFenced = std::move(aCallback); }

  void SetPolicy(PolicyInput aPolicy)
  {
    mPolicy = std::move(aPolicy);
    PlanSoon();
  }

  // Whether all listed workers were heard, so that a lack of capacity is real.
  void SetComplete(bool aComplete) { mComplete = aComplete; }

  void OnWorkerChange(const workers::WorkerChange& aChange)
  {
    const auto& view = aChange.mView;
    if (!view.mState) {
      return;
    }
    const auto id = view.mState->mWorker;
    mViews[id] = view;
    if (aChange.mKind == workers::WorkerChange::Kind::Removed) {
      mViews[id].mSuspected = true;
    }
    if (!mActive) {
      return;
    }
    if (mFence < view.mState->mFence) {
      StepDown();
      return;
    }
    mServices.Clean(view, mFence);
    CheckLeases(view);
    PlanSoon();
  }

  // Reads a job's record again after a submission or a cancellation.
  void OnJobChanged(const JobId& aJob)
  {
    if (!mActive) {
      return;
    }
    const auto it = mJobs.find(aJob);
    if (it != mJobs.end() && it->second.mPhase == JobPhase::Writing) {
      // The write in progress will conflict, and the record is read then.
      return;
    }
    Reload(aJob);
  }

  const ManagedJobs& Jobs() const { return mJobs; }
  const WorkerViews& Views() const { return mViews; }
  const workers::Fence& GetFence() const { return mFence; }
  const placement::Plan& LastPlan() const { return mLastPlan; }

private:
  using Record = JobRecord;

  // Wraps a callback so that it does nothing once the planner role has changed.
  template<typename Function>
  auto InTerm(Function aFunction)
  {
    return [this, term = mTerm, function = std::move(aFunction)](auto&&... aArguments) {
      if (mActive && term == mTerm) {
        function(std::forward<decltype(aArguments)>(aArguments)...);
      }
    };
  }

  ManagedJob* Find(const JobId& aJob)
  {
    const auto it = mJobs.find(aJob);
    return it == mJobs.end() ? nullptr : &it->second;
  }

  static TimePoint Now() { return std::chrono::steady_clock::now(); }

  void StepDown()
  {
    Deactivate("fenced");
    if (mOnFenced) {
      mLoop.Post([callback = mOnFenced] { callback(); });
    }
  }

  // Whether the error says that a newer planner commands the worker; steps down then.
  bool CheckFenced(std::error_code aError)
  {
    if (aError != make_error_code(workers::WorkerError::Fenced)) {
      return false;
    }
    StepDown();
    return true;
  }

  // --- records

  void LoadRecords()
  {
    mJobStore.ListLive(InTerm([this](std::error_code aError, const std::vector<Record>& aRecords) {
      if (aError) {
        LogEvent("job_list_failed", LogLevel::Warning).With("reason", aError.message());
        RetryLater([this] { LoadRecords(); });
        return;
      }
      mRecordsLoaded = true;
      for (const auto& it : aRecords) {
        if (!Find(it.mJob)) {
          Adopt(it);
        }
      }
      for (const auto& [id, view] : mViews) {
        CheckLeases(view);
      }
      PlanSoon();
    }));
  }

  void Reload(const JobId& aJob)
  {
    mJobStore.Load(aJob, InTerm([this, aJob](std::error_code aError, const Record& aRecord) {
                     auto* job = Find(aJob);
                     if (aError && aError != make_error_code(JobError::NotFound)) {
                       RetryLater([this, aJob] { Reload(aJob); });
                     } else if (aError || aRecord.IsDone()) {
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

  void RetryLater(std::function<void()> aTask)
  {
    mRetries.push_back(InTerm(std::move(aTask)));
    if (!mRetryTimer.IsPending()) {
      mRetryTimer = mLoop.After(mRandom.Jitter(mTimes.mStoreRetry), [this] {
        for (const auto& it : std::exchange(mRetries, {})) {
          it();
        }
      });
    }
  }

  // Takes a record as the store has it.
  void Adopt(const Record& aRecord)
  {
    auto& job = mJobs[aRecord.mJob];
    const auto queuedAt = job.mQueuedAt == TimePoint() ? QueuedAt(aRecord) : job.mQueuedAt;
    job = {};
    job.mRecord = aRecord;
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
      // The commit took effect although its answer was lost, and no start was sent.
      job.mStopReason = StopReason::StartFailed;
      Requeue(job, Ran::No);
      return;
    }
    CheckCancel(job);
    if (auto* it = Find(aRecord.mJob); it && it->mPhase == JobPhase::Running) {
      CheckGang(*it);
    }
    PlanSoon();
  }

  static TimePoint QueuedAt(const Record& aRecord)
  {
    using std::chrono::duration_cast;
    using std::chrono::system_clock;
    const auto wall = duration_cast<Duration>(system_clock::now().time_since_epoch()).count();
    return Now() - Duration(std::max<std::int64_t>(0, wall - aRecord.mSubmittedMs));
  }

  void ForgetJob(const JobId& aJob)
  {
    if (auto* job = Find(aJob)) {
      ReleaseLeases(job->mRecord);
      mJobs.erase(aJob);
      PlanSoon();
    }
  }

  void CheckCancel(ManagedJob& aJob)
  {
    if (!aJob.mRecord.mCancelRequested) {
      return;
    }
    if (aJob.mPhase == JobPhase::Queued) {
      End(aJob, JobState::Cancelled, Ran::No, "cancelled by the caller");
    } else if (aJob.mPhase == JobPhase::Running) {
      StopGang(aJob, StopReason::Cancelled, mTimes.mReclaimDeadline);
    }
    // A start in progress is looked at again when it ends.
  }

  // --- gangs

  GangLimits Limits() const
  {
    // Allows for the difference between the last answer heard and the last renewal.
    return { mTimes.mGang.mStartTtl, mTimes.mGang.mRunningTtl + mTimes.mRenewPeriod };
  }

  void StartGang(const placement::GangStart& aStart)
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
    job->mRecord = record;
    job->mReclaimable = aStart.mReclaimable;
    job->mPhase = JobPhase::Starting;
    job->mStartedAt = Now();
    LogStart(aStart, *job);
    auto start = std::make_shared<GangStart<Store, Api>>(
      mLoop, mApi, mJobStore, record, mFence, mTimes.mGang,
      InTerm([this](GangOutcome aOutcome, Record aRecord, const std::vector<WorkerId>&) {
        OnGangStart(aOutcome, std::move(aRecord));
      }));
    start->Run();
  }

  void LogStart(const placement::GangStart& aStart, const ManagedJob& aJob) const
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

  void OnGangStart(GangOutcome aOutcome, Record aRecord)
  {
    auto* job = Find(aRecord.mJob);
    if (!job) {
      return;
    }
    switch (aOutcome) {
      case GangOutcome::Started:
        job->mRecord = std::move(aRecord);
        job->mPhase = JobPhase::Running;
        job->mStartedAt = Now();
        job->mObservation = { Now(), {} };
        job->mAnswers.assign(job->mRecord.mPlacements.size(), std::nullopt);
        RenewGang(job->mRecord);
        CheckCancel(*job);
        break;
      case GangOutcome::NotReserved:
        job->mPhase = JobPhase::Queued;
        job->mNotBefore = Now() + mRandom.Jitter(2 * mTimes.mStartRetry);
        CheckCancel(*job);
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
        job->mRecord = std::move(aRecord);
        job->mPhase = JobPhase::Running;
        job->mObservation = { Now(), {} };
        StopGang(*job, StopReason::StartFailed, Duration(0));
        break;
    }
    PlanSoon();
  }

  // Looks at every job that has a lease on the worker, and at leases without a job.
  void CheckLeases(const workers::WorkerView& aView)
  {
    std::set<JobId> jobs;
    for (const auto& [id, job] : mJobs) {
      const bool running = job.mPhase == JobPhase::Running || job.mPhase == JobPhase::Stopping;
      const auto& placements = job.mRecord.mPlacements;
      const bool here = std::any_of(placements.begin(), placements.end(), [&](const auto& aPlace) {
        return aPlace.mWorker == aView.mState->mWorker;
      });
      if (running && here) {
        jobs.insert(id);
      }
    }
    for (const auto& it : jobs) {
      if (auto* job = Find(it)) {
        CheckGang(*job);
      }
    }
    if (mRecordsLoaded) {
      CheckOrphans(aView);
    }
  }

  void CheckOrphans(const workers::WorkerView& aView)
  {
    std::map<std::string, JobId> attempts;
    for (const auto& it : aView.mState->mLeases) {
      const auto* job = Find(it.mJob);
      const bool managed =
        job && (job->mPhase == JobPhase::Writing || TaskLease(job->mRecord, it.mTask) == it.mLease);
      if (it.mKind == workers::LeaseKind::Job && !managed) {
        attempts.emplace(AttemptPrefix(it.mLease), it.mJob);
      }
    }
    for (const auto& [prefix, job] : attempts) {
      const auto released = mReleased.find(prefix);
      if (released == mReleased.end()) {
        // The record decides, because it may be newer than the list that was read.
        CheckAttempt(prefix, job);
      } else if (Now() - released->second > kReleaseRetry) {
        ReleaseAttempt(prefix);
      }
    }
  }

  // A release that was lost is repeated after this time.
  static constexpr Duration kReleaseRetry{ 2000 };
  static constexpr Duration kKeepReleased{ 60000 };

  // The part of a task's lease id that all tasks of its attempt share.
  static std::string AttemptPrefix(const LeaseId& aLease)
  {
    return aLease.Value().substr(0, aLease.Value().rfind('.') + 1);
  }

  void CheckAttempt(const std::string& aPrefix, const JobId& aJob)
  {
    if (!mAttemptChecks.insert(aPrefix).second) {
      return;
    }
    mJobStore.Load(aJob, InTerm([this, aPrefix](std::error_code aError, const Record& aRecord) {
                     mAttemptChecks.erase(aPrefix);
                     if (aError && aError != make_error_code(JobError::NotFound)) {
                       return;
                     }
                     const bool known = !aError && !aRecord.IsDone() &&
                                        AttemptPrefix(TaskLease(aRecord, 0)) == aPrefix;
                     if (!known) {
                       LogEvent("attempt_orphaned").With("leases", aPrefix);
                       ReleaseAttempt(aPrefix);
                     } else if (!Find(aRecord.mJob)) {
                       Adopt(aRecord);
                     }
                   }));
  }

  // Releases all leases of an attempt, wherever they are seen.
  void ReleaseAttempt(const std::string& aPrefix)
  {
    mReleased[aPrefix] = Now();
    for (const auto& [id, view] : mViews) {
      if (!view.mState) {
        continue;
      }
      for (const auto& it : view.mState->mLeases) {
        if (it.mLease.Value().starts_with(aPrefix)) {
          mApi.Release(view.mAddress, it.mLease, mFence, [](std::error_code) {});
        }
      }
    }
  }

  void CheckGang(ManagedJob& aJob)
  {
    const auto status = ReadGangStatus(aJob.mRecord, mViews, aJob.mObservation, Limits(), Now());
    if (aJob.mPhase == JobPhase::Stopping) {
      if (status.HasEnded()) {
        aJob.mRecord.mCheckpoints = status.mCheckpoints;
        EndAttempt(aJob);
      }
      return;
    }
    if (aJob.mPhase != JobPhase::Running) {
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

  void RecordFailure(ManagedJob& aJob, const GangStatus& aStatus)
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

  // Completes a start that a former planner committed but did not finish.
  void ResumeStart(ManagedJob& aJob, const GangStatus& aStatus)
  {
    for (std::size_t i = 0; i < aStatus.mTasks.size(); ++i) {
      if (aStatus.mTasks[i] != TaskStatus::Reserved) {
        continue;
      }
      mApi.Start(aJob.mRecord.mPlacements[i].mAddress, TaskLease(aJob.mRecord, static_cast<int>(i)),
                 mFence, mTimes.mGang.mRunningTtl,
                 InTerm([this](std::error_code aError) { CheckFenced(aError); }));
    }
  }

  // Stops every task of the gang; EndAttempt() follows once all have ended.
  void StopGang(ManagedJob& aJob, StopReason aReason, Duration aDeadline)
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
      mApi.Stop(aJob.mRecord.mPlacements[i].mAddress, TaskLease(aJob.mRecord, static_cast<int>(i)),
                mFence, aDeadline, checkpoint,
                InTerm([this](std::error_code aError) { CheckFenced(aError); }));
    }
    mLoop.Post(InTerm([this, id = aJob.mRecord.mJob] {
      if (auto* job = Find(id); job && job->mPhase == JobPhase::Stopping) {
        CheckGang(*job);
      }
    }));
  }

  // All tasks have ended without a whole answer.
  void EndAttempt(ManagedJob& aJob)
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

  void Requeue(ManagedJob& aJob, Ran aRan)
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
          ReleaseLeases(old);
          Adopt(aWritten);
        });
      }));
  }

  void End(ManagedJob& aJob, JobState aState, Ran aRan, const std::string& aError)
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
          // The worker keeps its answer until here, so that an outage of the store loses none.
          ReleaseLeases(old);
          mJobs.erase(old.mJob);
          PlanSoon();
        });
      }));
  }

  // Goes on after a write, or reads the record again if it could not be written.
  void OnWritten(const Record& aOld, std::error_code aError, const std::function<void()>& aNext)
  {
    if (!aError) {
      aNext();
      return;
    }
    LogEvent("job_write_failed", LogLevel::Warning)
      .With("job", aOld.mJob)
      .With("reason", aError.message());
    RetryLater([this, job = aOld.mJob] { Reload(job); });
  }

  void ReleaseLeases(const Record& aRecord)
  {
    if (aRecord.mPlacements.empty()) {
      return;
    }
    mReleased[AttemptPrefix(TaskLease(aRecord, 0))] = Now();
    for (std::size_t i = 0; i < aRecord.mPlacements.size(); ++i) {
      mApi.Release(aRecord.mPlacements[i].mAddress, TaskLease(aRecord, static_cast<int>(i)), mFence,
                   [](std::error_code) {});
    }
  }

  // --- answers

  // Stores the answers of finished tasks one after the other, and ends the job after the last.
  void CollectAnswers(ManagedJob& aJob, const GangStatus& aStatus)
  {
    if (aJob.mCollecting) {
      return;
    }
    for (std::size_t i = 0; i < aStatus.mTasks.size(); ++i) {
      if (aStatus.mTasks[i] == TaskStatus::Finished && !aJob.mAnswers[i]) {
        aJob.mCollecting = true;
        FetchAnswer(aJob.mRecord, i);
        return;
      }
    }
    const bool complete = std::all_of(aJob.mAnswers.begin(), aJob.mAnswers.end(),
                                      [](const auto& aAnswer) { return aAnswer.has_value(); });
    if (!complete || aJob.mAnswers.empty()) {
      return;
    }
    aJob.mRecord.mAnswers.clear();
    for (const auto& it : aJob.mAnswers) {
      aJob.mRecord.mAnswers.push_back(*it);
    }
    for (const auto& it : aJob.mRecord.mPlacements) {
      mSuccesses.push_back(it.mWorker);
    }
    End(aJob, JobState::Finished, Ran::Yes, "");
  }

  void FetchAnswer(const Record& aRecord, std::size_t aTask)
  {
    mApi.FetchAnswer(
      aRecord.mPlacements[aTask].mAddress, TaskLease(aRecord, static_cast<int>(aTask)),
      InTerm([this, aRecord, aTask](std::error_code aError, std::string aAnswer) {
        if (aError) {
          OnCollected(aRecord, aTask, aError, {});
          return;
        }
        mAnswerStore.Write(
          aRecord.mJob, aRecord.mAttempt, static_cast<int>(aTask), std::move(aAnswer),
          InTerm([this, aRecord, aTask](std::error_code aError2, const AnswerInfo& aInfo) {
            OnCollected(aRecord, aTask, aError2, aInfo);
          }));
      }));
  }

  void OnCollected(const Record& aRecord, std::size_t aTask, std::error_code aError,
                   const AnswerInfo& aInfo)
  {
    auto* job = Find(aRecord.mJob);
    if (!job || job->mRecord.mStartToken != aRecord.mStartToken) {
      return;
    }
    if (aError) {
      LogEvent("answer_not_stored", LogLevel::Warning)
        .With("job", aRecord.mJob)
        .With("task", aTask)
        .With("reason", aError.message());
      RetryLater([this, id = aRecord.mJob, token = aRecord.mStartToken] {
        if (auto* it = Find(id); it && it->mRecord.mStartToken == token) {
          it->mCollecting = false;
          CheckGang(*it);
        }
      });
      return;
    }
    job->mCollecting = false;
    job->mAnswers[aTask] = aInfo;
    CheckGang(*job);
  }

  // --- leases

  void RenewGang(const Record& aRecord)
  {
    std::map<SocketAddress, std::vector<LeaseId>> leases;
    for (std::size_t i = 0; i < aRecord.mPlacements.size(); ++i) {
      leases[aRecord.mPlacements[i].mAddress].push_back(TaskLease(aRecord, static_cast<int>(i)));
    }
    for (const auto& [address, ids] : leases) {
      Renew(address, ids);
    }
  }

  // Renews one worker's leases in one call. It also makes a new fence known to all workers.
  void RenewLeases()
  {
    for (const auto& [id, view] : mViews) {
      if (view.mState) {
        Renew(view.mAddress, LeasesToRenew(*view.mState));
      }
    }
  }

  std::vector<LeaseId> LeasesToRenew(const workers::WorkerState& aState)
  {
    std::vector<LeaseId> leases;
    for (const auto& it : aState.mLeases) {
      if (it.mPhase != workers::LeasePhase::Running) {
        continue;
      }
      const auto* job = Find(it.mJob);
      // Before the records are known, every running task may be a wanted one.
      const bool wanted =
        it.mKind == workers::LeaseKind::Service || !mRecordsLoaded ||
        (job && job->mPhase == JobPhase::Running && TaskLease(job->mRecord, it.mTask) == it.mLease);
      if (wanted) {
        leases.push_back(it.mLease);
      }
    }
    return leases;
  }

  void Renew(const SocketAddress& aWorker, const std::vector<LeaseId>& aLeases)
  {
    mApi.Renew(
      aWorker, mFence, mTimes.mGang.mRunningTtl, aLeases,
      InTerm([this](std::error_code aError, const std::vector<LeaseId>&) { CheckFenced(aError); }));
  }

  // --- plans

  void OnTick()
  {
    std::erase_if(
      mReleased, [now = Now()](const auto& aEntry) { return now - aEntry.second > kKeepReleased; });
    // Some conditions depend on time alone, such as a silent worker's lease that has lapsed.
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
    PlanSoon();
  }

  void PlanSoon()
  {
    if (mActive && !mPlanSoon.IsPending()) {
      mPlanSoon = mLoop.After(mTimes.mPlanDelay, [this] { MakePlan(); });
    }
  }

  void MakePlan()
  {
    if (!mActive || !mRecordsLoaded || mPlanThread.IsBusy()) {
      return;
    }
    const auto now = Now();
    for (const auto& it : mFailures) {
      mState.RecordFailure(it.mWorker, it.mJob, it.mRan, now);
    }
    for (const auto& it : mSuccesses) {
      mState.RecordSuccess(it);
    }
    mFailures.clear();
    mSuccesses.clear();
    mPlanThread.Compute(
      BuildSnapshot(mPolicy, mViews, mJobs, mComplete, now), std::move(mState),
      [this, term = mTerm](placement::Plan aPlan, placement::PlannerState aState) {
        if (!mActive || term != mTerm) {
          return;
        }
        mState = std::move(aState);
        Execute(aPlan);
        mLastPlan = std::move(aPlan);
      });
    mState = {};
  }

  void Execute(const placement::Plan& aPlan)
  {
    for (const auto& it : aPlan.mReclaims) {
      Reclaim(it);
    }
    for (const auto& it : aPlan.mReleases) {
      ReleaseService(it.mLease, ReleaseDeadline());
    }
    for (const auto& it : aPlan.mStarts) {
      StartGang(it);
    }
    for (const auto& it : aPlan.mGrants) {
      GrantService(it);
    }
    for (const auto& it : aPlan.mRefused) {
      if (auto* job = Find(it.mJob); job && job->mPhase == JobPhase::Queued) {
        const auto ran = job->mRecord.mAttempt > 0 ? Ran::Partly : Ran::No;
        const std::string name(placement::RefusalReasonName(it.mReason));
        End(*job, JobState::Failed, ran, name + ": " + it.mDetail + Cause(*job));
      }
    }
    for (const auto& it : aPlan.mWaiting) {
      NoteWaiting(it);
    }
  }

  static std::string Cause(const ManagedJob& aJob)
  {
    return aJob.mError.empty() ? std::string() : " (last error: " + aJob.mError + ")";
  }

  void NoteWaiting(const placement::WaitingJob& aWaiting)
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

  void Reclaim(const placement::Reclaim& aReclaim)
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

  void ReleaseService(const LeaseId& aLease, Duration aDeadline)
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

  void GrantService(const placement::ServiceGrant& aGrant)
  {
    const auto view = mViews.find(aGrant.mWorker);
    const auto service =
      std::find_if(mPolicy.mServices.begin(), mPolicy.mServices.end(),
                   [&](const auto& aService) { return aService.mService == aGrant.mService; });
    if (view != mViews.end() && service != mPolicy.mServices.end()) {
      mServices.Grant(aGrant, service->mIdempotent, view->second, mFence, mTimes.mGang.mRunningTtl);
    }
  }

  // Requests of a replica that isn't needed any more may end in their own time.
  Duration ReleaseDeadline() const { return mTimes.mGang.mRunningTtl; }

  struct Failure
  {
    WorkerId mWorker;
    JobId mJob;
    Duration mRan;
  };

  EventLoop& mLoop;
  Api& mApi;
  JobStore<Store>& mJobStore;
  AnswerStore<Store>& mAnswerStore;
  Random& mRandom;
  CoordinatorTimes mTimes;
  ServiceLeases<Api> mServices;
  workers::Fence mFence;
  PolicyInput mPolicy;
  WorkerViews mViews;
  ManagedJobs mJobs;
  placement::PlannerState mState;
  placement::Plan mLastPlan;
  std::vector<Failure> mFailures;
  std::vector<WorkerId> mSuccesses;
  // Start tokens of attempts whose commit is uncertain and that were never started.
  std::set<std::string> mUnsentStarts;
  // Attempts whose record is being read, by the prefix of their lease ids.
  std::set<std::string> mAttemptChecks;
  // Attempts whose leases were released, and when; workers show them for a little longer.
  std::map<std::string, TimePoint> mReleased;
  std::function<void()> mOnFenced;
  Timer mRenewTimer;
  Timer mRelistTimer;
  Timer mPlanTimer;
  Timer mPlanSoon;
  Timer mRetryTimer;
  std::vector<std::function<void()>> mRetries;
  // Grows with each change of the role, so that callbacks of a former term have no effect.
  std::uint64_t mTerm = 0;
  bool mActive = false;
  bool mRecordsLoaded = false;
  bool mComplete = false;
  PlanThread mPlanThread;
};

} // namespace lovagerock::jobs
