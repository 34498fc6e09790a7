#pragma once

#include "placement/ClusterSnapshot.h"
#include "placement/PlannerState.h"
#include "placement/ResourceVector.h"
#include "placement/Topology.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lovagerock::placement {

// The part of a worker that is assigned to an account, and how much of it guaranteed work uses.
struct AssignedShare
{
  int mAccount = -1;
  ResourceVector mAssigned;
  ResourceVector mUsed;
};

// A lease that holds resources.
struct ActiveLease
{
  const LeaseView* mLease = nullptr;
  // Index in ClusterModel::Borrowers().
  int mBorrower = -1;
  ResourceVector mResources;
  // Whether it is of class Guaranteed and fits into the account's assigned part of the worker.
  bool mGuaranteed = false;
  // Whether ClusterModel::Releasing() already contains its resources.
  bool mIsReleasing = false;
};

// The unit in which capacity is reclaimed: all leases of a job, or one service lease. Guaranteed
// work has an entry as well, but is not reclaimed for other work.
struct Borrower
{
  const LeaseView* mFirst = nullptr;
  int mAccount = -1;
  // Worker and position in ClusterModel::Leases() of that worker.
  std::vector<std::pair<int, int>> mLeases;
  bool mGuaranteed = true;
  bool mReclaimable = true;
  bool mUrgent = false;
  bool mStopping = false;
  // Whether this plan reclaims or releases it.
  bool mIsStopPlanned = false;
  TimePoint mStarted;
  std::int64_t mSize = 0;
};

// The capacity of a snapshot, less what the plan has used so far. Workers and accounts are
// identified by their index in the snapshot.
class ClusterModel
{
public:
  ClusterModel(const ClusterSnapshot& aSnapshot, const PlannerState& aState);

  // Subtracts the leases from the capacity and classifies them as guaranteed or borrowed by the
  // assignment. Must be called once, before any member that depends on leases or assigned capacity.
  void ApplyAssignment(const std::vector<AssignedCopy>& aAssignment);

  const Topology& GetTopology() const { return mTopology; }
  int Workers() const { return static_cast<int>(mCapacity.size()); }
  std::optional<int> FindWorker(const WorkerId& aWorker) const;
  std::optional<int> FindAccount(const AccountId& aAccount) const;
  const std::vector<bool>& Usable() const { return mUsable; }
  bool IsUsable(int aWorker) const { return mUsable[aWorker]; }
  const ResourceVector& Capacity(int aWorker) const { return mCapacity[aWorker]; }
  // Returns the capacity that neither leases nor this plan use; zero on workers that take no new
  // work.
  const ResourceVector& Free(int aWorker) const { return mFree[aWorker]; }
  // Returns the capacity that becomes free when the leases that are being stopped end, less what is
  // earmarked of it.
  const ResourceVector& Releasing(int aWorker) const { return mReleasing[aWorker]; }
  // Returns the free capacity that is assigned to no account.
  ResourceVector Unassigned(int aWorker) const
  {
    return ResourceVector::Positive(ResourceVector::Min(mFree[aWorker], mUnassignedLeft[aWorker]));
  }
  // Returns the free capacity for pinned work, which can't be interrupted.
  ResourceVector Pinnable(int aWorker) const
  {
    return ResourceVector::Positive(ResourceVector::Min(mFree[aWorker], mPinnableLimit[aWorker]));
  }
  // Returns the upper bound on new pinned work, free or not: the capacity less what is assigned to
  // accounts and less the pinned work that already runs.
  const ResourceVector& PinnableLimit(int aWorker) const { return mPinnableLimit[aWorker]; }
  // Returns the part that is held for reservations of large jobs. Free() still contains it.
  const ResourceVector& Held(int aWorker) const { return mHeld[aWorker]; }
  void Hold(int aWorker, const ResourceVector& aAmount) { mHeld[aWorker] += aAmount; }
  void ClearHolds() { mHeld.assign(mHeld.size(), ResourceVector()); }
  // Returns the capacity that is free once everything reclaimable has been reclaimed: the capacity
  // less guaranteed work, pinned work and what is earmarked.
  ResourceVector FreeAfterReclaim(int aWorker) const;

