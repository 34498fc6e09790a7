#include "base/LogEvent.h"
#include "scheduler/Scheduler.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace lovagerock::scheduler {

namespace {

// A job earns nothing after this many times its objective.
constexpr int kWorthlessAfter = 3;
// One accelerator is worth as much as this many cores when lost work is compared.
constexpr double kCoresPerAccelerator = 8;
// Work on a run that saves its progress is never lost for longer than this.
constexpr Duration kSavedWithin{ 500 };

// The order in which due work is placed; within one, priority and objective decide.
enum PlanClass : int
{
  // The account asks for no more than what it is guaranteed.
  Entitled = 0,
  InTime = 1,
  Late = 2,
  Worthless = 3,
};

} // namespace

Orders
Scheduler::Plan(const Now& aNow)
{
  Orders orders;
  ExpireLeases(aNow);
  UpdateSettled(aNow);
  mEntitled = EntitledJobs();
  mGathering = 0;
  for (auto& [id, job] : mJobs) {
    if (!job.IsOver()) {
      job.OpenDue(aNow.mWallMs, aNow.mSteady);
    }
  }
  LeaveDrainingWorkers(aNow);
  StopUnwanted(aNow);
  Placer placer(mFleet, aNow.mSteady);
  std::erase_if(mReservations,
                [&aNow](const auto& aIt) { return aIt.second.mUntil < aNow.mSteady; });
  for (const auto& [key, reservation] : mReservations) {
    for (const auto& worker : reservation.mWorkers) {
      placer.SetAside(worker, reservation.mDemand);
    }
  }
  for (const auto& due : DueSteps(aNow)) {
    PlaceDue(due, placer, aNow, orders);
  }
  // The rest of the gangs of which a member was stopped to make room.
  StopUnwanted(aNow);
  SendAgain(aNow, orders);
  return orders;
}

void
Scheduler::ExpireLeases(const Now& aNow)
{
  for (auto it = mFleet.begin(); it != mFleet.end();) {
    auto& worker = it->second;
    const bool isExpired = worker.mHeldUntil < aNow.mSteady;
    if (isExpired && !worker.mRuns.empty()) {
      LogEvent("worker_lease_expired", LogLevel::Warning)
        .With("worker", it->first)
        .With("runs", worker.mRuns.size());
      DropAllRuns(worker, aNow);
    }
    if (isExpired && !worker.mListed) {
      mDirtyRacks.insert(worker.mEntry.mRack);
      it = mFleet.erase(it);
    } else {
      ++it;
    }
  }
}

void
Scheduler::UpdateSettled(const Now& aNow)
{
  const bool isOver = aNow.mSteady > mInheritedUntil;
  if (isOver) {
    mAwaited.clear();
  }
  if (mIsSettled) {
    return;
  }
  const bool allAnswered = std::all_of(mFleet.begin(), mFleet.end(), [](const auto& aIt) {
    return aIt.second.mConfirmed || !(aIt.second.mListed || aIt.second.mRecorded);
  });
  if (allAnswered || isOver) {
    Settle();
  }
}

void
Scheduler::OnHandedOver(const Now& aNow)
{
  mInheritedUntil = std::min(mInheritedUntil, aNow.mSteady + LongestHold());
  for (auto& [id, worker] : mFleet) {
    worker.mHeldUntil = std::min(worker.mHeldUntil, mInheritedUntil);
  }
  Settle();
}

void
Scheduler::Settle()
{
  mIsSettled = true;
  LogEvent("takeover_settled").With("workers", mFleet.size()).With("jobs", mJobs.size());
}

void
Scheduler::LeaveDrainingWorkers(const Now& aNow)
{
  for (auto& [id, worker] : mFleet) {
    if (!worker.mEntry.mDraining) {
      continue;
    }
    const auto remaining =
      worker.mEntry.mRemaining.count() > 0 ? worker.mEntry.mRemaining : mSettings.mDrain;
    const auto leaves = worker.mDrainingSince + remaining;
    for (auto& run : worker.mRuns) {
      const auto* job = FindJob(run.mRun.mTask.mJob);
      const auto* task = job ? job->Find(run.mRun.mTask) : nullptr;
      if (run.mPhase == RunPhase::Stopping || !task) {
        continue;
      }
      const auto estimate = job->Spec(run.mRun.mTask.mStep).mEstimate;
      const auto left = estimate * (100 - std::clamp(task->mPercent, 0, 100)) / 100;
      if (job->Spec(run.mRun.mTask.mStep).mLongRunning || aNow.mSteady + left > leaves) {
        BeginStop(worker, run);
      }
    }
  }
}

