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

// The stored state of a job. Only the workers know whether a started job still runs.
enum class JobState
{
  // Waits for capacity.
  Pending,
  // An attempt was committed; its tasks are starting or running.
  Started,
  // Ended with the answers of all tasks.
  Finished,
  // Ended with an error of a task, or refused by the planner because it can never run.
  Failed,
  // Cancelled at the caller's request.
  Cancelled,
  // A non-idempotent job whose attempt ended early; it is not run again.
  Interrupted,
};

// Whether the job ran, as reported to its caller.
enum class Ran
{
  No,
  Partly,
  Yes,
};

// The worker to which one task of an attempt was assigned.
struct TaskPlacement
{
  WorkerId mWorker;
  SocketAddress mAddress;
  bool mGuaranteed = false;
};

// Metadata of the stored answer of one task.
struct AnswerInfo
{
  std::int64_t mBytes = 0;
  int mPieces = 0;
  // Hash of the complete answer.
  std::uint64_t mHash = 0;
};

// The record of a job in the key-value service.
struct JobRecord
{
  JobId mJob;
  RegionId mRegion;
  AccountId mAccount;
  JobSpec mSpec;
  // Hash of the submitted job, to tell a retried submission from a different job under the same
  // key.
  std::uint64_t mDigest = 0;
  // Wall clock times, in milliseconds since the Unix epoch.
  std::int64_t mSubmittedMs = 0;
  std::int64_t mEndedMs = 0;
  JobState mState = JobState::Pending;
  int mAttempt = 0;
  // Part of the attempt's lease ids, so that starts by two planners never share a lease.
  std::string mStartToken;
  std::vector<TaskPlacement> mPlacements;
  // The last checkpoint of each task, empty if it has none. The vector is empty until an attempt
  // was stopped.
  std::vector<std::string> mCheckpoints;
  // Workers on which a task failed with an error of its own.
  std::vector<WorkerId> mFailedWorkers;
  bool mCancelRequested = false;
  Ran mRan = Ran::No;
  std::string mError;
  std::vector<AnswerInfo> mAnswers;
  // Unique for each write, so that a writer that got no response can tell whether its write took
  // effect.
  std::string mWriteToken;

  // The version of the entry in the store; not part of its value.
  kv::ModifyIndex mModifyIndex = 0;

  bool IsDone() const;
};

std::string_view
JobStateName(JobState aState);
std::string_view
RanName(Ran aRan);

// Returns the lease id of one task of the record's current attempt.
LeaseId
TaskLeaseId(const JobRecord& aRecord, int aTask);

// Returns the job id for an account's idempotency key.
JobId
MakeJobId(const AccountId& aAccount, std::string_view aIdempotencyKey);

std::string
WriteJobRecord(const JobRecord& aRecord);

// Parses a stored record. Returns nullopt if it is damaged.
std::optional<JobRecord>
ReadJobRecord(const kv::Entry& aEntry);

} // namespace lovagerock::jobs
