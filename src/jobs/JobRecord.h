#pragma once

#include "base/Ids.h"
#include "base/SocketAddress.h"
#include "jobs/JobSpec.h"
#include "kv/KeyValueStore.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lovagerock::jobs {

// The durable state of a job. Whether a started job still runs is known by its workers.
enum class JobState
{
  // Waits for capacity.
  Pending,
  // An attempt was committed; its tasks are starting or running.
  Started,
  // Ended with a whole answer.
  Finished,
  // Ended with an error of its tasks, or can never run.
  Failed,
  // Ended at its caller's wish.
  Cancelled,
  // A non-idempotent job whose attempt was cut short; it isn't run again.
  Interrupted,
};

// Whether the job ran, as told to its caller.
enum class Ran
{
  No,
  Partly,
  Yes,
};

// Where one task of an attempt was placed.
struct TaskPlacement
{
  WorkerId mWorker;
  SocketAddress mAddress;
  bool mGuaranteed = false;
};

// The stored answer of one task.
struct AnswerInfo
{
  std::int64_t mBytes = 0;
  int mPieces = 0;
  // Hash of the whole answer, checked when it is read back.
  std::uint64_t mHash = 0;
};

// The record of a job in the key-value service.
struct JobRecord
{
  JobId mJob;
  RegionId mRegion;
  AccountId mAccount;
  JobSpec mSpec;
  // Hash of the submitted job, to tell a retried submission from another job under the same key.
  std::uint64_t mDigest = 0;
  // Wall clock, in milliseconds since 1970.
  std::int64_t mSubmittedMs = 0;
  std::int64_t mEndedMs = 0;
  JobState mState = JobState::Pending;
  int mAttempt = 0;
  // Part of the attempt's lease ids, so that starts by two planners never share a lease.
  std::string mStartToken;
  std::vector<TaskPlacement> mPlacements;
  // One checkpoint for each task; empty while there is none.
  std::vector<std::string> mCheckpoints;
  // Workers on which an attempt failed by itself.
  std::vector<WorkerId> mFailedWorkers;
  bool mCancelRequested = false;
  Ran mRan = Ran::No;
  std::string mError;
  std::vector<AnswerInfo> mAnswers;
  // Unique for each write, so that a writer whose answer was lost can recognize its own.
  std::string mWriteToken;

  // Version in the store; not part of the value.
  kv::ModifyIndex mModifyIndex = 0;

  bool IsDone() const;
};

std::string_view
JobStateName(JobState aState);
std::string_view
RanName(Ran aRan);

// The lease id of one task of the record's current attempt.
LeaseId
TaskLease(const JobRecord& aRecord, int aTask);

// The job id of a caller's idempotency key.
JobId
MakeJobId(const AccountId& aAccount, std::string_view aIdempotencyKey);

std::string
WriteJobRecord(const JobRecord& aRecord);

// Reads a stored record; nothing if it is damaged.
std::optional<JobRecord>
ReadJobRecord(const kv::Entry& aEntry);

} // namespace lovagerock::jobs
