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
  Duration mRun{ 0 };
  // How often the job saves its progress; 0 if it can't.
  Duration mCheckpoint{ 0 };
  std::optional<TimePoint> mCancelledAt;
};

// A worker that loses all its work and takes none until the end.
struct ReplayFault
{
  std::size_t mWorker = 0;
  TimePoint mAt;
  Duration mFor{ 0 };
};

// A cluster and what happens to it. docs/placement.md describes the file format.
struct ReplayTrace
{
  std::string mName;
  PolicyWeights mWeights;
  std::vector<WorkerView> mWorkers;
  std::vector<AccountView> mAccounts;
  std::vector<ReplayJob> mJobs;
  std::vector<ReplayFault> mFaults;
};

// Throws std::runtime_error with the line number when the file can't be read.
ReplayTrace
ReadReplayTrace(const std::string& aPath);

} // namespace lovagerock::placement::replay
