#pragma once

#include "kv/KeyValueStore.h"
#include "retention/SweepReport.h"

#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace lovagerock::retention {

// The transactions that delete the answer pieces of one job and then its record. Each of them
// checks the records with the job's id in all regions, so that it is refused if one of them was
// created, changed or deleted since it was read; the caller then deletes nothing more of the job.
class JobDeletion
{
public:
  JobDeletion() = default;

  // Returns the deletion of an expired job, given its record's key and version. The record is
  // deleted last, because the next run finds the remaining pieces through it if this run is cut
  // short.
  static JobDeletion ForExpiredJob(const std::string& aJob, const std::set<std::string>& aRegions,
                                   const std::string& aRecordKey, kv::ModifyIndex aIndex);
  // Returns the deletion of an expired job's record alone. The answers are kept, because a record
  // in another region may refer to them.
  static JobDeletion ForRecordOnly(const std::string& aRecordKey, kv::ModifyIndex aIndex);
  // Returns the deletion of the answer pieces of a job that has no record.
  static JobDeletion
  ForOrphanedPieces(const std::string& aJob, const std::set<std::string>& aRegions);

  // Adds a piece to be deleted; if aIndex is not 0, only if the piece still has that version.
  void AddPiece(const std::string& aKey, kv::ModifyIndex aIndex = 0);

  // Whether the checks take up less than half of a transaction, which leaves room for deletes. True
  // for up to 15 regions.
  bool HasRoomForDeletes() const { return mChecks.size() < kv::kMaxOperations / 2; }
  bool IsEnded() const { return mNext == mDeletes.size() && mRecord.empty(); }
  // Returns the operations of the next transaction, and the same ones again until OnApplied().
  std::vector<kv::Operation> NextBatch() const;
  // Called when the batch was applied: counts its keys as deleted and advances to the next batch.
  void OnApplied(SweepReport& aReport);

private:
  std::size_t BatchSize() const;

  std::vector<kv::Operation> mChecks;
  std::vector<kv::Operation> mDeletes;
  // The delete of the record; empty if there is none or once it was applied.
  std::vector<kv::Operation> mRecord;
  std::size_t mNext = 0;
  bool mIsOrphan = false;
};

} // namespace lovagerock::retention
