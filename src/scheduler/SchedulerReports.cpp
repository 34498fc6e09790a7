#include "base/LogEvent.h"
#include "scheduler/Scheduler.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace lovagerock::scheduler {

namespace {

// After this many reports in a row that lack it, a run counts as gone.
constexpr int kMaxMissedReports = 3;

} // namespace

void
Scheduler::OnLeaseReport(const WorkerId& aWorker, const LeaseReport& aReport,
                         const CurrentTime& aNow)
{
  const auto it = mFleet.find(aWorker);
  if (it == mFleet.end()) {
    return;
  }
  auto& worker = it->second;
  if (aReport.mIncarnation.Value() != 0 && aReport.mIncarnation != worker.mEntry.mIncarnation) {
    if (worker.mEntry.mIncarnation.Value() != 0) {
      OnWorkerRestarted(worker, aNow);
    }
    worker.mEntry.mIncarnation = aReport.mIncarnation;
    mDirtyRacks.insert(worker.mEntry.mRack);
  }
  if (!worker.mHasAnswered && !aReport.mIsPartial) {
    // From now on the worker rejects renewals of earlier schedulers, so its lease lasts no longer
    // than one renewal from now.
    worker.mHasAnswered = true;
    worker.mLeaseExpiry = std::min(worker.mLeaseExpiry, aNow.mSteady + MaxLeaseDuration(worker));
  }
  worker.mListsEnds = !aReport.mFinished.empty();
  for (const auto& ended : aReport.mFinished) {
    if (ended.mNumber <= worker.mLastProcessedEnd) {
      continue;
    }
    worker.mLastProcessedEnd = ended.mNumber;
    mHasUnstoredEnds = true;
    UpdateWorkerFailures(aWorker, ended.mRun, ended.mEnd, aNow);
    if (ended.mEnd == RunEnd::Done) {
      LearnFromEnd(worker, ended.mRun, aReport.mClock, aNow);
    }
    DropRun(worker, ended.mRun, ended.mEnd, ended.mCheckpoint, aNow);
  }
  ReadRunning(worker, aReport, aNow);
  if (!aReport.mIsPartial) {
    CheckMissing(worker, aReport, aNow);
  }
}

void
Scheduler::ReadRunning(Worker& aWorker, const LeaseReport& aReport, const CurrentTime& aNow)
{
  double speeds = 0;
  int samples = 0;
  for (const auto& it : aReport.mRunning) {
    auto* placed = aWorker.Find(it.mRun);
    if (!placed) {
      AdoptRun(aWorker, it, aReport.mClock, aNow);
      continue;
    }
    const auto* spec = FindStep(it.mRun.mTask);
    const auto speed =
      spec ? mSpeeds.OnProgress(aWorker, *placed, *spec, it.mPercent, aReport.mClock, aNow.mSteady)
           : std::nullopt;
    if (speed) {
      speeds += *speed;
      ++samples;
    }
    placed->mProgress.OnReport(it.mPercent, aNow.mSteady);
    placed->mMissedReports = 0;
    placed->mIsReported = true;
    placed->mLastConfirmedClock = std::max(placed->mLastConfirmedClock, aReport.mClock);
    if (placed->mPhase == RunPhase::Starting) {
      placed->mPhase = RunPhase::Running;
    }
    auto* job = FindMutable(it.mRun.mTask.mJob);
    auto* task = job ? job->Find(it.mRun.mTask) : nullptr;
    if (!task || task->mRun != it.mRun.mRun || task->mPhase == TaskPhase::Done) {
      continue;
    }
    task->mPercent = it.mPercent;
    if (!job->mBegun) {
      job->mBegun = true;
      MarkDirty(it.mRun.mTask.mJob);
    }
    UpdateCheckpoint(*job, it.mRun.mTask, it.mCheckpoint);
  }
  if (samples > 0 && aWorker.mCondition.OnSpeed(speeds / samples, aNow.mSteady, mSettings)) {
    LogEvent("worker_slow").With("worker", aWorker.mEntry.mId).With("runs", samples);
  }
}

