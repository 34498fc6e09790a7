#pragma once

#include "base/Random.h"
#include "jobs/JobError.h"
#include "jobs/JobRecord.h"
#include "kv/KvError.h"

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace lovagerock::jobs {

// Reads and writes job records. Every change of a record is a compare-and-swap on its version; the
// deletion of a done record is not. When the outcome of a write is unknown, the record is read back
// and its write token tells whether the write took effect.
template<kv::KeyValueStore Store>
class JobStore
{
public:
  using RecordCallback = std::function<void(std::error_code, JobRecord)>;
  using RecordsCallback = std::function<void(std::error_code, std::vector<JobRecord>)>;
  using IdsCallback = std::function<void(std::error_code, std::vector<JobId>)>;

  JobStore(Store& aStore, RegionId aRegion, Random& aRandom)
    : mStore(aStore)
    , mRegion(std::move(aRegion))
    , mRandom(aRandom)
  {
  }

  // Creates the record of a new job. If the job exists already, passes its record to the callback,
  // with the error KeyReused if it is a different job under the same key.
  void Submit(JobRecord aRecord, RecordCallback aCallback)
  {
    aRecord.mRegion = mRegion;
    Load(aRecord.mJob, [this, aRecord, aCallback](std::error_code aError, JobRecord aFound) {
      if (!aError) {
        const bool same = aFound.mDigest == aRecord.mDigest;
        aCallback(same ? std::error_code() : make_error_code(JobError::KeyReused),
                  std::move(aFound));
      } else if (aError == make_error_code(JobError::NotFound)) {
        Create(aRecord, aCallback);
      } else {
        aCallback(aError, {});
      }
    });
  }

  // Reads the record of a live or done job. Fails with NotFound if there is none.
  void Load(const JobId& aJob, RecordCallback aCallback)
  {
    mStore.Get(LiveKey(aJob),
               [this, aJob, aCallback](std::error_code aError, std::optional<kv::Entry> aEntry) {
                 if (aError || aEntry) {
                   Report(aError, aEntry, aCallback);
                   return;
                 }
                 LoadDone(aJob, aCallback);
               });
  }

  // Reads all live records of the region. Skips damaged ones.
  void ListLive(RecordsCallback aCallback)
  {
    mStore.List("jobs/" + mRegion.Value() + "/",
                [aCallback](std::error_code aError, const std::vector<kv::Entry>& aEntries) {
                  std::vector<JobRecord> records;
                  for (const auto& it : aEntries) {
                    if (auto record = ReadJobRecord(it)) {
                      records.push_back(std::move(*record));
                    }
                  }
                  aCallback(FromKvError(aError), std::move(records));
                });
  }

  // Reads the ids of all live records of the region.
  void ListLiveIds(IdsCallback aCallback)
  {
    const auto prefix = "jobs/" + mRegion.Value() + "/";
    mStore.ListNames(prefix, "/", kMaxIdListBytes,
                     [prefix, aCallback](std::error_code aError, const kv::NameList& aNames) {
                       std::vector<JobId> ids;
                       for (const auto& it : aNames.mNames) {
                         ids.emplace_back(it.substr(prefix.size()));
                       }
                       aCallback(FromKvError(aError), std::move(ids));
                     });
  }

  // Replaces a live record. Fails with Conflict if its version is no longer that of aRecord.
  void Update(JobRecord aRecord, RecordCallback aCallback)
  {
    Write(std::move(aRecord), {}, std::move(aCallback));
  }

  // Moves a live record to the done records in one transaction.
  void MoveToDone(JobRecord aRecord, RecordCallback aCallback)
  {
    aRecord.mWriteToken = mRandom.Token();
    std::vector<kv::Operation> operations(2);
    operations[0] = { kv::Operation::Kind::CompareAndDelete, LiveKey(aRecord.mJob), "",
                      aRecord.mModifyIndex };
    operations[1] = { kv::Operation::Kind::CompareAndSet, DoneKey(aRecord.mJob),
                      WriteJobRecord(aRecord), 0 };
    Apply(std::move(operations), 1, aRecord, std::move(aCallback));
  }

  // Waits until the job is done or aWait has passed, then reads its record.
  void AwaitDone(const JobId& aJob, Duration aWait, RecordCallback aCallback)
  {
    mStore.Watch(DoneKey(aJob), 0, aWait,
                 [this, aJob, aCallback](std::error_code aError, std::optional<kv::Entry> aEntry) {
                   if (!aError && aEntry) {
                     Report(aError, aEntry, aCallback);
                   } else {
                     Load(aJob, aCallback);
                   }
                 });
  }

  // Deletes the record of a done job.
  void DeleteDone(const JobRecord& aRecord, std::function<void(std::error_code)> aCallback)
  {
    std::vector<kv::Operation> operations(1);
    operations[0] = { kv::Operation::Kind::Delete, DoneKey(aRecord.mJob), "", 0 };
    mStore.Transact(std::move(operations),
                    [aCallback](std::error_code aError, const kv::TransactionResult&) {
                      aCallback(FromKvError(aError));
                    });
  }

private:
  // Room for about 60,000 ids.
  static constexpr Bytes kMaxIdListBytes{ 4 * 1024 * 1024 };

  std::string LiveKey(const JobId& aJob) const
  {
    return "jobs/" + mRegion.Value() + "/" + aJob.Value();
  }
  std::string DoneKey(const JobId& aJob) const
  {
    return "done/" + mRegion.Value() + "/" + aJob.Value();
  }

  static void Report(std::error_code aError, const std::optional<kv::Entry>& aEntry,
                     const RecordCallback& aCallback)
  {
    if (aError) {
      aCallback(FromKvError(aError), {});
      return;
    }
    if (!aEntry) {
      aCallback(JobError::NotFound, {});
      return;
    }
    auto record = ReadJobRecord(*aEntry);
    const auto ec = record ? std::error_code() : make_error_code(JobError::BadRecord);
    aCallback(ec, record ? std::move(*record) : JobRecord());
  }

  void LoadDone(const JobId& aJob, RecordCallback aCallback)
  {
    mStore.Get(DoneKey(aJob), [aCallback](std::error_code aError, std::optional<kv::Entry> aEntry) {
      Report(aError, aEntry, aCallback);
    });
  }

  void Create(JobRecord aRecord, RecordCallback aCallback)
  {
    aRecord.mModifyIndex = 0;
    Write(aRecord, {}, [this, aRecord, aCallback](std::error_code aError, JobRecord aWritten) {
      if (aError == make_error_code(JobError::Conflict)) {
        // Another node created the record between the read and the write.
        Submit(aRecord, aCallback);
        return;
      }
      aCallback(aError, std::move(aWritten));
    });
  }

  void Write(JobRecord aRecord, std::vector<kv::Operation> aMore, RecordCallback aCallback)
  {
    aRecord.mWriteToken = mRandom.Token();
    std::vector<kv::Operation> operations(1);
    operations[0] = { kv::Operation::Kind::CompareAndSet, LiveKey(aRecord.mJob),
                      WriteJobRecord(aRecord), aRecord.mModifyIndex };
    operations.insert(operations.end(), aMore.begin(), aMore.end());
    Apply(std::move(operations), 0, std::move(aRecord), std::move(aCallback));
  }

  // Applies the operations in one transaction. aRecordAt is the index of the operation that writes
  // the record.
  void Apply(std::vector<kv::Operation> aOperations, std::size_t aRecordAt, JobRecord aRecord,
             RecordCallback aCallback)
  {
    mStore.Transact(std::move(aOperations), [this, aRecordAt, aRecord,
                                             aCallback](std::error_code aError,
                                                        const kv::TransactionResult& aResult) {
      const auto ec = FromKvError(aError);
      if (ec == make_error_code(JobError::OutcomeUnknown)) {
        ResolveWrite(aRecord, aCallback);
        return;
      }
      auto written = aRecord;
      if (!ec && aResult.mApplied) {
        written.mModifyIndex = aResult.mModifyIndexes.at(aRecordAt);
      }
      const bool conflict = !ec && !aResult.mApplied;
      aCallback(conflict ? make_error_code(JobError::Conflict) : ec, std::move(written));
    });
  }

  // Reads the record back to find out whether a write took effect.
  void ResolveWrite(const JobRecord& aRecord, RecordCallback aCallback)
  {
    Load(aRecord.mJob, [aRecord, aCallback](std::error_code aError, JobRecord aFound) {
      if (!aError) {
        const bool own = aFound.mWriteToken == aRecord.mWriteToken;
        aCallback(own ? std::error_code() : make_error_code(JobError::Conflict), std::move(aFound));
      } else if (aError == make_error_code(JobError::NotFound)) {
        aCallback(JobError::Conflict, {});
      } else {
        aCallback(JobError::OutcomeUnknown, {});
      }
    });
  }

  Store& mStore;
  RegionId mRegion;
  Random& mRandom;
};

} // namespace lovagerock::jobs
