#pragma once

#include "scheduler/RunProgress.h"
#include "scheduler/WastedWork.h"
#include "scheduler/WorkerCondition.h"
#include "scheduler/WorkerReport.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lovagerock::scheduler {

// The state of a run on a worker, as far as the scheduler knows.
enum class RunPhase
{
  // The worker has not confirmed the start order yet.
  Starting,
  Running,
  // The run is to be stopped. It occupies its resources until the worker reports that it ended, or
  // until the worker's lease has expired.
  Stopping,
};

// A run that occupies resources on a worker.
struct PlacedRun
{
  RunRef mRun;
  Capacity mDemand;
  RunPhase mPhase = RunPhase::Starting;
  TimePoint mStarted;
  // The worker's clock when it last confirmed or reported this run. Only later reports that lack
  // the run count as missed.
  WorkerClock mLastConfirmedClock;
  // Whether a report of the worker's known incarnation has listed the run.
  bool mIsReported = false;
  // Whether an earlier scheduler started the run. It may have sent further start orders for it that
  // had no answer.
  bool mIsInherited = false;
  // The number of later reports in a row that lacked the run.
  int mMissedReports = 0;
  // When the last order for the run was issued; unset if none was, or if a stop has to be sent at
  // once.
  TimePoint mLastOrderSent;
  // Start orders without an answer. A later answer doesn't reset the number, since they may still
  // be carried out.
  int mUnansweredStarts = 0;
  // Whether an order for the run awaits its outcome.
  bool mOrderInFlight = false;
  // Whether the worker has restarted since that order was sent, so that its outcome tells nothing
  // of the worker as it is now.
  bool mIsOrderOutdated = false;
  // The worker's clock when it confirmed the stop order.
  std::optional<WorkerClock> mStopConfirmedClock;
  RunProgress mProgress;
  // The last progress from which the speed was taken, and the worker's clock then; 0 if none was.
  int mPercent = 0;
  WorkerClock mPercentClock;
  // The task saves checkpoints, so that a stop loses only the work since the last one.
  bool mCheckpointing = false;
  // The task lasts, so the run isn't expected to end by itself.
  bool mLongRunning = false;
  // Why the run is being stopped or was lost; unset if it isn't, or for no reason that is counted.
  std::optional<WasteCause> mWasteCause;

  // Whether a start order without an answer may still be carried out, so that the run can begin
  // although the worker doesn't report it. A confirmed stop rules that out.
  bool MayStartLate() const { return mUnansweredStarts > 0 && !mStopConfirmedClock; }
};

// A worker and the runs that are known to occupy its resources.
struct Worker
{
  WorkerEntry mEntry;
  // Whether the worker has an entry in the registry.
  bool mRegistered = true;
  // The incarnation in its last entry. mEntry has the one that is taken for the present one.
  WorkerIncarnation mRegisteredIncarnation;
  // Whether the stored rack record names this worker. A scheduler that takes over thus learns that
  // runs may have been started there.
  bool mRecorded = false;
  // Whether the worker has answered a lease renewal of this scheduler with a whole report. From
  // then on it rejects the orders of earlier schedulers, and all that it runs or has ended is
  // known.
  bool mHasAnswered = false;
  // Whether the worker has restarted under its id. An order that was meant for an earlier
  // incarnation may have extended its lease, see SchedulerSettings::mLongestLease.
  bool mHasRestarted = false;
  // Whether this scheduler has called the worker's id, in this or an earlier incarnation, so that
  // orders may be under way to it.
  bool mWasCalled = false;
  // Whether the present incarnation may still carry out orders of this scheduler that were sent to
  // an earlier one. It refuses them once it has seen a higher fencing token, see
  // Scheduler::OnTokenRaised().
  bool mNeedsHigherToken = false;
  // Upper bound on when the worker's lease expires unless it is renewed. Nothing runs there later.
  TimePoint mLeaseExpiry;
  // The same, regarding only leases that this scheduler's own calls may have renewed.
  TimePoint mOwnLeaseExpiry;
  // No run is started on the worker before this time: it has refused a start, or not answered one.
  TimePoint mAvoidUntil;
  // The same, because its runs have failed. They may have failed by their own fault, so a step may
  // set this doubt aside, see Concession.
  TimePoint mFailingUntil;
  TimePoint mDrainingSince;
  // The worker is slow until this time, because it has been started recently.
  TimePoint mColdUntil;
  // The highest FinishedRun::mNumber that was processed, and the highest one whose effects are
  // stored.
  std::int64_t mLastProcessedEnd = 0;
  std::int64_t mLastStoredEnd = 0;
  // Whether the worker's last report listed ended runs.
  bool mListsEnds = false;
  // Whether operators have asked that nothing more is started in the worker's zone.
  bool mIsInEvacuatedZone = false;
  WorkerCondition mCondition;
  std::vector<PlacedRun> mRuns;
  // The sum of the demands of mRuns.
  Capacity mUsed;

  // Whether the worker is registered and not draining.
  bool AcceptsWork() const { return mRegistered && !mEntry.mDraining; }
  // Whether runs may be started on the worker.
  bool MayGetRuns() const { return AcceptsWork() && !mIsInEvacuatedZone; }
  // Whether the record of its rack has to name the worker: runs may be started there, or an earlier
  // scheduler may have started some.
  bool BelongsInRackRecord() const { return AcceptsWork() || (mRecorded && !mHasAnswered); }
  Capacity Free() const { return mEntry.mCapacity - mUsed; }
  PlacedRun* Find(const RunRef& aRun);
  PlacedRun& Add(PlacedRun aRun);
  void Remove(const RunRef& aRun);
};

using Fleet = std::map<WorkerId, Worker>;

} // namespace lovagerock::scheduler