const StepSpec*
Scheduler::FindStep(const TaskRef& aTask) const
{
  const auto* job = FindJob(aTask.mJob);
  return job && job->Find(aTask) ? &job->Spec(aTask.mStep) : nullptr;
}

void
Scheduler::LearnFromEnd(Worker& aWorker, const RunRef& aRun, WorkerClock aClock,
                        const CurrentTime& aNow)
{
  auto* placed = aWorker.Find(aRun);
  const auto* spec = FindStep(aRun.mTask);
  if (placed && spec) {
    mSpeeds.OnDone(aWorker, *placed, *spec, aClock, aNow.mSteady);
    LearnRunTime(*placed, aNow);
  }
}

void
Scheduler::LearnRunTime(PlacedRun& aRun, const CurrentTime& aNow)
{
  constexpr int kWhole = 100;
  const auto& ref = aRun.mRun.mTask;
  const auto& job = *FindJob(ref.mJob);
  const auto& spec = job.Spec(ref.mStep);
  const auto& step = job.OpenOccurrences().at(ref.mOccurrence).mSteps[ref.mStep];
  const auto& task = step.At(ref.mIndex);
  // The first member of a gang that reports its end ends all of them.
  if (spec.mLongRunning || task.mPhase != TaskPhase::Active) {
    return;
  }
  aRun.mProgress.OnReport(kWhole, aNow.mSteady);
  const auto ran = aRun.mProgress.TimeAtPace();
  const auto speed =
    spec.mGang ? SpeedOf(spec, step.mTasks, aNow.mSteady) : SpeedOf(spec, { task }, aNow.mSteady);
  if (ran && speed) {
    mRunTimes.OnDone(job.Accepted().mQueue, job.Accepted().mAccount, spec.mEstimate, *ran, *speed,
                     spec.mGang ? 1 : 1.0 / spec.mCount, aNow.mSteady);
  }
}

std::optional<double>
Scheduler::SpeedOf(const StepSpec& aSpec, const std::vector<Task>& aTasks, TimePoint aNow) const
{
  std::set<RackId> racks;
  auto slowest = std::numeric_limits<double>::max();
  for (const auto& it : aTasks) {
    const auto worker = mFleet.find(it.mWorker);
    if (worker == mFleet.end()) {
      return std::nullopt;
    }
    racks.insert(worker->second.mEntry.mRack);
    slowest = std::min(slowest, mSpeeds.Speed(worker->second, aNow).mSpeed);
  }
  const bool isSpread = aSpec.mRackLocal && racks.size() > 1;
  const bool isRemote = !aSpec.mPreferredRack.IsEmpty() && !racks.contains(aSpec.mPreferredRack);
  return isSpread || isRemote ? std::nullopt : std::optional(slowest);
}

void
Scheduler::CheckMissing(Worker& aWorker, const LeaseReport& aReport, const CurrentTime& aNow)
{
  std::set<RunRef> reported;
  for (const auto& it : aReport.mRunning) {
    reported.insert(it.mRun);
  }
  const auto runs = aWorker.mRuns;
  for (const auto& it : runs) {
    if (reported.contains(it.mRun)) {
      continue;
    }
    if (it.mStopConfirmedClock && aReport.mClock > *it.mStopConfirmedClock) {
      DropRun(aWorker, it.mRun, RunEnd::Stopped, "", aNow);
    } else if (it.mPhase != RunPhase::Starting && !it.mOrderInFlight &&
               aReport.mClock > it.mLastConfirmedClock) {
      OnMissedReport(aWorker, *aWorker.Find(it.mRun), aNow);
    }
  }
}

