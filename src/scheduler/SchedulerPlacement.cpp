#include "base/LogEvent.h"
#include "scheduler/Scheduler.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace lovagerock::scheduler {

namespace {

// Returns the highest number that a run of the task is known to have had. A failed run of an
// earlier scheduler may have a higher one than the current run, and numbers tell failed runs apart.
int
HighestRun(const Task& aTask)
{
  int highest = aTask.mRun;
  for (const auto& it : aTask.mFailedRuns) {
    highest = std::max(highest, it.mRun);
  }
  return highest;
}

} // namespace

PlacementRequest
Scheduler::RequestFor(const DueStep& aDue) const
{
  const auto& spec = aDue.mJob->Spec(aDue.mStep);
  const auto& step = aDue.mJob->OpenOccurrences().at(aDue.mOccurrence).mSteps[aDue.mStep];
  PlacementRequest request;
  request.mService = aDue.mJob->Policy().mService;
  request.mStep = &spec;
  request.mCount = static_cast<int>(aDue.mTasks.size());
  request.mNeededSpeed = aDue.mNeededSpeed;
  // Failing jobs of other accounts must not delay a guaranteed step.
  request.mIgnoresTrials = aDue.mIsEntitled;
  // One more failure ends the job, so its last attempt isn't made where runs have just failed.
  const auto attempts = static_cast<std::size_t>(std::max(aDue.mJob->Policy().mMaxAttempts, 1));
  request.mAvoidsSuspects =
    std::any_of(step.mTasks.begin(), step.mTasks.end(), [attempts](const auto& aTask) {
      return !aTask.mFailedRuns.empty() && aTask.mFailedRuns.size() + 1 >= attempts;
    });
  std::vector<bool> isRequested(step.mTasks.size());
  for (const int index : aDue.mTasks) {
    if (const auto i = static_cast<std::size_t>(index); i < isRequested.size()) {
      isRequested[i] = true;
    }
  }
  for (std::size_t i = 0; i < step.mTasks.size(); ++i) {
    const auto& task = step.mTasks[i];
    const bool isPresent =
      !isRequested[i] && (task.mPhase == TaskPhase::Active || task.mPhase == TaskPhase::Stopping);
    if (isPresent && (spec.mMaxPerWorker > 0 || spec.mRackLocal)) {
      ++request.mPresent[task.mWorker];
      if (const auto it = mFleet.find(task.mWorker); spec.mRackLocal && it != mFleet.end()) {
        request.mRack = it->second.mEntry.mRack;
      }
    }
    request.mAvoidedWorkers.insert(request.mAvoidedWorkers.end(), task.mFailedWorkers.begin(),
                                   task.mFailedWorkers.end());
  }
  return request;
}

TimePoint
Scheduler::WaitingSince(const DueStep& aDue)
{
  const auto& occurrence = aDue.mJob->OpenOccurrences().at(aDue.mOccurrence);
  const auto ready = occurrence.mReadySince[aDue.mStep];
  auto since = TimePoint::max();
  for (const int index : aDue.mTasks) {
    const auto& task = occurrence.mSteps[aDue.mStep].At(index);
    since = std::min(since, std::max(ready, task.mWaitingSince));
  }
  return since;
}

void
Scheduler::AvoidFailures(const DueStep& aDue, PlacementRequest& aRequest, const Placer& aPlacer,
                         const CurrentTime& aNow) const
{
  const bool mayWait = aNow.mSteady - WaitingSince(aDue) < mSettings.mMaxAvoidance;
  // Tasks that last may fail again and again on a worker, which is on trial all the while then.
  aRequest.mIgnoresTrials = aRequest.mIgnoresTrials || (aRequest.mStep->mLongRunning && !mayWait);
  aRequest.mAvoidsSuspects =
    aRequest.mAvoidsSuspects && mayWait && aPlacer.FitsOnIdleWorkers(aRequest);
  if (aRequest.mAvoidedWorkers.empty() || !mayWait) {
    return;
  }
  auto elsewhere = aRequest;
  elsewhere.mExcludedWorkers.insert(elsewhere.mExcludedWorkers.end(),
                                    aRequest.mAvoidedWorkers.begin(),
                                    aRequest.mAvoidedWorkers.end());
  if (aPlacer.FitsOnIdleWorkers(elsewhere)) {
    aRequest = std::move(elsewhere);
  }
}

void
Scheduler::PlaceDue(const DueStep& aDue, Placer& aPlacer, const CurrentTime& aNow, Orders& aOrders)
{
  if (PlaceReserved(aDue, aPlacer, aNow, aOrders)) {
    return;
  }
  auto request = RequestFor(aDue);
  AvoidFailures(aDue, request, aPlacer, aNow);
  // A step that wouldn't fit even on idle workers isn't failed but waits for other workers.
  const auto& spec = *request.mStep;
  if (spec.mGang || spec.mRackLocal) {
    PlaceTogether(aDue, std::move(request), aPlacer, aNow, aOrders);
  } else {
    PlaceEach(aDue, request, aPlacer, aNow, aOrders);
  }
}

