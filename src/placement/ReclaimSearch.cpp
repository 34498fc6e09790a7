#include "placement/ReclaimSearch.h"

#include <algorithm>
#include <map>

namespace lovagerock::placement {

namespace detail {
namespace {

// The time that stopping and restarting a task takes, even if no progress is lost.
constexpr double kRestartSeconds = 60;

} // namespace
} // namespace detail

ReclaimSearch::ReclaimSearch(const ClusterModel& aModel, TimePoint aNow)
  : mModel(aModel)
  , mNow(aNow)
  , mFreed(aModel.Workers())
  , mIsChosen(aModel.Borrowers().size())
{
}

std::optional<ReclaimChoice>
ReclaimSearch::Find(const GangNeed& aNeed, const std::vector<std::vector<int>>& aDomains,
                    const Bound& aBound, const Allowed& aAllowed)
{
  std::optional<ReclaimChoice> best;
  for (const auto& it : aDomains) {
    auto choice = FindInDomain(aNeed, it, aBound, aAllowed);
    if (choice && (!best || choice->mCost < best->mCost)) {
      best = std::move(choice);
    }
  }
  return best;
}

std::optional<ReclaimChoice>
ReclaimSearch::FindInDomain(const GangNeed& aNeed, const std::vector<int>& aWorkers,
                            const Bound& aBound, const Allowed& aAllowed)
{
  Reset();
  Placement placement;
  for (const auto& it : Candidates(aNeed, aWorkers, aBound, aAllowed)) {
    const int left = aNeed.mTasks - static_cast<int>(placement.size());
    const int n = std::min(left, it.mTasks);
    const auto borrowers = Cover(it.mWorker, aNeed.mPerTask * n, aAllowed);
    if (!borrowers) {
      continue;
    }
    Choose(*borrowers);
    placement.insert(placement.end(), n, it.mWorker);
    if (n == left) {
      Prune(aNeed, placement);
      return TakeChoice(std::move(placement));
    }
  }
  return std::nullopt;
}

std::optional<ReclaimChoice>
ReclaimSearch::FindOn(const GangNeed& aNeed, const Placement& aPlacement, const Allowed& aAllowed)
{
  Reset();
  std::map<int, int> counts;
  for (const int it : aPlacement) {
    ++counts[it];
  }
  for (const auto& [worker, n] : counts) {
    const auto borrowers = Cover(worker, aNeed.mPerTask * n, aAllowed);
    if (!borrowers) {
      return std::nullopt;
    }
    Choose(*borrowers);
  }
  Prune(aNeed, aPlacement);
  return TakeChoice(aPlacement);
}

std::vector<ReclaimSearch::Candidate>
ReclaimSearch::Candidates(const GangNeed& aNeed, const std::vector<int>& aWorkers,
                          const Bound& aBound, const Allowed& aAllowed)
{
  std::vector<Candidate> candidates;
  for (const int it : aWorkers) {
    if (!mModel.IsUsable(it) || aNeed.Excludes(it)) {
      continue;
    }
    const auto bound = aBound(it);
    if (!aNeed.mPerTask.FitsInto(bound)) {
      continue;
    }
    auto obtainable = mModel.Free(it) + mModel.Releasing(it);
    for (const auto& lease : mModel.Leases(it)) {
      if (!lease.mIsReleasing && IsAllowed(lease.mBorrower, aAllowed)) {
        obtainable += lease.mResources;
      }
    }
    const int n = ResourceVector::Min(bound, obtainable).CountFitting(aNeed.mPerTask, aNeed.mTasks);
    const auto borrowers =
      n > 0 ? Cover(it, aNeed.mPerTask * n, aAllowed) : std::optional<std::vector<int>>();
    if (!borrowers) {
      continue;
    }
    double cost = 0;
    for (const int borrower : *borrowers) {
      cost += CostOf(borrower);
    }
    candidates.push_back({ it, n, cost / n });
  }
  std::ranges::stable_sort(candidates, {}, &Candidate::mCostPerTask);
  return candidates;
}

bool
ReclaimSearch::IsAllowed(int aBorrower, const Allowed& aAllowed) const
{
  const auto& it = mModel.Borrowers()[aBorrower];
  return !it.mGuaranteed && it.mReclaimable && !it.mIsStopPlanned && aAllowed(it);
}

double
ReclaimSearch::CostOf(int aBorrower) const
{
  const auto& it = mModel.Borrowers()[aBorrower];
  if (it.mStopping) {
    return 0;
  }
  const std::chrono::duration<double> progress = mNow - it.mStarted;
  return static_cast<double>(it.mSize) *
         (detail::kRestartSeconds + std::max(progress.count(), 0.0));
}

bool
ReclaimSearch::LacksRoom(int aWorker, const ResourceVector& aAmount) const
{
  return !aAmount.FitsInto(mModel.Free(aWorker) + mModel.Releasing(aWorker) + mFreed[aWorker]);
}

std::optional<std::vector<int>>
ReclaimSearch::Cover(int aWorker, const ResourceVector& aAmount, const Allowed& aAllowed) const
{
  std::vector<int> cover;
  if (!LacksRoom(aWorker, aAmount)) {
    return cover;
  }
  std::map<int, ResourceVector> freed;
  for (const auto& it : mModel.Leases(aWorker)) {
    if (!it.mIsReleasing && !mIsChosen[it.mBorrower] && IsAllowed(it.mBorrower, aAllowed)) {
      freed[it.mBorrower] += it.mResources;
    }
  }
  std::vector<std::pair<double, int>> order;
  order.reserve(freed.size());
  for (const auto& it : freed) {
    order.emplace_back(CostOf(it.first), it.first);
  }
  std::ranges::sort(order);
  auto available = mModel.Free(aWorker) + mModel.Releasing(aWorker) + mFreed[aWorker];
  for (const auto& it : order) {
    if (aAmount.FitsInto(available)) {
      break;
    }
    available += freed[it.second];
    cover.push_back(it.second);
  }
  if (!aAmount.FitsInto(available)) {
    return std::nullopt;
  }
  // Removes cheap borrowers that are not needed once a later, larger one is reclaimed.
  for (auto i = cover.size(); i-- > 0;) {
    if (aAmount.FitsInto(available - freed[cover[i]])) {
      available -= freed[cover[i]];
      cover.erase(cover.begin() + static_cast<std::ptrdiff_t>(i));
    }
  }
  return cover;
}

void
ReclaimSearch::Choose(const std::vector<int>& aBorrowers)
{
  for (const int it : aBorrowers) {
    mChosen.push_back(it);
    UpdateFreed(it, true);
  }
}

void
ReclaimSearch::UpdateFreed(int aBorrower, bool aIsChosen)
{
  mIsChosen[aBorrower] = aIsChosen ? 1 : 0;
  for (const auto& [worker, position] : mModel.Borrowers()[aBorrower].mLeases) {
    const auto& held = mModel.Leases(worker)[position];
    if (held.mIsReleasing) {
      continue;
    }
    if (aIsChosen) {
      mFreed[worker] += held.mResources;
    } else {
      mFreed[worker] -= held.mResources;
    }
  }
}

void
ReclaimSearch::Prune(const GangNeed& aNeed, const Placement& aPlacement)
{
  std::map<int, int> counts;
  for (const int it : aPlacement) {
    ++counts[it];
  }
  std::ranges::stable_sort(mChosen, {}, [this](int aBorrower) { return -CostOf(aBorrower); });
  std::erase_if(mChosen, [&](int aBorrower) {
    UpdateFreed(aBorrower, false);
    for (const auto& it : mModel.Borrowers()[aBorrower].mLeases) {
      const auto count = counts.find(it.first);
      if (count != counts.end() && LacksRoom(it.first, aNeed.mPerTask * count->second)) {
        UpdateFreed(aBorrower, true);
        return false;
      }
    }
    return true;
  });
}

ReclaimChoice
ReclaimSearch::TakeChoice(Placement aPlacement)
{
  ReclaimChoice choice{ std::move(aPlacement), mChosen, 0 };
  for (const int it : choice.mBorrowers) {
    choice.mCost += CostOf(it);
  }
  return choice;
}

void
ReclaimSearch::Reset()
{
  for (const int it : mChosen) {
    UpdateFreed(it, false);
  }
  mChosen.clear();
}

} // namespace lovagerock::placement
