#include "base/LogEvent.h"
#include "scheduler/Scheduler.h"

#include <algorithm>

namespace lovagerock::scheduler {

namespace {

// Lists that lack a run before it counts as gone, since a worker cuts long lists.
constexpr int kMaxMissed = 3;

} // namespace

void
Scheduler::OnHoldReport(const WorkerId& aWorker, const HoldReport& aReport, const Now& aNow)
{
  const auto it = mFleet.find(aWorker);
  if (it == mFleet.end()) {
    return;
  }
  auto& worker = it->second;
  if (aReport.mBirth.Value() != 0 && aReport.mBirth != worker.mEntry.mBirth) {
    if (worker.mEntry.mBirth.Value() != 0) {
      OnWorkerReplaced(aWorker, aNow);
    }
    worker.mEntry.mBirth = aReport.mBirth;
    OnLeaseSent(aWorker, aNow);
  }
  if (!worker.mConfirmed) {
    // No earlier scheduler renews its lease from now on.
    worker.mConfirmed = true;
    worker.mHeldUntil = std::min(worker.mHeldUntil, aNow.mSteady + LongestHold());
  }
  for (const auto& ended : aReport.mFinished) {
    if (ended.mNumber <= worker.mSeen) {
      continue;
    }
    worker.mSeen = ended.mNumber;
    mHasUnstoredEnds = true;
    NoteWorkerResult(aWorker, ended.mRun, ended.mEnd, aNow);
    DropRun(worker, ended.mRun, ended.mEnd, ended.mCheckpoint, aNow);
  }
  ReadRunning(worker, aReport, aNow);
  CheckMissing(worker, aReport, aNow);
}

void
Scheduler::ReadRunning(Worker& aWorker, const HoldReport& aReport, const Now& aNow)
{
  for (const auto& it : aReport.mRunning) {
    auto* placed = aWorker.Find(it.mRun);
    if (!placed) {
      AdoptRun(aWorker, it, aReport.mClock, aNow);
      continue;
    }
    placed->mMissed = 0;
    placed->mKnownFrom = std::max(placed->mKnownFrom, aReport.mClock);
    if (placed->mPhase == RunPhase::Ordered) {
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
      Touch(it.mRun.mTask.mJob);
    }
    KeepCheckpoint(*job, it.mRun.mTask, it.mCheckpoint);
  }
}

void
Scheduler::CheckMissing(Worker& aWorker, const HoldReport& aReport, const Now& aNow)
{
  std::set<RunRef> listed;
  for (const auto& it : aReport.mRunning) {
    listed.insert(it.mRun);
  }
  const auto runs = aWorker.mRuns;
  for (const auto& it : runs) {
    if (listed.contains(it.mRun)) {
      continue;
    }
    if (it.mStopConfirmed && aReport.mClock > *it.mStopConfirmed) {
      DropRun(aWorker, it.mRun, RunEnd::Stopped, "", aNow);
    } else if (it.mPhase != RunPhase::Ordered && !it.mInFlight && aReport.mClock > it.mKnownFrom) {
      auto* placed = aWorker.Find(it.mRun);
      if (++placed->mMissed >= kMaxMissed) {
        LogEvent("run_vanished", LogLevel::Warning)
          .With("worker", aWorker.mEntry.mId)
          .With("job", it.mRun.mTask.mJob)
          .With("run", it.mRun.mRun);
        DropRun(aWorker, it.mRun, RunEnd::Lapsed, "", aNow);
      }
    }
  }
}

void
Scheduler::AdoptRun(Worker& aWorker, const RunningRun& aRun, WorkerClock aClock, const Now& aNow)
{
  PlacedRun placed;
  placed.mRun = aRun.mRun;
  placed.mPhase = RunPhase::Running;
  placed.mStarted = aNow.mSteady;
  placed.mKnownFrom = aClock;
  auto* job = FindMutable(aRun.mRun.mTask.mJob);
  auto* task = job ? job->FindStarted(aRun.mRun.mTask) : nullptr;
  if (job && aRun.mRun.mTask.mStep >= 0 &&
      aRun.mRun.mTask.mStep < static_cast<int>(job->Accepted().mSpec.mSteps.size())) {
    const auto& spec = job->Spec(aRun.mRun.mTask.mStep);
    placed.mDemand = spec.mDemand;
    placed.mCheckpointing = spec.mCheckpointing;
  }
  if (task && !job->IsOver() && task->mPhase == TaskPhase::Waiting &&
      aRun.mRun.mRun >= task->mRun && aRun.mRun.mRun > task->mEndedRun) {
    task->mPhase = TaskPhase::Active;
    task->mWorker = aWorker.mEntry.mId;
    task->mRun = aRun.mRun.mRun;
    task->mStarted = aNow.mSteady;
    task->mPercent = aRun.mPercent;
    job->mBegun = true;
    KeepCheckpoint(*job, aRun.mRun.mTask, aRun.mCheckpoint);
    Touch(aRun.mRun.mTask.mJob);
  }
  aWorker.Add(placed);
}

void
Scheduler::OnStartOutcome(const WorkerId& aWorker, const RunRef& aRun, OrderOutcome aOutcome,
                          WorkerClock aClock, const Now& aNow)
{
  const auto it = mFleet.find(aWorker);
  auto* placed = it == mFleet.end() ? nullptr : it->second.Find(aRun);
  if (!placed) {
    return;
  }
  placed->mInFlight = false;
  auto& worker = it->second;
  // An earlier start of the same run had no answer: it may have been carried out, or may yet be.
  const bool mayHaveStarted = placed->mUnanswered > 0;
  const auto refuse = [&](Duration aPause) {
    worker.mAvoidUntil = std::max(worker.mAvoidUntil, aNow.mSteady + aPause);
    if (mayHaveStarted) {
      // A confirmed stop keeps it from being carried out later.
      BeginStop(worker, *placed);
    } else {
      DropRun(worker, aRun, RunEnd::Stopped, "", aNow);
    }
  };
  switch (aOutcome) {
    case OrderOutcome::Done: {
      if (placed->mPhase == RunPhase::Ordered) {
        placed->mPhase = RunPhase::Running;
      }
      placed->mKnownFrom = std::max(placed->mKnownFrom, aClock);
      auto* job = FindMutable(aRun.mTask.mJob);
      if (job && !job->mBegun) {
        job->mBegun = true;
        Touch(aRun.mTask.mJob);
      }
      return;
    }
    case OrderOutcome::NoRoom:
      return refuse(mSettings.mNoRoomPause);
    case OrderOutcome::Unhealthy:
    case OrderOutcome::Invalid:
      return refuse(mSettings.mUnhealthyPause);
    case OrderOutcome::NotSent:
      if (!mayHaveStarted) {
        return refuse(mSettings.mNoRoomPause);
      }
      break;
    case OrderOutcome::Superseded:
      if (mayHaveStarted) {
        // It has run and ended there; the worker's next list has its end.
        placed->mPhase = RunPhase::Running;
        placed->mKnownFrom = std::max(placed->mKnownFrom, aClock);
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
  worker.mAvoidUntil = std::max(worker.mAvoidUntil, aNow.mSteady + mSettings.mNoRoomPause);
  if (++placed->mUnanswered >= mSettings.mMaxUnanswered && placed->mPhase == RunPhase::Ordered) {
    BeginStop(worker, *placed);
  }
}

void
Scheduler::OnStopOutcome(const WorkerId& aWorker, const RunRef& aRun, OrderOutcome aOutcome,
                         WorkerClock aClock, const Now& aNow)
{
  const auto it = mFleet.find(aWorker);
  auto* placed = it == mFleet.end() ? nullptr : it->second.Find(aRun);
  if (!placed) {
    return;
  }
  placed->mInFlight = false;
  if (aOutcome == OrderOutcome::Done) {
    placed->mStopConfirmed = aClock;
  } else if (aOutcome == OrderOutcome::WrongWorker) {
    OnWorkerReplaced(aWorker, aNow);
  }
}

} // namespace lovagerock::scheduler
