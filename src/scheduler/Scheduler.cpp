#include "scheduler/Scheduler.h"

#include "base/LogEvent.h"
#include "scheduler/JobRecord.h"

#include <algorithm>
#include <utility>

namespace lovagerock::scheduler {

namespace {

// Workers that a task keeps off because it failed there.
constexpr std::size_t kMaxAvoided = 6;

} // namespace

Scheduler::Scheduler(const SchedulerSettings& aSettings, TimePoint aTakeover)
  : mSettings(aSettings)
  , mInheritedUntil(aTakeover + aSettings.mAutonomy + aSettings.mHold)
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

bool
Scheduler::AddJob(const AcceptedJob& aJob, const std::string& aProgress, bool aInherited,
                  const Now& aNow)
{
  if (mJobs.contains(aJob.mId)) {
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
  // Workers may list its runs before the next plan.
  job.OpenDue(aNow.mWallMs, aNow.mSteady);
  for (const auto& [number, occurrence] : job.Open()) {
    for (const auto& step : occurrence.mSteps) {
      for (const auto& task : step.mTasks) {
        if (!task.mWorker.IsEmpty() && !mFleet.contains(task.mWorker)) {
          mAwaited.insert(task.mWorker);
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
Scheduler::Touch(const JobId& aJob)
{
  mDirty.insert(aJob);
}

void
Scheduler::CancelJob(const JobId& aJob, const Now& aNow)
{
  auto* job = FindMutable(aJob);
  if (!job || job->IsOver()) {
    return;
  }
  job->Finish(JobState::Cancelled, aNow.mWallMs);
  Touch(aJob);
  LogEvent("job_cancelled").With("job", aJob);
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
Scheduler::ExpiredJobs(const Now& aNow) const
{
  std::vector<JobId> expired;
  for (const auto& [id, job] : mJobs) {
    if (job.IsOver() && aNow.mWallMs - job.FinishedMs() > mSettings.mKeepFinished.count() &&
        IsStored(id)) {
      expired.push_back(id);
    }
  }
  return expired;
}

void
Scheduler::Forget(const std::vector<JobId>& aJobs)
{
  for (const auto& it : aJobs) {
    mJobs.erase(it);
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
    worker.mListed = false;
    worker.mRecorded = true;
    worker.mHeldUntil = mInheritedUntil;
  }
}

void
Scheduler::OnWorkerEntry(const WorkerEntry& aEntry, const Now& aNow)
{
  auto [it, isNew] = mFleet.try_emplace(aEntry.mId);
  auto& worker = it->second;
  const auto& known = worker.mEntry;
  if (isNew || !worker.mListed || known.mDraining != aEntry.mDraining ||
      known.mRack != aEntry.mRack || !(known.mAddress == aEntry.mAddress)) {
    mDirtyRacks.insert(aEntry.mRack);
    mDirtyRacks.insert(isNew ? aEntry.mRack : known.mRack);
  }
  const auto birth = worker.mEntry.mBirth;
  const bool isReborn = !isNew && aEntry.mBirth > birth && birth.Value() != 0;
  if (isReborn) {
    OnWorkerReplaced(aEntry.mId, aNow);
  }
  if (aEntry.mDraining && !(worker.mEntry.mDraining && worker.mListed)) {
    worker.mDrainingSince = aNow.mSteady;
  }
  if (isNew) {
    // An earlier scheduler may have renewed its lease just before the takeover.
    worker.mHeldUntil = mInheritedUntil;
  }
  worker.mEntry = aEntry;
  // A report of the worker may have told of a later life than its entry.
  worker.mEntry.mBirth = std::max(birth, aEntry.mBirth);
  worker.mListed = true;
  mAwaited.erase(aEntry.mId);
}

void
Scheduler::OnWorkerUnlisted(const WorkerId& aWorker)
{
  const auto it = mFleet.find(aWorker);
  if (it != mFleet.end() && it->second.mListed) {
    it->second.mListed = false;
    mDirtyRacks.insert(it->second.mEntry.mRack);
  }
}

void
Scheduler::OnLeaseSent(const WorkerId& aWorker, const Now& aNow)
{
  const auto it = mFleet.find(aWorker);
  if (it != mFleet.end()) {
    it->second.mHeldUntil = std::max(it->second.mHeldUntil, aNow.mSteady + LongestHold());
  }
}

Duration
Scheduler::LongestHold() const
{
  return mSettings.mHold * (100 + mSettings.mClockDriftPercent) / 100;
}

void
Scheduler::OnWorkerReplaced(const WorkerId& aWorker, const Now& aNow)
{
  const auto it = mFleet.find(aWorker);
  if (it == mFleet.end()) {
    return;
  }
  LogEvent("worker_replaced").With("worker", aWorker).With("runs", it->second.mRuns.size());
  DropAllRuns(it->second, aNow);
  it->second.mSeen = 0;
  it->second.mStored = 0;
  it->second.mFailures = 0;
  it->second.mConfirmed = false;
  it->second.mHeldUntil = aNow.mSteady;
}

void
Scheduler::OnWorkerRefused(const WorkerId& aWorker, const Now& aNow)
{
  const auto it = mFleet.find(aWorker);
  // While it is registered, the refusal may come from the network.
  if (it != mFleet.end() && !it->second.mListed) {
    DropAllRuns(it->second, aNow);
    mDirtyRacks.insert(it->second.mEntry.mRack);
    mFleet.erase(it);
  }
}

void
Scheduler::DropAllRuns(Worker& aWorker, const Now& aNow)
{
  const auto runs = aWorker.mRuns;
  for (const auto& it : runs) {
    DropRun(aWorker, it.mRun, RunEnd::Lapsed, "", aNow);
    ++mCounts.mLapsedRuns;
  }
}

void
Scheduler::DropRun(Worker& aWorker, const RunRef& aRun, RunEnd aEnd, const std::string& aCheckpoint,
                   const Now& aNow)
{
  aWorker.Remove(aRun);
  ApplyEnd(aWorker.mEntry.mId, aRun, aEnd, aCheckpoint, aNow);
}

void
Scheduler::KeepCheckpoint(Job& aJob, const TaskRef& aTask, const std::string& aCheckpoint)
{
  auto* task = aJob.Find(aTask);
  if (!task || aCheckpoint.empty()) {
    return;
  }
  if (!aJob.Spec(aTask.mStep).mGang) {
    task->mCheckpoint = aCheckpoint;
    return;
  }
  // A checkpoint of any member is good for the whole gang; they sort by progress.
  auto& tasks = aJob.At(aTask.mOccurrence).mSteps[aTask.mStep].mTasks;
  if (aCheckpoint > tasks.front().mCheckpoint) {
    tasks.front().mCheckpoint = aCheckpoint;
  }
}

void
Scheduler::ApplyEnd(const WorkerId& aWorker, const RunRef& aRun, RunEnd aEnd,
                    const std::string& aCheckpoint, const Now& aNow)
{
  auto* job = FindMutable(aRun.mTask.mJob);
  auto* task = job ? job->FindStarted(aRun.mTask) : nullptr;
  if (!task || task->mPhase == TaskPhase::Done) {
    return;
  }
  const bool isCurrent =
    task->mPhase != TaskPhase::Waiting && task->mWorker == aWorker && task->mRun == aRun.mRun;
  const bool isNews = aRun.mRun > task->mEndedRun;
  // The ends of several runs may be listed by several workers in any order.
  const bool alwaysCounts = aEnd == RunEnd::Done || aEnd == RunEnd::Failed;
  if (!isCurrent && !isNews && !alwaysCounts) {
    return;
  }
  Touch(aRun.mTask.mJob);
  task->mRun = std::max(task->mRun, aRun.mRun);
  task->mEndedRun = std::max(task->mEndedRun, aRun.mRun);
  KeepCheckpoint(*job, aRun.mTask, aCheckpoint);
  if (isCurrent) {
    task->mPhase = TaskPhase::Waiting;
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
Scheduler::ApplyFailure(Job& aJob, const RunRef& aRun, const WorkerId& aWorker, const Now& aNow)
{
  ++mCounts.mFailedRuns;
  const auto& spec = aJob.Spec(aRun.mTask.mStep);
  auto* task = aJob.Find(aRun.mTask);
  auto& counted =
    spec.mGang ? aJob.At(aRun.mTask.mOccurrence).mSteps[aRun.mTask.mStep].mTasks.front() : *task;
  if (task->mAvoid.size() < kMaxAvoided) {
    task->mAvoid.push_back(aWorker);
  }
  auto& failed = counted.mFailedRuns;
  if (spec.mLongRunning || std::find(failed.begin(), failed.end(), aRun.mRun) != failed.end()) {
    return;
  }
  failed.push_back(aRun.mRun);
  LogEvent("run_failed")
    .With("job", aRun.mTask.mJob)
    .With("step", aRun.mTask.mStep)
    .With("task", aRun.mTask.mIndex)
    .With("run", aRun.mRun)
    .With("worker", aWorker)
    .With("failures", failed.size())
    .With("max_attempts", aJob.Policy().mMaxAttempts);
  if (static_cast<int>(failed.size()) >= aJob.Policy().mMaxAttempts) {
    aJob.Finish(JobState::Failed, aNow.mWallMs);
  }
}

void
Scheduler::NoteWorkerResult(const WorkerId& aWorker, const RunRef& aRun, RunEnd aEnd,
                            const Now& aNow)
{
  const auto it = mFleet.find(aWorker);
  if (it == mFleet.end()) {
    return;
  }
  auto& worker = it->second;
  if (aEnd == RunEnd::Done) {
    worker.mFailures = 0;
  } else if (aEnd == RunEnd::Failed && worker.mFailedJob != aRun.mTask.mJob) {
    worker.mFailedJob = aRun.mTask.mJob;
    if (++worker.mFailures >= mSettings.mFailingAfter) {
      worker.mAvoidUntil = std::max(worker.mAvoidUntil, aNow.mSteady + mSettings.mFailingPause);
      LogEvent("worker_avoided").With("worker", aWorker).With("reason", "failing_runs");
    }
  }
}

bool
Scheduler::IsGangBroken(const Job& aJob, const PlacedRun& aRun, const Now& aNow) const
{
  const auto& ref = aRun.mRun.mTask;
  const auto it = aJob.Open().find(ref.mOccurrence);
  if (!aJob.Spec(ref.mStep).mGang || it == aJob.Open().end()) {
    return false;
  }
  if (aJob.mInherited && !mIsSettled) {
    return false;
  }
  const auto& tasks = it->second.mSteps[ref.mStep].mTasks;
  return std::any_of(tasks.begin(), tasks.end(), [this, &aRun, &aNow](const auto& aTask) {
    const bool isPresent = aTask.mPhase == TaskPhase::Active || MayRunUnseen(aTask, aNow);
    return !isPresent || aTask.mRun != aRun.mRun.mRun;
  });
}

bool
Scheduler::MayRunUnseen(const Task& aTask, const Now& aNow) const
{
  if (aTask.mPhase != TaskPhase::Waiting || aTask.mWorker.IsEmpty()) {
    return false;
  }
  const auto it = mFleet.find(aTask.mWorker);
  const bool isSilent =
    it != mFleet.end() && !it->second.mConfirmed && it->second.mHeldUntil >= aNow.mSteady;
  return isSilent || mAwaited.contains(aTask.mWorker);
}

bool
Scheduler::IsWanted(const Worker& aWorker, const PlacedRun& aRun, const Now& aNow) const
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
  aRun.mOrdered = TimePoint();
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
    if (worker.BelongsInRecord()) {
      write.mWorkers.push_back({ id, worker.mEntry.mAddress });
    } else {
      // All that was started there is in the progress that is written before.
      worker.mRecorded = false;
    }
  }
  return write;
}

ProgressBatch
Scheduler::TakeProgress()
{
  ProgressBatch batch;
  for (const auto& id : mDirty) {
    if (const auto* job = FindJob(id)) {
      batch.mWrites.push_back({ id, WriteProgress(*job) });
      mStoring.insert(id);
    }
  }
  mDirty.clear();
  for (const auto& rack : std::exchange(mDirtyRacks, {})) {
    batch.mRacks.push_back(TakeRack(rack));
  }
  for (const auto& [id, worker] : mFleet) {
    if (worker.mSeen > worker.mStored) {
      batch.mSeen.push_back({ id, worker.mEntry.mBirth, worker.mSeen });
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
  for (const auto& it : aBatch.mSeen) {
    const auto worker = mFleet.find(it.mWorker);
    if (worker != mFleet.end() && worker->second.mEntry.mBirth == it.mBirth) {
      // A worker that was replaced meanwhile counts its ends anew.
      const auto number = std::min(it.mNumber, worker->second.mSeen);
      worker->second.mStored = std::max(worker->second.mStored, number);
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
  mHasUnstoredEnds = mHasUnstoredEnds || !aBatch.mSeen.empty();
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
