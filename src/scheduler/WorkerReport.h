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

// Identifies one life of a worker; differs after each restart. 0 if the worker doesn't tell.
using WorkerBirth = StrongCount<struct WorkerBirthTag>;
// Milliseconds on a worker's own steady clock.
using WorkerClock = StrongCount<struct WorkerClockTag>;

// What a worker says of itself where it registers.
struct WorkerEntry
{
  WorkerId mId;
  ServiceId mService;
  SocketAddress mAddress;
  ZoneId mZone;
  RackId mRack;
  std::vector<std::string> mLabels;
  Capacity mCapacity;
  WorkerBirth mBirth;
  bool mDraining = false;
  // The least time until a draining worker leaves; 0 if it doesn't tell.
  Duration mRemaining{ 0 };
};

// How a run ended.
enum class RunEnd
{
  Done,
  // Through its own fault or the worker's; counts as an attempt.
  Failed,
  Stopped,
  // The worker's lease expired.
  Lapsed,
  // Another member of the gang ended.
  Broken,
  // The other members of the gang didn't come in time.
  Alone,
};

// One entry of a worker's list of what runs.
struct RunningRun
{
  RunRef mRun;
  std::string mCheckpoint;
  int mPercent = 0;
};

// One entry of a worker's list of ended runs.
struct FinishedRun
{
  // Rises with each end in one life of the worker.
  std::int64_t mNumber = 0;
  RunRef mRun;
  RunEnd mEnd = RunEnd::Done;
  std::string mCheckpoint;
};

// A worker's answer to a renewal of its lease.
struct HoldReport
{
  WorkerClock mClock;
  WorkerBirth mBirth;
  std::vector<RunningRun> mRunning;
  std::vector<FinishedRun> mFinished;
};

// What became of an order to a worker.
enum class OrderOutcome
{
  Done,
  // A scheduler with a higher fencing token has taken over the worker.
  Fenced,
  // The run's number isn't above that of a run that was stopped or has ended there.
  Superseded,
  // The order's deadline had passed on the worker's clock.
  TooLate,
  NoRoom,
  // The worker is unhealthy or overloaded and did nothing.
  Unhealthy,
  Invalid,
  // Another life of the worker answers at the address.
  WrongWorker,
  // No byte of the order was sent.
  NotSent,
  // The order may have been carried out, or may yet be.
  Unknown,
};

// The name for logs.
const char*
OrderOutcomeName(OrderOutcome aOutcome);
const char*
RunEndName(RunEnd aEnd);

} // namespace lovagerock::scheduler
