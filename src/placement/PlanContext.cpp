#include "placement/PlanContext.h"

#include <map>

namespace lovagerock::placement {

PlanContext::PlanContext(const ClusterSnapshot& aSnapshot, PlannerState& aState)
  : mSnapshot(aSnapshot)
  , mState(aState)
  , mModel(aSnapshot, aState)
  , mSearch(mModel, aSnapshot.mWeights, FailuresOf(aSnapshot, aState))
  , mForecast(mModel, aState.mRunTimes, aSnapshot.mNow)
{
}

std::vector<int>
PlanContext::FailuresOf(const ClusterSnapshot& aSnapshot, const PlannerState& aState)
{
  std::vector<int> failures;
  failures.reserve(aSnapshot.mWorkers.size());
  for (const auto& it : aSnapshot.mWorkers) {
    failures.push_back(aState.ConsecutiveFailures(it.mWorker));
  }
  return failures;
}

void
PlanContext::Start(QueuedJob& aJob, const Placement& aPlacement, CapacityClass aClass)
{
  GangStart start{ aJob.mJob->mJob, aJob.mJob->mAccount, {}, aClass, !aJob.mNeed.mIsPinned };
  start.mWorkers.reserve(aPlacement.size());
  for (const int it : aPlacement) {
    start.mWorkers.push_back(mSnapshot.mWorkers[it].mWorker);
    if (aClass == CapacityClass::Guaranteed) {
      mModel.TakeGuaranteed(it, aJob.mNeed.mAccount, aJob.mNeed.mPerTask);
    } else {
      mModel.TakeBorrowed(it, aJob.mNeed.mAccount, aJob.mNeed.mPerTask, aJob.mNeed.mIsPinned);
    }
  }
  mPlan.mStarts.push_back(std::move(start));
  aJob.mIsSettled = true;
}

void
PlanContext::Wait(QueuedJob& aJob, WaitReason aReason, std::string aDetail)
{
  mPlan.mWaiting.push_back({ aJob.mJob->mJob, aReason, std::move(aDetail) });
  aJob.mIsSettled = true;
}

void
PlanContext::ReclaimAll(const std::vector<int>& aBorrowers, ReclaimReason aReason,
                        const JobId& aForJob, const ServiceId& aForService)
{
  for (const int it : aBorrowers) {
    const auto& borrower = mModel.Borrowers()[it];
    Reclaim reclaim{ {},
                     borrower.mFirst->mJob,
                     borrower.mFirst->mService,
                     borrower.mFirst->mAccount,
                     aReason,
                     aForJob,
                     aForService };
    for (const auto& [worker, position] : borrower.mLeases) {
      const auto& lease = *mModel.Leases(worker)[position].mLease;
      if (lease.mPhase != LeasePhase::Stopping) {
        reclaim.mLeases.push_back(lease.mLease);
      }
    }
    mModel.MarkReclaimed(it);
    if (!reclaim.mLeases.empty()) {
      mPlan.mReclaims.push_back(std::move(reclaim));
    }
  }
}

bool
PlanContext::IsWithinQuota(int aAccount, const ResourceVector& aMore) const
{
  const ResourceVector quota(mSnapshot.mAccounts[aAccount].mQuota);
  const auto use = mModel.Used(aAccount) + aMore;
  for (int i = 0; i < ResourceVector::kSize; ++i) {
    if (quota[i] > 0 && aMore[i] > 0 && use[i] > quota[i]) {
      return false;
    }
  }
  return true;
}

std::vector<std::vector<int>>
PlanContext::OwnDomains(int aAccount, Adjacency aLevel) const
{
  std::map<int, std::vector<int>> domains;
  for (const int it : mModel.OwnWorkers(aAccount)) {
    domains[mModel.GetTopology().DomainOf(aLevel, it)].push_back(it);
  }
  std::vector<std::vector<int>> result;
  result.reserve(domains.size());
  for (auto& it : domains) {
    result.push_back(std::move(it.second));
  }
  return result;
}

} // namespace lovagerock::placement
