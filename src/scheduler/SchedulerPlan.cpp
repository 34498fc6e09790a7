#include "base/LogEvent.h"
#include "scheduler/Scheduler.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace lovagerock::scheduler {

namespace {

// The tasks of a step differ by up to this, and the longest one decides when the step is done.
constexpr double kSpeedMargin = 1.2;

} // namespace

Orders
Scheduler::Plan(const CurrentTime& aNow, bool aMayStart)
{
  Orders orders;
  mPlacer.reset();
  ExpireLeases(aNow);
  UpdateTakeoverSettled(aNow);
  mEntitled = EntitledJobs();
  mGatherers.clear();
  for (auto& [id, job] : mJobs) {
    if (!job.IsOver()) {
      job.OpenDueOccurrences(aNow.mWallMs, aNow.mSteady);
    }
  }
  ResolveUnreportedRuns(aNow);
  EvacuateDrainingWorkers(aNow);
  StopUnansweredStartsInEvacuatedZones();
  GiveUpRefusedGangMembers(aNow);
  StopUnwanted(aNow);
  mBeingStopped = TasksBeingStopped();
  if (aMayStart) {
    PlaceAllDue(aNow, orders);
    // If a member of a gang was evicted, the rest of the gang has to stop too.
    StopUnwanted(aNow);
  }
  AddStopsAndRetries(aNow, aMayStart, orders);
  mWasted.LogGrowth(aNow.mSteady);
  return orders;
}

void
Scheduler::PlaceAllDue(const CurrentTime& aNow, Orders& aOrders)
{
  mSpeeds.Refresh(mFleet, aNow.mSteady);
  auto& placer = mPlacer.emplace(mFleet, aNow.mSteady, &mSpeeds, mSettings.mMaxRunsPerWorker);
  mStartRoom = CountStartRoom();
  mSpeeds.ForgetSteps([this](const StepKey& aStep) {
    const auto* job = FindJob(std::get<0>(aStep));
    return !job || job->IsOver() || !job->OpenOccurrences().contains(std::get<1>(aStep));
  });
  std::erase_if(mWaitingLogged, [&aNow](const auto& aIt) {
    return aNow.mSteady - aIt.second > 2 * kWaitingLogPeriod;
  });
  std::erase_if(mStopsLogged, [&aNow](const auto& aIt) {
    return aNow.mSteady - aIt.second.second > 2 * kWaitingLogPeriod;
  });
  std::erase_if(mStopsPostponed, [&aNow](const auto& aIt) { return aIt.second <= aNow.mSteady; });
  mGatherTurns.Prune(aNow.mSteady);
  std::erase_if(mReservations,
                [&aNow](const auto& aIt) { return aIt.second.mUntil < aNow.mSteady; });
  for (const auto& [key, reservation] : mReservations) {
    for (const auto& worker : reservation.mWorkers) {
      placer.Reserve(worker, reservation.mDemand);
    }
  }
  PlaceRefusedGangMembers(placer, aNow, aOrders);
  auto steps = DueSteps(aNow);
  std::vector<JobGroup> groups;
  if (steps.size() > mSettings.mMaxPlannedSteps) {
    for (const auto& it : steps) {
      const auto& job = it.mJob->Accepted();
      groups.push_back(JobGroup::Of(job.mAccount, job.mQueue, it.mJob->Policy()));
    }
  } else {
    groups.resize(steps.size());
  }
  for (const auto position : mPlanWindow.Choose(groups)) {
    if (auto& due = steps[position]; TakeTasks(due)) {
      PlaceDue(due, placer, aNow, aOrders);
    }
  }
}

int
Scheduler::CountStartRoom() const
{
  int runs = 0;
  int starting = 0;
  for (const auto& [id, worker] : mFleet) {
    runs += static_cast<int>(worker.mRuns.size());
    starting += static_cast<int>(
      std::count_if(worker.mRuns.begin(), worker.mRuns.end(),
                    [](const auto& aRun) { return aRun.mPhase == RunPhase::Starting; }));
  }
  return std::min(mSettings.mMaxRuns - runs, mSettings.mMaxStartingRuns - starting);
}

