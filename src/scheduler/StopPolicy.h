#pragma once

#include "scheduler/Capacity.h"
#include "scheduler/SchedulerSettings.h"

namespace lovagerock::scheduler {

// A run that may be stopped for a more urgent step.
struct StopCandidate
{
  // The demand of one task, and the number of runs that end with this one: all members of a gang.
  Capacity mDemand;
  int mRuns = 1;
  bool mCheckpointing = false;
  // For how long the run has worked.
  Duration mElapsed{ 0 };
  // The priority of its job; 0 is the most urgent.
  int mPriority = 0;
  // The time from the expected end of the job, if the run isn't stopped, to the job's objective;
  // negative if the job is expected to miss it.
  Duration mSlack{ 0 };
};

// A step that waits for room.
struct WaitingDemand
{
  // The demand of one task, and the number of tasks that wait.
  Capacity mDemand;
  int mTasks = 1;
  // The caller's estimate of a task's run time; 0 if unknown.
  Duration mEstimate{ 0 };
  int mPriority = 0;
  // Whether the job is within its account's guarantee.
  bool mIsGuaranteed = false;
  // How long the step has waited. Counted from the acceptance if it is guaranteed, since the
  // guarantee is.
  Duration mWaited{ 0 };
  // The time by which the step can be delayed before its job misses its objective; negative if the
  // job is expected to miss it.
  Duration mSlack{ 0 };
};

// Decides what it costs to stop runs for a more urgent step, for how long the step waits for runs
// that end by themselves instead, and whether the stops pay.
class StopPolicy
{
public:
  explicit StopPolicy(const SchedulerSettings& aSettings)
    : mSettings(aSettings)
  {
  }

  // Whether stops are weighed against the work that they throw away. If not, any stop pays, and no
  // step waits for runs to end by themselves.
  bool IsEnabled() const { return mSettings.mStopTime > Duration(0); }
  // Returns the working time that is lost if a run is stopped that has worked for aElapsed. A run
  // that saves checkpoints also saves one when it is stopped.
  Duration LostTime(bool aIsCheckpointing, Duration aElapsed) const;
  // Returns the most working time that is lost if the run ends in any other way.
  Duration UnsavedTime(bool aIsCheckpointing, Duration aElapsed) const;
  // Returns the cost of a stop: the lost work in core-seconds, with its weight.
  double Cost(const StopCandidate& aRun) const;
  // Returns for how long from now the step may wait for runs that are expected to end. Bounded even
  // if they don't.
  Duration LongestWait(const WaitingDemand& aStep) const;
  // Whether stops of this cost pay for the step.
  bool Pays(const WaitingDemand& aStep, double aCost) const;

private:
  const SchedulerSettings& mSettings;
};

} // namespace lovagerock::scheduler
