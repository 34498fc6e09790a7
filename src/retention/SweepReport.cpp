#include "retention/SweepReport.h"

#include "base/LogEvent.h"

namespace lovagerock::retention {

void
SweepReport::CountDeleted(DeletionKind aKind)
{
  switch (aKind) {
    case DeletionKind::Claim:
      ++mClaims;
      break;
    case DeletionKind::Change:
      ++mChanges;
      break;
    case DeletionKind::Piece:
      ++mPieces;
      break;
    case DeletionKind::Orphan:
      ++mOrphans;
      break;
    case DeletionKind::Job:
      ++mJobs;
      break;
  }
}

void
SweepReport::Log() const
{
  LogEvent("retention_run", mReason == "complete" ? LogLevel::Info : LogLevel::Warning)
    .With("reason", mReason)
    .With("listed", mListed)
    .With("claims", mClaims)
    .With("changes", mChanges)
    .With("jobs", mJobs)
    .With("pieces", mPieces)
    .With("orphans", mOrphans)
    .With("skipped", mSkipped)
    .With("reads", mReads)
    .With("transactions", mTransactions)
    .With("failures", mFailures);
}

} // namespace lovagerock::retention
