#include "placement/PlanBuilder.h"

#include "placement/GuaranteeAssigner.h"
#include "placement/Planner.h"
#include "placement/ReservationPlanner.h"
#include "placement/ServicePlanner.h"

#include <algorithm>
#include <queue>
#include <set>
#include <tuple>

namespace lovagerock::placement {

namespace detail {
namespace {

constexpr std::size_t kFailedWorkersToRefuse = 3;

} // namespace
} // namespace detail

Plan
ComputePlan(const ClusterSnapshot& aSnapshot, PlannerState& aState)
{
  return PlanBuilder(aSnapshot, aState).Build();
}

bool
PlanBuilder::FailedNeeds::Covers(const GangNeed& aNeed) const
{
  return std::ranges::any_of(mNeeds[static_cast<int>(aNeed.mAdjacency)][aNeed.mIsPinned ? 1 : 0],
                             [&](const FailedNeed& aFailed) {
                               return aFailed.mTasks <= aNeed.mTasks &&
                                      aFailed.mPerTask.FitsInto(aNeed.mPerTask);
                             });
}

void
PlanBuilder::FailedNeeds::Add(const GangNeed& aNeed)
{
  // A search with excluded workers says nothing about the needs of other jobs.
  if (aNeed.mExcluded.empty()) {
    mNeeds[static_cast<int>(aNeed.mAdjacency)][aNeed.mIsPinned ? 1 : 0].push_back(
      { aNeed.mPerTask, aNeed.mTasks });
  }
}

Plan
PlanBuilder::Build()
{
  AssignGuarantees();
  DrainLeavingWorkers();
  QueueJobs();
  StartGuaranteed();
  ServicePlanner(mContext).Run();
  ReservationPlanner reservations(mContext);
  reservations.HoldReservedCapacity();
  PlaceByFairShare(true);
  mContext.mModel.ClearHolds();
  reservations.Continue([this](const JobId& aJob) { return FindQueued(aJob); });
  PlaceByFairShare(false);
  MakeReservations();
  for (const auto* it : mWithoutCapacity) {
    mContext.mPlan.mWaiting.push_back(
      { it->mJob->mJob, WaitReason::NoCapacityNow, "no adjacent capacity is free" });
  }
  mContext.mPlan.mFragmentation = mContext.mModel.Fragmentation();
  return std::move(mContext.mPlan);
}

void
PlanBuilder::AssignGuarantees()
{
  auto& model = mContext.mModel;
  GuaranteeAssigner assigner(mContext.mSnapshot.mWorkers, model.GetTopology(), model.Usable());
  mContext.mPlan.mUnassigned =
    assigner.Assign(mContext.mSnapshot.mAccounts, mContext.mState.mAssignment);
  model.ApplyAssignment(mContext.mState.mAssignment);
}

void
PlanBuilder::DrainLeavingWorkers()
{
  const auto& borrowers = mContext.mModel.Borrowers();
  std::vector<int> moved;
  for (std::size_t i = 0; i < borrowers.size(); ++i) {
    const auto& it = borrowers[i];
    if (it.mFirst->mJob.IsEmpty() || !it.mFirst->mIdempotent || !it.mReclaimable) {
      continue;
    }
    if (std::ranges::any_of(it.mLeases, [&](const auto& aLease) {
          return mContext.mSnapshot.mWorkers[aLease.first].mHealth == WorkerHealth::Leaving;
        })) {
      moved.push_back(static_cast<int>(i));
    }
  }
  mContext.ReclaimAll(moved, ReclaimReason::WorkerLeaving, JobId(), ServiceId());
}

void
PlanBuilder::QueueJobs()
{
  const auto accounts = mContext.mSnapshot.mAccounts.size();
  mQueues.resize(accounts);
  mFailedOwn.resize(accounts);
  mFailedUrgent.resize(accounts);
  mIsQuotaBlocked.assign(accounts, 0);
  for (const auto& it : mContext.mSnapshot.mJobs) {
    QueuedJob queued;
    if (Admit(it, queued)) {
      mQueues[queued.mNeed.mAccount].push_back(std::move(queued));
    }
  }
  for (auto& it : mQueues) {
    std::ranges::sort(it, {}, [](const QueuedJob& aJob) {
      return std::tuple(!aJob.mJob->mUrgent, aJob.mJob->mSubmitted, aJob.mJob->mJob);
    });
  }
}

bool
PlanBuilder::Admit(const PendingJob& aJob, QueuedJob& aQueued)
{
  auto& plan = mContext.mPlan;
  const auto account = mContext.mModel.FindAccount(aJob.mAccount);
  const std::set<WorkerId> failed(aJob.mFailedWorkers.begin(), aJob.mFailedWorkers.end());
  if (failed.size() >= detail::kFailedWorkersToRefuse) {
    plan.mRefused.push_back({ aJob.mJob, RefusalReason::FailedRepeatedly,
                              "failed on " + std::to_string(failed.size()) + " workers" });
    return false;
  }
  if (!account) {
    plan.mWaiting.push_back({ aJob.mJob, WaitReason::UnknownAccount,
                              "no account " + aJob.mAccount.Value() + " in the configuration" });
    return false;
  }
  if (mContext.mModel.BorrowerOf(aJob.mJob) >= 0) {
    plan.mWaiting.push_back({ aJob.mJob, WaitReason::PreviousAttemptEnding,
                              "leases of its previous attempt have not ended" });
    return false;
  }
  aQueued.mJob = &aJob;
  aQueued.mNeed = NeedOf(aJob, *account);
  aQueued.mTotal = aQueued.mNeed.mPerTask * aQueued.mNeed.mTasks;
  auto anywhere = aQueued.mNeed;
  anywhere.mExcluded.clear();
  if (mContext.mSnapshot.mComplete && !FitsAnywhere(anywhere)) {
    plan.mRefused.push_back(
      { aJob.mJob, RefusalReason::CanNeverRun,
        std::to_string(aJob.mTasks) +
          " adjacent tasks of this size don't fit even into an idle cluster" });
    return false;
  }
  const ResourceVector quota(mContext.mSnapshot.mAccounts[*account].mQuota);
  for (int i = 0; i < ResourceVector::kSize; ++i) {
    if (quota[i] > 0 && aQueued.mTotal[i] > quota[i]) {
      plan.mRefused.push_back(
        { aJob.mJob, RefusalReason::LargerThanQuota, "needs more than the account's quota" });
      return false;
    }
  }
  return true;
}

GangNeed
PlanBuilder::NeedOf(const PendingJob& aJob, int aAccount) const
{
  GangNeed need;
  need.mPerTask = ResourceVector(aJob.mResourcesPerTask);
  if (need.mPerTask.IsZero()) {
    need.mPerTask[ResourceVector::kSlots] = 1;
  }
  need.mTasks = std::max(aJob.mTasks, 1);
  need.mAdjacency = aJob.mAdjacency;
  need.mAccount = aAccount;
  need.mIsPinned = !aJob.mIdempotent;
  for (const auto& it : aJob.mFailedWorkers) {
    if (const auto worker = mContext.mModel.FindWorker(it)) {
      need.mExcluded.push_back(*worker);
    }
  }
  // If the gang fits only with the workers on which it failed, they are tried again.
  if (!need.mExcluded.empty() && !mContext.mSearch.FitsEmptyCluster(need)) {
    need.mExcluded.clear();
  }
  return need;
}

bool
PlanBuilder::FitsAnywhere(const GangNeed& aNeed)
{
  if (mFailedEmptyCluster.Covers(aNeed)) {
    return false;
  }
  if (mContext.mSearch.FitsEmptyCluster(aNeed)) {
    return true;
  }
  mFailedEmptyCluster.Add(aNeed);
  return false;
}

void
PlanBuilder::StartGuaranteed()
{
  for (std::size_t account = 0; account < mQueues.size(); ++account) {
    if (mContext.mModel.OwnWorkers(static_cast<int>(account)).empty()) {
      continue;
    }
    for (auto& it : mQueues[account]) {
      if (!StartOnOwn(it) && FitsOwnAssignment(it)) {
        // The job waits for guaranteed work of its own account; later jobs of the account would
        // prolong the wait.
        break;
      }
    }
  }
}

bool
PlanBuilder::StartOnOwn(QueuedJob& aJob)
{
  auto& failed = mFailedOwn[aJob.mNeed.mAccount];
  if (failed.Covers(aJob.mNeed)) {
    return false;
  }
  if (StartOnOwnWith(aJob, aJob.mNeed)) {
    return true;
  }
  auto need = aJob.mNeed;
  need.mExcluded.clear();
  if (!aJob.mNeed.mExcluded.empty() && StartOnOwnWith(aJob, need)) {
    return true;
  }
  failed.Add(need);
  return false;
}

bool
PlanBuilder::StartOnOwnWith(QueuedJob& aJob, const GangNeed& aNeed)
{
  auto& model = mContext.mModel;
  if (const auto found = mContext.mSearch.FindOwn(aNeed); !found.empty()) {
    mContext.Start(aJob, found, CapacityClass::Guaranteed);
    return true;
  }
  ReclaimSearch search(model, mContext.mSnapshot.mNow);
  const auto choice = search.Find(
    aNeed, mContext.OwnDomains(aNeed.mAccount, aNeed.mAdjacency),
    [&](int aWorker) { return model.ShareLeft(aWorker, aNeed.mAccount); },
    [](const Borrower&) { return true; });
  if (!choice) {
    return false;
  }
  mContext.ReclaimAll(choice->mBorrowers, ReclaimReason::Guarantee, aJob.mJob->mJob, ServiceId());
  for (const int it : choice->mPlacement) {
    model.EarmarkGuaranteed(it, aNeed.mAccount, aNeed.mPerTask);
  }
  mContext.Wait(aJob, WaitReason::WaitingForReclaim,
                "borrowed work on the account's guaranteed capacity is being reclaimed");
  return true;
}

bool
PlanBuilder::FitsOwnAssignment(const QueuedJob& aJob)
{
  const auto& model = mContext.mModel;
  const auto& need = aJob.mNeed;
  for (const auto& workers : mContext.OwnDomains(need.mAccount, need.mAdjacency)) {
    int left = need.mTasks;
    for (const int it : workers) {
      left -= model.ShareOf(it, need.mAccount).CountFitting(need.mPerTask, need.mTasks);
    }
    if (left <= 0) {
      return true;
    }
  }
  return false;
}

QueuedJob*
PlanBuilder::FindQueued(const JobId& aJob)
{
  for (auto& queue : mQueues) {
    for (auto& it : queue) {
      if (it.mJob->mJob == aJob) {
        return &it;
      }
    }
  }
  return nullptr;
}

bool
PlanBuilder::HasReservation(const JobId& aJob) const
{
  return std::ranges::find(mContext.mState.mReservations, aJob, &Reservation::mJob) !=
         mContext.mState.mReservations.end();
}

void
PlanBuilder::PlaceByFairShare(bool aUrgent)
{
  using Turn = std::pair<double, int>;
  std::priority_queue<Turn, std::vector<Turn>, std::greater<>> turns;
  std::vector<std::size_t> next(mQueues.size(), 0);
  const auto skip = [&](int aAccount) {
    const auto& queue = mQueues[aAccount];
    auto& i = next[aAccount];
    // Jobs with a reservation are started by ReservationPlanner.
    while (i < queue.size() && (queue[i].mIsSettled || queue[i].mJob->mUrgent != aUrgent ||
                                HasReservation(queue[i].mJob->mJob))) {
      ++i;
    }
    return i < queue.size();
  };
  for (int i = 0; i < static_cast<int>(mQueues.size()); ++i) {
    if (skip(i)) {
      turns.emplace(mContext.mModel.DominantShare(i), i);
    }
  }
  while (!turns.empty()) {
    const int account = turns.top().second;
    turns.pop();
    PlaceBorrowed(mQueues[account][next[account]]);
    ++next[account];
    if (skip(account)) {
      turns.emplace(mContext.mModel.DominantShare(account), account);
    }
  }
}

void
PlanBuilder::PlaceBorrowed(QueuedJob& aJob)
{
  const int account = aJob.mNeed.mAccount;
  if (mIsQuotaBlocked[account] || !mContext.IsWithinQuota(account, aJob.mTotal)) {
    mIsQuotaBlocked[account] = 1;
    mContext.Wait(aJob, WaitReason::OverQuota,
                  "the account's quota is used up by running jobs or kept for an earlier job");
    return;
  }
  auto found = FindBorrowed(aJob, false);
  if (!found.empty()) {
    mContext.Start(aJob, found, CapacityClass::Borrowed);
    return;
  }
  if (aJob.mJob->mUrgent && ReclaimForUrgent(aJob)) {
    return;
  }
  found = mContext.mState.mReservations.empty() ? Placement() : FindBorrowed(aJob, true);
  if (!found.empty() && MayBackfill(aJob, found)) {
    Backfill(aJob, found);
  } else if (!found.empty()) {
    mContext.Wait(aJob, WaitReason::ReservedForLargerJob,
                  "free capacity is reserved for job " +
                    mContext.mState.mReservations.front().mJob.Value());
  } else {
    mWithoutCapacity.push_back(&aJob);
  }
}

Placement
PlanBuilder::FindBorrowed(const QueuedJob& aJob, bool aMayUseHeld)
{
  auto& failed = aMayUseHeld ? mFailedFreeWithHeld : mFailedFree;
  if (failed.Covers(aJob.mNeed)) {
    return {};
  }
  auto found = mContext.mSearch.FindFree(aJob.mNeed, aMayUseHeld);
  if (found.empty()) {
    failed.Add(aJob.mNeed);
  }
  return found;
}

bool
PlanBuilder::MayBackfill(const QueuedJob& aJob, const Placement& aPlacement) const
{
  const auto& reservations = mContext.mState.mReservations;
  const auto longest = mContext.mForecast.RemainingTimeBound(aJob);
  if (!longest || aJob.mNeed.mIsPinned) {
    return false;
  }
  const auto latest = mContext.mSnapshot.mNow + *longest;
  return std::ranges::all_of(reservations, [&](const Reservation& aReservation) {
    return latest <= aReservation.mExpectedStart || !UsesWorkersOf(aReservation, aPlacement);
  });
}

bool
PlanBuilder::UsesWorkersOf(const Reservation& aReservation, const Placement& aPlacement) const
{
  return std::ranges::any_of(aPlacement, [&](int aWorker) {
    return std::ranges::find(aReservation.mWorkers, mContext.mSnapshot.mWorkers[aWorker].mWorker) !=
           aReservation.mWorkers.end();
  });
}

void
PlanBuilder::Backfill(QueuedJob& aJob, const Placement& aPlacement)
{
  mContext.Start(aJob, aPlacement, CapacityClass::Borrowed);
  for (auto& reservation : mContext.mState.mReservations) {
    if (UsesWorkersOf(reservation, aPlacement)) {
      reservation.mBackfillJobs.insert(aJob.mJob->mJob);
    }
  }
}

bool
PlanBuilder::ReclaimForUrgent(QueuedJob& aJob)
{
  auto& model = mContext.mModel;
  const auto& need = aJob.mNeed;
  if (mFailedUrgent[need.mAccount].Covers(need)) {
    return false;
  }
  ReclaimSearch search(model, mContext.mSnapshot.mNow);
  const double share = model.DominantShare(need.mAccount);
  const auto bound = [&](int aWorker) {
    const auto most = ResourceVector::Positive(model.Capacity(aWorker) - model.Held(aWorker));
    return need.mIsPinned ? ResourceVector::Min(most, model.PinnableLimit(aWorker)) : most;
  };
  const auto choice = search.Find(
    need, model.GetTopology().Domains(need.mAdjacency), bound, [&](const Borrower& aBorrower) {
      // Only accounts with a higher dominant share lose work; otherwise the urgent jobs of two
      // accounts could reclaim from each other in turn.
      return !aBorrower.mUrgent && aBorrower.mAccount != need.mAccount &&
             (aBorrower.mAccount < 0 || model.DominantShare(aBorrower.mAccount) > share);
    });
  if (!choice) {
    mFailedUrgent[need.mAccount].Add(need);
    return false;
  }
  mContext.ReclaimAll(choice->mBorrowers, ReclaimReason::Urgent, aJob.mJob->mJob, ServiceId());
  for (const int it : choice->mPlacement) {
    model.Earmark(it, need.mPerTask);
  }
  mContext.Wait(aJob, WaitReason::WaitingForReclaim,
                "capacity is being reclaimed for this urgent job");
  return true;
}

bool
PlanBuilder::IsLarge(const QueuedJob& aJob) const
{
  if (aJob.mNeed.mTasks > 1) {
    return true;
  }
  const int wanted = aJob.mNeed.mPerTask[ResourceVector::kAccelerators];
  return wanted > 1 && std::ranges::all_of(mContext.mSnapshot.mWorkers, [&](const auto& aWorker) {
           return 2 * wanted >= aWorker.mCapacity.mAccelerators.Value();
         });
}

void
PlanBuilder::MakeReservations()
{
  std::vector<QueuedJob*> large;
  std::ranges::copy_if(mWithoutCapacity, std::back_inserter(large),
                       [&](const QueuedJob* aJob) { return IsLarge(*aJob); });
  std::ranges::sort(large, {}, [&](const QueuedJob* aJob) {
    return std::tuple(-ReservationPlanner::Priority(aJob->mTotal.Size(), aJob->mJob->mSubmitted,
                                                    mContext.mSnapshot.mNow),
                      aJob->mJob->mJob);
  });
  ReservationPlanner(mContext).Make(large);
}

} // namespace lovagerock::placement
