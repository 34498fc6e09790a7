#include "placement/ReservationPlanner.h"

#include <algorithm>
#include <map>
#include <string>
#include <tuple>

namespace lovagerock::placement {

namespace detail {
namespace {

// Bounds the time of a plan when many large jobs wait and none can get a reservation.
constexpr int kMostAttempts = 8;

} // namespace
} // namespace detail

void
ReservationPlanner::KeepCapacity()
{
  const auto it = std::ranges::find_if(mContext.mSnapshot.mJobs, [&](const PendingJob& aJob) {
    return mContext.mState.mReservation && aJob.mJob == mContext.mState.mReservation->mJob;
  });
  if (it == mContext.mSnapshot.mJobs.end()) {
    return;
  }
  for (const int worker : PlacementNow().value_or(Placement())) {
    mContext.mModel.Hold(worker, ResourceVector(it->mResourcesPerTask));
  }
}

void
ReservationPlanner::Continue(QueuedJob* aJob)
{
  auto& state = mContext.mState;
  if (!state.mReservation) {
    return;
  }
  if (!aJob || aJob->mIsSettled || !mContext.IsWithinQuota(aJob->mNeed.mAccount, aJob->mTotal)) {
    state.mReservation.reset();
    return;
  }
  if (const auto found = mContext.mSearch.FindFree(aJob->mNeed, true); !found.empty()) {
    mContext.Start(*aJob, found, CapacityClass::Borrowed);
    state.mReservation.reset();
    return;
  }
  const auto placement = PlacementNow();
  if (!placement || !IsPossible(aJob->mNeed, *placement)) {
    state.mReservation.reset();
    return;
  }
  Hold(*aJob, *placement);
}

void
ReservationPlanner::Hold(QueuedJob& aJob, const Placement& aPlacement)
{
  auto& model = mContext.mModel;
  auto& reservation = *mContext.mState.mReservation;
  const auto now = mContext.mSnapshot.mNow;
  ReclaimSearch search(model, now);
  const auto choice = search.FindOn(
    aJob.mNeed, aPlacement, [&](const Borrower& aBorrower) { return MayReclaim(aJob, aBorrower); });
  if (choice) {
    mContext.ReclaimAll(choice->mBorrowers, ReclaimReason::Reservation, aJob.mJob->mJob,
                        ServiceId());
    for (const int it : aPlacement) {
      model.Await(it, aJob.mNeed.mPerTask);
    }
    mContext.Wait(aJob, WaitReason::WaitingForReclaim, "its reserved capacity is being reclaimed");
    return;
  }
  if (now >= reservation.mMadeAt + kLongestHold) {
    mContext.mState.mNoReservationBefore[aJob.mJob->mJob] = now + kLongestHold;
    mContext.mState.mReservation.reset();
    return;
  }
  reservation.mExpectedStart = now;
  for (const int it : aPlacement) {
    reservation.mExpectedStart = std::max(reservation.mExpectedStart, ReadyAt(it));
    model.Hold(it, aJob.mNeed.mPerTask);
  }
  reservation.mExpectedStart =
    std::min(reservation.mExpectedStart, reservation.mMadeAt + kLongestHold);
  const auto seconds =
    std::chrono::duration_cast<std::chrono::seconds>(reservation.mExpectedStart - now).count();
  mContext.Wait(aJob, WaitReason::NoCapacityNow,
                "has the reservation, expected to start within " + std::to_string(seconds) + " s");
}

bool
ReservationPlanner::MayReclaim(const QueuedJob& aJob, const Borrower& aBorrower) const
{
  if (aBorrower.mUrgent) {
    return false;
  }
  const auto& reservation = *mContext.mState.mReservation;
  if (aBorrower.mStarted >= reservation.mMadeAt) {
    return true;
  }
  const int account = aJob.mNeed.mAccount;
  return mContext.mSnapshot.mNow >= reservation.mMadeAt + kLongestHold &&
         aBorrower.mAccount != account &&
         (aBorrower.mAccount < 0 || mContext.mModel.ShareOfAccount(aBorrower.mAccount) >
                                      mContext.mModel.ShareOfAccount(account));
}

std::optional<Placement>
ReservationPlanner::PlacementNow() const
{
  Placement placement;
  for (const auto& it : mContext.mState.mReservation->mWorkers) {
    const auto worker = mContext.mModel.FindWorker(it);
    if (!worker) {
      return std::nullopt;
    }
    placement.push_back(*worker);
  }
  return placement;
}

bool
ReservationPlanner::IsPossible(const GangNeed& aNeed, const Placement& aPlacement) const
{
  std::map<int, int> counts;
  for (const int it : aPlacement) {
    ++counts[it];
  }
  return static_cast<int>(aPlacement.size()) == aNeed.mTasks &&
         std::ranges::all_of(counts, [&](const auto& aCount) {
           return (aNeed.mPerTask * aCount.second).FitsInto(Reachable(aNeed, aCount.first));
         });
}

ResourceVector
ReservationPlanner::Reachable(const GangNeed& aNeed, int aWorker) const
{
  const auto reachable = mContext.mModel.Reclaimable(aWorker);
  return aNeed.mIsPinned ? ResourceVector::Min(reachable, mContext.mModel.Unpinned(aWorker))
                         : reachable;
}

const QueuedJob*
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
    if (++attempts > detail::kMostAttempts) {
      break;
    }
    const auto option = BestOption(it->mNeed);
    if (!option) {
      continue;
    }
    Reservation reservation{
      it->mJob->mJob, {}, now, std::min(option->mStart, now + kLongestHold)
    };
    for (const int worker : option->mPlacement) {
      reservation.mWorkers.push_back(mContext.mSnapshot.mWorkers[worker].mWorker);
    }
    state.mReservation = std::move(reservation);
    return it;
  }
  return nullptr;
}

