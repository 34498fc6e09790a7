#include "base/LogEvent.h"
#include "scheduler/Concession.h"
#include "scheduler/Scheduler.h"

#include <algorithm>

namespace lovagerock::scheduler {

namespace {

// While a smaller part of its service is in use, a step needs no further proof of room.
constexpr double kMostlyIdlePart = 0.5;
// Room counts as enough for a step if it holds the step this many times.
constexpr int kRoomFactor = 2;

// Whether runs leave enough room for the gang, or for one of the tasks, whatever keeps them from
// it.
bool
FitsBesideRuns(const PlacementRequest& aRequest, const Placer& aPlacer)
{
  auto request = Concede(aRequest, kAllConcessions);
  request.mIgnoresReservations = true;
  request.mCount = kRoomFactor * (aRequest.mStep->mGang ? aRequest.mCount : 1);
  // The room is what counts, so the limit of tasks on a worker grows with their number.
  auto step = *aRequest.mStep;
  step.mMaxPerWorker *= kRoomFactor;
  request.mStep = &step;
  return aPlacer.Fitting(request) >= request.mCount;
}

} // namespace

bool
Scheduler::IsBeingStopped(const TaskRef& aRef, const Task& aTask) const
{
  const auto it = mFleet.find(aTask.mWorker);
  if (aTask.mPhase != TaskPhase::Stopping || it == mFleet.end()) {
    return false;
  }
  const auto& runs = it->second.mRuns;
  return std::any_of(runs.begin(), runs.end(), [&](const auto& aRun) {
    return aRun.mRun.mTask == aRef && aRun.mLastConfirmedClock != WorkerClock();
  });
}

bool
Scheduler::HasRun(const Job& aJob) const
{
  for (const auto& [number, occurrence] : aJob.OpenOccurrences()) {
    TaskRef ref{ aJob.Accepted().mId, number, 0, 0 };
    for (const auto& step : occurrence.mSteps) {
      ref.mIndex = 0;
      for (const auto& task : step.mTasks) {
        if (task.mPhase == TaskPhase::Active || IsBeingStopped(ref, task)) {
          return true;
        }
        ++ref.mIndex;
      }
      ++ref.mStep;
    }
  }
  return false;
}

Duration
Scheduler::IdleTime(const DueStep& aDue, const CurrentTime& aNow) const
{
  const auto& job = *aDue.mJob;
  if (job.Spec(aDue.mStep).mLongRunning) {
    return std::chrono::duration_cast<Duration>(aNow.mSteady - WaitingSince(aDue));
  }
  if (HasRun(job)) {
    return Duration(0);
  }
  const auto ready = job.OpenOccurrences().at(aDue.mOccurrence).mReadySince[aDue.mStep];
  return std::chrono::duration_cast<Duration>(aNow.mSteady - std::max(ready, job.mRanUntil));
}

bool
Scheduler::IsIdleBesideRoom(const DueStep& aDue, const PlacementRequest& aRequest,
                            const Placer& aPlacer, const CurrentTime& aNow) const
{
  return IdleTime(aDue, aNow) >= mSettings.mMaxIdleBesideRoom &&
         (aPlacer.UsedPart(aRequest.mService) < kMostlyIdlePart ||
          FitsBesideRuns(aRequest, aPlacer));
}

bool
Scheduler::StartBesideRoom(const DueStep& aDue, const PlacementRequest& aRequest, Placer& aPlacer,
                           const CurrentTime& aNow, Orders& aOrders)
{
  if (!IsIdleBesideRoom(aDue, aRequest, aPlacer, aNow)) {
    return false;
  }
  auto request = aRequest;
  if (!aRequest.mStep->mGang) {
    request.mCount = 1;
  }
  for (const auto& it : kConcessions) {
    const auto workers = aPlacer.Place(Concede(request, it));
    if (!workers) {
      continue;
    }
    LogEvent("step_started_by_concession")
      .With("job", aDue.mJob->Accepted().mId)
      .With("step", aDue.mStep)
      .With("waited_for", WaitReasonName(it.mWaitReason))
      .With("several_racks", it.mSpreads && request.IsRackBound())
      .With("idle_ms", IdleTime(aDue, aNow));
    StartTasks(aDue, *workers, aPlacer, aNow, aOrders);
    return true;
  }
  return false;
}

bool
Scheduler::MayBePassed(const DueStep& aDue, const Placer& aPlacer, const CurrentTime& aNow) const
{
  if (aDue.mIsEntitled) {
    return WaitingTime(aDue, aNow) >= mSettings.mGuaranteedGatherTime;
  }
  const StepKey key{ aDue.mJob->Accepted().mId, aDue.mOccurrence, aDue.mStep };
  return !mGatherTurns.IsProtected(key, aNow.mSteady) ||
         aPlacer.UsedPart(aDue.mJob->Policy().mService) < kMostlyIdlePart;
}

} // namespace lovagerock::scheduler
