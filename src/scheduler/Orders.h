#pragma once

#include "scheduler/RackRecord.h"
#include "scheduler/TaskRef.h"
#include "scheduler/WorkerReport.h"

#include <string>
#include <vector>

namespace lovagerock::scheduler {

// A run to start on a worker.
struct StartOrder
{
  WorkerId mWorker;
  RunRef mRun;
  std::string mPayload;
  std::string mCheckpoint;
};

// A run to stop on a worker.
struct StopOrder
{
  WorkerId mWorker;
  RunRef mRun;
};

// What to send to the workers now.
struct Orders
{
  std::vector<StartOrder> mStarts;
  std::vector<StopOrder> mStops;
};

// A job's progress to store.
struct ProgressWrite
{
  JobId mJob;
  std::string mText;
};

// The number of ended runs, per worker, whose effects are stored together with some progress.
struct SeenMark
{
  WorkerId mWorker;
  WorkerBirth mBirth;
  std::int64_t mNumber = 0;
};

// The workers of a rack on which work may be started, to store.
struct RackWrite
{
  RackId mRack;
  std::vector<WorkerContact> mWorkers;
};

// Writes that belong together, and what may be forgotten by the workers once they are stored. The
// racks have to be written after the progress.
struct ProgressBatch
{
  std::vector<ProgressWrite> mWrites;
  std::vector<RackWrite> mRacks;
  std::vector<SeenMark> mSeen;
};

} // namespace lovagerock::scheduler