void
Scheduler::OnMissedReport(Worker& aWorker, PlacedRun& aRun, const CurrentTime& aNow)
{
  if (++aRun.mMissedReports < kMaxMissedReports) {
    return;
  }
  if (aRun.MayStartLate()) {
    if (aRun.mPhase != RunPhase::Stopping) {
      BeginStop(aWorker, aRun);
    }
    return;
  }
  const auto run = aRun.mRun;
  LogEvent("run_vanished", LogLevel::Warning)
    .With("worker", aWorker.mEntry.mId)
    .With("job", run.mTask.mJob)
    .With("run", run.mRun);
  aRun.mWasteCause = aRun.mWasteCause.value_or(WasteCause::WorkerLost);
  DropRun(aWorker, run, RunEnd::LeaseExpired, "", aNow);
}

void
Scheduler::AdoptRun(Worker& aWorker, const RunningRun& aRun, WorkerClock aClock,
                    const CurrentTime& aNow)
{
  PlacedRun placed;
  placed.mRun = aRun.mRun;
  placed.mPhase = RunPhase::Running;
  placed.mStarted = aNow.mSteady;
  placed.mProgress.OnReport(aRun.mPercent, aNow.mSteady);
  placed.mLastConfirmedClock = aClock;
  placed.mIsReported = true;
  placed.mIsInherited = true;
  auto* job = FindMutable(aRun.mRun.mTask.mJob);
  auto* task = job ? job->FindOrOpen(aRun.mRun.mTask) : nullptr;
  if (job && aRun.mRun.mTask.mStep >= 0 &&
      aRun.mRun.mTask.mStep < static_cast<int>(job->Accepted().mSpec.mSteps.size())) {
    const auto& spec = job->Spec(aRun.mRun.mTask.mStep);
    placed.mDemand = spec.mDemand;
    placed.mCheckpointing = spec.mCheckpointing;
    placed.mLongRunning = spec.mLongRunning;
  }
  const bool hasNoKnownRun =
    task && (task->mPhase == TaskPhase::Waiting || task->mPhase == TaskPhase::Unreported);
  if (hasNoKnownRun && !job->IsOver() && aRun.mRun.mRun >= task->mRun &&
      aRun.mRun.mRun > task->mEndedRun) {
    task->mPhase = TaskPhase::Active;
    task->mWorker = aWorker.mEntry.mId;
    task->mRun = aRun.mRun.mRun;
    task->mStarted = aNow.mSteady;
    task->mPercent = aRun.mPercent;
    job->mBegun = true;
    UpdateCheckpoint(*job, aRun.mRun.mTask, aRun.mCheckpoint);
    MarkDirty(aRun.mRun.mTask.mJob);
  }
  aWorker.Add(placed);
}

bool
Scheduler::IsRepeatedStartDue(const WorkerId& aWorker, const RunRef& aRun)
{
  const auto it = mFleet.find(aWorker);
  auto* placed = it == mFleet.end() ? nullptr : it->second.Find(aRun);
  if (placed && placed->mPhase != RunPhase::Starting) {
    // Nothing awaits an outcome, so the run may be stopped.
    placed->mOrderInFlight = false;
    placed->mIsOrderOutdated = false;
  }
  return placed && placed->mPhase == RunPhase::Starting;
}

bool
Scheduler::ReleaseStart(const WorkerId& aWorker, const RunRef& aRun, const CurrentTime& aNow)
{
  const auto it = mFleet.find(aWorker);
  auto* placed = it == mFleet.end() ? nullptr : it->second.Find(aRun);
  if (!placed) {
    return false;
  }
  auto& worker = it->second;
  if (placed->mPhase == RunPhase::Running) {
    // A report lists it, so it needs no order.
    placed->mOrderInFlight = false;
    return false;
  }
  const bool isUsable =
    worker.MayGetRuns() && worker.mHasAnswered && worker.mLeaseExpiry > aNow.mSteady;
  if (placed->mPhase != RunPhase::Starting || !isUsable || !IsWanted(worker, *placed, aNow)) {
    DropRun(worker, aRun, RunEnd::Stopped, "", aNow);
    return false;
  }
  placed->mStarted = aNow.mSteady;
  placed->mLastOrderSent = aNow.mSteady;
  return true;
}