int
Scheduler::CountWaiting(const Job& aJob, int aOccurrence, int aStep) const
{
  const auto& step = aJob.OpenOccurrences().at(aOccurrence).mSteps[aStep];
  TaskRef ref{ aJob.Accepted().mId, aOccurrence, aStep, 0 };
  int waiting = step.Untouched();
  for (const auto& task : step.mTasks) {
    waiting += IsWaiting(task, ref) ? 1 : 0;
    ++ref.mIndex;
  }
  return waiting;
}

void
Scheduler::ListWaiting(DueStep& aDue, int aLimit) const
{
  const auto& step = aDue.mJob->OpenOccurrences().at(aDue.mOccurrence).mSteps[aDue.mStep];
  TaskRef ref{ aDue.mJob->Accepted().mId, aDue.mOccurrence, aDue.mStep, 0 };
  for (const auto& task : step.mTasks) {
    if (IsWaiting(task, ref)) {
      aDue.mTasks.push_back(ref.mIndex);
    }
    ++ref.mIndex;
  }
  for (int i = 0; i < std::min(step.Untouched(), aLimit); ++i) {
    aDue.mTasks.push_back(ref.mIndex + i);
  }
  // A task that fails again and again must not take the place of others each time.
  std::stable_sort(aDue.mTasks.begin(), aDue.mTasks.end(), [&step](int aLeft, int aRight) {
    return step.At(aLeft).mWaitingSince < step.At(aRight).mWaitingSince;
  });
  if (static_cast<int>(aDue.mTasks.size()) > aLimit) {
    aDue.mTasks.resize(static_cast<std::size_t>(std::max(aLimit, 0)));
  }
}

bool
Scheduler::TakeTasks(DueStep& aDue) const
{
  const auto& spec = aDue.mJob->Spec(aDue.mStep);
  ListWaiting(aDue, std::min(spec.mGang ? spec.mCount : mSettings.mMaxPlannedTasks, mStartRoom));
  const bool isWhole = static_cast<int>(aDue.mTasks.size()) == spec.mCount;
  return !aDue.mTasks.empty() && (!spec.mGang || isWhole);
}

void
Scheduler::ExpireLeases(const CurrentTime& aNow)
{
  for (auto it = mFleet.begin(); it != mFleet.end();) {
    auto& worker = it->second;
    const bool isExpired = worker.mLeaseExpiry < aNow.mSteady;
    if (isExpired && !worker.mRuns.empty()) {
      DropAllRuns(worker, "lease_expired", aNow);
    }
    if (isExpired && !worker.mRegistered) {
      mDirtyRacks.insert(worker.mEntry.mRack);
      if (worker.mWasCalled) {
        mFormerWorkers.Add(it->first, { worker.mEntry.mIncarnation, worker.mHasRestarted,
                                        worker.mNeedsHigherToken });
      }
      it = mFleet.erase(it);
    } else {
      ++it;
    }
  }
}

void
Scheduler::UpdateTakeoverSettled(const CurrentTime& aNow)
{
  if (aNow.mSteady > mInheritedUntil) {
    mAwaitedWorkers.clear();
  }
  if (mIsTakeoverSettled) {
    return;
  }
  const bool isComplete = std::all_of(mFleet.begin(), mFleet.end(), [&aNow](const auto& aIt) {
    const auto& worker = aIt.second;
    const bool mayHaveRuns = worker.mRegistered || worker.mRecorded;
    return worker.mHasAnswered || !mayHaveRuns || worker.mLeaseExpiry < aNow.mSteady;
  });
  if (isComplete) {
    SettleTakeover();
  }
}

void
Scheduler::OnHandedOver(Duration aEarlierLeases, bool aNamesAllRuns, const CurrentTime& aNow)
{
  mInheritedUntil = std::min(mInheritedUntil, aNow.mSteady + aEarlierLeases);
  for (auto& [id, worker] : mFleet) {
    const auto inherited = std::min(worker.mLeaseExpiry, InheritedLeaseExpiry(worker));
    worker.mLeaseExpiry = std::max(inherited, worker.mOwnLeaseExpiry);
  }
  if (aNamesAllRuns) {
    SettleTakeover();
  }
}

