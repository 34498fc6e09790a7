#pragma once

#include "base/Ids.h"
#include "base/Json.h"
#include "base/Resources.h"
#include "base/Units.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lovagerock::workers {

// A fencing token. A worker refuses commands with a fence lower than the highest it has seen.
// Fences compare by epoch, then by node.
struct Fence
{
  std::uint64_t mEpoch = 0;
  NodeId mNode;

  // clang-tidy 14 takes the zero of a rewritten comparison for a null pointer.
  auto operator<=>(const Fence&) const = default; // NOLINT(modernize-use-nullptr)
};

// The kind of work that a lease holds capacity for.
enum class LeaseKind
{
  // One task of a job.
  Job,
  // A replica of a service, which admits requests.
  Service,
};

// Phase of a lease and its task.
enum class LeasePhase
{
  // Capacity is reserved and no task runs.
  Reserved,
  Running,
  // The task was told to stop and ends at its deadline at the latest.
  Stopping,
  // The task succeeded and the worker stores its answer.
  Finished,
  // The task ended with an error of its own.
  Failed,
  // Stopped by command or because the lease expired.
  Stopped,
};

// A request for a lease.
struct LeaseRequest
{
  LeaseId mLease;
  Fence mFence;
  Duration mTtl{ 0 };
  LeaseKind mKind = LeaseKind::Job;
  Resources mResources;
  bool mReclaimable = true;
  bool mIdempotent = true;
  AccountId mAccount;
  ServiceId mService;
  JobId mJob;
  // Position of the task in the gang, from 0, and the size of the gang.
  int mTask = 0;
  int mTasks = 1;
  int mAttempt = 1;
  // Checkpoint of an earlier attempt to resume from; empty if none.
  std::string mCheckpoint;
  // The task's input, passed to the worker as it is.
  std::string mPayload;
};

// A lease as a worker reports it.
struct LeaseState
{
  LeaseId mLease;
  LeaseKind mKind = LeaseKind::Job;
  LeasePhase mPhase = LeasePhase::Reserved;
  Resources mResources;
  Duration mExpiresIn{ 0 };
  bool mReclaimable = true;
  bool mIdempotent = true;
  AccountId mAccount;
  ServiceId mService;
  JobId mJob;
  int mTask = 0;
  int mTasks = 1;
  int mAttempt = 1;
  std::string mCheckpoint;
  std::string mError;
};

// Identifies one state of a worker.
struct StateVersion
{
  std::string mIncarnation;
  std::uint64_t mSequence = 0;

  bool operator==(const StateVersion&) const = default;
};

// The state of a worker as it reports it.
struct WorkerState
{
  WorkerId mWorker;
  RegionId mRegion;
  ZoneId mZone;
  RackId mRack;
  // Differs after each restart of the worker.
  std::string mIncarnation;
  // Grows with each change of the state; starts anew after a restart.
  std::uint64_t mSequence = 0;
  bool mLeaving = false;
  Resources mCapacity;
  // Connections that the worker accepts at once.
  int mConnections = 0;
  Fence mFence;
  // Accelerators that were busy mUsageLag before the report.
  Accelerators mBusyAccelerators;
  Duration mUsageLag{ 0 };
  std::vector<LeaseState> mLeases;

  StateVersion Version() const { return { mIncarnation, mSequence }; }
};

// Names in the worker protocol, as in docs/design.md.
std::string_view
LeaseKindName(LeaseKind aKind);
std::string_view
LeasePhaseName(LeasePhase aPhase);

// Conversions to and from the worker protocol's JSON. The Read functions return nullopt if a
// required member is missing or has the wrong type.
void
to_json(Json& aJson, const Fence& aFence);
void
to_json(Json& aJson, const LeaseRequest& aRequest);
void
to_json(Json& aJson, const LeaseState& aState);
void
to_json(Json& aJson, const WorkerState& aState);
std::optional<Fence>
ReadFence(const Json& aJson);
std::optional<LeaseRequest>
ReadLeaseRequest(const LeaseId& aLease, const Json& aJson);
std::optional<LeaseState>
ReadLeaseState(const Json& aJson);
std::optional<WorkerState>
ReadWorkerState(const Json& aJson);

// Conversions to and from the entity tag (ETag header) of a response without a state.
// ReadStateTag() returns nullopt if the tag is missing or malformed.
std::string
WriteStateTag(const StateVersion& aVersion);
std::optional<StateVersion>
ReadStateTag(std::string_view aTag);

} // namespace lovagerock::workers