void
Scheduler::OnStartOutcome(const WorkerId& aWorker, const RunRef& aRun, OrderOutcome aOutcome,
                          WorkerClock aClock, const CurrentTime& aNow)
{
  const auto it = mFleet.find(aWorker);
  auto* placed = it == mFleet.end() ? nullptr : it->second.Find(aRun);
  if (!placed) {
    return;
  }
  placed->mOrderInFlight = false;
  if (std::exchange(placed->mIsOrderOutdated, false)) {
    return;
  }
  auto& worker = it->second;
  // An earlier start order for the run had no answer: it may have been carried out, or may still
  // be.
  const bool mayHaveStarted = placed->mUnansweredStarts > 0;
  const auto refuse = [&](Duration aPause, bool aMayReplace = false) {
    worker.mAvoidUntil = std::max(worker.mAvoidUntil, aNow.mSteady + aPause);
    if (mayHaveStarted) {
      // After a confirmed stop, the worker rejects a delayed start order of the same run.
      BeginStop(worker, *placed);
    } else if (!aMayReplace || !KeepRefusedGangMember(worker, *placed, aNow)) {
      DropRun(worker, aRun, RunEnd::Stopped, "", aNow);
    }
  };
  switch (aOutcome) {
    case OrderOutcome::Done: {
      if (placed->mPhase == RunPhase::Starting) {
        placed->mPhase = RunPhase::Running;
      }
      placed->mLastConfirmedClock = std::max(placed->mLastConfirmedClock, aClock);
      auto* job = FindMutable(aRun.mTask.mJob);
      if (job && !job->mBegun) {
        job->mBegun = true;
        MarkDirty(aRun.mTask.mJob);
      }
      return;
    }
    case OrderOutcome::InsufficientResources:
      return refuse(mSettings.mInsufficientResourcesPause, true);
    case OrderOutcome::Unhealthy:
    case OrderOutcome::Invalid:
      return refuse(mSettings.mUnhealthyPause, true);
    case OrderOutcome::NotSent:
      if (!mayHaveStarted) {
        return refuse(mSettings.mInsufficientResourcesPause, true);
      }
      break;
    case OrderOutcome::Superseded:
      if (mayHaveStarted) {
        // The run was started and has ended; the worker's next report contains its end.
        placed->mPhase = RunPhase::Running;
        placed->mLastConfirmedClock = std::max(placed->mLastConfirmedClock, aClock);
        return;
      }
      return refuse(Duration(0));
    case OrderOutcome::TooLate:
      return refuse(Duration(0));
    case OrderOutcome::WrongWorker:
      return OnWorkerReplaced(aWorker, aNow);
    case OrderOutcome::Fenced:
      return;
    case OrderOutcome::Unknown:
      break;
  }
  worker.mAvoidUntil =
    std::max(worker.mAvoidUntil, aNow.mSteady + mSettings.mInsufficientResourcesPause);
  if (++placed->mUnansweredStarts >= mSettings.mMaxUnansweredStarts &&
      placed->mPhase == RunPhase::Starting) {
    BeginStop(worker, *placed);
  }
}

void
Scheduler::OnStopOutcome(const WorkerId& aWorker, const RunRef& aRun, OrderOutcome aOutcome,
                         WorkerClock aClock, const CurrentTime& aNow)
{
  const auto it = mFleet.find(aWorker);
  auto* placed = it == mFleet.end() ? nullptr : it->second.Find(aRun);
  if (!placed) {
    return;
  }
  placed->mOrderInFlight = false;
  if (std::exchange(placed->mIsOrderOutdated, false)) {
    return;
  }
  if (aOutcome == OrderOutcome::Done) {
    placed->mStopConfirmedClock = aClock;
  } else if (aOutcome == OrderOutcome::WrongWorker) {
    OnWorkerReplaced(aWorker, aNow);
  }
}

} // namespace lovagerock::scheduler
