#pragma once

#include "scheduler/WorkerReport.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lovagerock::scheduler {

enum class RunPhase
{
  // The start was ordered and isn't confirmed yet.
  Ordered,
  Running,
  // The stop was decided; the run holds resources until its end is listed.
  Stopping,
};

// A run that holds resources on a worker.
struct PlacedRun
{
  RunRef mRun;
  Capacity mDemand;
  RunPhase mPhase = RunPhase::Ordered;
  TimePoint mStarted;
  // Lists of the worker with an earlier clock don't tell about this run.
  WorkerClock mKnownFrom;
  // How many such lists in a row didn't contain it.
  int mMissed = 0;
  // When the last order about it was sent, and how many starts had no answer.
  TimePoint mOrdered;
  int mUnanswered = 0;
  // Whether an order is on its way.
  bool mInFlight = false;
  // The worker's clock when it confirmed the stop.
  std::optional<WorkerClock> mStopConfirmed;
  // Progress that isn't saved is lost in a stop.
  bool mCheckpointing = false;
};

// A worker with what is known to hold its resources.
struct Worker
{
  WorkerEntry mEntry;
  // Whether it is registered at present.
  bool mListed = true;
  // Whether a scheduler that takes over would know that work may have been started there.
  bool mRecorded = false;
  // Whether it has answered this scheduler, and so obeys no earlier one.
  bool mConfirmed = false;
  // Until when anything may run there without another renewal; an upper bound.
  TimePoint mHeldUntil;
  // No new work until then.
  TimePoint mAvoidUntil;
  TimePoint mDrainingSince;
  // Ended runs up to this number were taken into account, and are safely stored, respectively.
  std::int64_t mSeen = 0;
  std::int64_t mStored = 0;
  // Failed runs in a row, and the job of the last one.
  int mFailures = 0;
  JobId mFailedJob;
  std::vector<PlacedRun> mRuns;
  Capacity mUsed;

  // Whether work may be started there, as far as its registration goes.
  bool IsOpen() const { return mListed && !mEntry.mDraining; }
  // Whether its rack's record has to contain it.
  bool BelongsInRecord() const { return IsOpen() || (mRecorded && !mConfirmed); }
  Capacity Free() const { return mEntry.mCapacity - mUsed; }
  PlacedRun* Find(const RunRef& aRun);
  PlacedRun& Add(PlacedRun aRun);
  void Remove(const RunRef& aRun);
};

// The workers by id.
using Fleet = std::map<WorkerId, Worker>;

} // namespace lovagerock::scheduler
