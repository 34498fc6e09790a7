#include "base/LogEvent.h"
#include "scheduler/Scheduler.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <numeric>
#include <optional>
#include <utility>

namespace lovagerock::scheduler {

namespace {

// The cost of waiting for a run to end, per second until its expected end. Small against any stop.
constexpr double kCostOfWaiting = 0.001;
// A run isn't expected to end by itself if its worker has reported nothing of it for so long.
constexpr Duration kMaxSilence{ 2000 };
// Stops that are too costly for a step aren't weighed again for this time. The step's gain grows
// slowly, and the search goes through all runs.
constexpr Duration kWeighingPause{ 200 };

} // namespace

bool
Scheduler::MayEvict(const PlacedRun& aRun, const DueStep& aFor) const
{
  const auto* victim = FindJob(aRun.mRun.mTask.mJob);
  if (!victim || victim == aFor.mJob) {
    return false;
  }
  const int priority = victim->Policy().mPriority;
  const int ownPriority = aFor.mJob->Policy().mPriority;
  const bool isAboveGuarantee = priority == 0 && ownPriority == 0 && aFor.mIsEntitled &&
                                !mEntitled.contains(victim->Accepted().mId);
  return priority > ownPriority || isAboveGuarantee;
}

bool
Scheduler::MayEvictAny(const DueStep& aFor)
{
  return aFor.mJob->Policy().mPriority == 0 && aFor.mClass != Worthless;
}

bool
Scheduler::MayMove(const PlacedRun& aRun, const DueStep& aFor) const
{
  const auto* victim = FindJob(aRun.mRun.mTask.mJob);
  if (!victim || victim == aFor.mJob || !mEntitled.contains(victim->Accepted().mId) ||
      !victim->Find(aRun.mRun.mTask)) {
    return false;
  }
  return !victim->Spec(aRun.mRun.mTask.mStep).mLongRunning;
}

double
Scheduler::CostOfStopping(const PlacedRun& aRun, JobSlacks& aSlacks, const CurrentTime& aNow) const
{
  const auto* job = FindJob(aRun.mRun.mTask.mJob);
  const auto& spec = job->Spec(aRun.mRun.mTask.mStep);
  StopCandidate candidate;
  candidate.mDemand = spec.mDemand;
  candidate.mRuns = spec.mGang ? spec.mCount : 1;
  candidate.mCheckpointing = aRun.mCheckpointing;
  candidate.mElapsed = std::chrono::duration_cast<Duration>(aNow.mSteady - aRun.mStarted);
  candidate.mPriority = job->Policy().mPriority;
  const StopPolicy policy(mSettings);
  if (policy.IsEnabled()) {
    const auto [it, isNew] = aSlacks.try_emplace(job);
    if (isNew) {
      it->second = std::chrono::duration_cast<Duration>(job->Objective() - aNow.mSteady) -
                   job->RemainingRunTime();
    }
    // The remaining run time counts the whole estimate of the step.
    const auto left = aRun.mProgress.Remaining(spec.mEstimate, aRun.mStarted, aNow.mSteady);
    candidate.mSlack = it->second + spec.mEstimate - left;
  }
  return policy.Cost(candidate);
}

double
Scheduler::CostOfPlan(const EvictionPlan& aPlan, const CurrentTime& aNow) const
{
  JobSlacks slacks;
  std::set<StepKey> gangs;
  double cost = 0;
  for (const auto& victim : aPlan.mVictims) {
    const auto& run = victim.second;
    const auto& runs = mFleet.at(victim.first).mRuns;
    const auto it =
      std::find_if(runs.begin(), runs.end(), [&run](const auto& aRun) { return aRun.mRun == run; });
    const auto& task = run.mTask;
    const bool isGang = FindJob(task.mJob)->Spec(task.mStep).mGang;
    const bool isCounted =
      isGang && !gangs.insert({ task.mJob, task.mOccurrence, task.mStep }).second;
    if (it != runs.end() && !isCounted) {
      cost += CostOfStopping(*it, slacks, aNow);
    }
  }
  return cost;
}

std::optional<Duration>
Scheduler::ExpectedEnd(const PlacedRun& aRun, const CurrentTime& aNow)
{
  return aRun.mLongRunning ? std::nullopt
                           : aRun.mProgress.RemainingAtPace(aNow.mSteady, kMaxSilence);
}

WaitingDemand
Scheduler::DemandOf(const DueStep& aDue, const PlacementRequest& aRequest, const CurrentTime& aNow)
{
  const auto& job = *aDue.mJob;
  const auto since =
    aDue.mIsEntitled && aRequest.mStep->mAfter.empty() ? job.AcceptedAt() : WaitingSince(aDue);
  WaitingDemand demand;
  demand.mDemand = aRequest.mStep->mDemand;
  demand.mTasks = aRequest.mCount;
  demand.mEstimate = aRequest.mStep->mEstimate;
  demand.mPriority = job.Policy().mPriority;
  demand.mIsGuaranteed = aDue.mIsEntitled;
  demand.mWaited = std::chrono::duration_cast<Duration>(aNow.mSteady - since);
  demand.mSlack =
    std::chrono::duration_cast<Duration>(aDue.mObjective - aNow.mSteady) - job.RemainingRunTime();
  return demand;
}

Duration
Scheduler::LostTime(const PlacedRun& aRun, const CurrentTime& aNow) const
{
  const auto elapsed = std::chrono::duration_cast<Duration>(aNow.mSteady - aRun.mStarted);
  return StopPolicy(mSettings).LostTime(aRun.mCheckpointing, elapsed);
}

void
Scheduler::LogStop(const char* aEvent, const WorkerId& aWorker, const PlacedRun& aRun,
                   const CurrentTime& aNow, const JobId& aFor) const
{
  LogEvent(aEvent)
    .With("job", aRun.mRun.mTask.mJob)
    .With("step", aRun.mRun.mTask.mStep)
    .With("task", aRun.mRun.mTask.mIndex)
    .With("run", aRun.mRun.mRun)
    .With("worker", aWorker)
    .With("for_job", aFor)
    .With("lost_ms", LostTime(aRun, aNow))
    .With("accelerators", aRun.mDemand.mAccelerators)
    .With("millicores", aRun.mDemand.mCpu);
}

std::optional<EvictionPlan>
Scheduler::PlanEvictions(const DueStep& aDue, const PlacementRequest& aRequest,
                         const Placer& aPlacer, bool aMayMove, Duration aLongestWait,
                         const CurrentTime& aNow) const
{
  JobSlacks slacks;
  return aPlacer.Evict(aRequest, [&](const PlacedRun& aRun) -> std::optional<double> {
    if (aLongestWait > Duration(0)) {
      if (const auto end = ExpectedEnd(aRun, aNow); end && *end <= aLongestWait) {
        return kCostOfWaiting * std::chrono::duration<double>(*end).count();
      }
    }
    const bool mayStop = MayEvict(aRun, aDue) || (aMayMove && MayMove(aRun, aDue));
    return mayStop ? std::optional(CostOfStopping(aRun, slacks, aNow)) : std::nullopt;
  });
}

bool
Scheduler::EvictFor(const DueStep& aDue, const PlacementRequest& aRequest, Placer& aPlacer,
                    const CurrentTime& aNow)
{
  if (!MayEvictAny(aDue)) {
    return false;
  }
  const StepKey key{ aDue.mJob->Accepted().mId, aDue.mOccurrence, aDue.mStep };
  const auto postponed = mStopsPostponed.find(key);
  if (!aDue.mIsEntitled && postponed != mStopsPostponed.end() && aNow.mSteady < postponed->second) {
    return false;
  }
  const StopPolicy policy(mSettings);
  const auto demand = DemandOf(aDue, aRequest, aNow);
  const auto longestWait = policy.LongestWait(demand);
  auto plan = PlanEvictions(aDue, aRequest, aPlacer, false, longestWait, aNow);
  if (!plan) {
    return false;
  }
  const auto lastEnd = TakeEndingRuns(*plan, longestWait, aNow);
  // A stop takes effect with the last of the ends if it is made later, and may be spared.
  const bool mayStopLater = lastEnd && *lastEnd > mSettings.mStopTime;
  const bool needsNoStop = policy.IsEnabled() && plan->mVictims.empty();
  const double cost = policy.IsEnabled() ? CostOfPlan(*plan, aNow) : 0;
  if (!policy.Pays(demand, cost)) {
    LogStopDecision("too_costly", aDue, demand, *plan, cost, lastEnd, aNow);
    mStopsPostponed[key] = aNow.mSteady + kWeighingPause;
    return false;
  }
  if (mayStopLater || needsNoStop) {
    LogStopDecision("wait", aDue, demand, *plan, cost, lastEnd, aNow);
    for (const auto& worker : plan->mWorkers) {
      aPlacer.Reserve(worker, aRequest.mStep->mDemand);
    }
    return true;
  }
  LogStopDecision("stop", aDue, demand, *plan, cost, lastEnd, aNow);
  Evict(*plan, aDue, aRequest, aPlacer, aNow);
  // If they don't end in time, others are stopped in their place. That pays for a guaranteed step
  // in any case; another one keeps what the stops have freed.
  if (lastEnd && demand.mIsGuaranteed) {
    auto& until = mReservations.at(key).mUntil;
    until = std::min(until, aNow.mSteady + longestWait);
  }
  return true;
}

std::optional<Duration>
Scheduler::TakeEndingRuns(EvictionPlan& aPlan, Duration aLongestWait, const CurrentTime& aNow)
{
  std::optional<Duration> last;
  std::erase_if(aPlan.mVictims, [&](const auto& aVictim) {
    const auto* run = mFleet.at(aVictim.first).Find(aVictim.second);
    const auto end = run ? ExpectedEnd(*run, aNow) : std::nullopt;
    if (!end || aLongestWait <= Duration(0) || *end > aLongestWait) {
      return false;
    }
    last = std::max(last.value_or(Duration(0)), *end);
    return true;
  });
  return last;
}

void
Scheduler::LogStopDecision(const char* aDecision, const DueStep& aDue, const WaitingDemand& aDemand,
                           const EvictionPlan& aPlan, double aCost,
                           std::optional<Duration> aLastEnd, const CurrentTime& aNow)
{
  if (!StopPolicy(mSettings).IsEnabled()) {
    return;
  }
  const StepKey key{ aDue.mJob->Accepted().mId, aDue.mOccurrence, aDue.mStep };
  auto& logged = mStopsLogged[key];
  const auto period = logged.first == aDecision ? kWaitingLogPeriod : kWeighingPause;
  if (aNow.mSteady - logged.second < period) {
    return;
  }
  logged = { aDecision, aNow.mSteady };
  LogEvent("stops_weighed")
    .With("decision", aDecision)
    .With("job", aDue.mJob->Accepted().mId)
    .With("step", aDue.mStep)
    .With("tasks", aDemand.mTasks)
    .With("guaranteed", aDemand.mIsGuaranteed)
    .With("waited_ms", aDemand.mWaited)
    .With("slack_ms", aDemand.mSlack)
    .With("stops", aPlan.mVictims.size())
    .With("cost", std::llround(aCost))
    .With("last_end_ms", aLastEnd.value_or(Duration(-1)));
}

bool
Scheduler::MoveGuaranteedFor(const DueStep& aDue, const PlacementRequest& aRequest, Placer& aPlacer,
                             const CurrentTime& aNow)
{
  const auto& tasks = aDue.mJob->OpenOccurrences().at(aDue.mOccurrence).mSteps[aDue.mStep].mTasks;
  // Two steps that have begun could move each other again and again.
  const bool hasBegun =
    std::any_of(tasks.begin(), tasks.end(), [](const auto& aTask) { return aTask.mRun > 0; });
  if (!aDue.mIsEntitled || hasBegun || WaitingTime(aDue, aNow) < mSettings.mGatherAfter) {
    return false;
  }
  const auto plan = PlanEvictions(aDue, aRequest, aPlacer, true, Duration(0), aNow);
  if (!plan || !FitElsewhere(*plan, aDue, aRequest, aPlacer, aNow)) {
    return false;
  }
  Evict(*plan, aDue, aRequest, aPlacer, aNow);
  return true;
}

bool
Scheduler::FitElsewhere(const EvictionPlan& aPlan, const DueStep& aDue,
                        const PlacementRequest& aRequest, const Placer& aPlacer,
                        const CurrentTime& aNow)
{
  auto placer = aPlacer;
  for (const auto& worker : aPlan.mWorkers) {
    placer.Reserve(worker, aRequest.mStep->mDemand);
  }
  for (const auto& step : MovedSteps(aPlan, aDue)) {
    const auto workers = PlaceElsewhere(step, aPlan.mWorkers, placer, aNow);
    if (!workers) {
      return false;
    }
    for (const auto& worker : *workers) {
      placer.Reserve(worker, step.mJob->Spec(step.mStep).mDemand);
    }
  }
  return true;
}

std::optional<std::vector<WorkerId>>
Scheduler::PlaceElsewhere(const DueStep& aMoved, const std::vector<WorkerId>& aExcluded,
                          Placer& aPlacer, const CurrentTime& aNow) const
{
  auto request = RequestFor(aMoved);
  request.mExcludedWorkers.insert(request.mExcludedWorkers.end(), aExcluded.begin(),
                                  aExcluded.end());
  const auto& occurrence = aMoved.mJob->OpenOccurrences().at(aMoved.mOccurrence);
  for (const int index : aMoved.mTasks) {
    const auto& task = occurrence.mSteps[aMoved.mStep].At(index);
    aPlacer.Release(task.mWorker, request.mStep->mDemand);
  }
  if (auto workers = aPlacer.Place(request)) {
    return workers;
  }
  const auto plan = PlanEvictions(aMoved, request, aPlacer, false, Duration(0), aNow);
  return plan ? std::optional(plan->mWorkers) : std::nullopt;
}

std::vector<Scheduler::DueStep>
Scheduler::MovedSteps(const EvictionPlan& aPlan, const DueStep& aDue)
{
  std::map<StepKey, DueStep> steps;
  for (const auto& [worker, run] : aPlan.mVictims) {
    const auto* placed = mFleet.at(worker).Find(run);
    if (!placed || !MayMove(*placed, aDue)) {
      continue;
    }
    const auto& task = run.mTask;
    auto* job = FindMutable(task.mJob);
    const StepKey key{ task.mJob, task.mOccurrence, task.mStep };
    const DueStep none{ job,  task.mOccurrence, task.mStep,       {},
                        true, Entitled,         job->Objective(), false };
    auto& step = steps.try_emplace(key, none).first->second;
    if (!job->Spec(task.mStep).mGang) {
      step.mTasks.push_back(task.mIndex);
    } else if (step.mTasks.empty()) {
      step.mTasks.resize(static_cast<std::size_t>(job->Spec(task.mStep).mCount));
      std::iota(step.mTasks.begin(), step.mTasks.end(), 0);
    }
  }
  std::vector<DueStep> moved;
  moved.reserve(steps.size());
  for (auto& [key, step] : steps) {
    moved.push_back(std::move(step));
  }
  return moved;
}

void
Scheduler::Evict(const EvictionPlan& aPlan, const DueStep& aDue, const PlacementRequest& aRequest,
                 Placer& aPlacer, const CurrentTime& aNow)
{
  for (const auto& [worker, run] : aPlan.mVictims) {
    if (auto* placed = mFleet.at(worker).Find(run)) {
      const bool isEvicted = MayEvict(*placed, aDue);
      placed->mWasteCause = isEvicted ? WasteCause::Evicted : WasteCause::Moved;
      LogStop(isEvicted ? "run_evicted" : "run_moved", worker, *placed, aNow,
              aDue.mJob->Accepted().mId);
    }
    StopRun(worker, run);
    ++mCounts.mEvictions;
  }
  for (const auto& worker : aPlan.mWorkers) {
    aPlacer.Reserve(worker, aRequest.mStep->mDemand);
  }
  const StepKey key{ aDue.mJob->Accepted().mId, aDue.mOccurrence, aDue.mStep };
  mReservations[key] = { aPlan.mWorkers, aRequest.mStep->mDemand, aRequest.mMaySpread,
                         aNow.mSteady + mSettings.mReservationDuration };
}

} // namespace lovagerock::scheduler