Duration
Scheduler::EarlierLeases(const CurrentTime& aNow) const
{
  const bool isAnyUnanswered =
    !mAwaitedWorkers.empty() || std::any_of(mFleet.begin(), mFleet.end(), [&aNow](const auto& aIt) {
      return !aIt.second.mHasAnswered && aIt.second.mLeaseExpiry >= aNow.mSteady;
    });
  if (mIsTakeoverSettled && !isAnyUnanswered) {
    return Duration(0);
  }
  return std::max(std::chrono::ceil<Duration>(mInheritedUntil - aNow.mSteady), Duration(0));
}

void
Scheduler::SettleTakeover()
{
  mIsTakeoverSettled = true;
  LogEvent("takeover_settled").With("workers", mFleet.size()).With("jobs", mJobs.size());
}

void
Scheduler::ResolveUnreportedRuns(const CurrentTime& aNow)
{
  for (auto it = mUnreportedJobs.begin(); it != mUnreportedJobs.end();) {
    auto* job = FindMutable(*it);
    const bool isResolved = !job || job->IsOver() || ResolveUnreportedRuns(*job, aNow);
    it = isResolved ? mUnreportedJobs.erase(it) : std::next(it);
  }
}

bool
Scheduler::ResolveUnreportedRuns(Job& aJob, const CurrentTime& aNow)
{
  bool isResolved = true;
  int ended = 0;
  WorkerId lastWorker;
  for (auto& [number, occurrence] : aJob.OpenOccurrences()) {
    for (auto& step : occurrence.mSteps) {
      for (auto& task : step.mTasks) {
        if (MayRunUnreported(task, aNow)) {
          isResolved = false;
        } else if (task.mPhase == TaskPhase::Unreported) {
          task.mPhase = TaskPhase::Waiting;
          task.mWaitingSince = aNow.mSteady;
          lastWorker = std::exchange(task.mWorker, WorkerId());
          ++ended;
          MarkDirty(aJob.Accepted().mId);
        }
      }
    }
  }
  if (ended > 0) {
    LogEvent("unreported_runs_ended")
      .With("job", aJob.Accepted().mId)
      .With("runs", ended)
      .With("worker", lastWorker)
      .With("unresolved", !isResolved);
  }
  return isResolved;
}

void
Scheduler::StopUnansweredStartsInEvacuatedZones()
{
  for (auto& [id, worker] : mFleet) {
    if (!worker.mIsInEvacuatedZone) {
      continue;
    }
    for (auto& run : worker.mRuns) {
      if (run.mPhase == RunPhase::Starting && run.mUnansweredStarts > 0) {
        BeginStop(worker, run);
      }
    }
  }
}

void
Scheduler::EvacuateDrainingWorkers(const CurrentTime& aNow)
{
  for (auto& [id, worker] : mFleet) {
    if (!worker.mEntry.mDraining) {
      continue;
    }
    const auto remaining = worker.mEntry.mRemainingTime.count() > 0 ? worker.mEntry.mRemainingTime
                                                                    : mSettings.mMinDrainTime;
    const auto leavesAt = worker.mDrainingSince + remaining;
    for (auto& run : worker.mRuns) {
      const auto* job = FindJob(run.mRun.mTask.mJob);
      const bool isOfOpenTask = job && job->Find(run.mRun.mTask);
      if (run.mPhase == RunPhase::Stopping || !isOfOpenTask) {
        continue;
      }
      const auto& spec = job->Spec(run.mRun.mTask.mStep);
      const auto left = run.mProgress.Remaining(spec.mEstimate, run.mStarted, aNow.mSteady);
      if (spec.mLongRunning || aNow.mSteady + left > leavesAt) {
        LogStop("run_evacuated", id, run, aNow, JobId());
        run.mWasteCause = WasteCause::Drained;
        BeginStop(worker, run);
      }
    }
  }
}

void
Scheduler::StopUnwanted(const CurrentTime& aNow)
{
  for (auto& [id, worker] : mFleet) {
    for (auto& run : worker.mRuns) {
      if (run.mPhase != RunPhase::Stopping && !IsWanted(worker, run, aNow)) {
        run.mWasteCause = CauseOfStop(run);
        BeginStop(worker, run);
      }
    }
  }
}

std::set<TaskRef>
Scheduler::TasksBeingStopped() const
{
  std::set<TaskRef> tasks;
  for (const auto& [id, worker] : mFleet) {
    for (const auto& run : worker.mRuns) {
      if (run.mPhase == RunPhase::Stopping) {
        tasks.insert(run.mRun.mTask);
      }
    }
  }
  return tasks;
}

