#pragma once

#include "base/Adjacency.h"
#include "base/Ids.h"
#include "base/Resources.h"
#include "base/Units.h"

#include <optional>
#include <string>
#include <vector>

namespace lovagerock::placement {

enum class WorkerHealth
{
  Live,
  // Has not reported in time: gets no new work; its leases stay valid until their TTL ends.
  Suspected,
  // Is about to leave the cluster: gets no new work, and its leases are moved to other workers.
  Leaving,
};

// Reserved, Running and Stopping leases hold resources; an Ended one doesn't.
enum class LeasePhase
{
  Reserved,
  Running,
  Stopping,
  Ended,
};

// Whether work uses capacity that is assigned to its own client account (Guaranteed) or not
// (Borrowed).
enum class CapacityClass
{
  Guaranteed,
  Borrowed,
};

// The planner's view of a lease. Either mJob or mService is set, the other is empty.
struct LeaseView
{
  LeaseId mLease;
  JobId mJob;
  ServiceId mService;
  AccountId mAccount;
  Resources mResources;
  LeasePhase mPhase = LeasePhase::Running;
  CapacityClass mClass = CapacityClass::Borrowed;
  bool mReclaimable = true;
  bool mIdempotent = true;
  bool mUrgent = false;
  int mTask = 0;
  TimePoint mStarted;
  // The caller's estimate of the run time; 0 if unknown.
  Duration mEstimate{ 0 };
  // The run time of earlier attempts whose progress was saved.
  Duration mRanBefore{ 0 };
};

struct WorkerView
{
  WorkerId mWorker;
  RegionId mRegion;
  ZoneId mZone;
  RackId mRack;
  Resources mCapacity;
  WorkerHealth mHealth = WorkerHealth::Live;
  std::vector<LeaseView> mLeases;
};

// Capacity that a client account can always get: mCount copies of mWorkers distinct workers with
// mAcceleratorsPerWorker each. The workers of a copy are in one domain of level mAdjacency; with
// Adjacency::Worker the whole copy is on one worker.
struct Guarantee
{
  std::string mName;
  int mCount = 1;
  int mWorkers = 1;
  Accelerators mAcceleratorsPerWorker;
  Adjacency mAdjacency = Adjacency::Region;
  std::optional<ZoneId> mZone;

  bool operator==(const Guarantee&) const = default;
};

struct AccountView
{
  AccountId mAccount;
  double mWeight = 1;
  // Upper bound on what the account uses at once; a component of 0 means unlimited.
  Resources mQuota;
  std::vector<Guarantee> mGuarantees;
};

struct ServiceView
{
  ServiceId mService;
  AccountId mAccount;
  int mSlots = 0;
  Accelerators mAcceleratorsPerSlot;
  bool mIdempotent = true;
};

struct PendingJob
{
  JobId mJob;
  AccountId mAccount;
  int mTasks = 1;
  Resources mResourcesPerTask;
  Adjacency mAdjacency = Adjacency::Region;
  bool mUrgent = false;
  bool mIdempotent = true;
  TimePoint mSubmitted;
  // The caller's estimate of the run time; 0 if unknown.
  Duration mEstimate{ 0 };
  // The run time of earlier attempts whose progress was saved.
  Duration mRanBefore{ 0 };
  // Workers on which an attempt of the job failed.
  std::vector<WorkerId> mFailedWorkers;
};

// Relative weights of the costs of a placement; both are at least 0.
struct PolicyWeights
{
  double mCompletionTime = 0.5;
  double mFragmentation = 0.5;
};

// The input of a plan, together with PlannerState.
struct ClusterSnapshot
{
  TimePoint mNow;
  // Whether every known worker has reported. While false, no job is refused with
  // RefusalReason::CanNeverRun, because a planner that has just taken over may not know all
  // workers.
  bool mComplete = true;
  std::vector<WorkerView> mWorkers;
  std::vector<AccountView> mAccounts;
  std::vector<ServiceView> mServices;
  std::vector<PendingJob> mJobs;
  PolicyWeights mWeights;
};

} // namespace lovagerock::placement
