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
  // Not heard from in time: no new work, but its leases live on until their TTL.
  Suspected,
  // About to go away: no new work, and its leases are moved.
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

// Whether work stands on capacity that is assigned to its own account.
enum class CapacityClass
{
  Guaranteed,
  Borrowed,
};

// A lease as the planner knows it. Either the job or the service is set.
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

// mCount copies of mWorkers distinct workers with mAcceleratorsPerWorker each. The workers of a
// copy are adjacent; with Adjacency::Worker the whole copy is on one worker.
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
  // Upper bounds of what the account uses at once; a component of 0 is unlimited.
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

// What counts when a placement is chosen; both are at least 0.
struct PolicyWeights
{
  double mCompletionTime = 0.5;
  double mFragmentation = 0.5;
};

// Everything that a plan depends on besides PlannerState.
struct ClusterSnapshot
{
  TimePoint mNow;
  // Whether every known worker has reported. While it is false, no job is refused as impossible,
  // because a planner that has just taken over has not heard from all workers.
  bool mComplete = true;
  std::vector<WorkerView> mWorkers;
  std::vector<AccountView> mAccounts;
  std::vector<ServiceView> mServices;
  std::vector<PendingJob> mJobs;
  PolicyWeights mWeights;
};

} // namespace lovagerock::placement
