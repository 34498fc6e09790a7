#pragma once

#include "placement/ClusterSnapshot.h"

#include <string>
#include <string_view>
#include <vector>

namespace lovagerock::placement {

// A gang to reserve, commit and start.
struct GangStart
{
  JobId mJob;
  AccountId mAccount;
  // The worker of each task, by task number.
  std::vector<WorkerId> mWorkers;
  CapacityClass mClass = CapacityClass::Borrowed;
  // False for work that can't be interrupted.
  bool mReclaimable = true;
};

enum class ReclaimReason
{
  // The capacity is assigned to the account whose work needs it.
  Guarantee,
  // An urgent job of an account with a lower dominant share needs the capacity.
  Urgent,
  // A large job can start on its reservation once the reclaimed work has stopped.
  Reservation,
  // The worker is leaving.
  WorkerLeaving,
};

// Work to stop: all leases of a job, or one service lease.
struct Reclaim
{
  std::vector<LeaseId> mLeases;
  JobId mJob;
  ServiceId mService;
  AccountId mAccount;
  ReclaimReason mReason = ReclaimReason::Guarantee;
  // The job or service that needs the capacity; both are empty for ReclaimReason::WorkerLeaving.
  JobId mForJob;
  ServiceId mForService;
};

// A service lease to grant.
struct ServiceGrant
{
  ServiceId mService;
  AccountId mAccount;
  WorkerId mWorker;
  Resources mResources;
  CapacityClass mClass = CapacityClass::Borrowed;
  bool mReclaimable = true;
};

// A service lease to release once its requests have ended.
struct ServiceRelease
{
  ServiceId mService;
  LeaseId mLease;
};

// The number of slots of a service that have no capacity now.
struct ServiceShortfall
{
  ServiceId mService;
  int mSlots = 0;
};

enum class WaitReason
{
  OverQuota,
  NoCapacityNow,
  ReservedForLargerJob,
  WaitingForReclaim,
  // Leases of an earlier attempt still hold resources.
  PreviousAttemptEnding,
  // The current configuration doesn't contain the account.
  UnknownAccount,
};

struct WaitingJob
{
  JobId mJob;
  WaitReason mReason = WaitReason::NoCapacityNow;
  std::string mDetail;
};

enum class RefusalReason
{
  // It fits into no worker, rack, availability zone or region (by its adjacency), even an idle one.
  CanNeverRun,
  // It is larger than its account's quota.
  LargerThanQuota,
  // It failed on several distinct workers.
  FailedRepeatedly,
};

// A job that ends without being started, or started again.
struct RefusedJob
{
  JobId mJob;
  RefusalReason mReason = RefusalReason::CanNeverRun;
  std::string mDetail;
};

// A copy of a guarantee to which no workers can be assigned now.
struct UnassignedCopy
{
  AccountId mAccount;
  std::string mGuarantee;
  int mCopy = 0;
};

struct Plan
{
  std::vector<GangStart> mStarts;
  std::vector<Reclaim> mReclaims;
  std::vector<ServiceGrant> mGrants;
  std::vector<ServiceRelease> mReleases;
  std::vector<ServiceShortfall> mShortfalls;
  std::vector<WaitingJob> mWaiting;
  std::vector<RefusedJob> mRefused;
  std::vector<UnassignedCopy> mUnassigned;
  // For each free accelerator, the fraction of its rack's accelerators that are not free, averaged
  // over all free accelerators: from 0 (all are in entirely free racks) to 1.
  double mFragmentation = 0;
};

// Names for logs and the operators' API.
std::string_view
WaitReasonName(WaitReason aReason);
std::string_view
RefusalReasonName(RefusalReason aReason);
std::string_view
ReclaimReasonName(ReclaimReason aReason);

} // namespace lovagerock::placement
