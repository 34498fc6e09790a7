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
  // The capacity is assigned to the account of the work that needs it.
  Guarantee,
  // An urgent job of an account with a lower share needs room.
  Urgent,
  // It is all that keeps the reservation of a large job from starting.
  Reservation,
  // The worker is leaving.
  WorkerLeaving,
};

// A whole borrower to stop: all leases of a job, or one service lease.
struct Reclaim
{
  std::vector<LeaseId> mLeases;
  JobId mJob;
  ServiceId mService;
  AccountId mAccount;
  ReclaimReason mReason = ReclaimReason::Guarantee;
  // What room is made for; both are empty when the worker is leaving.
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

// Slots of a service that no capacity was found for.
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
  // The configuration in force doesn't contain the account.
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
  // No worker, rack, zone or region could hold it even if it were empty.
  CanNeverRun,
  // It is larger than its account's quota.
  LargerThanQuota,
  // It failed on several distinct workers.
  FailedRepeatedly,
};

// A job that must end without being started again.
struct RefusedJob
{
  JobId mJob;
  RefusalReason mReason = RefusalReason::CanNeverRun;
  std::string mDetail;
};

// A copy of a guarantee that has no capacity now.
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
  // Mean share of a free accelerator's rack that is not free, from 0 (all free accelerators are in
  // wholly free racks) to 1.
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
