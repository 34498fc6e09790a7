#pragma once

#include "kv/KeyValueStore.h"
#include "retention/SweepReport.h"

#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace lovagerock::retention {

// Deletes the answer pieces of one job and then its record, in transactions that each check the
// records of the job's id in all regions. If one of them was created, changed or deleted since it
// was read, nothing more of the job is deleted.
class JobDeletion
{
public:
  JobDeletion() = default;

  // An expired job with its record's key and version. The record goes last, because it is what
  // finds the pieces again after a run that was cut short.
  static JobDeletion OfRecord(const std::string& aJob, const std::set<std::string>& aRegions,
                              const std::string& aRecordKey, kv::ModifyIndex aIndex);
  // The same for a job whose answers a record of another region may refer to: the record alone.
  static JobDeletion OfRecordAlone(const std::string& aRecordKey, kv::ModifyIndex aIndex);
  // A job that has no record.
  static JobDeletion OfOrphans(const std::string& aJob, const std::set<std::string>& aRegions);

  // Adds a piece. With a version, it is deleted only if it still has that version.
  void AddPiece(const std::string& aKey, kv::ModifyIndex aIndex = 0);

  // Whether the checks leave room for deletes in a transaction. They do for up to 15 regions.
  bool IsPossible() const { return mChecks.size() < kv::kMaxOperations / 2; }
  bool IsEnded() const { return mNext == mDeletes.size() && mRecord.empty(); }
  // The operations of the next transaction; the same ones until Applied().
  std::vector<kv::Operation> Batch() const;
  // The batch was applied.
  void Applied(SweepReport& aReport);

private:
  std::size_t BatchSize() const;

  std::vector<kv::Operation> mChecks;
  std::vector<kv::Operation> mDeletes;
  // Holds the delete of the record until that was sent.
  std::vector<kv::Operation> mRecord;
  std::size_t mNext = 0;
  bool mIsOrphan = false;
};

} // namespace lovagerock::retention
