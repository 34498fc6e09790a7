#pragma once

#include "base/Units.h"

#include <cstddef>

namespace lovagerock::scheduler {

// Durations and limits of the scheduler. Durations are in milliseconds.
struct SchedulerSettings
{
  // Duration of a worker's lease, on the worker's clock, from the last time before its renewal at
  // which the store confirmed the leadership.
  Duration mLeaseDuration{ 6000 };
  // The same from the renewal, while a majority of witnesses confirms the leadership instead. A
  // successor waits for this lease, so it bounds how long tasks of silent workers are idle.
  Duration mWitnessedLease{ 3400 };
  // The longest lease that a worker grants, on its own clock. An order that was meant for an
  // earlier incarnation, whose clock was ahead, makes the lease last that long.
  Duration mLongestLease{ 10000 };
  // By how many percent a worker's clock may run slower than this process's clock.
  int mClockDriftPercent = 2;
  // Time a scheduler may keep working without an answer from the store.
  Duration mStoreOutageTolerance{ 10000 };
  // A start order without an answer is sent again after this time.
  Duration mResendStartAfter{ 100 };
  // After this many unanswered start orders, the run is stopped instead.
  int mMaxUnansweredStarts = 3;
  // A stop order without an answer is sent again after this time.
  Duration mResendStopAfter{ 500 };
  // Time without new runs on a worker after it lacked the resources for a start, or after a start
  // order could not be sent or had no answer.
  Duration mInsufficientResourcesPause{ 300 };
  // The same after it refused a start as unhealthy, or rejected it as invalid.
  Duration mUnhealthyPause{ 2000 };
  // The same after mFailingThreshold failed runs in a row.
  Duration mFailingPause{ 4000 };
  // The number of failed runs in a row, of several jobs, after which a worker counts as failing;
  // see WorkerCondition.
  int mFailingThreshold = 2;
  // Time for which a worker counts as doubtful after it failed a run, or after its runs were slow.
  Duration mDoubtTime{ 5000 };
  // The longest time for which a task waits for other workers than those on which it may fail
  // again, and one that lasts for room in the rack of the others of its step.
  Duration mMaxAvoidance{ 2000 };
  // Minimum time until a draining worker leaves if it doesn't report its remaining time.
  Duration mMinDrainTime{ 2000 };
  // Once a gang has waited this long, the scheduler keeps resources free for it as they become
  // available (see Placer::Gather), for at most mMaxGatheringSteps gangs at once.
  Duration mGatherAfter{ 1000 };
  std::size_t mMaxGatheringSteps = 2;
  // A gang without a guarantee that doesn't fit after mGatherTurn lets other steps pass for
  // mGatherPause before it gathers again, each time for twice as long, up to mLongestGatherTurn.
  Duration mGatherTurn{ 6000 };
  Duration mLongestGatherTurn{ 24000 };
  Duration mGatherPause{ 1000 };
  // After a gang without a guarantee has gathered for this long, it comes first in its next turn
  // and can't be passed by jobs of which nothing runs, or a stream of these would keep it waiting
  // for ever.
  Duration mMaxPassedTime{ 60000 };
  // A guaranteed gang can't be passed until it has waited this long.
  Duration mGuaranteedGatherTime{ 3000 };
  // The longest time for which nothing of a job runs beside room for it, see
  // Scheduler::IsIdleBesideRoom(). After that it sets its preferences aside, and takes what gangs
  // gather. The users allow 3 s; the rest is for the plan and the start.
  Duration mMaxIdleBesideRoom{ 2000 };
  // The weight of what an account has held halves in this time, see AccountUsage. About the run
  // time of the shorter steps, so that a burst is forgotten soon after its runs have ended.
  Duration mAccountHalfLife{ 3000 };
  // The longest time between two checkpoints of a run that saves them.
  Duration mCheckpointInterval{ 500 };
  // The longest time that a worker takes to stop a run, which occupies its resources meanwhile; 0
  // if unknown. Without it, stops aren't weighed, see StopPolicy.
  Duration mStopTime{ 0 };
  // The time that a run takes to resume from a checkpoint.
  Duration mRestoreTime{ 0 };
  // The longest time for which an urgent step waits for runs that are expected to end, in place of
  // stopping others; 0 for not at all. Runs may end later than expected, and then the step loses
  // more than the stops would have cost.
  Duration mLongestStopWait{ 0 };
  // The longest time for which a worker keeps a member of a gang that waits for the others.
  Duration mGangTimeout{ 3000 };
  // Time for which resources stay reserved for a step for which other runs are being evicted.
  Duration mReservationDuration{ 1500 };
  // Bounds of what one plan may take of the processor and the memory, whatever callers submit. The
  // most waiting steps for which a plan looks for workers, see PlanWindow, and the most tasks of a
  // step that isn't a gang.
  std::size_t mMaxPlannedSteps = 512;
  int mMaxPlannedTasks = 512;
  // The most runs whose start isn't confirmed. Each keeps a call with the job's payload.
  int mMaxStartingRuns = 2048;
  // The most runs in all and on one worker, which count for tasks that need hardly any resources.
  int mMaxRuns = 32768;
  int mMaxRunsPerWorker = 512;
  // The most workers that are remembered after they were given up, see FormerWorkers.
  std::size_t mMaxFormerWorkers = 8192;
  // Time for which a job is kept with its steps after its end, so that runs that are reported late
  // still count with what they occupy. Longer than any lease.
  Duration mEndedJobDetails{ 15000 };
  // Time for which the records of a job are kept after its end.
  Duration mFinishedRetention{ 180000 };
};

} // namespace lovagerock::scheduler
