#include "scheduler/WaitScanner.h"

#include "scheduler/Concession.h"

#include <algorithm>
#include <chrono>
#include <tuple>
#include <utility>

namespace lovagerock::scheduler {

namespace {

// The number of workers that UnansweredWorkers names.
constexpr std::size_t kMaxNamedWorkers = 5;

Duration
Since(TimePoint aTime, const CurrentTime& aNow)
{
  return std::chrono::duration_cast<Duration>(aNow.mSteady - aTime);
}

WorkerId
IdOf(const WorkerId* aWorker)
{
  return aWorker ? *aWorker : WorkerId();
}

} // namespace

WaitReport
WaitScanner::Scan(const CurrentTime& aNow, bool aMayStart, const std::set<RunRef>& aHeldStarts)
{
  WaitReport report;
  report.mUnanswered = FindUnanswered(aNow);
  FindStops(aNow);
  std::vector<FoundWait> found;
  FindLateStarts(aNow, aHeldStarts, found);
  for (auto& [id, job] : mScheduler.mJobs) {
    if (!job.IsOver()) {
      AddJob(job, report.mUnanswered, aMayStart, aNow, found);
    }
  }
  std::sort(found.begin(), found.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.mWait.mWaited > aRight.mWait.mWaited;
  });
  const auto& placer = mScheduler.mPlacer;
  std::size_t examined = 0;
  report.mSteps.reserve(found.size());
  for (auto& it : found) {
    if (placer && it.mDue && examined < kMaxExaminedSteps) {
      ++examined;
      const bool isGang = it.mDue->mJob->Spec(it.mDue->mStep).mGang;
      const int most = mScheduler.mSettings.mMaxPlannedTasks;
      mScheduler.ListWaiting(*it.mDue, isGang ? it.mWait.mTasks : std::min(it.mWait.mTasks, most));
      Examine(*it.mDue, *placer, aNow, it.mWait);
    }
    report.mSteps.push_back(std::move(it.mWait));
  }
  return report;
}

UnansweredWorkers
WaitScanner::FindUnanswered(const CurrentTime& aNow)
{
  mSilentWorkers.clear();
  std::vector<const Worker*> unanswered;
  for (const auto& [id, worker] : mScheduler.mFleet) {
    if (worker.mHasAnswered) {
      continue;
    }
    if (worker.AcceptsWork()) {
      mSilentWorkers.emplace(worker.mEntry.mService, &id);
    }
    if ((worker.mRegistered || worker.mRecorded) && worker.mLeaseExpiry >= aNow.mSteady) {
      unanswered.push_back(&worker);
    }
  }
  std::stable_sort(unanswered.begin(), unanswered.end(), [](const auto* aLeft, const auto* aRight) {
    return aLeft->mLeaseExpiry > aRight->mLeaseExpiry;
  });
  UnansweredWorkers result;
  result.mCount = unanswered.size();
  for (const auto* it : unanswered) {
    if (result.mLast.size() == kMaxNamedWorkers) {
      break;
    }
    result.mLast.push_back(it->mEntry.mId);
  }
  if (!unanswered.empty()) {
    result.mLeft = std::chrono::ceil<Duration>(unanswered.front()->mLeaseExpiry - aNow.mSteady);
  }
  return result;
}

void
WaitScanner::FindStops(const CurrentTime& aNow)
{
  const auto known = std::exchange(mStops, {});
  mJobsWithStops.clear();
  for (const auto& [id, worker] : mScheduler.mFleet) {
    for (const auto& run : worker.mRuns) {
      if (run.mPhase != RunPhase::Stopping) {
        continue;
      }
      const auto& task = run.mRun.mTask;
      const auto it = known.find(task);
      mStops[task] = { &id, it == known.end() ? aNow.mSteady : it->second.mSince };
      mJobsWithStops.insert(task.mJob);
    }
  }
}

