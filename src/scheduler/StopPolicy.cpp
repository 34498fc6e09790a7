#include "scheduler/StopPolicy.h"

#include "scheduler/WastedWork.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace lovagerock::scheduler {

namespace {

// A stop costs at least the work of this time, so that many runs that have just begun aren't
// stopped in place of one.
constexpr Duration kMinLostTime{ 100 };
// A guaranteed step waits for runs to end only within this time from its acceptance. It has to
// start within 2.7 s; with stops of at most 0.9 s, this leaves 1.5 s for the plan and the start.
constexpr Duration kMaxGuaranteedWait{ 300 };
// The part of a step's slack that is left for its start.
constexpr Duration kStartMargin{ 100 };
// The work that a step gains counts twice as much for each such time that it has waited, so that
// none waits for ever behind work that costs more to stop.
constexpr Duration kGainDoublesAfter{ 2000 };
// The least run time by which the gain is counted, for steps without an estimate.
constexpr Duration kMinGain{ 1000 };
// The least gain of a task, for those that need only memory.
constexpr double kMinCoreSeconds = 0.1;
// Work of the least urgent priority that is told apart has the weight 1, of each one before it
// twice that.
constexpr int kLeastPriority = 2;
// The weights of a job that misses its objective by the stop, and of one that misses it anyway.
constexpr double kMissesByStop = 2;
constexpr double kMissesAnyway = 0.5;

double
PriorityWeight(int aPriority)
{
  return std::exp2(kLeastPriority - std::clamp(aPriority, 0, kLeastPriority));
}

} // namespace

Duration
StopPolicy::LostTime(bool aIsCheckpointing, Duration aElapsed) const
{
  if (!aIsCheckpointing) {
    return aElapsed;
  }
  return IsEnabled() ? std::min(aElapsed, mSettings.mStopTime + mSettings.mRestoreTime)
                     : UnsavedTime(aIsCheckpointing, aElapsed);
}

Duration
StopPolicy::UnsavedTime(bool aIsCheckpointing, Duration aElapsed) const
{
  return aIsCheckpointing ? std::min(aElapsed, mSettings.mCheckpointInterval) : aElapsed;
}

double
StopPolicy::Cost(const StopCandidate& aRun) const
{
  const auto lost = LostTime(aRun.mCheckpointing, aRun.mElapsed);
  const double work = aRun.mRuns * CoreSeconds(aRun.mDemand, lost + kMinLostTime);
  if (!IsEnabled()) {
    return work;
  }
  double weight = PriorityWeight(aRun.mPriority);
  if (aRun.mSlack < Duration(0)) {
    weight *= kMissesAnyway;
  } else if (aRun.mSlack < lost + mSettings.mStopTime) {
    weight *= kMissesByStop;
  }
  return work * weight;
}

Duration
StopPolicy::LongestWait(const WaitingDemand& aStep) const
{
  if (!IsEnabled() || mSettings.mLongestStopWait <= Duration(0)) {
    return Duration(0);
  }
  if (aStep.mIsGuaranteed) {
    return std::max(kMaxGuaranteedWait - aStep.mWaited, Duration(0));
  }
  const auto left = mSettings.mLongestStopWait - aStep.mWaited;
  // A run that ends within the time of a stop frees its resources no later than by a stop.
  const auto useful = std::max(aStep.mSlack - kStartMargin, mSettings.mStopTime);
  return std::max(std::min(useful, left), Duration(0));
}

bool
StopPolicy::Pays(const WaitingDemand& aStep, double aCost) const
{
  if (!IsEnabled() || aStep.mIsGuaranteed) {
    return true;
  }
  const auto runTime = std::max(aStep.mEstimate, kMinGain);
  const double work = aStep.mTasks * std::max(CoreSeconds(aStep.mDemand, runTime), kMinCoreSeconds);
  const double urgency = aStep.mSlack < Duration(0) ? kMissesAnyway : 1;
  const double waitFactor = std::exp2(std::chrono::duration<double>(aStep.mWaited) /
                                      std::chrono::duration<double>(kGainDoublesAfter));
  return aCost <= work * PriorityWeight(aStep.mPriority) * urgency * waitFactor;
}

} // namespace lovagerock::scheduler