void
Scheduler::StopUnwanted(const Now& aNow)
{
  for (auto& [id, worker] : mFleet) {
    for (auto& run : worker.mRuns) {
      if (run.mPhase != RunPhase::Stopping && !IsWanted(worker, run, aNow)) {
        BeginStop(worker, run);
      }
    }
  }
}

void
Scheduler::SendAgain(const Now& aNow, Orders& aOrders)
{
  for (auto& [id, worker] : mFleet) {
    if (!worker.mConfirmed) {
      continue;
    }
    for (auto& run : worker.mRuns) {
      if (run.mInFlight || run.mStopConfirmed) {
        continue;
      }
      if (run.mPhase == RunPhase::Stopping &&
          (run.mOrdered == TimePoint() ||
           aNow.mSteady - run.mOrdered >= mSettings.mStopAgainAfter)) {
        aOrders.mStops.push_back({ id, run.mRun });
        ++mCounts.mStops;
      } else if (run.mPhase == RunPhase::Ordered && run.mUnanswered > 0 &&
                 aNow.mSteady - run.mOrdered >= mSettings.mResendAfter) {
        aOrders.mStarts.push_back(MakeStart(id, run.mRun));
      } else {
        continue;
      }
      run.mOrdered = aNow.mSteady;
      run.mInFlight = true;
    }
  }
}