void
WaitScanner::FindLateStarts(const CurrentTime& aNow, const std::set<RunRef>& aHeldStarts,
                            std::vector<FoundWait>& aFound) const
{
  std::map<std::pair<StepKey, WaitReason>, WaitingStep> late;
  for (const auto& [id, worker] : mScheduler.mFleet) {
    for (const auto& run : worker.mRuns) {
      const auto waited = Since(run.mStarted, aNow);
      if (run.mPhase != RunPhase::Starting || waited < kMinReportedWait) {
        continue;
      }
      const auto& task = run.mRun.mTask;
      const auto reason =
        aHeldStarts.contains(run.mRun) ? WaitReason::StartHeld : WaitReason::StartUnanswered;
      auto& wait = late[{ { task.mJob, task.mOccurrence, task.mStep }, reason }];
      ++wait.mTasks;
      wait.mReason = reason;
      if (wait.mWorker.IsEmpty() || waited > wait.mWaited) {
        wait.mWaited = waited;
        wait.mWorker = id;
      }
    }
  }
  for (auto& [key, wait] : late) {
    std::tie(wait.mJob, wait.mOccurrence, wait.mStep) = key.first;
    aFound.push_back({ std::move(wait), std::nullopt });
  }
}

void
WaitScanner::AddJob(Job& aJob, const UnansweredWorkers& aUnanswered, bool aMayStart,
                    const CurrentTime& aNow, std::vector<FoundWait>& aFound) const
{
  const auto& id = aJob.Accepted().mId;
  const bool hasStops = mJobsWithStops.contains(id);
  for (const auto& [number, occurrence] : aJob.OpenOccurrences()) {
    for (std::size_t i = 0; i < occurrence.mSteps.size(); ++i) {
      const auto& step = occurrence.mSteps[i];
      const int index = static_cast<int>(i);
      const auto ready = occurrence.mReadySince[i];
      if (step.IsDone() || !aJob.IsStepReady(occurrence, index) ||
          Since(ready, aNow) < kMinReportedWait) {
        continue;
      }
      const auto groups = GroupTasks(step, { id, number, index, 0 }, ready, aNow, hasStops);
      WaitingStep wait;
      wait.mJob = id;
      wait.mOccurrence = number;
      wait.mStep = index;
      wait.mRunning = groups.mRunning;
      const bool isGang = aJob.Spec(index).mGang;
      const auto add = [&](const Group& aGroup, WaitReason aReason) {
        if (aGroup.mTasks == 0 || Since(aGroup.mSince, aNow) < kMinReportedWait) {
          return;
        }
        auto it = wait;
        it.mTasks = aGroup.mTasks;
        it.mWaited = Since(aGroup.mSince, aNow);
        it.mReason = aReason;
        it.mWorker = IdOf(aGroup.mWorker);
        if (aGroup.mWorker) {
          it.mLeft = LeaseLeft(*aGroup.mWorker, aNow);
        }
        aFound.push_back({ std::move(it), std::nullopt });
      };
      add(groups.mUnreported, WaitReason::RunUnreported);
      add(groups.mStopping, WaitReason::RunBeingStopped);
      const bool waitsForMembers =
        isGang && groups.mUnreported.mTasks + groups.mStopping.mTasks > 0;
      const auto found = aFound.size();
      if (!waitsForMembers) {
        add(groups.mWaiting, WaitReason::NotExamined);
      }
      if (aFound.size() == found) {
        continue;
      }
      auto& last = aFound.back();
      DescribeWaiting(aJob, groups, aUnanswered, aMayStart, last.mWait);
      if (last.mWait.mReason == WaitReason::NotExamined) {
        last.mDue = DueStep{ &aJob,  number,           index, {}, mScheduler.mEntitled.contains(id),
                             InTime, aJob.Objective(), false };
      }
    }
  }
}

