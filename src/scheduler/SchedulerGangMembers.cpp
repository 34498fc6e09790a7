#include "base/LogEvent.h"
#include "scheduler/Scheduler.h"

#include <algorithm>
#include <set>

namespace lovagerock::scheduler {

namespace {

// The part of the time for which members of a gang wait for each other in which another worker is
// looked for. The rest is for the start on it.
constexpr int kReplacementPart = 2;
// The same of a guaranteed gang, which has no time to wait: it evicts others when it is planned
// anew.
constexpr Duration kGuaranteedReplacement{ 150 };

} // namespace

bool
Scheduler::AwaitsOtherWorker(const TaskRef& aTask, int aRun) const
{
  const auto it = mRefusedGangMembers.find(aTask);
  const auto* job = FindJob(aTask.mJob);
  const auto* task = job ? job->Find(aTask) : nullptr;
  return it != mRefusedGangMembers.end() && it->second.mRun == aRun && task && task->mRun == aRun &&
         task->mEndedRun < aRun && task->mPhase == TaskPhase::Waiting;
}

bool
Scheduler::KeepRefusedGangMember(Worker& aWorker, const PlacedRun& aRun, const CurrentTime& aNow)
{
  const auto run = aRun.mRun;
  const auto& ref = run.mTask;
  auto* job = FindMutable(ref.mJob);
  auto* task = job && !job->IsOver() ? job->Find(ref) : nullptr;
  // Only an order of this scheduler that the known incarnation has answered did nothing for
  // certain. The incarnation may carry out an order that was sent to an earlier one.
  const bool isKnown = aWorker.mHasAnswered && !aWorker.mNeedsHigherToken &&
                       aWorker.mEntry.mIncarnation != WorkerIncarnation();
  const bool didNothing = aRun.mPhase == RunPhase::Starting && aRun.mUnansweredStarts == 0 &&
                          !aRun.mIsReported && !aRun.mIsInherited &&
                          aRun.mLastConfirmedClock == WorkerClock();
  if (!task || !isKnown || !didNothing || !job->Spec(ref.mStep).mGang ||
      !IsWanted(aWorker, aRun, aNow)) {
    return false;
  }
  const auto& tasks = job->OpenOccurrences().at(ref.mOccurrence).mSteps[ref.mStep].mTasks;
  auto firstStart = aNow.mSteady;
  for (const auto& it : tasks) {
    firstStart = it.mPhase == TaskPhase::Active ? std::min(firstStart, it.mStarted) : firstStart;
  }
  const auto [it, isNew] = mRefusedGangMembers.try_emplace(ref);
  auto& member = it->second;
  if (isNew || member.mRun != run.mRun) {
    auto until = firstStart + mSettings.mGangTimeout / kReplacementPart;
    if (mEntitled.contains(ref.mJob)) {
      until = std::min(until, aNow.mSteady + kGuaranteedReplacement);
    }
    member = { run.mRun, until, {} };
  }
  member.mWorkers.push_back(aWorker.mEntry.mId);
  aWorker.Remove(run);
  // Its number counts as ended only if the member is given up.
  task->mPhase = TaskPhase::Waiting;
  task->mWaitingSince = aNow.mSteady;
  task->mWorker = WorkerId();
  task->mPercent = 0;
  MarkDirty(ref.mJob);
  return true;
}

bool
Scheduler::MayReplaceGangMember(const TaskRef& aTask, const RefusedGangMember& aMember,
                                const CurrentTime& aNow) const
{
  const auto* job = FindJob(aTask.mJob);
  if (!job || job->IsOver() || aNow.mSteady > aMember.mUntil) {
    return false;
  }
  bool isAnyPresent = false;
  TaskRef ref = aTask;
  ref.mIndex = 0;
  const auto& step = job->OpenOccurrences().at(aTask.mOccurrence).mSteps[aTask.mStep];
  if (step.Untouched() > 0) {
    return false;
  }
  for (const auto& it : step.mTasks) {
    const bool isPresent = it.mPhase == TaskPhase::Active && it.mRun == aMember.mRun;
    if (!isPresent && !AwaitsOtherWorker(ref, aMember.mRun)) {
      return false;
    }
    isAnyPresent = isAnyPresent || isPresent;
    ++ref.mIndex;
  }
  return isAnyPresent;
}

void
Scheduler::GiveUpRefusedGangMembers(const CurrentTime& aNow)
{
  std::vector<TaskRef> over;
  for (const auto& [ref, member] : mRefusedGangMembers) {
    const auto* job = FindJob(ref.mJob);
    const bool isOpen = job && !job->IsOver() && job->Find(ref);
    if (!isOpen || !MayReplaceGangMember(ref, member, aNow)) {
      over.push_back(ref);
    }
  }
  for (const auto& ref : over) {
    const int run = mRefusedGangMembers.at(ref).mRun;
    if (AwaitsOtherWorker(ref, run)) {
      auto* task = FindMutable(ref.mJob)->Find(ref);
      task->mEndedRun = std::max(task->mEndedRun, run);
      MarkDirty(ref.mJob);
      LogEvent("gang_member_given_up")
        .With("job", ref.mJob)
        .With("step", ref.mStep)
        .With("task", ref.mIndex)
        .With("run", run);
    }
    mRefusedGangMembers.erase(ref);
  }
}

void
Scheduler::PlaceRefusedGangMembers(Placer& aPlacer, const CurrentTime& aNow, Orders& aOrders)
{
  for (const auto& [ref, member] : mRefusedGangMembers) {
    auto* job = FindMutable(ref.mJob);
    const bool mayStart = (mIsTakeoverSettled || !job->mInherited) && !mBeingStopped.contains(ref);
    if (!mayStart || !AwaitsOtherWorker(ref, member.mRun) ||
        !MayReplaceGangMember(ref, member, aNow)) {
      continue;
    }
    const bool isEntitled = mEntitled.contains(ref.mJob);
    DueStep due{ job,
                 ref.mOccurrence,
                 ref.mStep,
                 { ref.mIndex },
                 isEntitled,
                 isEntitled ? Entitled : InTime,
                 job->Objective(),
                 false };
    due.mNeededSpeed = NeededSpeed(*job, due.mClass, job->Spec(ref.mStep).mLongRunning, aNow);
    auto request = RequestFor(due);
    request.mExcludedWorkers = member.mWorkers;
    request.mMaySpread = request.mStep->mRackLocal && IsInSeveralRacks(due);
    if (const auto workers = aPlacer.Place(request)) {
      LogEvent("gang_member_replaced")
        .With("job", ref.mJob)
        .With("step", ref.mStep)
        .With("task", ref.mIndex)
        .With("run", member.mRun)
        .With("from_worker", member.mWorkers.back())
        .With("worker", workers->front());
      StartTasks(due, *workers, aPlacer, aNow, aOrders, member.mRun);
    }
  }
}

bool
Scheduler::IsInSeveralRacks(const DueStep& aDue) const
{
  std::set<RackId> racks;
  const auto& occurrence = aDue.mJob->OpenOccurrences().at(aDue.mOccurrence);
  for (const auto& task : occurrence.mSteps[aDue.mStep].mTasks) {
    const auto it = mFleet.find(task.mWorker);
    if (task.mPhase == TaskPhase::Active && it != mFleet.end()) {
      racks.insert(it->second.mEntry.mRack);
    }
  }
  return racks.size() > 1;
}

} // namespace lovagerock::scheduler