bool
Scheduler::PlaceReserved(const DueStep& aDue, Placer& aPlacer, const CurrentTime& aNow,
                         Orders& aOrders)
{
  const StepKey key{ aDue.mJob->Accepted().mId, aDue.mOccurrence, aDue.mStep };
  const auto it = mReservations.find(key);
  if (it == mReservations.end()) {
    return false;
  }
  const auto reservation = it->second;
  for (const auto& worker : reservation.mWorkers) {
    aPlacer.Release(worker, reservation.mDemand);
  }
  auto request = RequestFor(aDue);
  AvoidFailures(aDue, request, aPlacer, aNow);
  request.mMaySpread = reservation.mIsSpread;
  std::optional<std::vector<WorkerId>> workers;
  if (reservation.mWorkers.size() == aDue.mTasks.size()) {
    workers = aPlacer.Place(request);
  }
  if (workers) {
    mReservations.erase(it);
    StartTasks(aDue, *workers, aPlacer, aNow, aOrders);
    return true;
  }
  if (StartBesideRoom(aDue, request, aPlacer, aNow, aOrders)) {
    mReservations.erase(it);
    return true;
  }
  for (const auto& worker : reservation.mWorkers) {
    aPlacer.Reserve(worker, reservation.mDemand);
  }
  return reservation.mWorkers.size() == aDue.mTasks.size();
}

bool
Scheduler::MaySpread(const DueStep& aDue, const PlacementRequest& aRequest, const Placer& aPlacer,
                     const CurrentTime& aNow) const
{
  if (aRequest.mRack.IsEmpty() && !aPlacer.FitsOnIdleWorkers(aRequest)) {
    return true;
  }
  return aRequest.mStep->mLongRunning &&
         aNow.mSteady - WaitingSince(aDue) >= mSettings.mMaxAvoidance;
}

void
Scheduler::PlaceTogether(const DueStep& aDue, PlacementRequest aRequest, Placer& aPlacer,
                         const CurrentTime& aNow, Orders& aOrders)
{
  aRequest.mMaySpread = aRequest.mStep->mRackLocal && !aPlacer.Place(aRequest) &&
                        MaySpread(aDue, aRequest, aPlacer, aNow);
  // Concessions come before evictions, which throw work away.
  if (StartWhole(aDue, aRequest, aPlacer, aNow, aOrders) ||
      (aRequest.mStep->mGang && StartBesideRoom(aDue, aRequest, aPlacer, aNow, aOrders)) ||
      EvictFor(aDue, aRequest, aPlacer, aNow) || MoveGuaranteedFor(aDue, aRequest, aPlacer, aNow)) {
    return;
  }
  LogWaiting(aDue, aRequest, aPlacer, aNow);
  GatherCapacity(aDue, aRequest, aPlacer, aNow);
  if (!aRequest.mStep->mGang) {
    PlaceEach(aDue, aRequest, aPlacer, aNow, aOrders);
  }
}

bool
Scheduler::StartWhole(const DueStep& aDue, const PlacementRequest& aRequest, Placer& aPlacer,
                      const CurrentTime& aNow, Orders& aOrders)
{
  const auto workers = aPlacer.Place(aRequest);
  if (workers) {
    StartTasks(aDue, *workers, aPlacer, aNow, aOrders);
  }
  return workers.has_value();
}

Duration
Scheduler::WaitingTime(const DueStep& aDue, const CurrentTime& aNow)
{
  const auto ready = aDue.mJob->OpenOccurrences().at(aDue.mOccurrence).mReadySince[aDue.mStep];
  return std::chrono::duration_cast<Duration>(aNow.mSteady - ready);
}

void
Scheduler::PlaceEach(const DueStep& aDue, PlacementRequest& aRequest, Placer& aPlacer,
                     const CurrentTime& aNow, Orders& aOrders)
{
  const auto workers = aPlacer.PlaceSome(aRequest);
  if (workers.empty() && StartBesideRoom(aDue, aRequest, aPlacer, aNow, aOrders)) {
    return;
  }
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
  if (!EvictFor(rest, aRequest, aPlacer, aNow)) {
    LogWaiting(rest, aRequest, aPlacer, aNow);
  }
}