StartOrder
Scheduler::MakeStart(const WorkerId& aWorker, const RunRef& aRun) const
{
  StartOrder order{ aWorker, aRun, "", "" };
  const auto* job = FindJob(aRun.mTask.mJob);
  const auto* task = job ? job->Find(aRun.mTask) : nullptr;
  if (task) {
    const auto& occurrence = job->Open().at(aRun.mTask.mOccurrence);
    const bool isGang = job->Spec(aRun.mTask.mStep).mGang;
    order.mPayload = job->Accepted().mSpec.mPayload;
    order.mCheckpoint =
      isGang ? occurrence.mSteps[aRun.mTask.mStep].mTasks.front().mCheckpoint : task->mCheckpoint;
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
Scheduler::AddDue(Job& aJob, bool aIsEntitled, const Now& aNow, std::vector<DueStep>& aDue) const
{
  const auto objective = aJob.Objective();
  const auto whole = objective - aJob.AcceptedAt();
  const auto end = aNow.mSteady + aJob.RemainingRunTime();
  int planClass = InTime;
  if (aIsEntitled) {
    planClass = Entitled;
  } else if (end > aJob.AcceptedAt() + whole * kWorthlessAfter) {
    planClass = Worthless;
  } else if (end > objective) {
    planClass = Late;
  }
  for (auto& [number, occurrence] : aJob.Open()) {
    for (std::size_t i = 0; i < occurrence.mSteps.size(); ++i) {
      const auto& step = occurrence.mSteps[i];
      const int index = static_cast<int>(i);
      if (step.IsDone() || !aJob.IsStepReady(occurrence, index)) {
        continue;
      }
      DueStep due{ &aJob, number, index, {}, aIsEntitled, planClass, objective };
      for (std::size_t j = 0; j < step.mTasks.size(); ++j) {
        const auto& task = step.mTasks[j];
        if (task.mPhase == TaskPhase::Waiting && !MayRunUnseen(task, aNow)) {
          due.mTasks.push_back(static_cast<int>(j));
        }
      }
      const bool isWhole = due.mTasks.size() == step.mTasks.size();
      if (!due.mTasks.empty() && (isWhole || !aJob.Spec(index).mGang)) {
        aDue.push_back(std::move(due));
      }
    }
  }
}

std::vector<Scheduler::DueStep>
Scheduler::DueSteps(const Now& aNow)
{
  std::vector<DueStep> due;
  for (auto& [id, job] : mJobs) {
    if (!job.IsOver() && (mIsSettled || !job.mInherited)) {
      AddDue(job, mEntitled.contains(id), aNow, due);
    }
  }
  const auto rank = [](const DueStep& aIt) {
    const bool isWorthless = aIt.mClass == Worthless;
    return std::tuple(aIt.mClass != Entitled, isWorthless, aIt.mJob->Policy().mPriority, aIt.mClass,
                      aIt.mObjective);
  };
  std::sort(due.begin(), due.end(), [&rank](const auto& aLeft, const auto& aRight) {
    const auto left = rank(aLeft);
    const auto right = rank(aRight);
    if (left != right) {
      return left < right;
    }
    return std::tuple(aLeft.mJob->Accepted().mId, aLeft.mOccurrence, aLeft.mStep) <
           std::tuple(aRight.mJob->Accepted().mId, aRight.mOccurrence, aRight.mStep);
  });
  return due;
}

PlacementRequest
Scheduler::RequestFor(const DueStep& aDue) const
{
  const auto& spec = aDue.mJob->Spec(aDue.mStep);
  const auto& step = aDue.mJob->Open().at(aDue.mOccurrence).mSteps[aDue.mStep];
  PlacementRequest request;
  request.mService = aDue.mJob->Policy().mService;
  request.mStep = &spec;
  request.mCount = static_cast<int>(aDue.mTasks.size());
  for (const auto& task : step.mTasks) {
    const bool isPresent = task.mPhase == TaskPhase::Active || task.mPhase == TaskPhase::Stopping;
    if (isPresent && (spec.mMaxPerWorker > 0 || spec.mRackLocal)) {
      ++request.mPresent[task.mWorker];
      if (const auto it = mFleet.find(task.mWorker); spec.mRackLocal && it != mFleet.end()) {
        request.mRack = it->second.mEntry.mRack;
      }
    }
    request.mAvoid.insert(request.mAvoid.end(), task.mAvoid.begin(), task.mAvoid.end());
  }
  return request;
}

void
Scheduler::PlaceDue(const DueStep& aDue, Placer& aPlacer, const Now& aNow, Orders& aOrders)
{
  if (PlaceReserved(aDue, aPlacer, aNow, aOrders)) {
    return;
  }
  auto request = RequestFor(aDue);
  // Work that no worker could take even if all were free waits for other workers.
  const auto& spec = *request.mStep;
  if (spec.mGang || spec.mRackLocal) {
    PlaceWhole(aDue, request, aPlacer, aNow, aOrders);
  } else {
    PlaceEach(aDue, request, aPlacer, aNow, aOrders);
  }
}

bool
Scheduler::PlaceReserved(const DueStep& aDue, Placer& aPlacer, const Now& aNow, Orders& aOrders)
{
  const StepKey key{ aDue.mJob->Accepted().mId, aDue.mOccurrence, aDue.mStep };
  const auto it = mReservations.find(key);
  if (it == mReservations.end()) {
    return false;
  }
  const auto reservation = it->second;
  for (const auto& worker : reservation.mWorkers) {
    aPlacer.GiveBack(worker, reservation.mDemand);
  }
  auto request = RequestFor(aDue);
  std::optional<std::vector<WorkerId>> workers;
  if (reservation.mWorkers.size() == aDue.mTasks.size()) {
    workers = aPlacer.Place(request);
  }
  if (workers) {
    mReservations.erase(it);
    StartTasks(aDue, *workers, aPlacer, aNow, aOrders);
    return true;
  }
  for (const auto& worker : reservation.mWorkers) {
    aPlacer.SetAside(worker, reservation.mDemand);
  }
  return reservation.mWorkers.size() == aDue.mTasks.size();
}

void
Scheduler::PlaceWhole(const DueStep& aDue, PlacementRequest& aRequest, Placer& aPlacer,
                      const Now& aNow, Orders& aOrders)
{
  // Tasks that can't share a rack even if it were empty run in several.
  auto relaxed = *aRequest.mStep;
  const bool isSplit =
    relaxed.mRackLocal && aRequest.mRack.IsEmpty() && !aPlacer.FitsEmpty(aRequest);
  if (isSplit) {
    relaxed.mRackLocal = false;
    aRequest.mStep = &relaxed;
  }
  if (const auto workers = aPlacer.Place(aRequest)) {
    StartTasks(aDue, *workers, aPlacer, aNow, aOrders);
    return;
  }
  if (MakeRoom(aDue, aRequest, aPlacer, aNow)) {
    return;
  }
  GatherRoom(aDue, aRequest, aPlacer, aNow);
  if (!relaxed.mGang) {
    PlaceEach(aDue, aRequest, aPlacer, aNow, aOrders);
  }
}

void
Scheduler::PlaceEach(const DueStep& aDue, PlacementRequest& aRequest, Placer& aPlacer,
                     const Now& aNow, Orders& aOrders)
{
  const auto workers = aPlacer.PlaceSome(aRequest);
  if (!workers.empty()) {
    StartTasks(aDue, workers, aPlacer, aNow, aOrders);
  }
  if (workers.size() == aDue.mTasks.size()) {
    return;
  }
  auto rest = aDue;
  rest.mTasks.erase(rest.mTasks.begin(), rest.mTasks.begin() + static_cast<long>(workers.size()));
  aRequest.mCount = static_cast<int>(rest.mTasks.size());
  for (const auto& it : workers) {
    ++aRequest.mPresent[it];
  }
  MakeRoom(rest, aRequest, aPlacer, aNow);
}

std::optional<double>
Scheduler::CostOfStopping(const PlacedRun& aRun, const DueStep& aFor,
                          const std::set<JobId>& aEntitled, const Now& aNow) const
{
  const auto* victim = FindJob(aRun.mRun.mTask.mJob);
  if (!victim || victim == aFor.mJob) {
    return std::nullopt;
  }
  const int priority = victim->Policy().mPriority;
  const int own = aFor.mJob->Policy().mPriority;
  const bool isOverShare =
    priority == 0 && own == 0 && aFor.mIsEntitled && !aEntitled.contains(victim->Accepted().mId);
  if (priority <= own && !isOverShare) {
    return std::nullopt;
  }
  const auto& spec = victim->Spec(aRun.mRun.mTask.mStep);
  const auto elapsed = std::chrono::duration_cast<Duration>(aNow.mSteady - aRun.mStarted);
  const auto lost = aRun.mCheckpointing ? std::min(elapsed, kSavedWithin) : elapsed;
  const double width =
    static_cast<double>(spec.mDemand.mCpu.Value()) / 1000 +
    kCoresPerAccelerator * static_cast<double>(spec.mDemand.mAccelerators.Value());
  const double members = spec.mGang ? spec.mCount : 1;
  return width * members * (static_cast<double>(lost.count()) + 100);
}

void
Scheduler::GatherRoom(const DueStep& aDue, const PlacementRequest& aRequest, Placer& aPlacer,
                      const Now& aNow)
{
  const auto ready = aDue.mJob->Open().at(aDue.mOccurrence).mReady[aDue.mStep];
  const bool isDue = aNow.mSteady - ready >= mSettings.mGatherAfter;
  if (aRequest.mStep->mGang && isDue && mGathering < mSettings.mMaxGathering) {
    ++mGathering;
    aPlacer.Gather(aRequest);
  }
}

bool
Scheduler::MakeRoom(const DueStep& aDue, const PlacementRequest& aRequest, Placer& aPlacer,
                    const Now& aNow)
{
  if (aDue.mJob->Policy().mPriority != 0 || aDue.mClass == Worthless) {
    return false;
  }
  const auto plan = aPlacer.Evict(
    aRequest, [&](const PlacedRun& aRun) { return CostOfStopping(aRun, aDue, mEntitled, aNow); });
  if (!plan) {
    return false;
  }
  for (const auto& [worker, run] : plan->mVictims) {
    LogEvent("run_evicted")
      .With("job", run.mTask.mJob)
      .With("worker", worker)
      .With("run", run.mRun)
      .With("for_job", aDue.mJob->Accepted().mId);
    StopRun(worker, run);
    ++mCounts.mEvictions;
  }
  for (const auto& worker : plan->mWorkers) {
    aPlacer.SetAside(worker, aRequest.mStep->mDemand);
  }
  const StepKey key{ aDue.mJob->Accepted().mId, aDue.mOccurrence, aDue.mStep };
  mReservations[key] = { plan->mWorkers, aRequest.mStep->mDemand,
                         aNow.mSteady + mSettings.mReservation };
  return true;
}

void
Scheduler::StartTasks(const DueStep& aDue, const std::vector<WorkerId>& aWorkers, Placer& aPlacer,
                      const Now& aNow, Orders& aOrders)
{
  const auto& job = *aDue.mJob;
  const auto& spec = job.Spec(aDue.mStep);
  auto& step = aDue.mJob->At(aDue.mOccurrence).mSteps[aDue.mStep];
  int gangRun = 0;
  for (const auto& it : step.mTasks) {
    gangRun = std::max(gangRun, it.mRun);
  }
  for (std::size_t i = 0; i < aWorkers.size(); ++i) {
    auto& task = step.mTasks[aDue.mTasks[i]];
    task.mRun = (spec.mGang ? gangRun : task.mRun) + 1;
    task.mPhase = TaskPhase::Active;
    task.mWorker = aWorkers[i];
    task.mStarted = aNow.mSteady;
    task.mPercent = 0;
    PlacedRun placed;
    placed.mRun = { { job.Accepted().mId, aDue.mOccurrence, aDue.mStep, aDue.mTasks[i] },
                    task.mRun };
    placed.mDemand = spec.mDemand;
    placed.mStarted = aNow.mSteady;
    placed.mOrdered = aNow.mSteady;
    placed.mInFlight = true;
    placed.mCheckpointing = spec.mCheckpointing;
    mFleet.at(aWorkers[i]).Add(placed);
    aPlacer.SetAside(aWorkers[i], spec.mDemand);
    aOrders.mStarts.push_back(MakeStart(aWorkers[i], placed.mRun));
    ++mCounts.mStarts;
  }
  Touch(job.Accepted().mId);
  LogEvent("step_started")
    .With("job", job.Accepted().mId)
    .With("occurrence", aDue.mOccurrence)
    .With("step", aDue.mStep)
    .With("tasks", aWorkers.size())
    .With("waiting", aDue.mTasks.size() - aWorkers.size())
    .With("gang", spec.mGang)
    .With("class", aDue.mClass)
    .With("worker", aWorkers.front());
}

} // namespace lovagerock::scheduler
