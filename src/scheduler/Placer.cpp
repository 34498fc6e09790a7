#include "scheduler/Placer.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <limits>
#include <numeric>
#include <tuple>
#include <utility>

namespace lovagerock::scheduler {

namespace {

// The tiers of speed of a request, see Placer::SpeedTier(), and those that are fast enough.
constexpr int kFastEnoughTiers = kSpeedClasses;
constexpr int kSpeedTiers = 2 * kFastEnoughTiers;
// A worker that is too slow is taken for an eviction if it costs less than others divided by this:
// the task then occupies its resources about so many times as long.
constexpr double kTooSlowFactor = 2;

int
TotalCopies(const auto& aGroup)
{
  return std::accumulate(aGroup.begin(), aGroup.end(), 0,
                         [](int aSum, const auto& aIt) { return aSum + aIt.mCopies; });
}

// Returns how many runs may be added on a worker on trial: a single one until it has ended.
int
TrialRuns(const Worker& aWorker)
{
  const auto since = aWorker.mCondition.LastFailure();
  const bool hasRun = std::any_of(aWorker.mRuns.begin(), aWorker.mRuns.end(),
                                  [since](const auto& aRun) { return aRun.mStarted >= since; });
  return hasRun ? 0 : 1;
}

// Returns the tasks that fit on workers that aren't doubtful.
int
SoundCopies(const auto& aGroup)
{
  return std::accumulate(aGroup.begin(), aGroup.end(), 0, [](int aSum, const auto& aIt) {
    return aSum + (aIt.mIsDoubtful ? 0 : aIt.mCopies);
  });
}

// Returns what the worker will have free once its present runs have ended, but those that last and
// may not be stopped.
Capacity
CapacityBesideLasting(const Worker& aWorker, const MayStop& aMayStop)
{
  auto capacity = aWorker.mEntry.mCapacity;
  for (const auto& it : aWorker.mRuns) {
    if (it.mLongRunning && it.mPhase != RunPhase::Stopping && !aMayStop(it)) {
      capacity -= it.mDemand;
    }
  }
  return capacity;
}

// Returns the components below 0, by which more is reserved than is free, because runs are being
// stopped there.
Capacity
Shortage(const Capacity& aFree)
{
  return Capacity::Min(aFree, Capacity());
}

bool
Contains(const std::vector<WorkerId>& aWorkers, const WorkerId& aWorker)
{
  return std::find(aWorkers.begin(), aWorkers.end(), aWorker) != aWorkers.end();
}

} // namespace

Placer::Placer(const Fleet& aFleet, TimePoint aNow, const WorkerSpeeds* aSpeeds, int aMaxRuns)
{
  std::map<RackId, std::vector<const Worker*>> racks;
  for (const auto& [id, worker] : aFleet) {
    if (worker.AcceptsWork()) {
      ++mRegistered[worker.mEntry.mService];
    }
    const bool isUsable = worker.mHasAnswered && !worker.mNeedsHigherToken &&
                          worker.AcceptsWork() && worker.mRecorded && worker.mLeaseExpiry > aNow;
    if (isUsable) {
      racks[worker.mEntry.mRack].push_back(&worker);
    }
  }
  int rack = 0;
  for (const auto& [id, workers] : racks) {
    for (const auto* worker : workers) {
      const auto service =
        mServices.try_emplace(worker->mEntry.mService, static_cast<int>(mServices.size()));
      const bool isPaused = worker->mAvoidUntil > aNow;
      const bool isFailing = worker->mFailingUntil > aNow;
      mPositions[worker->mEntry.mId] = mCandidates.size();
      if (!isPaused && !isFailing && !worker->mIsInEvacuatedZone) {
        mTotal[worker->mEntry.mService] += worker->mEntry.mCapacity;
        mUsed[worker->mEntry.mService] += worker->mUsed;
      }
      mCandidates.push_back({ worker, worker->Free(), Capacity(), 0, false, worker->Free(), rack,
                              service.first->second, worker->mCondition.IsSuspect(aNow),
                              worker->mCondition.IsDoubtful(aNow), isFailing, isPaused,
                              worker->mIsInEvacuatedZone, worker->mCondition.IsSuspect(aNow),
                              TrialRuns(*worker), aMaxRuns - static_cast<int>(worker->mRuns.size()),
                              0, aSpeeds ? aSpeeds->Speed(*worker, aNow) : WorkerSpeed(), 0 });
    }
    ++rack;
  }
}

void
Placer::Reserve(const WorkerId& aWorker, const Capacity& aDemand)
{
  if (const auto it = mPositions.find(aWorker); it != mPositions.end()) {
    mCandidates[it->second].mFree -= aDemand;
    --mCandidates[it->second].mTrialRuns;
    --mCandidates[it->second].mRunRoom;
  }
}

void
Placer::Occupy(const WorkerId& aWorker, const Capacity& aDemand)
{
  if (const auto it = mPositions.find(aWorker); it != mPositions.end()) {
    auto& candidate = mCandidates[it->second];
    // What isn't free otherwise is taken from a gang that is passed.
    const auto free = candidate.mFree - Shortage(candidate.mFree);
    const auto taken = candidate.mMayBePassed ? Capacity::Min(aDemand, free) : aDemand;
    candidate.mFree -= taken;
    candidate.mGathered -= aDemand - taken;
    candidate.mUnoccupied -= aDemand;
    --candidate.mTrialRuns;
    --candidate.mRunRoom;
  }
}

void
Placer::Release(const WorkerId& aWorker, const Capacity& aDemand)
{
  if (const auto it = mPositions.find(aWorker); it != mPositions.end()) {
    mCandidates[it->second].mFree += aDemand;
    ++mCandidates[it->second].mTrialRuns;
    ++mCandidates[it->second].mRunRoom;
  }
}

int
Placer::ServiceNumber(const ServiceId& aService) const
{
  const auto it = mServices.find(aService);
  return it == mServices.end() ? -1 : it->second;
}

int
Placer::MaxCopies(const Candidate& aCandidate, const PlacementRequest& aRequest)
{
  const auto& worker = *aCandidate.mWorker;
  const bool isLimited = aCandidate.mIsOnTrial && !aRequest.mIgnoresTrials;
  const int most = std::clamp(aCandidate.mRunRoom, 0, aRequest.mCount);
  const int limit = isLimited ? std::clamp(aCandidate.mTrialRuns, 0, most) : most;
  if (aRequest.mStep->mMaxPerWorker <= 0) {
    return limit;
  }
  const auto it = aRequest.mPresent.find(worker.mEntry.mId);
  const int present = it == aRequest.mPresent.end() ? 0 : it->second;
  return std::clamp(aRequest.mStep->mMaxPerWorker - present, 0, limit);
}

bool
Placer::IsEligible(const Candidate& aCandidate, int aService,
                   const PlacementRequest& aRequest) const
{
  const auto& entry = aCandidate.mWorker->mEntry;
  const auto& label = aRequest.mStep->mRequiredLabel;
  const bool isInRack =
    aRequest.mMaySpread || aRequest.mRack.IsEmpty() || entry.mRack == aRequest.mRack;
  return aCandidate.mService == aService && isInRack &&
         !(aCandidate.mIsSuspect && aRequest.mAvoidsSuspects) &&
         !(aCandidate.mIsPaused && !aRequest.mIgnoresPauses) &&
         !(aCandidate.mIsInEvacuatedZone && !aRequest.mIgnoresEvacuations) &&
         !(aCandidate.mIsFailing && !aRequest.mIgnoresFailures && !aRequest.mIgnoresPauses) &&
         (label.empty() ||
          std::find(entry.mLabels.begin(), entry.mLabels.end(), label) != entry.mLabels.end()) &&
         !Contains(aRequest.mExcludedWorkers, entry.mId);
}

std::vector<Placer::Group>
Placer::Groups(const PlacementRequest& aRequest, bool aIsEmpty) const
{
  std::vector<Group> groups;
  const int service = ServiceNumber(aRequest.mService);
  const bool isByRack = aRequest.IsRackBound();
  for (const auto& it : mCandidates) {
    if (!IsEligible(it, service, aRequest)) {
      continue;
    }
    auto candidate = it;
    candidate.mIsDoubtful =
      it.mIsDoubtful || Contains(aRequest.mAvoidedWorkers, it.mWorker->mEntry.mId);
    if (aRequest.mIgnoresReservations) {
      candidate.mFree = it.mUnoccupied;
    } else if ((aRequest.mMayPassGangs && it.mMayBePassed) ||
               (aRequest.mGatherer != 0 && aRequest.mGatherer == it.mGatherer)) {
      candidate.mFree += it.mGathered;
    }
    if (aIsEmpty) {
      candidate.mFree = it.mWorker->mEntry.mCapacity;
      candidate.mIsOnTrial = false;
      candidate.mRunRoom += static_cast<int>(it.mWorker->mRuns.size());
    }
    candidate.mCopies =
      aRequest.mStep->mDemand.CopiesIn(candidate.mFree, MaxCopies(candidate, aRequest));
    candidate.mSpeedTier = SpeedTier(it.mSpeed, aRequest.mNeededSpeed);
    if (groups.empty() || (isByRack && groups.back().back().mRack != it.mRack)) {
      groups.emplace_back();
    }
    groups.back().push_back(candidate);
  }
  return groups;
}

int
Placer::SpeedTier(const WorkerSpeed& aSpeed, double aNeeded)
{
  const int speedClass = static_cast<int>(aSpeed.mClass);
  return aSpeed.Meets(aNeeded) ? speedClass : kSpeedTiers - 1 - speedClass;
}

Placer::GroupSpeed
Placer::SpeedOf(const Group& aGroup, const PlacementRequest& aRequest)
{
  const bool isSound = SoundCopies(aGroup) >= aRequest.mCount;
  std::array<int, kSpeedTiers> copies{};
  for (const auto& it : aGroup) {
    copies[it.mSpeedTier] += isSound && it.mIsDoubtful ? 0 : it.mCopies;
  }
  // The tiers that are fast enough come before any mix of them, and both before the others.
  const auto find = [&](int aBegin, int aEnd) -> std::optional<GroupSpeed> {
    int sum = 0;
    for (int i = aBegin; i < aEnd; ++i) {
      sum += copies[i];
      if (copies[i] >= aRequest.mCount) {
        return GroupSpeed{ i, i };
      }
    }
    return sum >= aRequest.mCount ? std::optional(GroupSpeed{ aEnd, std::nullopt }) : std::nullopt;
  };
  if (const auto fastEnough = find(0, kFastEnoughTiers)) {
    return *fastEnough;
  }
  auto tooSlow =
    find(kFastEnoughTiers, kSpeedTiers).value_or(GroupSpeed{ kSpeedTiers, std::nullopt });
  ++tooSlow.mRank;
  return tooSlow;
}

std::vector<WorkerId>
Placer::Fill(Group aGroup, const PlacementRequest& aRequest)
{
  std::map<int, Accelerators> freeInRack;
  for (const auto& it : aGroup) {
    freeInRack[it.mRack] += it.mFree.mAccelerators;
  }
  std::erase_if(aGroup, [](const auto& aIt) { return aIt.mCopies <= 0; });
  const auto tier = aRequest.mStep->mGang ? SpeedOf(aGroup, aRequest).mTier : std::nullopt;
  const auto& preferred = aRequest.mStep->mPreferredRack;
  const auto rank = [&](const Candidate& aIt) {
    const bool isRemote = !preferred.IsEmpty() && aIt.mWorker->mEntry.mRack != preferred;
    const int speed = tier == aIt.mSpeedTier ? -1 : aIt.mSpeedTier;
    return std::tuple(isRemote, aIt.mIsDoubtful, speed, aIt.mFree.mAccelerators,
                      freeInRack.at(aIt.mRack), aIt.mFree.mCpu);
  };
  std::sort(aGroup.begin(), aGroup.end(),
            [&](const auto& aLeft, const auto& aRight) { return rank(aLeft) < rank(aRight); });
  std::vector<WorkerId> workers;
  for (const auto& it : aGroup) {
    const int n = std::min(it.mCopies, aRequest.mCount - static_cast<int>(workers.size()));
    workers.insert(workers.end(), static_cast<std::size_t>(std::max(n, 0)), it.mWorker->mEntry.mId);
  }
  return workers;
}

std::optional<std::vector<WorkerId>>
Placer::Place(const PlacementRequest& aRequest) const
{
  const Group* best = nullptr;
  std::tuple<bool, bool, int, int> bestRank;
  const auto groups = Groups(aRequest, false);
  for (const auto& it : groups) {
    const int copies = TotalCopies(it);
    if (copies < aRequest.mCount) {
      continue;
    }
    const auto& preferred = aRequest.mStep->mPreferredRack;
    const bool isRemote = !preferred.IsEmpty() && it.front().mWorker->mEntry.mRack != preferred;
    const std::tuple rank(isRemote, SoundCopies(it) < aRequest.mCount, SpeedOf(it, aRequest).mRank,
                          copies);
    if (!best || rank < bestRank) {
      best = &it;
      bestRank = rank;
    }
  }
  return best ? std::optional(Fill(*best, aRequest)) : std::nullopt;
}

std::vector<WorkerId>
Placer::PlaceSome(const PlacementRequest& aRequest) const
{
  std::vector<WorkerId> best;
  for (const auto& it : Groups(aRequest, false)) {
    auto workers = Fill(it, aRequest);
    if (workers.size() > best.size()) {
      best = std::move(workers);
    }
  }
  return best;
}

int
Placer::Gather(const PlacementRequest& aRequest, const MayStop& aMayStop, bool aMayBePassed)
{
  std::vector<WorkerId> best;
  Accelerators bestFree(-1);
  for (auto& group : Groups(aRequest, false)) {
    for (auto& it : group) {
      const auto capacity = CapacityBesideLasting(*it.mWorker, aMayStop);
      it.mCopies = aRequest.mStep->mDemand.CopiesIn(capacity, MaxCopies(it, aRequest));
    }
    if (TotalCopies(group) < aRequest.mCount) {
      continue;
    }
    std::erase_if(group, [](const auto& aIt) { return aIt.mCopies <= 0; });
    std::sort(group.begin(), group.end(), [](const auto& aLeft, const auto& aRight) {
      return std::pair(aLeft.mFree.mAccelerators, aLeft.mFree.mCpu) >
             std::pair(aRight.mFree.mAccelerators, aRight.mFree.mCpu);
    });
    std::vector<WorkerId> workers;
    Accelerators free;
    int copies = 0;
    for (const auto& it : group) {
      if (copies >= aRequest.mCount) {
        break;
      }
      copies += it.mCopies;
      free += it.mFree.mAccelerators;
      workers.push_back(it.mWorker->mEntry.mId);
    }
    if (free > bestFree) {
      best = std::move(workers);
      bestFree = free;
    }
  }
  if (best.empty()) {
    return 0;
  }
  ++mGatherers;
  for (const auto& it : best) {
    auto& candidate = mCandidates[mPositions.at(it)];
    // A shortage stays: the reservation behind it may be released later in the plan.
    const auto shortage = Shortage(candidate.mFree);
    const auto free = std::exchange(candidate.mFree, shortage) - shortage;
    const bool isOfAnother = candidate.mGatherer != 0;
    if (!isOfAnother) {
      candidate.mGathered = free;
      candidate.mGatherer = mGatherers;
      candidate.mMayBePassed = aMayBePassed;
    }
  }
  return mGatherers;
}

double
Placer::UsedPart(const ServiceId& aService) const
{
  const auto total = mTotal.find(aService);
  if (total == mTotal.end()) {
    return 1;
  }
  const auto& used = mUsed.at(aService);
  const auto part = [](auto aUsed, auto aTotal) {
    return aTotal.Value() == 0
             ? 0.0
             : static_cast<double>(aUsed.Value()) / static_cast<double>(aTotal.Value());
  };
  return std::max(part(used.mAccelerators, total->second.mAccelerators),
                  part(used.mCpu, total->second.mCpu));
}

bool
Placer::FitsOnIdleWorkers(const PlacementRequest& aRequest) const
{
  const auto groups = Groups(aRequest, true);
  return std::any_of(groups.begin(), groups.end(), [&aRequest](const auto& aGroup) {
    return TotalCopies(aGroup) >= aRequest.mCount;
  });
}

int
Placer::Fitting(const PlacementRequest& aRequest) const
{
  int most = 0;
  for (const auto& it : Groups(aRequest, false)) {
    most = std::max(most, TotalCopies(it));
  }
  return most;
}

RoomReport
Placer::Room(const PlacementRequest& aRequest) const
{
  RoomReport report;
  report.mIsGang = aRequest.mStep->mGang;
  report.mIsRackLocal = aRequest.mStep->mRackLocal;
  report.mDemand = aRequest.mStep->mDemand;
  report.mUsedPercent = static_cast<int>(100 * UsedPart(aRequest.mService));
  if (const auto it = mRegistered.find(aRequest.mService); it != mRegistered.end()) {
    report.mRegistered = it->second;
  }
  for (const auto& group : Groups(aRequest, false)) {
    report.mWorkers += static_cast<int>(group.size());
    report.mFitting = std::max(report.mFitting, TotalCopies(group));
  }
  for (const auto& group : Groups(aRequest, true)) {
    for (const auto& it : group) {
      report.mAccelerators += it.mFree.mAccelerators;
    }
    report.mFittingIdle = std::max(report.mFittingIdle, TotalCopies(group));
  }
  return report;
}

Placer::CopyCost
Placer::CostOfCopy(const Candidate& aCandidate, const std::vector<EvictionOption>& aOptions,
                   const PlacementRequest& aRequest) const
{
  const auto& demand = aRequest.mStep->mDemand;
  const int limit = MaxCopies(aCandidate, aRequest);
  CopyCost cost;
  cost.mIsTooSlow = aCandidate.mSpeedTier >= kFastEnoughTiers;
  auto free = aCandidate.mFree;
  for (const auto& it : aOptions) {
    if (demand.CopiesIn(free, limit) > aCandidate.mCopies) {
      break;
    }
    free += it.mRun->mDemand;
    cost.mVictims.push_back(it);
  }
  if (demand.CopiesIn(free, limit) <= aCandidate.mCopies) {
    cost.mVictims.clear();
    return cost;
  }
  // The last run added may free enough on its own to spare cheaper ones. Tries to spare the most
  // expensive ones first.
  for (auto it = cost.mVictims.rbegin(); it != cost.mVictims.rend();) {
    const auto without = free - it->mRun->mDemand;
    if (demand.CopiesIn(without, limit) > aCandidate.mCopies) {
      free = without;
      it = std::make_reverse_iterator(cost.mVictims.erase(std::next(it).base()));
    } else {
      cost.mTotal += it->mCost;
      ++it;
    }
  }
  cost.mIsPossible = true;
  return cost;
}

Placer::PlanCost
Placer::WeightedCost(double aTotal, bool aIsTooSlow)
{
  return { aIsTooSlow ? aTotal * kTooSlowFactor : aTotal, aIsTooSlow };
}

bool
Placer::IsAnyTooSlow(const std::vector<WorkerId>& aWorkers, const Group& aGroup)
{
  return std::any_of(aGroup.begin(), aGroup.end(), [&aWorkers](const auto& aIt) {
    return aIt.mSpeedTier >= kFastEnoughTiers && Contains(aWorkers, aIt.mWorker->mEntry.mId);
  });
}

std::optional<EvictionPlan>
Placer::EvictIn(const Group& aGroup, const PlacementRequest& aRequest, const EvictionCost& aCost,
                PlanCost& aPlanCost) const
{
  auto group = aGroup;
  std::vector<std::vector<EvictionOption>> options(group.size());
  for (std::size_t i = 0; i < group.size(); ++i) {
    for (const auto& run : group[i].mWorker->mRuns) {
      if (run.mPhase == RunPhase::Stopping) {
        // The run is being stopped already, so its resources become free at no cost.
        group[i].mFree += run.mDemand;
      } else if (const auto cost = aCost(run)) {
        options[i].push_back({ *cost, &run });
      }
    }
    std::sort(options[i].begin(), options[i].end(),
              [](const auto& aLeft, const auto& aRight) { return aLeft.mCost < aRight.mCost; });
    group[i].mCopies =
      aRequest.mStep->mDemand.CopiesIn(group[i].mFree, MaxCopies(group[i], aRequest));
  }
  std::vector<CopyCost> costs;
  for (std::size_t i = 0; i < group.size(); ++i) {
    costs.push_back(CostOfCopy(group[i], options[i], aRequest));
  }
  EvictionPlan plan;
  double sum = 0;
  int copies = TotalCopies(group);
  while (copies < aRequest.mCount) {
    const auto best =
      std::min_element(costs.begin(), costs.end(), [](const auto& aLeft, const auto& aRight) {
        return std::pair(!aLeft.mIsPossible, WeightedCost(aLeft.mTotal, aLeft.mIsTooSlow)) <
               std::pair(!aRight.mIsPossible, WeightedCost(aRight.mTotal, aRight.mIsTooSlow));
      });
    if (best == costs.end() || !best->mIsPossible) {
      return std::nullopt;
    }
    const auto i = static_cast<std::size_t>(best - costs.begin());
    auto& candidate = group[i];
    sum += best->mTotal;
    for (const auto& victim : best->mVictims) {
      candidate.mFree += victim.mRun->mDemand;
      plan.mVictims.emplace_back(candidate.mWorker->mEntry.mId, victim.mRun->mRun);
      std::erase_if(options[i],
                    [&victim](const auto& aOption) { return aOption.mRun == victim.mRun; });
    }
    const int now =
      aRequest.mStep->mDemand.CopiesIn(candidate.mFree, MaxCopies(candidate, aRequest));
    copies += now - candidate.mCopies;
    candidate.mCopies = now;
    costs[i] = CostOfCopy(candidate, options[i], aRequest);
  }
  plan.mWorkers = Fill(group, aRequest);
  // Drops the victims on workers that Fill() didn't choose: stopping them would free nothing
  // useful.
  std::erase_if(plan.mVictims, [&plan](const auto& aVictim) {
    return std::find(plan.mWorkers.begin(), plan.mWorkers.end(), aVictim.first) ==
           plan.mWorkers.end();
  });
  aPlanCost = WeightedCost(sum, IsAnyTooSlow(plan.mWorkers, group));
  return plan;
}

std::optional<EvictionPlan>
Placer::Evict(const PlacementRequest& aRequest, const EvictionCost& aCost) const
{
  std::optional<EvictionPlan> best;
  PlanCost bestCost{ std::numeric_limits<double>::max(), true };
  auto groups = Groups(aRequest, false);
  if (aRequest.mCount == 1 && !groups.empty()) {
    // A single task needs only one worker, so each worker is compared on its own.
    std::vector<Group> single;
    for (const auto& group : groups) {
      for (const auto& it : group) {
        single.push_back({ it });
      }
    }
    groups = std::move(single);
  }
  for (const auto& it : groups) {
    PlanCost cost;
    auto plan = EvictIn(it, aRequest, aCost, cost);
    if (plan && cost < bestCost) {
      best = std::move(plan);
      bestCost = cost;
    }
  }
  return best;
}

} // namespace lovagerock::scheduler
