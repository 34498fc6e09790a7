#include "placement/ServicePlanner.h"

#include <algorithm>
#include <string_view>
#include <unordered_map>

namespace lovagerock::placement {

namespace detail {
namespace {

// A lease gets at most the service's slots divided by this, rounded up, to limit what the service
// loses with one worker.
constexpr int kLeasesPerService = 4;

} // namespace
} // namespace detail

void
ServicePlanner::Run()
{
  std::unordered_map<std::string_view, std::vector<int>> byService;
  const auto& borrowers = mContext.mModel.Borrowers();
  for (std::size_t i = 0; i < borrowers.size(); ++i) {
    if (!borrowers[i].mFirst->mService.IsEmpty()) {
      byService[borrowers[i].mFirst->mService.Value()].push_back(static_cast<int>(i));
    }
  }
  for (const auto& it : mContext.mSnapshot.mServices) {
    auto found = byService.find(it.mService.Value());
    PlanService(it, found == byService.end() ? std::vector<Replica>() : ReplicasOf(found->second));
    if (found != byService.end()) {
      byService.erase(found);
    }
  }
  // Releases the leases of services that the configuration no longer has, in snapshot order.
  for (std::size_t i = 0; i < borrowers.size(); ++i) {
    if (byService.contains(borrowers[i].mFirst->mService.Value())) {
      Release(ReplicasOf({ static_cast<int>(i) }).front());
    }
  }
}

std::vector<ServicePlanner::Replica>
ServicePlanner::ReplicasOf(const std::vector<int>& aBorrowers) const
{
  std::vector<Replica> replicas;
  for (const int it : aBorrowers) {
    const auto& borrower = mContext.mModel.Borrowers()[it];
    const auto health = mContext.mSnapshot.mWorkers[borrower.mLeases.front().first].mHealth;
    const bool isAvailable =
      health == WorkerHealth::Live && !borrower.mStopping && !borrower.mIsStopPlanned;
    replicas.push_back({ it, static_cast<int>(borrower.mFirst->mResources.mSlots.Value()),
                         isAvailable, health == WorkerHealth::Leaving });
  }
  return replicas;
}

void
ServicePlanner::PlanService(const ServiceView& aService, std::vector<Replica> aReplicas)
{
  int present = 0;
  for (const auto& it : aReplicas) {
    present += it.mIsAvailable ? it.mSlots : 0;
  }
  const auto account = mContext.mModel.FindAccount(aService.mAccount);
  const int wanted = account ? aService.mSlots : 0;
  if (present < wanted) {
    const int missing = AddSlots(aService, *account, wanted - present);
    if (missing > 0) {
      mContext.mPlan.mShortfalls.push_back({ aService.mService, missing });
    }
    return;
  }
  // Borrowed leases are released first, and small ones before large ones.
  std::ranges::stable_sort(aReplicas, {}, [&](const Replica& aReplica) {
    return std::pair(mContext.mModel.Borrowers()[aReplica.mBorrower].mGuaranteed, aReplica.mSlots);
  });
  int excess = present - wanted;
  for (const auto& it : aReplicas) {
    // A lease on a leaving worker is released only here, when the other leases cover the slots.
    if (it.mIsLeaving) {
      Release(it);
    } else if (it.mIsAvailable && it.mSlots <= excess) {
      excess -= it.mSlots;
      Release(it);
    }
  }
}

int
ServicePlanner::AddSlots(const ServiceView& aService, int aAccount, int aSlots)
{
  GangNeed need;
  need.mPerTask =
    ResourceVector(Resources{ Slots(1), aService.mAcceleratorsPerSlot, Cores(0), MemoryMiB(0) });
  need.mAdjacency = Adjacency::Worker;
  need.mAccount = aAccount;
  need.mIsPinned = !aService.mIdempotent;
  int chunk = (aService.mSlots + detail::kLeasesPerService - 1) / detail::kLeasesPerService;
  int missing = 0;
  while (aSlots > 0) {
    need.mTasks = std::min(chunk, aSlots);
    if (GrantNow(aService, need)) {
      aSlots -= need.mTasks;
    } else if (GrantByReclaim(aService, need)) {
      aSlots -= need.mTasks;
      missing += need.mTasks;
    } else if (need.mTasks == 1) {
      return missing + aSlots;
    } else {
      chunk = need.mTasks / 2;
    }
  }
  return missing;
}

bool
ServicePlanner::GrantNow(const ServiceView& aService, const GangNeed& aNeed)
{
  const bool isWithinQuota = mContext.IsWithinQuota(aNeed.mAccount, aNeed.mPerTask * aNeed.mTasks);
  if (isWithinQuota) {
    const auto found = mContext.mSearch.FindUnassigned(aNeed, false);
    if (!found.empty()) {
      Grant(aService, aNeed, found.front(), CapacityClass::Borrowed);
      return true;
    }
  }
  if (const auto own = mContext.mSearch.FindOwn(aNeed); !own.empty()) {
    Grant(aService, aNeed, own.front(), CapacityClass::Guaranteed);
    return true;
  }
  if (isWithinQuota && !aNeed.mIsPinned) {
    const auto found = mContext.mSearch.FindFree(aNeed, false);
    if (!found.empty()) {
      Grant(aService, aNeed, found.front(), CapacityClass::Borrowed);
      return true;
    }
  }
  return false;
}

bool
ServicePlanner::GrantByReclaim(const ServiceView& aService, const GangNeed& aNeed)
{
  auto& model = mContext.mModel;
  if (model.OwnWorkers(aNeed.mAccount).empty()) {
    return false;
  }
  ReclaimSearch search(model, mContext.mSnapshot.mNow);
  const auto choice = search.Find(
    aNeed, mContext.OwnDomains(aNeed.mAccount, Adjacency::Worker),
    [&](int aWorker) { return model.ShareLeft(aWorker, aNeed.mAccount); },
    [&](const Borrower& aBorrower) {
      // Reclaiming a lease of the same service would only move it.
      return aBorrower.mFirst->mService != aService.mService;
    });
  if (!choice) {
    return false;
  }
  mContext.ReclaimAll(choice->mBorrowers, ReclaimReason::Guarantee, JobId(), aService.mService);
  for (const int it : choice->mPlacement) {
    model.EarmarkGuaranteed(it, aNeed.mAccount, aNeed.mPerTask);
  }
  return true;
}

void
ServicePlanner::Grant(const ServiceView& aService, const GangNeed& aNeed, int aWorker,
                      CapacityClass aClass)
{
  const auto amount = aNeed.mPerTask * aNeed.mTasks;
  if (aClass == CapacityClass::Guaranteed) {
    mContext.mModel.TakeGuaranteed(aWorker, aNeed.mAccount, amount);
  } else {
    mContext.mModel.TakeBorrowed(aWorker, aNeed.mAccount, amount, aNeed.mIsPinned);
  }
  mContext.mPlan.mGrants.push_back({ aService.mService, aService.mAccount,
                                     mContext.mSnapshot.mWorkers[aWorker].mWorker,
                                     amount.ToResources(), aClass, !aNeed.mIsPinned });
}

void
ServicePlanner::Release(const Replica& aReplica)
{
  const auto& borrower = mContext.mModel.Borrowers()[aReplica.mBorrower];
  if (!borrower.mStopping && !borrower.mIsStopPlanned) {
    mContext.mPlan.mReleases.push_back({ borrower.mFirst->mService, borrower.mFirst->mLease });
    // Its capacity is neither free nor reclaimable until its requests have ended.
    mContext.mModel.Borrowers()[aReplica.mBorrower].mIsStopPlanned = true;
  }
}

} // namespace lovagerock::placement
