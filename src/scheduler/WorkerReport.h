#pragma once

#include "base/Ids.h"
#include "base/SocketAddress.h"
#include "scheduler/Capacity.h"
#include "scheduler/TaskRef.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lovagerock::scheduler {

// Identifies one incarnation of a worker: differs after each restart. It is made from the worker's
// wall clock, so a later one may be lower. 0 if the worker doesn't report it.
using WorkerIncarnation = StrongCount<struct WorkerBirthTag>;
// Milliseconds on a worker's own steady clock.
using WorkerClock = StrongCount<struct WorkerClockTag>;

// The registry entry of a worker.
struct WorkerEntry
{
  WorkerId mId;
  ServiceId mService;
  SocketAddress mAddress;
  ZoneId mZone;
  RackId mRack;
  std::vector<std::string> mLabels;
  Capacity mCapacity;
  WorkerIncarnation mIncarnation;
  bool mDraining = false;
  // The minimum time until a draining worker leaves; 0 if it doesn't report it.
  Duration mRemainingTime{ 0 };
  // The time for which the worker is still slow after its start.
  Duration mColdTime{ 0 };
};

// The outcome of an ended run.
enum class RunEnd
{
  Done,
  // The task or its worker failed; counts as an attempt.
  Failed,
  Stopped,
  // The worker's lease expired.
  LeaseExpired,
  // The run was ended because another member of the gang ended.
  GangMemberEnded,
  // The run was ended because the other members of the gang didn't join in time.
  GangIncomplete,
};

// A run that a worker reports as in progress.
struct RunningRun
{
  RunRef mRun;
  std::string mCheckpoint;
  int mPercent = 0;
};

// A run that a worker reports as ended.
struct FinishedRun
{
  // Sequence number of the end; increases with each end in one incarnation of the worker.
  std::int64_t mNumber = 0;
  RunRef mRun;
  RunEnd mEnd = RunEnd::Done;
  std::string mCheckpoint;
};

// A worker's answer to a lease renewal.
struct LeaseReport
{
  WorkerClock mClock;
  WorkerIncarnation mIncarnation;
  std::vector<RunningRun> mRunning;
  std::vector<FinishedRun> mFinished;
  // Whether the worker may have more runs, in progress or ended, than are listed: it lists long
  // ends in parts, and rows that can't be read are left out. A run that such a report lacks may be
  // one of those.
  bool mIsPartial = false;
  // Whether rows were left out because they can't be read. The report is partial then.
  bool mHasUnreadableRows = false;
};

// The outcome of an order to a worker.
enum class OrderOutcome
{
  Done,
  // A scheduler with a higher fencing token has taken over the worker.
  Fenced,
  // The worker has already stopped or ended a run of the task with this number or a higher one.
  Superseded,
  // The order's deadline had passed on the worker's clock.
  TooLate,
  // The worker lacks the resources for the run.
  InsufficientResources,
  // The worker is unhealthy or overloaded and didn't carry out the order.
  Unhealthy,
  // The worker rejected the order as malformed or for a reason not listed here.
  Invalid,
  // Another worker answers at the address. An incarnation of the same worker is told by its report.
  WrongWorker,
  // The order can't have been carried out, because no byte of it was sent.
  NotSent,
  // There was no usable answer: the order may have been carried out, or may still be.
  Unknown,
};

// Returns the name of the outcome as used in logs.
const char*
OrderOutcomeName(OrderOutcome aOutcome);
// Returns the name of the end as used in workers' reports.
const char*
RunEndName(RunEnd aEnd);

} // namespace lovagerock::scheduler