void
Scheduler::AddStopsAndRetries(const CurrentTime& aNow, bool aMayStart, Orders& aOrders)
{
  for (auto& [id, worker] : mFleet) {
    if (!worker.mHasAnswered) {
      continue;
    }
    for (auto& run : worker.mRuns) {
      if (run.mOrderInFlight || run.mStopConfirmedClock) {
        continue;
      }
      if (run.mPhase == RunPhase::Stopping &&
          (run.mLastOrderSent == TimePoint() ||
           aNow.mSteady - run.mLastOrderSent >= mSettings.mResendStopAfter)) {
        aOrders.mStops.push_back({ id, run.mRun });
        ++mCounts.mStops;
      } else if (aMayStart && run.mPhase == RunPhase::Starting && run.mUnansweredStarts > 0 &&
                 aNow.mSteady - run.mLastOrderSent >= mSettings.mResendStartAfter) {
        aOrders.mStarts.push_back(MakeStart(id, run.mRun));
        aOrders.mStarts.back().mIsRepeated = true;
      } else {
        continue;
      }
      run.mLastOrderSent = aNow.mSteady;
      run.mOrderInFlight = true;
    }
  }
}

StartOrder
Scheduler::MakeStart(const WorkerId& aWorker, const RunRef& aRun) const
{
  StartOrder order;
  order.mWorker = aWorker;
  order.mRun = aRun;
  const auto* job = FindJob(aRun.mTask.mJob);
  const auto* task = job ? job->Find(aRun.mTask) : nullptr;
  if (task) {
    const auto& occurrence = job->OpenOccurrences().at(aRun.mTask.mOccurrence);
    const bool isGang = job->Spec(aRun.mTask.mStep).mGang;
    order.mPayload = job->Accepted().mSpec.mPayload;
    order.mCheckpoint =
      isGang ? occurrence.mSteps[aRun.mTask.mStep].At(0).mCheckpoint : task->mCheckpoint;
  }
  return order;
}

std::set<JobId>
Scheduler::EntitledJobs() const
{
  std::map<AccountId, std::vector<const Job*>> urgent;
  for (const auto& [id, job] : mJobs) {
    if (!job.IsOver() && job.Policy().mPriority == 0) {
      urgent[job.Accepted().mAccount].push_back(&job);
    }
  }
  std::set<JobId> entitled;
  for (auto& [account, jobs] : urgent) {
    const auto it = mGuarantees.find(account);
    if (it == mGuarantees.end()) {
      continue;
    }
    std::sort(jobs.begin(), jobs.end(), [](const auto* aLeft, const auto* aRight) {
      return std::tuple(aLeft->AcceptedAt(), aLeft->Accepted().mId) <
             std::tuple(aRight->AcceptedAt(), aRight->Accepted().mId);
    });
    Accelerators sum;
    for (const auto* job : jobs) {
      if (sum + job->LargestStepAccelerators() <= it->second) {
        sum += job->LargestStepAccelerators();
        entitled.insert(job->Accepted().mId);
      }
    }
  }
  return entitled;
}

void
Scheduler::AddDue(Job& aJob, bool aIsEntitled, const CurrentTime& aNow,
                  std::vector<DueStep>& aDue) const
{
  // Computed for the first step that waits: most jobs only run.
  std::optional<PlanClass> jobClass;
  TimePoint objective;
  for (auto& [number, occurrence] : aJob.OpenOccurrences()) {
    for (std::size_t i = 0; i < occurrence.mSteps.size(); ++i) {
      const auto& step = occurrence.mSteps[i];
      const int index = static_cast<int>(i);
      if (step.IsDone() || !aJob.IsStepReady(occurrence, index)) {
        continue;
      }
      DueStep due{ &aJob, number, index, {}, aIsEntitled, InTime, {}, false };
      const int waiting = CountWaiting(aJob, number, index);
      if (waiting == 0 || (aJob.Spec(index).mGang && waiting < step.mCount)) {
        continue;
      }
      if (!jobClass) {
        objective = aJob.Objective();
        jobClass = aIsEntitled ? Entitled : ClassOf(aJob, objective, aNow);
      }
      due.mObjective = objective;
      due.mClass = ClassOfStep(*jobClass, step);
      due.mIsProtected =
        mGatherTurns.IsProtected({ aJob.Accepted().mId, number, index }, aNow.mSteady);
      due.mNeededSpeed = NeededSpeed(aJob, *jobClass, aJob.Spec(index).mLongRunning, aNow);
      aDue.push_back(std::move(due));
    }
  }
}