void
Scheduler::LogWaiting(const DueStep& aDue, const PlacementRequest& aRequest, const Placer& aPlacer,
                      const CurrentTime& aNow)
{
  if (!aDue.mIsEntitled) {
    return;
  }
  const StepKey key{ aDue.mJob->Accepted().mId, aDue.mOccurrence, aDue.mStep };
  auto& logged =
    mWaitingLogged.try_emplace(key, aNow.mSteady - WaitingTime(aDue, aNow)).first->second;
  if (aNow.mSteady - logged < kWaitingLogPeriod) {
    return;
  }
  logged = aNow.mSteady;
  const auto room = aPlacer.Room(aRequest);
  LogEvent("guaranteed_step_waits", LogLevel::Warning)
    .With("job", aDue.mJob->Accepted().mId)
    .With("step", aDue.mStep)
    .With("tasks", aRequest.mCount)
    .With("accelerators", aRequest.mStep->mDemand.mAccelerators)
    .With("cpu", aRequest.mStep->mDemand.mCpu)
    .With("one_rack", aRequest.IsRackBound())
    .With("label", aRequest.mStep->mRequiredLabel)
    .With("registered", room.mRegistered)
    .With("workers", room.mWorkers)
    .With("fitting", room.mFitting)
    .With("fitting_idle", room.mFittingIdle)
    .With("all_accelerators", room.mAccelerators)
    .With("guaranteed_in_use", GuaranteedInUse());
}

Accelerators
Scheduler::GuaranteedInUse() const
{
  Accelerators sum;
  for (const auto& [id, worker] : mFleet) {
    for (const auto& run : worker.mRuns) {
      if (mEntitled.contains(run.mRun.mTask.mJob)) {
        sum += run.mDemand.mAccelerators;
      }
    }
  }
  return sum;
}

void
Scheduler::GatherCapacity(const DueStep& aDue, const PlacementRequest& aRequest, Placer& aPlacer,
                          const CurrentTime& aNow)
{
  const bool isDue = WaitingTime(aDue, aNow) >= mSettings.mGatherAfter;
  const bool isAnyLeft = mGatherers.size() < mSettings.mMaxGatheringSteps;
  if (!aRequest.mStep->mGang || !isDue || !isAnyLeft) {
    return;
  }
  const StepKey key{ aDue.mJob->Accepted().mId, aDue.mOccurrence, aDue.mStep };
  if (!aDue.mIsEntitled && mGatherTurns.IsPausing(key, aNow.mSteady)) {
    return;
  }
  const bool mayEvict = MayEvictAny(aDue);
  const auto mayStop = [&](const PlacedRun& aRun) { return mayEvict && MayEvict(aRun, aDue); };
  if (const int gatherer = aPlacer.Gather(aRequest, mayStop, MayBePassed(aDue, aPlacer, aNow))) {
    mGatherers.emplace(key, gatherer);
    mGatherTurns.OnGathered(key, aNow.mSteady);
  }
}

void
Scheduler::StartTasks(const DueStep& aDue, const std::vector<WorkerId>& aWorkers, Placer& aPlacer,
                      const CurrentTime& aNow, Orders& aOrders, std::optional<int> aRun)
{
  const auto& job = *aDue.mJob;
  const auto& spec = job.Spec(aDue.mStep);
  auto& step = aDue.mJob->FindOrCreateOccurrence(aDue.mOccurrence).mSteps[aDue.mStep];
  int gangRun = 0;
  for (const auto& it : step.mTasks) {
    gangRun = std::max(gangRun, HighestRun(it));
  }
  int highestRun = 0;
  for (std::size_t i = 0; i < aWorkers.size(); ++i) {
    auto& task = step.Touch(aDue.mTasks[i]);
    task.mRun = aRun.value_or((spec.mGang ? gangRun : HighestRun(task)) + 1);
    highestRun = std::max(highestRun, task.mRun);
    task.mPhase = TaskPhase::Active;
    task.mWorker = aWorkers[i];
    task.mStarted = aNow.mSteady;
    task.mPercent = 0;
    PlacedRun placed;
    placed.mRun = { { job.Accepted().mId, aDue.mOccurrence, aDue.mStep, aDue.mTasks[i] },
                    task.mRun };
    placed.mDemand = spec.mDemand;
    placed.mStarted = aNow.mSteady;
    placed.mLastOrderSent = aNow.mSteady;
    placed.mOrderInFlight = true;
    placed.mCheckpointing = spec.mCheckpointing;
    placed.mLongRunning = spec.mLongRunning;
    mFleet.at(aWorkers[i]).Add(placed);
    aPlacer.Occupy(aWorkers[i], spec.mDemand);
    aOrders.mStarts.push_back(MakeStart(aWorkers[i], placed.mRun));
    ++mCounts.mStarts;
  }
  mStartRoom -= static_cast<int>(aWorkers.size());
  MarkDirty(job.Accepted().mId);
  LogEvent("step_started")
    .With("job", job.Accepted().mId)
    .With("occurrence", aDue.mOccurrence)
    .With("step", aDue.mStep)
    .With("tasks", aWorkers.size())
    .With("waiting", aDue.mTasks.size() - aWorkers.size())
    .With("highest_run", highestRun)
    .With("gang", spec.mGang)
    .With("class", aDue.mClass)
    .With("worker", aWorkers.front());
}

} // namespace lovagerock::scheduler
