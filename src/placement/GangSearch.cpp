#include "placement/GangSearch.h"

#include <algorithm>
#include <array>
#include <map>

namespace lovagerock::placement {

namespace detail {
namespace {

// Number of buckets into which workers are sorted by cost; a bucket sort takes linear time.
constexpr int kCostClasses = 64;

// Returns the component by which fragmentation is measured for this need.
int
MainComponent(const GangNeed& aNeed)
{
  return aNeed.mPerTask[ResourceVector::kAccelerators] > 0 ? ResourceVector::kAccelerators
                                                           : ResourceVector::kSlots;
}

double
Fraction(std::int64_t aPart, std::int64_t aWhole)
{
  return aWhole > 0 ? std::clamp(static_cast<double>(aPart) / static_cast<double>(aWhole), 0.0, 1.0)
                    : 0.0;
}

} // namespace
} // namespace detail

bool
GangNeed::Excludes(int aWorker) const
{
  return std::ranges::find(mExcluded, aWorker) != mExcluded.end();
}

GangSearch::GangSearch(const ClusterModel& aModel, const PolicyWeights& aWeights,
                       std::vector<int> aFailures)
  : mModel(aModel)
  , mWeights(aWeights)
  , mFailures(std::move(aFailures))
{
  const double sum = mWeights.mCompletionTime + mWeights.mFragmentation;
  if (sum <= 0) {
    mWeights = {};
  } else {
    mWeights = { mWeights.mCompletionTime / sum, mWeights.mFragmentation / sum };
  }
}

Placement
GangSearch::FindOwn(const GangNeed& aNeed) const
{
  std::map<int, std::vector<int>> domains;
  for (const int it : mModel.OwnWorkers(aNeed.mAccount)) {
    domains[mModel.GetTopology().DomainOf(aNeed.mAdjacency, it)].push_back(it);
  }
  const auto available = [&](int aWorker) {
    return ResourceVector::Min(mModel.Free(aWorker), mModel.ShareLeft(aWorker, aNeed.mAccount));
  };
  for (const auto& [domain, workers] : domains) {
    if (MayHaveRoom(aNeed, domain) && HasRoom(aNeed, workers, available)) {
      return Fill(aNeed, workers, available);
    }
  }
  return {};
}

Placement
GangSearch::FindUnassigned(const GangNeed& aNeed, bool aMayUseHeld) const
{
  const auto held = [&](int aWorker) {
    return aMayUseHeld ? ResourceVector() : mModel.Held(aWorker);
  };
  if (aNeed.mIsPinned) {
    return FindIn(aNeed, [&](int aWorker) {
      return ResourceVector::Min(mModel.Free(aWorker) - held(aWorker), mModel.Pinnable(aWorker));
    });
  }
  return FindIn(aNeed, [&](int aWorker) {
    return ResourceVector::Min(mModel.Free(aWorker) - held(aWorker), mModel.Unassigned(aWorker));
  });
}

Placement
GangSearch::FindFree(const GangNeed& aNeed, bool aMayUseHeld) const
{
  auto found = FindUnassigned(aNeed, aMayUseHeld);
  if (!found.empty() || aNeed.mIsPinned) {
    return found;
  }
  if (aMayUseHeld) {
    return FindIn(aNeed, [&](int aWorker) { return mModel.Free(aWorker); });
  }
  return FindIn(aNeed, [&](int aWorker) {
    return ResourceVector::Positive(mModel.Free(aWorker) - mModel.Held(aWorker));
  });
}

bool
GangSearch::FitsEmptyCluster(const GangNeed& aNeed) const
{
  const auto available = [&](int aWorker) { return mModel.Capacity(aWorker); };
  return std::ranges::any_of(
    mModel.GetTopology().Domains(aNeed.mAdjacency),
    [&](const auto& aWorkers) { return HasRoom(aNeed, aWorkers, available); });
}

double
GangSearch::WorkerCost(int aWorker, const GangNeed& aNeed) const
{
  const int main = detail::MainComponent(aNeed);
  const int rack = mModel.GetTopology().DomainOf(Adjacency::Rack, aWorker);
  const double left = detail::Fraction(mModel.Free(aWorker)[main] - aNeed.mPerTask[main],
                                       mModel.Capacity(aWorker)[main]);
  const double rackFree = detail::Fraction(mModel.FreeIn(Adjacency::Rack, rack, main),
                                           mModel.CapacityIn(Adjacency::Rack, rack, main));
  // Work on capacity assigned to an account may be reclaimed, and work on a failing worker may have
  // to start again.
  const double lent = aNeed.mPerTask.FitsInto(mModel.Unassigned(aWorker)) ? 0 : 1;
  const double failing = std::min(mFailures[aWorker], 2) / 2.0;
  return mWeights.mFragmentation * (left + rackFree) / 2 +
         mWeights.mCompletionTime * (lent + failing) / 2;
}

double
GangSearch::DomainCost(const GangNeed& aNeed, int aDomain) const
{
  if (aNeed.mAdjacency == Adjacency::Worker) {
    return WorkerCost(aDomain, aNeed);
  }
  const int main = detail::MainComponent(aNeed);
  return detail::Fraction(mModel.FreeIn(aNeed.mAdjacency, aDomain, main),
                          mModel.CapacityIn(aNeed.mAdjacency, aDomain, main));
}

bool
GangSearch::MayHaveRoom(const GangNeed& aNeed, int aDomain) const
{
  for (int i = 0; i < ResourceVector::kSize; ++i) {
    if (mModel.FreeIn(aNeed.mAdjacency, aDomain, i) <
        static_cast<std::int64_t>(aNeed.mPerTask[i]) * aNeed.mTasks) {
      return false;
    }
  }
  return true;
}

template<typename Available>
bool
GangSearch::HasRoom(const GangNeed& aNeed, const std::vector<int>& aWorkers,
                    const Available& aAvailable) const
{
  int left = aNeed.mTasks;
  for (const int it : aWorkers) {
    const int n = aAvailable(it).CountFitting(aNeed.mPerTask, left);
    if (n > 0 && !aNeed.Excludes(it)) {
      left -= n;
      if (left <= 0) {
        return true;
      }
    }
  }
  return false;
}

template<typename Available>
Placement
GangSearch::FindIn(const GangNeed& aNeed, const Available& aAvailable) const
{
  const auto& domains = mModel.GetTopology().Domains(aNeed.mAdjacency);
  int best = -1;
  double bestCost = 0;
  for (int i = 0; i < static_cast<int>(domains.size()); ++i) {
    if (!MayHaveRoom(aNeed, i) || !HasRoom(aNeed, domains[i], aAvailable)) {
      continue;
    }
    const double cost = DomainCost(aNeed, i);
    if (best < 0 || cost < bestCost) {
      best = i;
      bestCost = cost;
    }
  }
  return best < 0 ? Placement() : Fill(aNeed, domains[best], aAvailable);
}

template<typename Available>
Placement
GangSearch::Fill(const GangNeed& aNeed, const std::vector<int>& aWorkers,
                 const Available& aAvailable) const
{
  std::array<std::vector<std::pair<int, int>>, detail::kCostClasses> classes;
  for (const int it : aWorkers) {
    const int n = aAvailable(it).CountFitting(aNeed.mPerTask, aNeed.mTasks);
    if (n > 0 && !aNeed.Excludes(it)) {
      const double cost = std::clamp(WorkerCost(it, aNeed), 0.0, 1.0);
      classes[static_cast<int>(cost * (detail::kCostClasses - 1))].emplace_back(it, n);
    }
  }
  Placement placement;
  placement.reserve(aNeed.mTasks);
  for (const auto& members : classes) {
    for (const auto& [worker, n] : members) {
      const auto left = aNeed.mTasks - static_cast<int>(placement.size());
      placement.insert(placement.end(), std::min(n, left), worker);
      if (static_cast<int>(placement.size()) == aNeed.mTasks) {
        return placement;
      }
    }
  }
  return {};
}

} // namespace lovagerock::placement