std::optional<ReservationPlanner::Option>
ReservationPlanner::BestOption(const GangNeed& aNeed) const
{
  std::optional<Option> best;
  for (const auto& it : mContext.mModel.GetTopology().Domains(aNeed.mAdjacency)) {
    auto option = OptionIn(aNeed, it);
    if (option && (!best || option->mStart < best->mStart)) {
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
  // Ready time, whether the capacity is lent, worker and number of tasks.
  std::vector<std::tuple<TimePoint, bool, int, int>> ready;
  int reachable = 0;
  for (const int it : aWorkers) {
    const int n = Reachable(aNeed, it).Fits(aNeed.mPerTask, aNeed.mTasks);
    if (n == 0 || aNeed.Excludes(it)) {
      continue;
    }
    reachable += n;
    const int nowFree = std::min(n, model.Free(it).Fits(aNeed.mPerTask, n));
    const bool isLent = !aNeed.mPerTask.FitsInto(model.Unassigned(it));
    if (nowFree > 0) {
      ready.emplace_back(now, isLent, it, nowFree);
    }
    if (n > nowFree) {
      ready.emplace_back(ReadyAt(it), isLent, it, n - nowFree);
    }
  }
  if (reachable < aNeed.mTasks) {
    return std::nullopt;
  }
  std::ranges::sort(ready);
  Option option;
  for (const auto& [at, isLent, worker, n] : ready) {
    const int left = aNeed.mTasks - static_cast<int>(option.mPlacement.size());
    option.mPlacement.insert(option.mPlacement.end(), std::min(n, left), worker);
    option.mStart = at;
    if (n >= left) {
      break;
    }
  }
  return option;
}

TimePoint
ReservationPlanner::ReadyAt(int aWorker) const
{
  const auto now = mContext.mSnapshot.mNow;
  auto at = now;
  for (const auto& it : mContext.mModel.Leases(aWorker)) {
    if (it.mGuaranteed || it.mIsComing) {
      continue;
    }
    const auto& lease = *it.mLease;
    at = std::max(at, lease.mEstimate.count() > 0 ? lease.mStarted + lease.mEstimate
                                                  : now + kLongestHold);
  }
  return at;
}

} // namespace lovagerock::placement
