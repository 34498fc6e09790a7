#include "placement/GuaranteeAssigner.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>

namespace lovagerock::placement {

namespace detail {
namespace {

std::int64_t
TotalAccelerators(const Guarantee& aGuarantee)
{
  return aGuarantee.mAcceleratorsPerWorker.Value() * aGuarantee.mWorkers;
}

// Orders copies by decreasing size; among equal sizes the closer adjacency, which has fewer
// choices, goes first.
bool
IsPackedBefore(const AssignedCopy& aLeft, const AssignedCopy& aRight)
{
  const auto key = [](const AssignedCopy& aCopy) {
    const auto& it = aCopy.mGuarantee;
    return std::tuple(-TotalAccelerators(it), it.mAdjacency, !it.mZone.has_value(),
                      -it.mAcceleratorsPerWorker.Value());
  };
  const auto left = key(aLeft);
  const auto right = key(aRight);
  if (left != right) {
    return left < right;
  }
  return std::tie(aLeft.mAccount, aLeft.mGuarantee.mName, aLeft.mCopy) <
         std::tie(aRight.mAccount, aRight.mGuarantee.mName, aRight.mCopy);
}

// Returns the copies of the configured guarantees, with the workers that they have now.
std::vector<AssignedCopy>
WantedCopies(const std::vector<AccountView>& aAccounts, std::vector<AssignedCopy>& aPresent)
{
  std::map<std::tuple<AccountId, std::string, int>, AssignedCopy*> present;
  for (auto& it : aPresent) {
    present[{ it.mAccount, it.mGuarantee.mName, it.mCopy }] = &it;
  }
  std::vector<AssignedCopy> wanted;
  for (const auto& account : aAccounts) {
    for (const auto& guarantee : account.mGuarantees) {
      for (int i = 0; i < guarantee.mCount; ++i) {
        AssignedCopy copy{ account.mAccount, guarantee, i, {} };
        const auto it = present.find({ account.mAccount, guarantee.mName, i });
        Guarantee shape = it == present.end() ? Guarantee() : it->second->mGuarantee;
        // If only the number of copies has changed, the existing copies keep their workers.
        shape.mCount = guarantee.mCount;
        if (it != present.end() && shape == guarantee) {
          copy.mWorkers = it->second->mWorkers;
        }
        wanted.push_back(std::move(copy));
      }
    }
  }
  std::ranges::sort(wanted, IsPackedBefore);
  return wanted;
}

} // namespace
} // namespace detail

ResourceVector
ProportionalShare(const ResourceVector& aCapacity, int aAccelerators)
{
  ResourceVector share;
  const std::int64_t all = aCapacity[ResourceVector::kAccelerators];
  if (all == 0) {
    share[ResourceVector::kAccelerators] = aAccelerators;
    return share;
  }
  for (int i = 0; i < ResourceVector::kSize; ++i) {
    share[i] =
      static_cast<std::int32_t>(aCapacity[i] * static_cast<std::int64_t>(aAccelerators) / all);
  }
  return share;
}

std::optional<UnpackableGuarantee>
FindUnpackableGuarantee(const std::vector<WorkerView>& aWorkers,
                        const std::vector<AccountView>& aAccounts)
{
  std::vector<WorkerView> empty = aWorkers;
  for (auto& it : empty) {
    it.mLeases.clear();
  }
  const Topology topology(empty);
  GuaranteeAssigner assigner(empty, topology, std::vector<bool>(empty.size(), true));
  std::vector<AssignedCopy> assignment;
  const auto missing = assigner.Assign(aAccounts, assignment);
  if (missing.empty()) {
    return std::nullopt;
  }
  const auto& it = missing.front();
  return UnpackableGuarantee{
    it.mAccount, it.mGuarantee, it.mCopy,
    "account " + it.mAccount.Value() + ": copy " + std::to_string(it.mCopy + 1) + " of guarantee " +
      it.mGuarantee + " does not fit on the known workers together with the other guarantees"
  };
}

GuaranteeAssigner::GuaranteeAssigner(const std::vector<WorkerView>& aWorkers,
                                     const Topology& aTopology, std::vector<bool> aUsable)
  : mWorkers(aWorkers)
  , mTopology(aTopology)
  , mUsable(std::move(aUsable))
  , mPinned(aWorkers.size())
{
  mIndex.reserve(aWorkers.size());
  for (std::size_t i = 0; i < aWorkers.size(); ++i) {
    mIndex.emplace(aWorkers[i].mWorker, static_cast<int>(i));
    mCapacity.emplace_back(aWorkers[i].mCapacity);
    for (const auto& it : aWorkers[i].mLeases) {
      if (it.mPhase != LeasePhase::Ended && (!it.mIdempotent || !it.mReclaimable) &&
          it.mClass == CapacityClass::Borrowed) {
        mPinned[i] += ResourceVector(it.mResources);
      }
    }
  }
}

std::vector<UnassignedCopy>
GuaranteeAssigner::Assign(const std::vector<AccountView>& aAccounts,
                          std::vector<AssignedCopy>& aAssignment)
{
  mNamedZones.clear();
  for (const auto& account : aAccounts) {
    for (const auto& it : account.mGuarantees) {
      if (it.mZone) {
        mNamedZones.insert(*it.mZone);
      }
    }
  }
  auto wanted = detail::WantedCopies(aAccounts, aAssignment);
  auto packed = wanted;
  auto missing = Pack(packed);
  if (!missing.empty()) {
    // Moving copies without guaranteed work stops nothing and may make room.
    auto moved = wanted;
    for (auto& it : moved) {
      if (!IsInUse(it)) {
        it.mWorkers.clear();
      }
    }
    auto stillMissing = Pack(moved);
    if (stillMissing.size() < missing.size()) {
      packed = std::move(moved);
      missing = std::move(stillMissing);
    }
  }
  std::erase_if(packed, [](const AssignedCopy& aCopy) { return aCopy.mWorkers.empty(); });
  aAssignment = std::move(packed);
  std::vector<UnassignedCopy> unassigned;
  for (const auto& it : missing) {
    unassigned.push_back({ it.mAccount, it.mGuarantee.mName, it.mCopy });
  }
  return unassigned;
}

GuaranteeAssigner::Copies
GuaranteeAssigner::Pack(Copies& aWanted)
{
  mRemaining = mCapacity;
  std::vector<AssignedCopy*> open;
  for (auto& it : aWanted) {
    if (it.mWorkers.empty() || !KeepWorkers(it)) {
      open.push_back(&it);
    }
  }
  for (std::size_t i = 0; i < mRemaining.size(); ++i) {
    mRemaining[i] -= mPinned[i];
  }
  Copies missing;
  for (auto* it : open) {
    std::vector<int> kept;
    for (const int worker : WorkersOf(*it)) {
      if (MayStay(*it, worker) &&
          Fits(worker, static_cast<int>(it->mGuarantee.mAcceleratorsPerWorker.Value()))) {
        kept.push_back(worker);
      }
    }
    if (!Place(*it, kept) && (kept.empty() || !Place(*it, {}))) {
      it->mWorkers.clear();
      missing.push_back(*it);
    }
  }
  return missing;
}

bool
GuaranteeAssigner::KeepWorkers(const AssignedCopy& aCopy)
{
  const auto workers = WorkersOf(aCopy);
  if (workers.size() != aCopy.mWorkers.size()) {
    return false;
  }
  const int each = static_cast<int>(aCopy.mGuarantee.mAcceleratorsPerWorker.Value());
  const bool isOne = aCopy.mGuarantee.mAdjacency == Adjacency::Worker;
  for (const int it : workers) {
    if (!MayStay(aCopy, it) || !Fits(it, isOne ? each * aCopy.mGuarantee.mWorkers : each)) {
      return false;
    }
  }
  Deduct(aCopy, workers);
  return true;
}

bool
GuaranteeAssigner::MayStay(const AssignedCopy& aCopy, int aWorker) const
{
  if (mUsable[aWorker]) {
    return true;
  }
  // A suspected or quarantined worker may soon be usable again, so it keeps the copy while it runs
  // guaranteed work of the account.
  return mWorkers[aWorker].mHealth != WorkerHealth::Leaving &&
         RunsGuaranteed(aCopy.mAccount, aWorker);
}

bool
GuaranteeAssigner::RunsGuaranteed(const AccountId& aAccount, int aWorker) const
{
  return std::ranges::any_of(mWorkers[aWorker].mLeases, [&](const LeaseView& aLease) {
    return aLease.mPhase != LeasePhase::Ended && aLease.mClass == CapacityClass::Guaranteed &&
           aLease.mAccount == aAccount;
  });
}

bool
GuaranteeAssigner::IsInUse(const AssignedCopy& aCopy) const
{
  return std::ranges::any_of(WorkersOf(aCopy),
                             [&](int aWorker) { return RunsGuaranteed(aCopy.mAccount, aWorker); });
}

bool
GuaranteeAssigner::Place(AssignedCopy& aCopy, const std::vector<int>& aKept)
{
  const auto& guarantee = aCopy.mGuarantee;
  if (guarantee.mAdjacency == Adjacency::Worker) {
    return PlaceOnOneWorker(aCopy);
  }
  const auto& domains = mTopology.Domains(guarantee.mAdjacency);
  if (!aKept.empty()) {
    const int domain = mTopology.DomainOf(guarantee.mAdjacency, aKept.front());
    return PlaceInDomain(aCopy, domains[domain], aKept);
  }
  return std::ranges::any_of(
    domains, [&](const auto& aDomain) { return PlaceInDomain(aCopy, aDomain, {}); });
}

bool
GuaranteeAssigner::PlaceOnOneWorker(AssignedCopy& aCopy)
{
  const auto& guarantee = aCopy.mGuarantee;
  const auto all = static_cast<int>(detail::TotalAccelerators(guarantee));
  // The worker with the fewest remaining accelerators is best. Among equals, one in an availability
  // zone to which no guarantee is bound, which leaves room for a bound copy that loses a worker.
  const auto rank = [&](int aWorker) {
    return std::pair(mRemaining[aWorker][ResourceVector::kAccelerators],
                     mNamedZones.contains(mWorkers[aWorker].mZone));
  };
  int best = -1;
  for (int i = 0; i < static_cast<int>(mWorkers.size()); ++i) {
    if (!mUsable[i] || !Fits(i, all) ||
        (guarantee.mZone && *guarantee.mZone != mWorkers[i].mZone)) {
      continue;
    }
    if (best < 0 || rank(i) < rank(best)) {
      best = i;
    }
  }
  if (best < 0) {
    return false;
  }
  Deduct(aCopy, { best });
  aCopy.mWorkers.assign(guarantee.mWorkers, mWorkers[best].mWorker);
  return true;
}

bool
GuaranteeAssigner::PlaceInDomain(AssignedCopy& aCopy, const std::vector<int>& aDomain,
                                 const std::vector<int>& aKept)
{
  const auto& guarantee = aCopy.mGuarantee;
  const int each = static_cast<int>(guarantee.mAcceleratorsPerWorker.Value());
  const auto wanted = static_cast<std::size_t>(guarantee.mWorkers);
  std::vector<int> candidates;
  for (const int it : aDomain) {
    if (mUsable[it] && Fits(it, each) && std::ranges::find(aKept, it) == aKept.end() &&
        (!guarantee.mZone || *guarantee.mZone == mWorkers[it].mZone)) {
      candidates.push_back(it);
    }
  }
  if (candidates.size() + aKept.size() < wanted) {
    return false;
  }
  // Workers with the fewest remaining accelerators first, so that whole workers stay free for
  // larger copies.
  std::ranges::stable_sort(candidates, {}, [&](int aWorker) {
    return mRemaining[aWorker][ResourceVector::kAccelerators];
  });
  auto workers = aKept;
  workers.insert(workers.end(), candidates.begin(), candidates.end());
  workers.resize(wanted);
  Deduct(aCopy, workers);
  aCopy.mWorkers.clear();
  for (const int it : workers) {
    aCopy.mWorkers.push_back(mWorkers[it].mWorker);
  }
  return true;
}

void
GuaranteeAssigner::Deduct(const AssignedCopy& aCopy, const std::vector<int>& aWorkers)
{
  const int each = static_cast<int>(aCopy.mGuarantee.mAcceleratorsPerWorker.Value());
  if (aCopy.mGuarantee.mAdjacency == Adjacency::Worker) {
    const int worker = aWorkers.front();
    mRemaining[worker] -= ProportionalShare(mCapacity[worker], each * aCopy.mGuarantee.mWorkers);
    return;
  }
  for (const int it : aWorkers) {
    mRemaining[it] -= ProportionalShare(mCapacity[it], each);
  }
}

bool
GuaranteeAssigner::Fits(int aWorker, int aAccelerators) const
{
  return ProportionalShare(mCapacity[aWorker], aAccelerators).FitsInto(mRemaining[aWorker]);
}

std::vector<int>
GuaranteeAssigner::WorkersOf(const AssignedCopy& aCopy) const
{
  std::vector<int> workers;
  for (const auto& it : aCopy.mWorkers) {
    if (const auto found = mIndex.find(it); found != mIndex.end()) {
      workers.push_back(found->second);
    }
  }
  return workers;
}

} // namespace lovagerock::placement