PlanClass
Scheduler::ClassOf(const Job& aJob, TimePoint aObjective, const CurrentTime& aNow) const
{
  const auto learned = aNow.mSteady + ExpectedRemainingTime(aJob, aNow);
  const auto byLearned = ClassOfJob({ aJob.AcceptedAt(), aObjective, learned });
  if (byLearned != Worthless) {
    return byLearned;
  }
  // Only the caller's own estimate puts a job behind all others, or an account whose estimates are
  // far off would never get its turn under load.
  const auto estimated = aNow.mSteady + aJob.RemainingRunTime();
  const auto byEstimate = ClassOfJob({ aJob.AcceptedAt(), aObjective, estimated });
  return byEstimate == Worthless ? Worthless : Late;
}

Duration
Scheduler::ExpectedRemainingTime(const Job& aJob, const CurrentTime& aNow) const
{
  const auto ratio =
    mRunTimes.Ratio(aJob.Accepted().mQueue, aJob.Accepted().mAccount, aNow.mSteady);
  return std::chrono::duration_cast<Duration>(aJob.RemainingRunTime() * ratio.mExpected);
}

double
Scheduler::NeededSpeed(const Job& aJob, PlanClass aClass, bool aIsLongRunning,
                       const CurrentTime& aNow) const
{
  using Milliseconds = std::chrono::duration<double, std::milli>;
  constexpr double kAny = 0;
  constexpr double kNormal = DecayedEstimate::kNeutral;
  // A task that lasts would keep a slow worker's speed for good.
  if (aIsLongRunning) {
    return kNormal;
  }
  if (aClass == Worthless) {
    return kAny;
  }
  const Milliseconds left = aJob.Objective() - aNow.mSteady;
  const auto ratio =
    mRunTimes.Ratio(aJob.Accepted().mQueue, aJob.Accepted().mAccount, aNow.mSteady);
  const Milliseconds needed = aJob.RemainingRunTime() * ratio.mCautious * kSpeedMargin;
  return left <= needed ? kNormal : needed / left;
}

std::vector<Scheduler::DueStep>
Scheduler::DueSteps(const CurrentTime& aNow)
{
  std::vector<DueStep> due;
  for (auto& [id, job] : mJobs) {
    if (!job.IsOver() && (mIsTakeoverSettled || !job.mInherited)) {
      AddDue(job, mEntitled.contains(id), aNow, due);
    }
  }
  UpdateAccountUsage(due, aNow);
  SortByRank(due, [this](const auto& aIt) { return RankOf(aIt); });
  return due;
}

void
Scheduler::UpdateAccountUsage(const std::vector<DueStep>& aDue, const CurrentTime& aNow)
{
  if (!mAccountUsage.IsUpdateDue(aNow.mSteady)) {
    return;
  }
  AccountLoads loads;
  for (const auto& [id, worker] : mFleet) {
    if (worker.MayGetRuns()) {
      loads.AddCapacity(worker.mEntry.mService, worker.mEntry.mCapacity);
    }
  }
  for (const auto& [id, job] : mJobs) {
    if (!job.IsOver()) {
      loads.AddRuns(job);
    }
  }
  for (const auto& it : aDue) {
    loads.AddWaiting(*it.mJob);
  }
  mAccountUsage.Update(loads, mGuarantees, aNow.mSteady);
}

StepRank
Scheduler::RankOf(const DueStep& aDue) const
{
  StepRank rank;
  rank.mClass = aDue.mClass;
  rank.mIsProtected = aDue.mIsProtected;
  const auto& policy = aDue.mJob->Policy();
  rank.mPriority = policy.mPriority;
  rank.mAccountLevel =
    mAccountUsage.LevelOf(ShareGroup::Of(policy), aDue.mJob->Accepted().mAccount);
  rank.mObjective = aDue.mObjective;
  rank.mKey = { aDue.mJob->Accepted().mId, aDue.mOccurrence, aDue.mStep };
  return rank;
}

} // namespace lovagerock::scheduler
