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

bool
HasActiveTask(const Job& aJob)
{
  const auto& occurrences = aJob.OpenOccurrences();
  return std::any_of(occurrences.begin(), occurrences.end(), [](const auto& aOccurrence) {
    const auto& steps = aOccurrence.second.mSteps;
    return std::any_of(steps.begin(), steps.end(), [](const auto& aStep) {
      return std::any_of(aStep.mTasks.begin(), aStep.mTasks.end(),
                         [](const auto& aTask) { return aTask.mPhase == TaskPhase::Active; });
    });
  });
}

// Whether runs leave enough room for the gang, or for one of the tasks, whatever keeps them from
// it.
bool
FitsBesideRuns(const PlacementRequest& aRequest, const Placer& aPlacer)
{
  auto request = Concede(aRequest, kAllConcessions);
  request.mIgnoresReservations = true;
  request.mCount = kRoomFactor * (aRequest.mStep->mGang ? aRequest.mCount : 1);
  return aPlacer.Fitting(request) >= request.mCount;
}

} // namespace

bool
Scheduler::IsIdleBesideRoom(const DueStep& aDue, const PlacementRequest& aRequest,
                            const Placer& aPlacer, const CurrentTime& aNow) const
{
  if (aNow.mSteady - WaitingSince(aDue) < mSettings.mMaxIdleBesideRoom) {
    return false;
  }
  const bool isIdle = aRequest.mStep->mLongRunning || !HasActiveTask(*aDue.mJob);
  return isIdle && (aPlacer.UsedPart(aRequest.mService) < kMostlyIdlePart ||
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
      .With("several_racks", it.mSpreads)
      .With("waited_ms", std::chrono::duration_cast<Duration>(aNow.mSteady - WaitingSince(aDue)));
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
