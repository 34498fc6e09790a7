#include "bench/GuaranteeDemands.h"

#include <algorithm>
#include <set>

namespace lovagerock::placement::replay {

void
GuaranteeDemands::Update(const ClusterSnapshot& aSnapshot, PlannerState& aState)
{
  if (aState.mAssignment.empty()) {
    return;
  }
  PlanContext context(aSnapshot, aState);
  context.mModel.ApplyAssignment(aState.mAssignment);
  std::vector<const PendingJob*> waiting;
  for (const auto& it : aSnapshot.mJobs) {
    waiting.push_back(&it);
  }
  std::ranges::stable_sort(waiting, {}, &PendingJob::mSubmitted);
  UpdateDemanded(context, waiting);
  UpdateBlockedByOthers(context, waiting);
}

void
GuaranteeDemands::UpdateDemanded(const PlanContext& aContext,
                                 std::vector<const PendingJob*> aWaiting)
{
  std::ranges::stable_sort(aWaiting, {},
                           [&](const PendingJob* aJob) { return !mDemanded.contains(aJob->mJob); });
  const auto left = [&](int aWorker, int aAccount) {
    return aContext.mModel.ShareLeft(aWorker, aAccount);
  };
  ReservedShares reserved;
  for (const auto* it : aWaiting) {
    Set(mDemanded, it->mJob, ReserveShare(aContext, *it, left, reserved), aContext.mSnapshot.mNow);
  }
}

// All work of an account on its assigned workers counts as the account's own use, even if it runs
// without the guarantee. A job that fits only into the account's whole assigned capacity blocks the
// account's later jobs.
void
GuaranteeDemands::UpdateBlockedByOthers(const PlanContext& aContext,
                                        const std::vector<const PendingJob*>& aWaiting)
{
  const auto& model = aContext.mModel;
  const auto wholeShare = [&](int aWorker, int aAccount) {
    return model.ShareOf(aWorker, aAccount);
  };
  const auto left = [&](int aWorker, int aAccount) {
    auto share = wholeShare(aWorker, aAccount);
    for (const auto& it : model.Leases(aWorker)) {
      if (model.Borrowers()[it.mBorrower].mAccount == aAccount) {
        share -= it.mResources;
      }
    }
    return share;
  };
  ReservedShares reserved;
  std::set<AccountId> blockedAccounts;
  for (const auto* it : aWaiting) {
    const bool fits =
      !blockedAccounts.contains(it->mAccount) && ReserveShare(aContext, *it, left, reserved);
    Set(mBlockedByOthers, it->mJob, fits, aContext.mSnapshot.mNow);
    ReservedShares noReservations;
    if (!fits && ReserveShare(aContext, *it, wholeShare, noReservations)) {
      blockedAccounts.insert(it->mAccount);
    }
  }
}

std::optional<TimePoint>
GuaranteeDemands::Find(const StartTimes& aStartTimes, const JobId& aJob)
{
  const auto it = aStartTimes.find(aJob);
  return it == aStartTimes.end() ? std::nullopt : std::optional(it->second);
}

void
GuaranteeDemands::Set(StartTimes& aStartTimes, const JobId& aJob, bool aIsActive, TimePoint aNow)
{
  if (aIsActive) {
    aStartTimes.try_emplace(aJob, aNow);
  } else {
    aStartTimes.erase(aJob);
  }
}

void
GuaranteeDemands::Forget(const JobId& aJob)
{
  mDemanded.erase(aJob);
  mBlockedByOthers.erase(aJob);
}

template<typename Left>
bool
GuaranteeDemands::ReserveShare(const PlanContext& aContext, const PendingJob& aJob,
                               const Left& aLeft, ReservedShares& aReserved)
{
  const int account = *aContext.mModel.FindAccount(aJob.mAccount);
  const ResourceVector each(aJob.mResourcesPerTask);
  for (const auto& workers : aContext.OwnDomains(account, aJob.mAdjacency)) {
    Placement placement;
    for (const int it : workers) {
      const auto left = aContext.mModel.IsUsable(it)
                          ? aLeft(it, account) - aReserved[{ it, account }]
                          : ResourceVector();
      const int n = left.CountFitting(each, aJob.mTasks - static_cast<int>(placement.size()));
      placement.insert(placement.end(), n, it);
    }
    if (static_cast<int>(placement.size()) == aJob.mTasks) {
      for (const int it : placement) {
        aReserved[{ it, account }] += each;
      }
      return true;
    }
  }
  return false;
}

} // namespace lovagerock::placement::replay
