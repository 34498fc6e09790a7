#pragma once

#include "placement/ClusterSnapshot.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lovagerock::placement::replay {

// One job of a trace. Its submission time is in mPending.
struct ReplayJob
{
  PendingJob mPending;
  Duration mRunTime{ 0 };
  // Time between two checkpoints; 0 if the job has none.
  Duration mCheckpointPeriod{ 0 };
  std::optional<TimePoint> mCancelledAt;
};

// A failure of a worker, which loses all its work and takes none until the failure ends.
struct ReplayFault
{
  std::size_t mWorker = 0;
  TimePoint mAt;
  Duration mDuration{ 0 };
};

// A cluster with its accounts, and the jobs and worker failures over time. docs/placement.md
// describes the file format.
struct ReplayTrace
{
  std::string mName;
  PolicyWeights mWeights;
  std::vector<WorkerView> mWorkers;
  std::vector<AccountView> mAccounts;
  std::vector<ReplayJob> mJobs;
  std::vector<ReplayFault> mFaults;
};

// Reads a trace file. Throws std::runtime_error if it can't be opened or a line is invalid; the
// message then gives the line number.
ReplayTrace
ReadReplayTrace(const std::string& aPath);

} // namespace lovagerock::placement::replay
