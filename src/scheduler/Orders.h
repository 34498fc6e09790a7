#pragma once

#include "scheduler/RackRecord.h"
#include "scheduler/TaskRef.h"
#include "scheduler/WorkerReport.h"

#include <string>
#include <vector>

namespace lovagerock::scheduler {

// An order to a worker to start a run.
struct StartOrder
{
  WorkerId mWorker;
  RunRef mRun;
  std::string mPayload;
  // The checkpoint to resume from; empty to start from the beginning.
  std::string mCheckpoint;
  // Whether an earlier order for the run had no answer.
  bool mIsRepeated = false;
};

// An order to a worker to stop a run.
struct StopOrder
{
  WorkerId mWorker;
  RunRef mRun;
};

// The orders that one call of Scheduler::Plan() issues.
struct Orders
{
  std::vector<StartOrder> mStarts;
  std::vector<StopOrder> mStops;
};

// A job's serialized progress, to be written to the store.
struct ProgressWrite
{
  JobId mJob;
  std::string mText;
};

// The highest FinishedRun::mNumber of a worker that was processed. Once the progress of the same
// batch is stored, the worker may drop its ended runs up to this number.
struct ProcessedEnds
{
  WorkerId mWorker;
  WorkerIncarnation mIncarnation;
  std::int64_t mNumber = 0;
};

// The workers of a rack on which runs may be started, to be written to the store as the rack's
// record.
struct RackWrite
{
  RackId mRack;
  std::vector<WorkerContact> mWorkers;
};

// A worker that has restarted, and its incarnation then.
struct RestartedWorker
{
  WorkerId mWorker;
  WorkerIncarnation mIncarnation;
};

// Writes to the store that belong together, and the ended runs that workers may drop once they
// are stored. The racks have to be written after the progress: a worker is left out of its rack's
// record only if stored progress names all runs that were started there.
struct ProgressBatch
{
  std::vector<ProgressWrite> mWrites;
  std::vector<RackWrite> mRacks;
  std::vector<ProcessedEnds> mProcessedEnds;
  // The workers with Worker::mNeedsHigherToken. Once the batch, which holds the records of their
  // racks, is stored, its revision is such a token.
  std::vector<RestartedWorker> mRestarted;
};

} // namespace lovagerock::scheduler