  // Returns the workers on which the account has assigned capacity.
  const std::vector<int>& OwnWorkers(int aAccount) const { return mOwnWorkers[aAccount]; }
  // Returns the part of the account's assigned capacity on a worker that guaranteed work doesn't
  // use.
  ResourceVector ShareLeft(int aWorker, int aAccount) const;
  // Returns the account's assigned capacity on a worker.
  ResourceVector ShareOf(int aWorker, int aAccount) const;
  // Returns the sum of a resource's free amounts over the workers of a domain, an upper bound on
  // what any search finds there.
  std::int64_t FreeIn(Adjacency aLevel, int aDomain, int aComponent) const
  {
    return mFreeIn[static_cast<int>(aLevel)][aDomain][aComponent];
  }
  std::int64_t CapacityIn(Adjacency aLevel, int aDomain, int aComponent) const
  {
    return mCapacityIn[static_cast<int>(aLevel)][aDomain][aComponent];
  }

  const std::vector<ActiveLease>& Leases(int aWorker) const { return mLeases[aWorker]; }
  std::vector<Borrower>& Borrowers() { return mBorrowers; }
  const std::vector<Borrower>& Borrowers() const { return mBorrowers; }
  // Returns the index of the job's entry in Borrowers(), or -1 if the job holds no resources.
  int BorrowerOf(const JobId& aJob) const;

  const ResourceVector& Used(int aAccount) const { return mUsed[aAccount]; }
  // Returns the account's dominant share of the cluster divided by its weight.
  double DominantShare(int aAccount) const { return mDominantShare[aAccount]; }
  // Returns what DominantShare() would be if the account used aMore in addition.
  double DominantShareWith(int aAccount, const ResourceVector& aMore) const;

  // Subtract the capacity of new work that starts now.
  void TakeGuaranteed(int aWorker, int aAccount, const ResourceVector& aAmount);
  void TakeBorrowed(int aWorker, int aAccount, const ResourceVector& aAmount, bool aIsPinned);
  // Sets capacity aside for work that waits for a reclaim: first what is free, then what is being
  // released. The account's use grows only when the work starts.
  void Earmark(int aWorker, const ResourceVector& aAmount);
  void EarmarkGuaranteed(int aWorker, int aAccount, const ResourceVector& aAmount);
  // Marks a borrower as reclaimed by this plan and counts its resources as being released.
  void MarkReclaimed(int aBorrower);

  // Returns the value for Plan::mFragmentation.
  double Fragmentation() const;

private:
  using DomainSums = std::vector<std::array<std::int64_t, ResourceVector::kSize>>;

  void ReadWorkers(const ClusterSnapshot& aSnapshot, const PlannerState& aState);
  void SumDomains();
  void AddLease(int aWorker, const LeaseView& aLease);
  void AddToBorrower(int aWorker, int aPosition);
  AssignedShare* FindShare(int aWorker, int aAccount);
  const AssignedShare* FindShare(int aWorker, int aAccount) const;
  void ReduceFree(int aWorker, const ResourceVector& aAmount);
  void AddUse(int aAccount, const ResourceVector& aAmount);

  const ClusterSnapshot& mSnapshot;
  Topology mTopology;
  std::unordered_map<std::string_view, int> mWorkerIndex;
  std::unordered_map<std::string_view, int> mAccountIndex;
  std::unordered_map<std::string_view, int> mJobIndex;
  std::vector<bool> mUsable;
  std::vector<ResourceVector> mCapacity;
  std::vector<ResourceVector> mFree;
  std::vector<ResourceVector> mReleasing;
  // Capacity less what is assigned to accounts and less borrowed work.
  std::vector<ResourceVector> mUnassignedLeft;
  std::vector<ResourceVector> mPinnableLimit;
  std::vector<ResourceVector> mHeld;
  std::vector<ResourceVector> mGuaranteedUse;
  // Use by pinned work, and what is earmarked for work that waits for a reclaim.
  std::vector<ResourceVector> mNonReclaimableUse;
  std::vector<std::vector<AssignedShare>> mShares;
  std::vector<std::vector<ActiveLease>> mLeases;
  std::vector<std::vector<int>> mOwnWorkers;
  std::vector<Borrower> mBorrowers;
  std::vector<ResourceVector> mUsed;
  std::vector<double> mDominantShare;
  std::array<std::int64_t, ResourceVector::kSize> mTotal{};
  std::array<DomainSums, Topology::kLevels> mFreeIn;
  std::array<DomainSums, Topology::kLevels> mCapacityIn;
};

} // namespace lovagerock::placement