WaitScanner::StepGroups
WaitScanner::GroupTasks(const Step& aStep, const TaskRef& aFirst, TimePoint aReady,
                        const CurrentTime& aNow, bool aHasStops) const
{
  StepGroups groups;
  auto ref = aFirst;
  const auto add = [&ref](Group& aGroup, TimePoint aSince, const WorkerId* aWorker) {
    ++aGroup.mTasks;
    if (aSince < aGroup.mSince) {
      aGroup.mSince = aSince;
      aGroup.mWorker = aWorker;
    }
  };
  for (std::size_t i = 0; i < aStep.mTasks.size(); ++i) {
    const auto& task = aStep.mTasks[i];
    ref.mIndex = static_cast<int>(i);
    const auto stop = aHasStops ? mStops.find(ref) : mStops.end();
    if (task.mPhase == TaskPhase::Done) {
      continue;
    }
    if (task.mPhase == TaskPhase::Active) {
      ++groups.mRunning;
      groups.mRunningWorker = &task.mWorker;
    } else if (mScheduler.MayRunUnreported(task, aNow)) {
      add(groups.mUnreported, aReady, &task.mWorker);
    } else if (stop != mStops.end()) {
      add(groups.mStopping, stop->second.mSince, stop->second.mWorker);
    } else if (task.mPhase == TaskPhase::Waiting) {
      add(groups.mWaiting, std::max(aReady, task.mWaitingSince), nullptr);
    }
  }
  if (aStep.Untouched() > 0) {
    add(groups.mWaiting, aReady, nullptr);
    groups.mWaiting.mTasks += aStep.Untouched() - 1;
  }
  return groups;
}

void
WaitScanner::DescribeWaiting(const Job& aJob, const StepGroups& aGroups,
                             const UnansweredWorkers& aUnanswered, bool aMayStart,
                             WaitingStep& aWait) const
{
  const bool isUnsettled = aJob.mInherited && !mScheduler.IsTakeoverSettled();
  const bool isIncomplete = aJob.Spec(aWait.mStep).mGang && aGroups.mRunning > 0;
  if (isUnsettled || isIncomplete) {
    aWait.mReason = isIncomplete ? WaitReason::GangIncomplete : WaitReason::TakeoverUnsettled;
    if (isUnsettled && aUnanswered.mCount > 0) {
      aWait.mWorker = aUnanswered.mLast.front();
      aWait.mLeft = aUnanswered.mLeft;
    } else {
      aWait.mWorker = IdOf(aGroups.mRunningWorker);
    }
  } else if (!aMayStart) {
    aWait.mReason = WaitReason::LeadershipUnconfirmed;
  }
}

std::optional<Duration>
WaitScanner::LeaseLeft(const WorkerId& aWorker, const CurrentTime& aNow) const
{
  const auto it = mScheduler.mFleet.find(aWorker);
  const auto until =
    it == mScheduler.mFleet.end() ? mScheduler.mInheritedUntil : it->second.mLeaseExpiry;
  return std::max(std::chrono::ceil<Duration>(until - aNow.mSteady), Duration(0));
}

void
WaitScanner::Examine(const DueStep& aDue, const Placer& aPlacer, const CurrentTime& aNow,
                     WaitingStep& aWait) const
{
  const StepKey key{ aDue.mJob->Accepted().mId, aDue.mOccurrence, aDue.mStep };
  auto request = mScheduler.RequestFor(aDue);
  if (const auto it = mScheduler.mGatherers.find(key); it != mScheduler.mGatherers.end()) {
    request.mGatherer = it->second;
  }
  mScheduler.AvoidFailures(aDue, request, aPlacer, aNow);
  request.mMaySpread =
    request.mStep->mRackLocal && mScheduler.MaySpread(aDue, request, aPlacer, aNow);
  const auto room = ReportRoom(request, aPlacer);
  aWait.mRoom = room;
  if (mScheduler.mReservations.contains(key)) {
    aWait.mReason = WaitReason::RunsBeingEvicted;
    return;
  }
  if (room.mRegistered == 0) {
    aWait.mReason = WaitReason::NoWorkers;
    return;
  }
  const int needed = request.mStep->mGang ? request.mCount : 1;
  auto unavoided = Concede(request, kAllConcessions);
  unavoided.mIgnoresPauses = true;
  unavoided.mIgnoresEvacuations = true;
  const auto silent = mSilentWorkers.find(request.mService);
  if (const auto reason = WhatKeepsFromRoom(request, needed, aPlacer)) {
    aWait.mReason = *reason;
  } else if (aPlacer.Room(unavoided).mFittingIdle >= needed) {
    aWait.mReason = WaitReason::NoRoom;
  } else if (silent != mSilentWorkers.end()) {
    aWait.mReason = WaitReason::WorkersUnanswered;
    aWait.mWorker = *silent->second;
    aWait.mLeft = LeaseLeft(aWait.mWorker, aNow);
  } else {
    aWait.mReason = WaitReason::NeverFits;
  }
}

} // namespace lovagerock::scheduler
