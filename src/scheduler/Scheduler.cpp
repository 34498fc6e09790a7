#include "scheduler/Scheduler.h"

#include "base/LogEvent.h"
#include "scheduler/JobRecord.h"

#include <algorithm>
#include <utility>

namespace lovagerock::scheduler {

namespace {

// The maximum number of workers that a task avoids because its runs failed there.
constexpr std::size_t kMaxFailedWorkers = 6;

// Whether the end of a run on another worker than the task's current one leaves the numbers of the
// task as they are. An earlier scheduler may have used the current run's number, or higher ones,
// without storing it.
bool
KeepsNumbers(const Task& aTask, int aEndedRun)
{
  if (aEndedRun == aTask.mRun) {
    return aTask.mPhase != TaskPhase::Waiting;
  }
  const bool isKnown = aTask.mPhase == TaskPhase::Active || aTask.mPhase == TaskPhase::Stopping;
  return isKnown && aEndedRun > aTask.mRun;
}

} // namespace

Scheduler::Scheduler(const SchedulerSettings& aSettings, TimePoint aTakeover)
  : mSettings(aSettings)
  , mInheritedUntil(aTakeover + aSettings.mStoreOutageTolerance + MaxLeaseDuration())
  , mFormerWorkers(aSettings.mMaxFormerWorkers)
  , mPlanWindow(aSettings.mMaxPlannedSteps)
  , mGatherTurns(aSettings.mGatherTurn, aSettings.mLongestGatherTurn, aSettings.mGatherPause,
                 aSettings.mMaxPassedTime)
  , mAccountUsage(aSettings.mAccountHalfLife)
{
}

void
Scheduler::SetQueues(std::map<std::string, QueuePolicy> aQueues)
{
  mQueues = std::move(aQueues);
  for (auto& [id, job] : mJobs) {
    const auto it = mQueues.find(job.Accepted().mQueue);
    if (it != mQueues.end()) {
      job.SetPolicy(it->second);
    }
  }
}

void
Scheduler::SetGuarantees(std::map<AccountId, Accelerators> aGuarantees)
{
  mGuarantees = std::move(aGuarantees);
}

void
Scheduler::SetEvacuatedZones(std::set<ZoneId> aZones)
{
  mEvacuatedZones = std::move(aZones);
  for (auto& [id, worker] : mFleet) {
    worker.mIsInEvacuatedZone = mEvacuatedZones.contains(worker.mEntry.mZone);
  }
  // Steps whose room would be in such a zone look for other room at once.
  std::erase_if(mReservations, [this](const auto& aIt) {
    const auto& workers = aIt.second.mWorkers;
    return std::any_of(workers.begin(), workers.end(), [this](const auto& aWorker) {
      const auto it = mFleet.find(aWorker);
      return it != mFleet.end() && it->second.mIsInEvacuatedZone;
    });
  });
}

bool
Scheduler::AddJob(const AcceptedJob& aJob, const std::string& aProgress, bool aInherited,
                  const CurrentTime& aNow)
{
  if (KnowsJob(aJob.mId)) {
    return true;
  }
  const auto age = std::max<std::int64_t>(0, aNow.mWallMs - aJob.mAcceptedMs);
  Job job(aJob, aNow.mSteady - Duration(age));
  job.mInherited = aInherited;
  if (!aProgress.empty() && !ReadProgress(aProgress, job)) {
    return false;
  }
  if (const auto it = mQueues.find(aJob.mQueue); it != mQueues.end()) {
    job.SetPolicy(it->second);
  }
  // Opens due occurrences now, since workers may report their runs before the next plan.
  job.OpenDueOccurrences(aNow.mWallMs, aNow.mSteady);
  for (const auto& [number, occurrence] : job.OpenOccurrences()) {
    for (const auto& step : occurrence.mSteps) {
      for (const auto& task : step.mTasks) {
        if (task.mPhase != TaskPhase::Unreported) {
          continue;
        }
        mUnreportedJobs.insert(aJob.mId);
        if (!mFleet.contains(task.mWorker)) {
          mAwaitedWorkers.insert(task.mWorker);
        }
      }
    }
  }
  mJobs.emplace(aJob.mId, std::move(job));
  return true;
}

Job*
Scheduler::FindMutable(const JobId& aJob)
{
  const auto it = mJobs.find(aJob);
  return it == mJobs.end() ? nullptr : &it->second;
}

const Job*
Scheduler::FindJob(const JobId& aJob) const
{
  const auto it = mJobs.find(aJob);
  return it == mJobs.end() ? nullptr : &it->second;
}

void
Scheduler::MarkDirty(const JobId& aJob)
{
  mDirty.insert(aJob);
}

void
Scheduler::CancelJob(const JobId& aJob, const CurrentTime& aNow)
{
  auto* job = FindMutable(aJob);
  if (!job || job->IsOver()) {
    return;
  }
  job->Finish(JobState::Cancelled, aNow.mWallMs);
  MarkDirty(aJob);
  LogEvent("job_cancelled").With("job", aJob);
}

int
Scheduler::UnreportedRuns(const CurrentTime& aNow) const
{
  int runs = 0;
  for (const auto& [id, job] : mJobs) {
    for (const auto& [number, occurrence] : job.OpenOccurrences()) {
      for (const auto& step : occurrence.mSteps) {
        runs += static_cast<int>(
          std::count_if(step.mTasks.begin(), step.mTasks.end(),
                        [&](const auto& aTask) { return MayRunUnreported(aTask, aNow); }));
      }
    }
  }
  return runs;
}

int
Scheduler::PendingJobs(const std::string& aQueue) const
{
  return static_cast<int>(std::count_if(mJobs.begin(), mJobs.end(), [&aQueue](const auto& aIt) {
    const auto& job = aIt.second;
    return !job.IsOver() && !job.mBegun && job.Accepted().mQueue == aQueue;
  }));
}

std::vector<JobId>
Scheduler::ExpiredJobs(const CurrentTime& aNow) const
{
  std::vector<JobId> expired;
  for (const auto& [id, job] : mJobs) {
    if (job.IsOver() && aNow.mWallMs - job.FinishedMs() > mSettings.mFinishedRetention.count() &&
        IsStored(id)) {
      expired.push_back(id);
    }
  }
  for (const auto& [id, job] : mEndedJobs) {
    if (aNow.mWallMs - job.mFinishedMs > mSettings.mFinishedRetention.count() && IsStored(id)) {
      expired.push_back(id);
    }
  }
  return expired;
}

std::optional<EndedJob>
Scheduler::JobSummary(const JobId& aJob) const
{
  if (const auto* job = FindJob(aJob)) {
    return EndedJob{ job->State(), job->Accepted().mAccount, job->FinishedMs() };
  }
  const auto it = mEndedJobs.find(aJob);
  return it == mEndedJobs.end() ? std::nullopt : std::optional(it->second);
}

void
Scheduler::SummarizeEndedJobs(const CurrentTime& aNow)
{
  std::vector<JobId> ended;
  for (const auto& [id, job] : mJobs) {
    if (job.IsOver() && aNow.mWallMs - job.FinishedMs() > mSettings.mEndedJobDetails.count() &&
        IsStored(id)) {
      ended.push_back(id);
    }
  }
  if (ended.empty()) {
    return;
  }
  std::set<JobId> running;
  for (const auto& [id, worker] : mFleet) {
    for (const auto& run : worker.mRuns) {
      running.insert(run.mRun.mTask.mJob);
    }
  }
  for (const auto& id : ended) {
    if (!running.contains(id)) {
      const auto& job = mJobs.at(id);
      mEndedJobs[id] = { job.State(), job.Accepted().mAccount, job.FinishedMs() };
      mJobs.erase(id);
    }
  }
}

void
Scheduler::RemoveJobs(const std::vector<JobId>& aJobs)
{
  for (const auto& it : aJobs) {
    mJobs.erase(it);
    mEndedJobs.erase(it);
  }
}

void
Scheduler::AddRecordedWorkers(const RackId& aRack, const std::vector<WorkerContact>& aWorkers)
{
  for (const auto& contact : aWorkers) {
    auto& worker = mFleet[contact.mWorker];
    worker.mEntry.mId = contact.mWorker;
    worker.mEntry.mAddress = contact.mAddress;
    worker.mEntry.mRack = aRack;
    worker.mEntry.mIncarnation = contact.mIncarnation;
    worker.mHasRestarted = contact.mHasRestarted;
    worker.mRegistered = false;
    worker.mRecorded = true;
    worker.mLeaseExpiry = InheritedLeaseExpiry(worker);
  }
}

std::vector<WorkerId>
Scheduler::RestartedWorkers() const
{
  std::vector<WorkerId> restarted;
  for (const auto& [id, worker] : mFleet) {
    if (worker.mHasRestarted) {
      restarted.push_back(id);
    }
  }
  return restarted;
}

void
Scheduler::OnRestartsHandedOver(const std::vector<WorkerId>& aWorkers)
{
  for (const auto& id : aWorkers) {
    const auto it = mFleet.find(id);
    if (it == mFleet.end() || it->second.mHasRestarted) {
      continue;
    }
    auto& worker = it->second;
    worker.mHasRestarted = true;
    worker.mLeaseExpiry = std::max(worker.mLeaseExpiry, InheritedLeaseExpiry(worker));
    mDirtyRacks.insert(worker.mEntry.mRack);
  }
}

void
Scheduler::OnWorkerEntry(const WorkerEntry& aEntry, const CurrentTime& aNow)
{
  auto [it, isNew] = mFleet.try_emplace(aEntry.mId);
  auto& worker = it->second;
  const auto former = isNew ? mFormerWorkers.Take(aEntry.mId) : std::nullopt;
  if (former) {
    TakeBack(worker, aEntry, *former);
  }
  const auto& known = worker.mEntry;
  if (isNew || !worker.mRegistered || known.mDraining != aEntry.mDraining ||
      known.mRack != aEntry.mRack || !(known.mAddress == aEntry.mAddress)) {
    mDirtyRacks.insert(aEntry.mRack);
    mDirtyRacks.insert(isNew ? aEntry.mRack : known.mRack);
  }
  const auto birth = worker.mEntry.mIncarnation;
  // An entry may be older than the worker's reports, so an incarnation counts as a later one only
  // when it appears in the registry, and, once the worker has answered, only if the registry named
  // the present one before.
  const bool isNewInRegistry = aEntry.mIncarnation != worker.mRegisteredIncarnation;
  const bool mayBeOlder = worker.mHasAnswered && worker.mRegisteredIncarnation != birth;
  const bool isLater = isNewInRegistry && !mayBeOlder && aEntry.mIncarnation > birth;
  // A worker that was given up and whose last incarnation isn't known may have restarted.
  const bool isRestart = birth.Value() != 0 ? isLater : former.has_value();
  if (former) {
    LogEvent("worker_returned")
      .With("worker", aEntry.mId)
      .With("incarnation", aEntry.mIncarnation)
      .With("restarted", isRestart);
  }
  if (isRestart) {
    OnWorkerRestarted(worker, aNow);
  }
  if (aEntry.mDraining && !(worker.mEntry.mDraining && worker.mRegistered)) {
    worker.mDrainingSince = aNow.mSteady;
  }
  if (isNew) {
    // An earlier scheduler may have renewed its lease just before the takeover.
    worker.mLeaseExpiry = std::max(worker.mLeaseExpiry, mInheritedUntil);
  }
  // An entry that is listed again tells nothing new.
  if (isNew || isNewInRegistry || aEntry.mColdTime != worker.mEntry.mColdTime) {
    worker.mColdUntil = aNow.mSteady + aEntry.mColdTime;
  }
  worker.mEntry = aEntry;
  worker.mEntry.mIncarnation = isLater ? aEntry.mIncarnation : birth;
  worker.mRegisteredIncarnation = aEntry.mIncarnation;
  worker.mRegistered = true;
  worker.mIsInEvacuatedZone = mEvacuatedZones.contains(aEntry.mZone);
  mAwaitedWorkers.erase(aEntry.mId);
}

void
Scheduler::TakeBack(Worker& aWorker, const WorkerEntry& aEntry, const FormerWorker& aFormer) const
{
  aWorker.mEntry = aEntry;
  aWorker.mEntry.mIncarnation = aFormer.mIncarnation;
  aWorker.mRegistered = false;
  aWorker.mHasRestarted = aFormer.mHasRestarted;
  aWorker.mNeedsHigherToken = aFormer.mNeedsHigherToken;
  aWorker.mWasCalled = true;
}

void
Scheduler::OnWorkerUnregistered(const WorkerId& aWorker)
{
  const auto it = mFleet.find(aWorker);
  if (it != mFleet.end() && it->second.mRegistered) {
    it->second.mRegistered = false;
    mDirtyRacks.insert(it->second.mEntry.mRack);
  }
}

void
Scheduler::OnLeaseSent(const WorkerId& aWorker, const CurrentTime& aNow)
{
  const auto it = mFleet.find(aWorker);
  if (it != mFleet.end()) {
    auto& worker = it->second;
    worker.mWasCalled = true;
    worker.mOwnLeaseExpiry = aNow.mSteady + MaxLeaseDuration(worker);
    worker.mLeaseExpiry = std::max(worker.mLeaseExpiry, worker.mOwnLeaseExpiry);
  }
}

Duration
Scheduler::WithClockDrift(Duration aTime) const
{
  // Rounded up.
  const int percent = 100 - mSettings.mClockDriftPercent;
  return (aTime * 100 + Duration(percent - 1)) / percent;
}

void
Scheduler::OnWorkerReplaced(const WorkerId& aWorker, const CurrentTime& aNow)
{
  const auto it = mFleet.find(aWorker);
  if (it == mFleet.end()) {
    return;
  }
  DropAllRuns(it->second, "worker_replaced", aNow);
  ForgetIncarnation(it->second);
  it->second.mLeaseExpiry = aNow.mSteady;
  it->second.mOwnLeaseExpiry = aNow.mSteady;
}

void
Scheduler::OnWorkerRestarted(Worker& aWorker, const CurrentTime& aNow)
{
  // A run that the earlier incarnation hasn't reported may be one of the new incarnation, even if
  // its start was confirmed. So may an inherited one: until the new incarnation has answered, it
  // refuses no orders of earlier schedulers.
  std::vector<PlacedRun> mayStart;
  for (const auto& it : aWorker.mRuns) {
    if (!it.mIsReported || it.mUnansweredStarts > 0 || it.mIsInherited) {
      mayStart.push_back(it);
    }
  }
  for (const auto& it : mayStart) {
    aWorker.Remove(it.mRun);
  }
  DropAllRuns(aWorker, "worker_restarted", aNow);
  ForgetIncarnation(aWorker);
  for (auto& it : mayStart) {
    it.mUnansweredStarts = std::max(it.mUnansweredStarts, 1);
    it.mIsOrderOutdated = it.mOrderInFlight;
    it.mStopConfirmedClock.reset();
    it.mLastConfirmedClock = WorkerClock();
    it.mMissedReports = 0;
    it.mIsReported = false;
    BeginStop(aWorker, aWorker.Add(it));
  }
  aWorker.mHasRestarted = true;
  // Without a call of this scheduler, the first one fences the orders of earlier schedulers.
  aWorker.mNeedsHigherToken = aWorker.mWasCalled;
  // Until the new incarnation has answered, an earlier scheduler may renew its lease too.
  aWorker.mOwnLeaseExpiry = aNow.mSteady + MaxLeaseDuration(aWorker);
  aWorker.mLeaseExpiry = std::max(aWorker.mOwnLeaseExpiry, InheritedLeaseExpiry(aWorker));
  mDirtyRacks.insert(aWorker.mEntry.mRack);
}

void
Scheduler::OnTokenRaised(const WorkerId& aWorker)
{
  const auto it = mFleet.find(aWorker);
  if (it != mFleet.end() && std::exchange(it->second.mNeedsHigherToken, false)) {
    LogEvent("worker_token_raised")
      .With("worker", aWorker)
      .With("incarnation", it->second.mEntry.mIncarnation);
  }
}

void
Scheduler::ForgetIncarnation(Worker& aWorker)
{
  aWorker.mLastProcessedEnd = 0;
  aWorker.mLastStoredEnd = 0;
  aWorker.mListsEnds = false;
  aWorker.mCondition = WorkerCondition();
  aWorker.mHasAnswered = false;
}

void
Scheduler::DropAllRuns(Worker& aWorker, const char* aReason, const CurrentTime& aNow)
{
  LogEvent("worker_runs_ended", aWorker.mRuns.empty() ? LogLevel::Info : LogLevel::Warning)
    .With("worker", aWorker.mEntry.mId)
    .With("incarnation", aWorker.mEntry.mIncarnation)
    .With("reason", aReason)
    .With("runs", aWorker.mRuns.size());
  const bool isExpired = aWorker.mLeaseExpiry < aNow.mSteady;
  for (auto& it : aWorker.mRuns) {
    it.mWasteCause =
      it.mWasteCause.value_or(isExpired ? WasteCause::LeaseExpired : WasteCause::WorkerLost);
  }
  const auto runs = aWorker.mRuns;
  for (const auto& it : runs) {
    DropRun(aWorker, it.mRun, RunEnd::LeaseExpired, "", aNow);
    ++mCounts.mLostRuns;
  }
}

void
Scheduler::DropRun(Worker& aWorker, const RunRef& aRun, RunEnd aEnd, const std::string& aCheckpoint,
                   const CurrentTime& aNow)
{
  const auto* placed = aWorker.Find(aRun);
  auto* job = FindMutable(aRun.mTask.mJob);
  // A run may end before its start is answered.
  const bool hasWorked = aEnd == RunEnd::Done || aEnd == RunEnd::Failed;
  if (job && placed && (hasWorked || placed->mLastConfirmedClock != WorkerClock())) {
    job->mRanUntil = aNow.mSteady;
    CountWaste(*placed, aEnd, aNow);
  }
  aWorker.Remove(aRun);
  ApplyEnd(aWorker, aRun, aEnd, aCheckpoint, aNow);
}

void
Scheduler::UpdateCheckpoint(Job& aJob, const TaskRef& aTask, const std::string& aCheckpoint)
{
  auto* task = aJob.Find(aTask);
  if (!task || aCheckpoint.empty()) {
    return;
  }
  if (!aJob.Spec(aTask.mStep).mGang) {
    task->mCheckpoint = aCheckpoint;
    return;
  }
  // A checkpoint of any member serves the whole gang. Checkpoints sort by progress, so the greatest
  // one is kept.
  auto& tasks = aJob.FindOrCreateOccurrence(aTask.mOccurrence).mSteps[aTask.mStep].mTasks;
  if (aCheckpoint > tasks.front().mCheckpoint) {
    tasks.front().mCheckpoint = aCheckpoint;
  }
}

void
Scheduler::ApplyEnd(const Worker& aWorker, const RunRef& aRun, RunEnd aEnd,
                    const std::string& aCheckpoint, const CurrentTime& aNow)
{
  auto* job = FindMutable(aRun.mTask.mJob);
  auto* task = job ? job->FindOrOpen(aRun.mTask) : nullptr;
  if (!task || task->mPhase == TaskPhase::Done) {
    return;
  }
  const bool isCurrent = task->mPhase != TaskPhase::Waiting &&
                         task->mWorker == aWorker.mEntry.mId && task->mRun == aRun.mRun;
  const bool isNewEnd = aRun.mRun > task->mEndedRun;
  // Workers may report the ends of a task's runs in any order, so these count even if a later run
  // has ended.
  const bool alwaysCounts = aEnd == RunEnd::Done || aEnd == RunEnd::Failed;
  if (!isCurrent && !isNewEnd && !alwaysCounts) {
    return;
  }
  MarkDirty(aRun.mTask.mJob);
  if (isCurrent || !KeepsNumbers(*task, aRun.mRun)) {
    task->mRun = std::max(task->mRun, aRun.mRun);
    task->mEndedRun = std::max(task->mEndedRun, aRun.mRun);
  }
  UpdateCheckpoint(*job, aRun.mTask, aCheckpoint);
  if (isCurrent) {
    task->mPhase = TaskPhase::Waiting;
    task->mWaitingSince = aNow.mSteady;
    task->mWorker = WorkerId();
    task->mPercent = 0;
  }
  if (aEnd == RunEnd::Done && !job->Spec(aRun.mTask.mStep).mLongRunning) {
    job->mBegun = true;
    job->MarkDone(aRun.mTask, aNow.mWallMs);
    if (job->IsOver()) {
      LogEvent("job_ended").With("job", aRun.mTask.mJob).With("state", JobStateName(job->State()));
    }
  } else if (aEnd == RunEnd::Failed) {
    ApplyFailure(*job, aRun, aWorker, aNow);
  }
}

void
Scheduler::ApplyFailure(Job& aJob, const RunRef& aRun, const Worker& aWorker,
                        const CurrentTime& aNow)
{
  ++mCounts.mFailedRuns;
  const auto& spec = aJob.Spec(aRun.mTask.mStep);
  auto* task = aJob.Find(aRun.mTask);
  auto& counted =
    spec.mGang
      ? aJob.FindOrCreateOccurrence(aRun.mTask.mOccurrence).mSteps[aRun.mTask.mStep].Touch(0)
      : *task;
  const auto& id = aWorker.mEntry.mId;
  std::erase(task->mFailedWorkers, id);
  task->mFailedWorkers.push_back(id);
  if (task->mFailedWorkers.size() > kMaxFailedWorkers) {
    task->mFailedWorkers.erase(task->mFailedWorkers.begin());
  }
  auto& failed = counted.mFailedRuns;
  // Several members of a gang may fail in one run, which is one attempt whatever their workers are.
  const FailedRun failure{ aRun.mRun,
                           spec.mGang ? WorkerIncarnation() : aWorker.mEntry.mIncarnation };
  const bool isCounted = std::any_of(failed.begin(), failed.end(), [&failure](const auto& aFailed) {
    return aFailed.MayBeSameAs(failure);
  });
  if (spec.mLongRunning || isCounted) {
    return;
  }
  failed.push_back(failure);
  LogEvent("run_failed")
    .With("job", aRun.mTask.mJob)
    .With("step", aRun.mTask.mStep)
    .With("task", aRun.mTask.mIndex)
    .With("run", aRun.mRun)
    .With("worker", id)
    .With("failures", failed.size())
    .With("max_attempts", aJob.Policy().mMaxAttempts);
  if (static_cast<int>(failed.size()) >= aJob.Policy().mMaxAttempts) {
    aJob.Finish(JobState::Failed, aNow.mWallMs);
  }
}

void
Scheduler::UpdateWorkerFailures(const WorkerId& aWorker, const RunRef& aRun, RunEnd aEnd,
                                const CurrentTime& aNow)
{
  const auto it = mFleet.find(aWorker);
  if (it == mFleet.end()) {
    return;
  }
  auto& worker = it->second;
  if (aEnd == RunEnd::Done) {
    worker.mCondition.OnDone();
  } else if (aEnd == RunEnd::Failed &&
             worker.mCondition.OnFailed(aRun.mTask.mJob, aNow.mSteady, mSettings)) {
    worker.mFailingUntil = aNow.mSteady + mSettings.mFailingPause;
    LogEvent("worker_avoided").With("worker", aWorker).With("reason", "failing_runs");
  }
}

bool
Scheduler::IsGangBroken(const Job& aJob, const PlacedRun& aRun, const CurrentTime& aNow) const
{
  const auto& ref = aRun.mRun.mTask;
  const auto it = aJob.OpenOccurrences().find(ref.mOccurrence);
  if (!aJob.Spec(ref.mStep).mGang || it == aJob.OpenOccurrences().end()) {
    return false;
  }
  if (aJob.mInherited && !mIsTakeoverSettled) {
    return false;
  }
  const auto& step = it->second.mSteps[ref.mStep];
  const auto& tasks = step.mTasks;
  if (step.Untouched() > 0) {
    return true;
  }
  return std::any_of(tasks.begin(), tasks.end(), [&](const auto& aTask) {
    const bool isPresent = aTask.mPhase == TaskPhase::Active || MayRunUnreported(aTask, aNow);
    if (isPresent && aTask.mRun == aRun.mRun.mRun) {
      return false;
    }
    const auto index = static_cast<int>(&aTask - tasks.data());
    return !AwaitsOtherWorker({ ref.mJob, ref.mOccurrence, ref.mStep, index }, aRun.mRun.mRun);
  });
}

bool
Scheduler::MayRunUnreported(const Task& aTask, const CurrentTime& aNow) const
{
  if (aTask.mPhase != TaskPhase::Unreported) {
    return false;
  }
  const auto it = mFleet.find(aTask.mWorker);
  const bool isSilent =
    it != mFleet.end() && !it->second.mHasAnswered && it->second.mLeaseExpiry >= aNow.mSteady;
  return isSilent || mAwaitedWorkers.contains(aTask.mWorker);
}

bool
Scheduler::IsWanted(const Worker& aWorker, const PlacedRun& aRun, const CurrentTime& aNow) const
{
  const auto* job = FindJob(aRun.mRun.mTask.mJob);
  if (!job || job->IsOver()) {
    return false;
  }
  const auto* task = job->Find(aRun.mRun.mTask);
  return task && task->mPhase == TaskPhase::Active && task->mWorker == aWorker.mEntry.mId &&
         task->mRun == aRun.mRun.mRun && !IsGangBroken(*job, aRun, aNow);
}

void
Scheduler::BeginStop(Worker& aWorker, PlacedRun& aRun)
{
  aRun.mPhase = RunPhase::Stopping;
  aRun.mLastOrderSent = TimePoint();
  auto* job = FindMutable(aRun.mRun.mTask.mJob);
  auto* task = job ? job->Find(aRun.mRun.mTask) : nullptr;
  if (task && task->mPhase == TaskPhase::Active && task->mWorker == aWorker.mEntry.mId &&
      task->mRun == aRun.mRun.mRun) {
    task->mPhase = TaskPhase::Stopping;
  }
}

void
Scheduler::StopRun(const WorkerId& aWorker, const RunRef& aRun)
{
  const auto it = mFleet.find(aWorker);
  auto* placed = it == mFleet.end() ? nullptr : it->second.Find(aRun);
  if (placed && placed->mPhase != RunPhase::Stopping) {
    BeginStop(it->second, *placed);
  }
}

RackWrite
Scheduler::TakeRack(const RackId& aRack)
{
  RackWrite write{ aRack, {} };
  for (auto& [id, worker] : mFleet) {
    if (worker.mEntry.mRack != aRack) {
      continue;
    }
    if (worker.BelongsInRackRecord()) {
      write.mWorkers.push_back(
        { id, worker.mEntry.mAddress, worker.mEntry.mIncarnation, worker.mHasRestarted });
    } else {
      // The progress that is written before the rack record names all runs that were started there.
      worker.mRecorded = false;
    }
  }
  return write;
}

ProgressBatch
Scheduler::TakeProgressOf(const std::set<JobId>& aJobs)
{
  ProgressBatch batch;
  for (const auto& id : aJobs) {
    const auto* job = FindJob(id);
    if (mDirty.erase(id) > 0 && job) {
      batch.mWrites.push_back({ id, WriteProgress(*job) });
      mStoring.insert(id);
    }
  }
  return batch;
}

ProgressBatch
Scheduler::TakeProgress()
{
  auto batch = TakeProgressOf(std::set<JobId>(mDirty));
  for (const auto& rack : std::exchange(mDirtyRacks, {})) {
    batch.mRacks.push_back(TakeRack(rack));
  }
  for (const auto& [id, worker] : mFleet) {
    if (worker.mLastProcessedEnd > worker.mLastStoredEnd) {
      batch.mProcessedEnds.push_back({ id, worker.mEntry.mIncarnation, worker.mLastProcessedEnd });
    }
    if (worker.mNeedsHigherToken) {
      batch.mRestarted.push_back({ id, worker.mEntry.mIncarnation });
    }
  }
  mHasUnstoredEnds = false;
  return batch;
}

void
Scheduler::OnStored(const ProgressBatch& aBatch)
{
  for (const auto& it : aBatch.mWrites) {
    mStoring.erase(it.mJob);
  }
  for (const auto& rack : aBatch.mRacks) {
    for (const auto& it : rack.mWorkers) {
      if (const auto worker = mFleet.find(it.mWorker); worker != mFleet.end()) {
        worker->second.mRecorded = true;
      }
    }
  }
  for (const auto& it : aBatch.mProcessedEnds) {
    const auto worker = mFleet.find(it.mWorker);
    if (worker != mFleet.end() && worker->second.mEntry.mIncarnation == it.mIncarnation) {
      // ForgetIncarnation() may have reset mLastProcessedEnd since the batch was taken, and the new
      // incarnation numbers its ends from the start. Its ends must not count as stored.
      const auto number = std::min(it.mNumber, worker->second.mLastProcessedEnd);
      worker->second.mLastStoredEnd = std::max(worker->second.mLastStoredEnd, number);
    }
  }
}

void
Scheduler::OnNotStored(const ProgressBatch& aBatch)
{
  for (const auto& it : aBatch.mWrites) {
    mStoring.erase(it.mJob);
    mDirty.insert(it.mJob);
  }
  for (const auto& it : aBatch.mRacks) {
    mDirtyRacks.insert(it.mRack);
  }
  mHasUnstoredEnds = mHasUnstoredEnds || !aBatch.mProcessedEnds.empty();
}

std::vector<ProgressWrite>
Scheduler::UnstoredProgress() const
{
  std::vector<ProgressWrite> writes;
  for (const auto& [id, job] : mJobs) {
    if (!IsStored(id)) {
      writes.push_back({ id, WriteProgress(job) });
    }
  }
  return writes;
}

bool
Scheduler::IsStored(const JobId& aJob) const
{
  return !mDirty.contains(aJob) && !mStoring.contains(aJob);
}

} // namespace lovagerock::scheduler
