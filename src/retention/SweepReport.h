#pragma once

#include "retention/Deletion.h"

#include <cstdint>
#include <string>

namespace lovagerock::retention {

// The counts and the outcome of one run of the sweeper.
struct SweepReport
{
  // Key names and entries that were read.
  std::int64_t mListed = 0;
  // Deleted keys, by kind.
  std::int64_t mClaims = 0;
  std::int64_t mChanges = 0;
  std::int64_t mJobs = 0;
  std::int64_t mPieces = 0;
  std::int64_t mOrphans = 0;
  // Keys and jobs that were not deleted, because they were changed or deleted by others after they
  // were read, or because a job has too many pieces or there are too many regions.
  std::int64_t mSkipped = 0;
  std::int64_t mReads = 0;
  std::int64_t mTransactions = 0;
  std::int64_t mFailures = 0;
  // "complete", "stopped", or the error of the last part of the run that failed.
  std::string mReason;

  void CountDeleted(DeletionKind aKind);
  // Writes the retention_run log event.
  void Log() const;
};

} // namespace lovagerock::retention
