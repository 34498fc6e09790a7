#pragma once

#include "retention/Deletion.h"

#include <cstdint>
#include <string>

namespace lovagerock::retention {

// What one run of the sweeper did.
struct SweepReport
{
  // Names and entries that were read.
  std::int64_t mListed = 0;
  std::int64_t mClaims = 0;
  std::int64_t mChanges = 0;
  std::int64_t mJobs = 0;
  std::int64_t mPieces = 0;
  std::int64_t mOrphans = 0;
  // Keys and jobs that were changed or deleted by others after they were read.
  std::int64_t mSkipped = 0;
  std::int64_t mReads = 0;
  std::int64_t mTransactions = 0;
  std::int64_t mFailures = 0;
  // Why the run ended: "complete", "stopped" or the error that ended it.
  std::string mReason;

  // Counts a deleted key.
  void CountDeleted(DeletionKind aKind);
  // Writes the run's log line.
  void Log() const;
};

} // namespace lovagerock::retention
