#include "scheduler/Scheduler.h"

#include <chrono>

namespace lovagerock::scheduler {

WasteCause
Scheduler::CauseOfStop(const PlacedRun& aRun)
{
  auto ref = aRun.mRun;
  const auto* job = FindJob(ref.mTask.mJob);
  if (job && job->State() == JobState::Cancelled) {
    return WasteCause::Cancelled;
  }
  if (job && job->State() == JobState::Failed) {
    return WasteCause::Failed;
  }
  const auto* task = job && !job->IsOver() ? job->Find(ref.mTask) : nullptr;
  if (!task || task->mRun != ref.mRun || !job->Spec(ref.mTask.mStep).mGang) {
    return WasteCause::Other;
  }
  // The gang is stopped for the same reason as the member that was stopped first.
  const auto& step = job->OpenOccurrences().at(ref.mTask.mOccurrence).mSteps[ref.mTask.mStep];
  for (std::size_t i = 0; i < step.mTasks.size(); ++i) {
    ref.mTask.mIndex = static_cast<int>(i);
    const auto it = mFleet.find(step.mTasks[i].mWorker);
    const auto* member = it == mFleet.end() ? nullptr : it->second.Find(ref);
    if (member && member->mWasteCause) {
      return *member->mWasteCause;
    }
  }
  return WasteCause::GangBroken;
}

void
Scheduler::CountWaste(const PlacedRun& aRun, RunEnd aEnd, const CurrentTime& aNow)
{
  if (aRun.mLongRunning && aRun.mWasteCause == WasteCause::Cancelled) {
    // It was meant to run until then.
    return;
  }
  const auto* job = FindJob(aRun.mRun.mTask.mJob);
  const bool isOfGang = job && job->Find(aRun.mRun.mTask) && job->Spec(aRun.mRun.mTask.mStep).mGang;
  EndedRun ended{ aRun.mDemand, aEnd, aRun.mWasteCause, Duration(0), Duration(0), Duration(0) };
  ended.mElapsed = std::chrono::duration_cast<Duration>(aNow.mSteady - aRun.mStarted);
  if (isOfGang) {
    const auto idleUntil = aRun.mProgress.IdleUntil().value_or(aRun.mStarted);
    ended.mWaited = std::chrono::duration_cast<Duration>(idleUntil - aRun.mStarted);
  }
  const StopPolicy policy(mSettings);
  const bool isStopped = aEnd == RunEnd::Stopped;
  ended.mUnsaved = isStopped ? policy.LostTime(aRun.mCheckpointing, ended.mElapsed)
                             : policy.UnsavedTime(aRun.mCheckpointing, ended.mElapsed);
  mWasted.OnEnded(ended);
}

} // namespace lovagerock::scheduler
