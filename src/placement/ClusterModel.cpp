#include "placement/ClusterModel.h"

#include "placement/GuaranteeAssigner.h"

#include <algorithm>

namespace lovagerock::placement {

namespace detail {
namespace {

constexpr Adjacency kDomainLevels[] = { Adjacency::Worker, Adjacency::Rack, Adjacency::Zone,
                                        Adjacency::Region };

bool
HoldsResources(const LeaseView& aLease)
{
  return aLease.mPhase != LeasePhase::Ended;
}

} // namespace
} // namespace detail

ClusterModel::ClusterModel(const ClusterSnapshot& aSnapshot, const PlannerState& aState)
  : mSnapshot(aSnapshot)
  , mTopology(aSnapshot.mWorkers)
{
  const auto accounts = aSnapshot.mAccounts.size();
  for (std::size_t i = 0; i < accounts; ++i) {
    mAccountIndex.emplace(aSnapshot.mAccounts[i].mAccount.Value(), static_cast<int>(i));
  }
  mOwnWorkers.resize(accounts);
  mUsed.resize(accounts);
  mDominantShare.resize(accounts);
  ReadWorkers(aSnapshot, aState);
}

void
ClusterModel::ReadWorkers(const ClusterSnapshot& aSnapshot, const PlannerState& aState)
{
  const auto count = aSnapshot.mWorkers.size();
  mWorkerIndex.reserve(count);
  mCapacity.reserve(count);
  // Failing jobs of one account could get every worker quarantined, so at most half of the workers
  // are treated as quarantined.
  std::size_t quarantineLeft = count / 2;
  for (std::size_t i = 0; i < count; ++i) {
    const auto& worker = aSnapshot.mWorkers[i];
    mWorkerIndex.emplace(worker.mWorker.Value(), static_cast<int>(i));
    mCapacity.emplace_back(worker.mCapacity);
    bool isQuarantined = aState.IsQuarantined(worker.mWorker, aSnapshot.mNow);
    if (isQuarantined && quarantineLeft == 0) {
      isQuarantined = false;
    } else if (isQuarantined) {
      --quarantineLeft;
    }
    mUsable.push_back(worker.mHealth == WorkerHealth::Live && !isQuarantined);
    for (int component = 0; component < ResourceVector::kSize; ++component) {
      mTotal[component] += mCapacity.back()[component];
    }
  }
  mFree = mCapacity;
  mUnassignedLeft = mCapacity;
  mPinnableLimit = mCapacity;
  mReleasing.resize(count);
  mHeld.resize(count);
  mGuaranteedUse.resize(count);
  mNonReclaimableUse.resize(count);
  mShares.resize(count);
  mLeases.resize(count);
}

void
ClusterModel::ApplyAssignment(const std::vector<AssignedCopy>& aAssignment)
{
  for (const auto& copy : aAssignment) {
    const auto account = FindAccount(copy.mAccount);
    for (const auto& id : copy.mWorkers) {
      const auto worker = FindWorker(id);
      if (!account || !worker) {
        continue;
      }
      auto* share = FindShare(*worker, *account);
      if (!share) {
        share = &mShares[*worker].emplace_back();
        share->mAccount = *account;
        mOwnWorkers[*account].push_back(*worker);
      }
      const auto count = static_cast<int>(copy.mGuarantee.mAcceleratorsPerWorker.Value());
      const auto all = share->mAssigned[ResourceVector::kAccelerators] + count;
      // Computed from the sum of the accelerators, because rounding down the part of each copy
      // would lose resources.
      const auto amount = placement::ProportionalShare(mCapacity[*worker], all);
      mUnassignedLeft[*worker] -= amount - share->mAssigned;
      mPinnableLimit[*worker] -= amount - share->mAssigned;
      share->mAssigned = amount;
    }
  }
  for (auto& it : mOwnWorkers) {
    std::ranges::sort(it);
  }
  std::size_t leases = 0;
  for (const auto& it : mSnapshot.mWorkers) {
    leases += it.mLeases.size();
  }
  mJobIndex.reserve(leases);
  mBorrowers.reserve(leases);
  for (int i = 0; i < Workers(); ++i) {
    mLeases[i].reserve(mSnapshot.mWorkers[i].mLeases.size());
    for (const auto& it : mSnapshot.mWorkers[i].mLeases) {
      if (detail::HoldsResources(it)) {
        AddLease(i, it);
      }
    }
    mFree[i] = mUsable[i] ? ResourceVector::Positive(mFree[i]) : ResourceVector();
  }
  SumDomains();
}

void
ClusterModel::AddLease(int aWorker, const LeaseView& aLease)
{
  ActiveLease held{ &aLease, -1, ResourceVector(aLease.mResources), false, false };
  const auto account = FindAccount(aLease.mAccount);
  auto* share = account ? FindShare(aWorker, *account) : nullptr;
  if (share && aLease.mClass == CapacityClass::Guaranteed &&
      (share->mUsed + held.mResources).FitsInto(share->mAssigned)) {
    held.mGuaranteed = true;
    share->mUsed += held.mResources;
    mGuaranteedUse[aWorker] += held.mResources;
  } else {
    mUnassignedLeft[aWorker] -= held.mResources;
  }
  const bool isReclaimable =
    aLease.mIdempotent && (aLease.mReclaimable || aLease.mClass == CapacityClass::Guaranteed);
  if (!held.mGuaranteed && !isReclaimable) {
    mPinnableLimit[aWorker] -= held.mResources;
    mNonReclaimableUse[aWorker] += held.mResources;
  }
  mFree[aWorker] -= held.mResources;
  if (account) {
    AddUse(*account, held.mResources);
  }
  if (aLease.mPhase == LeasePhase::Stopping && mUsable[aWorker]) {
    held.mIsReleasing = true;
    mReleasing[aWorker] += held.mResources;
  }
  mLeases[aWorker].push_back(held);
  AddToBorrower(aWorker, static_cast<int>(mLeases[aWorker].size()) - 1);
}

void
ClusterModel::AddToBorrower(int aWorker, int aPosition)
{
  auto& held = mLeases[aWorker][aPosition];
  const auto& lease = *held.mLease;
  int index = static_cast<int>(mBorrowers.size());
  if (!lease.mJob.IsEmpty()) {
    index = mJobIndex.try_emplace(lease.mJob.Value(), index).first->second;
  }
  if (index == static_cast<int>(mBorrowers.size())) {
    auto& it = mBorrowers.emplace_back();
    it.mFirst = &lease;
    it.mAccount = FindAccount(lease.mAccount).value_or(-1);
    it.mStarted = lease.mStarted;
  }
  auto& borrower = mBorrowers[index];
  held.mBorrower = index;
  borrower.mLeases.emplace_back(aWorker, aPosition);
  borrower.mGuaranteed = borrower.mGuaranteed && held.mGuaranteed;
  borrower.mReclaimable = borrower.mReclaimable && lease.mIdempotent &&
                          (lease.mReclaimable || lease.mClass == CapacityClass::Guaranteed);
  borrower.mUrgent = borrower.mUrgent || lease.mUrgent;
  borrower.mStopping = borrower.mStopping || lease.mPhase == LeasePhase::Stopping;
  borrower.mStarted = std::min(borrower.mStarted, lease.mStarted);
  borrower.mSize += held.mResources.Size();
}

void
ClusterModel::SumDomains()
{
  for (const auto level : detail::kDomainLevels) {
    auto& free = mFreeIn[static_cast<int>(level)];
    auto& capacity = mCapacityIn[static_cast<int>(level)];
    free.assign(mTopology.Domains(level).size(), {});
    capacity.assign(mTopology.Domains(level).size(), {});
    for (int i = 0; i < Workers(); ++i) {
      const int domain = mTopology.DomainOf(level, i);
      for (int component = 0; component < ResourceVector::kSize; ++component) {
        free[domain][component] += mFree[i][component];
        capacity[domain][component] += mCapacity[i][component];
      }
    }
  }
}

std::optional<int>
ClusterModel::FindWorker(const WorkerId& aWorker) const
{
  const auto it = mWorkerIndex.find(aWorker.Value());
  return it == mWorkerIndex.end() ? std::nullopt : std::optional(it->second);
}

std::optional<int>
ClusterModel::FindAccount(const AccountId& aAccount) const
{
  const auto it = mAccountIndex.find(aAccount.Value());
  return it == mAccountIndex.end() ? std::nullopt : std::optional(it->second);
}

int
ClusterModel::BorrowerOf(const JobId& aJob) const
{
  const auto it = mJobIndex.find(aJob.Value());
  return it == mJobIndex.end() ? -1 : it->second;
}

AssignedShare*
ClusterModel::FindShare(int aWorker, int aAccount)
{
  const auto it = std::ranges::find(mShares[aWorker], aAccount, &AssignedShare::mAccount);
  return it == mShares[aWorker].end() ? nullptr : &*it;
}

const AssignedShare*
ClusterModel::FindShare(int aWorker, int aAccount) const
{
  const auto it = std::ranges::find(mShares[aWorker], aAccount, &AssignedShare::mAccount);
  return it == mShares[aWorker].end() ? nullptr : &*it;
}

ResourceVector
ClusterModel::ShareLeft(int aWorker, int aAccount) const
{
  const auto* share = FindShare(aWorker, aAccount);
  return share ? share->mAssigned - share->mUsed : ResourceVector();
}

ResourceVector
ClusterModel::ShareOf(int aWorker, int aAccount) const
{
  const auto* share = FindShare(aWorker, aAccount);
  return share ? share->mAssigned : ResourceVector();
}

ResourceVector
ClusterModel::FreeAfterReclaim(int aWorker) const
{
  if (!mUsable[aWorker]) {
    return {};
  }
  return ResourceVector::Positive(mCapacity[aWorker] - mGuaranteedUse[aWorker] -
                                  mNonReclaimableUse[aWorker]);
}

void
ClusterModel::ReduceFree(int aWorker, const ResourceVector& aAmount)
{
  mFree[aWorker] -= aAmount;
  for (const auto level : detail::kDomainLevels) {
    auto& sum = mFreeIn[static_cast<int>(level)][mTopology.DomainOf(level, aWorker)];
    for (int component = 0; component < ResourceVector::kSize; ++component) {
      sum[component] -= aAmount[component];
    }
  }
}

void
ClusterModel::AddUse(int aAccount, const ResourceVector& aAmount)
{
  mUsed[aAccount] += aAmount;
  mDominantShare[aAccount] = DominantShareWith(aAccount, ResourceVector());
}

double
ClusterModel::DominantShareWith(int aAccount, const ResourceVector& aMore) const
{
  const auto used = mUsed[aAccount] + aMore;
  double share = 0;
  for (int i = 0; i < ResourceVector::kSize; ++i) {
    if (mTotal[i] > 0) {
      share = std::max(share, static_cast<double>(used[i]) / static_cast<double>(mTotal[i]));
    }
  }
  return share / std::max(mSnapshot.mAccounts[aAccount].mWeight, 1e-6);
}

void
ClusterModel::TakeGuaranteed(int aWorker, int aAccount, const ResourceVector& aAmount)
{
  ReduceFree(aWorker, aAmount);
  FindShare(aWorker, aAccount)->mUsed += aAmount;
  mGuaranteedUse[aWorker] += aAmount;
  AddUse(aAccount, aAmount);
}

void
ClusterModel::TakeBorrowed(int aWorker, int aAccount, const ResourceVector& aAmount, bool aIsPinned)
{
  ReduceFree(aWorker, aAmount);
  mUnassignedLeft[aWorker] -= aAmount;
  if (aIsPinned) {
    mPinnableLimit[aWorker] -= aAmount;
    mNonReclaimableUse[aWorker] += aAmount;
  }
  AddUse(aAccount, aAmount);
}

void
ClusterModel::Earmark(int aWorker, const ResourceVector& aAmount)
{
  const auto now = ResourceVector::Min(mFree[aWorker], aAmount);
  ReduceFree(aWorker, now);
  mReleasing[aWorker] = ResourceVector::Positive(mReleasing[aWorker] - (aAmount - now));
  mNonReclaimableUse[aWorker] += aAmount;
}

void
ClusterModel::EarmarkGuaranteed(int aWorker, int aAccount, const ResourceVector& aAmount)
{
  Earmark(aWorker, aAmount);
  FindShare(aWorker, aAccount)->mUsed += aAmount;
}

void
ClusterModel::MarkReclaimed(int aBorrower)
{
  auto& borrower = mBorrowers[aBorrower];
  borrower.mIsStopPlanned = true;
  for (const auto& [worker, position] : borrower.mLeases) {
    auto& held = mLeases[worker][position];
    if (!held.mIsReleasing && mUsable[worker]) {
      mReleasing[worker] += held.mResources;
    }
    held.mIsReleasing = true;
  }
}

double
ClusterModel::Fragmentation() const
{
  double free = 0;
  double fragmented = 0;
  const auto racks = mTopology.Domains(Adjacency::Rack).size();
  for (std::size_t i = 0; i < racks; ++i) {
    const int rack = static_cast<int>(i);
    const auto n =
      static_cast<double>(FreeIn(Adjacency::Rack, rack, ResourceVector::kAccelerators));
    const auto all =
      static_cast<double>(CapacityIn(Adjacency::Rack, rack, ResourceVector::kAccelerators));
    if (n > 0 && all > 0) {
      free += n;
      fragmented += n * (1 - n / all);
    }
  }
  return free > 0 ? fragmented / free : 0;
}

} // namespace lovagerock::placement
