#include "placement/ReservationPlanner.h"

#include <algorithm>
#include <map>
#include <string>
#include <tuple>

namespace lovagerock::placement {

namespace detail {
namespace {

// Bounds the time that a plan takes when many large jobs wait and none can get a reservation.
constexpr int kMaxReservationAttempts = 8;

} // namespace
} // namespace detail

double
ReservationPlanner::Priority(int aSize, TimePoint aSubmitted, TimePoint aNow)
{
  // Without the added minute, new jobs of any size would have priority 0; with it, a new gang goes
  // before a new small job.
  const std::chrono::duration<double> waited = aNow - aSubmitted + std::chrono::minutes(1);
  return aSize * waited.count();
}

double
ReservationPlanner::PriorityOf(const Reservation& aReservation) const
{
  const auto total =
    ResourceVector(aReservation.mResourcesPerTask) * static_cast<int>(aReservation.mWorkers.size());
  return Priority(total.Size(), aReservation.mSubmitted, mContext.mSnapshot.mNow);
}

void
ReservationPlanner::HoldAll(const Reservation& aReservation)
{
  for (const int it : PlacementOf(aReservation).value_or(Placement())) {
    mContext.mModel.Hold(it, ResourceVector(aReservation.mResourcesPerTask));
  }
}

void
ReservationPlanner::HoldReservedCapacity()
{
  for (const auto& it : mContext.mState.mReservations) {
    HoldAll(it);
  }
}

void
ReservationPlanner::DropBelow(double aPriority)
{
  const auto dropped =
    std::erase_if(mContext.mState.mReservations, [&](const Reservation& aReservation) {
      return PriorityOf(aReservation) < aPriority;
    });
  if (dropped > 0) {
    mContext.mModel.ClearHolds();
    HoldReservedCapacity();
  }
}

void
ReservationPlanner::Continue(const FindJob& aFindJob)
{
  auto& reservations = mContext.mState.mReservations;
  std::ranges::stable_sort(reservations, std::greater<>(), [this](const Reservation& aReservation) {
    return PriorityOf(aReservation);
  });
  std::erase_if(reservations, [&](Reservation& aReservation) {
    return !ContinueOne(aFindJob(aReservation.mJob), aReservation);
  });
}

bool
ReservationPlanner::ContinueOne(QueuedJob* aJob, Reservation& aReservation)
{
  if (!aJob || aJob->mIsSettled || !mContext.IsWithinQuota(aJob->mNeed.mAccount, aJob->mTotal)) {
    return false;
  }
  // At this point, only the capacity of reservations with a higher priority is held.
  if (const auto found = mContext.mSearch.FindFree(aJob->mNeed, false); !found.empty()) {
    mContext.Start(*aJob, found, CapacityClass::Borrowed);
    return false;
  }
  const auto placement = PlacementOf(aReservation);
  if (!placement || !CanComplete(aJob->mNeed, *placement)) {
    return false;
  }
  RecordProgress(aReservation, aJob->mNeed, *placement);
  return ReclaimFor(*aJob, aReservation, *placement) || Hold(*aJob, aReservation, *placement);
}

int
ReservationPlanner::FreeTasks(const GangNeed& aNeed, const Placement& aPlacement) const
{
  std::map<int, int> counts;
  for (const int it : aPlacement) {
    ++counts[it];
  }
  int n = 0;
  for (const auto& [worker, count] : counts) {
    n += ResourceVector::Positive(mContext.mModel.Free(worker) - mContext.mModel.Held(worker))
           .CountFitting(aNeed.mPerTask, count);
  }
  return n;
}

void
ReservationPlanner::RecordProgress(Reservation& aReservation, const GangNeed& aNeed,
                                   const Placement& aPlacement)
{
  const auto now = mContext.mSnapshot.mNow;
  const int free = FreeTasks(aNeed, aPlacement);
  const int missing = aNeed.mTasks - free;
  const std::chrono::duration<double> passed = now - aReservation.mLastPlan;
  aReservation.mIdle += static_cast<double>(aNeed.mPerTask.Size()) * free * passed.count();
  aReservation.mLastPlan = now;
  if (missing < aReservation.mMissingTasks) {
    aReservation.mMissingTasks = missing;
    aReservation.mLastProgress = now;
  }
}

bool
ReservationPlanner::ReclaimFor(QueuedJob& aJob, Reservation& aReservation,
                               const Placement& aPlacement)
{
  ReclaimSearch search(mContext.mModel, mContext.mSnapshot.mNow);
  auto choice = search.FindOn(aJob.mNeed, aPlacement, [&](const Borrower& aBorrower) {
    return MayReclaim(aJob, aReservation, aBorrower);
  });
  if (!choice) {
    choice = search.FindOn(aJob.mNeed, aPlacement, [&](const Borrower& aBorrower) {
      return MayReclaim(aJob, aReservation, aBorrower) || KeepsNoLowerShare(aJob, aBorrower);
    });
    const auto& weights = mContext.mSnapshot.mWeights;
    if (!choice ||
        choice->mCost * weights.mCompletionTime > aReservation.mIdle * weights.mFragmentation) {
      return false;
    }
  }
  mContext.ReclaimAll(choice->mBorrowers, ReclaimReason::Reservation, aJob.mJob->mJob, ServiceId());
  for (const int it : aPlacement) {
    mContext.mModel.Earmark(it, aJob.mNeed.mPerTask);
  }
  mContext.Wait(aJob, WaitReason::WaitingForReclaim,
                "borrowed work on its reserved capacity is being reclaimed");
  return true;
}

bool
ReservationPlanner::Hold(QueuedJob& aJob, Reservation& aReservation, const Placement& aPlacement)
{
  const auto now = mContext.mSnapshot.mNow;
  if (now >= aReservation.mLastProgress + kStallTimeout) {
    mContext.mState.mNoReservationBefore[aJob.mJob->mJob] = now + kStallTimeout;
    return false;
  }
  aReservation.mExpectedStart = now;
  for (const int it : aPlacement) {
    aReservation.mExpectedStart = std::max(aReservation.mExpectedStart, ReadyAt(it));
    mContext.mModel.Hold(it, aJob.mNeed.mPerTask);
  }
  const auto seconds =
    std::chrono::duration_cast<std::chrono::seconds>(aReservation.mExpectedStart - now).count();
  mContext.Wait(aJob, WaitReason::NoCapacityNow,
                "has a reservation, expected to start within " + std::to_string(seconds) + " s");
  return true;
}

bool
ReservationPlanner::MayReclaim(const QueuedJob& aJob, const Reservation& aReservation,
                               const Borrower& aBorrower) const
{
  if (aBorrower.mUrgent) {
    return false;
  }
  if (aReservation.mBackfillJobs.contains(aBorrower.mFirst->mJob)) {
    return true;
  }
  if (aBorrower.mSize >= aJob.mTotal.Size()) {
    return false;
  }
  const int account = aJob.mNeed.mAccount;
  return mContext.mSnapshot.mNow >= aReservation.mLastProgress + kStallTimeout &&
         aBorrower.mAccount != account &&
         (aBorrower.mAccount < 0 || mContext.mModel.DominantShare(aBorrower.mAccount) >
                                      mContext.mModel.DominantShare(account));
}

bool
ReservationPlanner::KeepsNoLowerShare(const QueuedJob& aJob, const Borrower& aBorrower) const
{
  const int account = aJob.mNeed.mAccount;
  if (aBorrower.mUrgent || aBorrower.mAccount == account || aBorrower.mSize >= aJob.mTotal.Size()) {
    return false;
  }
  return aBorrower.mAccount < 0 || mContext.mModel.DominantShare(aBorrower.mAccount) >=
                                     mContext.mModel.DominantShareWith(account, aJob.mTotal);
}

std::optional<Placement>
ReservationPlanner::PlacementOf(const Reservation& aReservation) const
{
  Placement placement;
  for (const auto& it : aReservation.mWorkers) {
    const auto worker = mContext.mModel.FindWorker(it);
    if (!worker) {
      return std::nullopt;
    }
    placement.push_back(*worker);
  }
  return placement;
}

bool
ReservationPlanner::CanComplete(const GangNeed& aNeed, const Placement& aPlacement) const
{
  std::map<int, int> counts;
  for (const int it : aPlacement) {
    ++counts[it];
  }
  return static_cast<int>(aPlacement.size()) == aNeed.mTasks &&
         std::ranges::all_of(counts, [&](const auto& aCount) {
           return (aNeed.mPerTask * aCount.second).FitsInto(Obtainable(aNeed, aCount.first));
         });
}

ResourceVector
ReservationPlanner::Obtainable(const GangNeed& aNeed, int aWorker) const
{
  const auto obtainable = ResourceVector::Positive(mContext.mModel.FreeAfterReclaim(aWorker) -
                                                   mContext.mModel.Held(aWorker));
  return aNeed.mIsPinned ? ResourceVector::Min(obtainable, mContext.mModel.PinnableLimit(aWorker))
                         : obtainable;
}

void
ReservationPlanner::Make(const std::vector<QueuedJob*>& aJobs)
{
  auto& state = mContext.mState;
  const auto now = mContext.mSnapshot.mNow;
  std::erase_if(state.mNoReservationBefore,
                [&](const auto& aEntry) { return aEntry.second <= now; });
  int attempts = 0;
  for (const auto* it : aJobs) {
    if (state.mNoReservationBefore.contains(it->mJob->mJob)) {
      continue;
    }
    if (++attempts > detail::kMaxReservationAttempts) {
      break;
    }
    DropBelow(Priority(it->mTotal.Size(), it->mJob->mSubmitted, now));
    if (state.mReservations.size() >= kMaxReservations) {
      break;
    }
    const auto option = BestOption(it->mNeed);
    if (!option) {
      continue;
    }
    Reservation reservation{ it->mJob->mJob,
                             {},
                             it->mJob->mResourcesPerTask,
                             it->mJob->mSubmitted,
                             now,
                             option->mStart,
                             option->mMissingTasks,
                             now,
                             now,
                             0,
                             {} };
    for (const int worker : option->mPlacement) {
      reservation.mWorkers.push_back(mContext.mSnapshot.mWorkers[worker].mWorker);
      mContext.mModel.Hold(worker, it->mNeed.mPerTask);
    }
    state.mReservations.push_back(std::move(reservation));
  }
}

std::optional<ReservationPlanner::Option>
ReservationPlanner::BestOption(const GangNeed& aNeed) const
{
  std::optional<Option> best;
  for (const auto& it : mContext.mModel.GetTopology().Domains(aNeed.mAdjacency)) {
    auto option = OptionIn(aNeed, it);
    if (option && (!best || std::tie(option->mBlocked, option->mStart, option->mMissingTasks) <
                              std::tie(best->mBlocked, best->mStart, best->mMissingTasks))) {
      best = std::move(option);
    }
  }
  return best;
}

std::optional<ReservationPlanner::Option>
ReservationPlanner::OptionIn(const GangNeed& aNeed, const std::vector<int>& aWorkers) const
{
  const auto& model = mContext.mModel;
  const auto now = mContext.mSnapshot.mNow;
  // Whether the tasks wait for work that isn't smaller than the gang, time when the capacity is
  // free, whether it is assigned to an account, worker, and number of tasks.
  std::vector<std::tuple<bool, TimePoint, bool, int, int>> ready;
  int obtainable = 0;
  for (const int it : aWorkers) {
    const int n = Obtainable(aNeed, it).CountFitting(aNeed.mPerTask, aNeed.mTasks);
    if (n == 0 || aNeed.Excludes(it)) {
      continue;
    }
    obtainable += n;
    const int nowFree = std::min(
      n, ResourceVector::Positive(model.Free(it) - model.Held(it)).CountFitting(aNeed.mPerTask, n));
    const bool isLent = !aNeed.mPerTask.FitsInto(model.Unassigned(it));
    if (nowFree > 0) {
      ready.emplace_back(false, now, isLent, it, nowFree);
    }
    if (n > nowFree) {
      ready.emplace_back(IsBlocked(aNeed, it), ReadyAt(it), isLent, it, n - nowFree);
    }
  }
  if (obtainable < aNeed.mTasks) {
    return std::nullopt;
  }
  std::ranges::sort(ready);
  Option option;
  option.mStart = now;
  for (const auto& [isBlocked, at, isLent, worker, n] : ready) {
    const int left = aNeed.mTasks - static_cast<int>(option.mPlacement.size());
    option.mPlacement.insert(option.mPlacement.end(), std::min(n, left), worker);
    option.mStart = std::max(option.mStart, at);
    option.mBlocked += isBlocked ? std::min(n, left) : 0;
    option.mMissingTasks += at > now ? std::min(n, left) : 0;
    if (n >= left) {
      break;
    }
  }
  return option;
}

bool
ReservationPlanner::IsBlocked(const GangNeed& aNeed, int aWorker) const
{
  const auto size = (aNeed.mPerTask * aNeed.mTasks).Size();
  return std::ranges::any_of(mContext.mModel.Leases(aWorker), [&](const ActiveLease& aLease) {
    return !aLease.mGuaranteed && !aLease.mIsReleasing &&
           mContext.mModel.Borrowers()[aLease.mBorrower].mSize >= size;
  });
}

TimePoint
ReservationPlanner::ReadyAt(int aWorker) const
{
  const auto now = mContext.mSnapshot.mNow;
  auto at = now;
  for (const auto& it : mContext.mModel.Leases(aWorker)) {
    if (it.mGuaranteed || it.mIsReleasing) {
      continue;
    }
    at = std::max(at, mContext.mForecast.ExpectedEnd(it.mBorrower));
  }
  return at;
}

} // namespace lovagerock::placement
