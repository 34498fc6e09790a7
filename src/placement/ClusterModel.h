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

// The part of a worker that is assigned to an account, and how much guaranteed work uses of it.
struct AssignedShare
{
  int mAccount = -1;
  ResourceVector mAssigned;
  ResourceVector mUsed;
};

struct HeldLease
{
  const LeaseView* mLease = nullptr;
  int mBorrower = -1;
  ResourceVector mResources;
  // Whether it fits into the share of its account.
  bool mGuaranteed = false;
  // Whether its resources are already counted as coming free.
  bool mIsComing = false;
};

// A unit of reclaim: all leases of a job, or one service lease.
struct Borrower
{
  const LeaseView* mFirst = nullptr;
  int mAccount = -1;
  // Worker and position in the worker's held leases.
  std::vector<std::pair<int, int>> mLeases;
  bool mGuaranteed = true;
  bool mReclaimable = true;
  bool mUrgent = false;
  bool mStopping = false;
  bool mChosen = false;
  TimePoint mStarted;
  std::int64_t mSize = 0;
};

// The capacity of a snapshot as the plan uses it up. A worker's position is that in the snapshot;
// an account's likewise.
class ClusterModel
{
public:
  ClusterModel(const ClusterSnapshot& aSnapshot, const PlannerState& aState);

  // Takes over the assignment and sorts the leases into guaranteed and borrowed. Must be called
  // once, before the other members are used.
  void ApplyAssignment(const std::vector<AssignedCopy>& aAssignment);

  const Topology& GetTopology() const { return mTopology; }
  int Workers() const { return static_cast<int>(mCapacity.size()); }
  std::optional<int> FindWorker(const WorkerId& aWorker) const;
  std::optional<int> FindAccount(const AccountId& aAccount) const;
  const std::vector<bool>& Usable() const { return mUsable; }
  bool IsUsable(int aWorker) const { return mUsable[aWorker]; }
  const ResourceVector& Capacity(int aWorker) const { return mCapacity[aWorker]; }
  // What no lease and nothing planned holds; nothing on workers that take no new work.
  const ResourceVector& Free(int aWorker) const { return mFree[aWorker]; }
  // What leases that are being stopped will free.
  const ResourceVector& Coming(int aWorker) const { return mComing[aWorker]; }
  // Free capacity that is assigned to nobody.
  ResourceVector Unassigned(int aWorker) const
  {
    return ResourceVector::Positive(ResourceVector::Min(mFree[aWorker], mUnlent[aWorker]));
  }
  // Free capacity for work that can't be interrupted.
  ResourceVector Pinnable(int aWorker) const
  {
    return ResourceVector::Positive(ResourceVector::Min(mFree[aWorker], mUnpinned[aWorker]));
  }
  // The bound on new work that can't be interrupted, whatever is free.
  const ResourceVector& Unpinned(int aWorker) const { return mUnpinned[aWorker]; }
  // What is kept for the reservation of a large job.
  const ResourceVector& Held(int aWorker) const { return mHeld[aWorker]; }
  void Hold(int aWorker, const ResourceVector& aAmount) { mHeld[aWorker] += aAmount; }
  void ClearHolds() { mHeld.assign(mHeld.size(), ResourceVector()); }
  // Capacity without guaranteed work and work that can't be interrupted: what is there once all
  // borrowers have been reclaimed.
  ResourceVector Reclaimable(int aWorker) const;

  const std::vector<int>& OwnWorkers(int aAccount) const { return mOwnWorkers[aAccount]; }
  // What is left of the account's share of a worker.
  ResourceVector ShareLeft(int aWorker, int aAccount) const;
  // The account's whole share of a worker.
  ResourceVector ShareOf(int aWorker, int aAccount) const;
  // The part of a domain's accelerators and slots that is free, an upper bound for any search.
  std::int64_t FreeIn(Adjacency aLevel, int aDomain, int aComponent) const
  {
    return mFreeIn[static_cast<int>(aLevel)][aDomain][aComponent];
  }
  std::int64_t CapacityIn(Adjacency aLevel, int aDomain, int aComponent) const
  {
    return mCapacityIn[static_cast<int>(aLevel)][aDomain][aComponent];
  }

  const std::vector<HeldLease>& Leases(int aWorker) const { return mLeases[aWorker]; }
  std::vector<Borrower>& Borrowers() { return mBorrowers; }
  const std::vector<Borrower>& Borrowers() const { return mBorrowers; }
  // The borrower that is this job, or -1 if the job holds no resources.
  int BorrowerOf(const JobId& aJob) const;

  const ResourceVector& Used(int aAccount) const { return mUsed[aAccount]; }
  // Dominant share of the whole cluster over the account's weight.
  double ShareOfAccount(int aAccount) const { return mShare[aAccount]; }
  // The same with this on top of the account's use.
  double ShareWith(int aAccount, const ResourceVector& aMore) const;

  // Takes capacity for new work that starts now.
  void TakeGuaranteed(int aWorker, int aAccount, const ResourceVector& aAmount);
  void TakeBorrowed(int aWorker, int aAccount, const ResourceVector& aAmount, bool aIsPinned);
  // Keeps capacity for work that waits for a reclaim: first what is free, then what is coming. The
  // work counts as its account's only when it starts.
  void Await(int aWorker, const ResourceVector& aAmount);
  void AwaitGuaranteed(int aWorker, int aAccount, const ResourceVector& aAmount);
  // Marks a borrower as reclaimed; its resources are coming free.
  void ChooseBorrower(int aBorrower);

  // The figure of Plan::mFragmentation.
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
  std::vector<ResourceVector> mComing;
  std::vector<ResourceVector> mUnlent;
  std::vector<ResourceVector> mUnpinned;
  std::vector<ResourceVector> mHeld;
  std::vector<ResourceVector> mGuaranteedUse;
  // Work that can't be interrupted, and what is promised to work that waits for a reclaim.
  std::vector<ResourceVector> mFixedUse;
  std::vector<std::vector<AssignedShare>> mShares;
  std::vector<std::vector<HeldLease>> mLeases;
  std::vector<std::vector<int>> mOwnWorkers;
  std::vector<Borrower> mBorrowers;
  std::vector<ResourceVector> mUsed;
  std::vector<double> mShare;
  std::array<std::int64_t, ResourceVector::kSize> mTotal{};
  std::array<DomainSums, Topology::kLevels> mFreeIn;
  std::array<DomainSums, Topology::kLevels> mCapacityIn;
};

} // namespace lovagerock::placement
