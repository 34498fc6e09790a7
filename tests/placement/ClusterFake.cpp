#include "placement/ClusterFake.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <set>

namespace lovagerock::placement::tests {

ClusterFake::ClusterFake(int aWorkers, int aPerRack)
{
  mSnapshot.mNow = TimePoint(std::chrono::hours(1));
  for (int i = 0; i < aWorkers; ++i) {
    WorkerView worker;
    worker.mWorker = WorkerId("w" + std::to_string(i));
    worker.mRegion = RegionId("region");
    worker.mZone = ZoneId("zone" + std::to_string(i / (2 * aPerRack)));
    worker.mRack = RackId("rack" + std::to_string(i / aPerRack));
    worker.mCapacity = { Slots(8), Accelerators(8), Cores(64), MemoryMiB(128'000) };
    mSnapshot.mWorkers.push_back(worker);
  }
}

AccountView&
ClusterFake::AddAccount(const std::string& aName, std::vector<Guarantee> aGuarantees)
{
  AccountView account;
  account.mAccount = AccountId(aName);
  account.mGuarantees = std::move(aGuarantees);
  return mSnapshot.mAccounts.emplace_back(std::move(account));
}

PendingJob&
ClusterFake::Submit(const std::string& aAccount, int aTasks, int aAccelerators,
                    Adjacency aAdjacency)
{
  PendingJob job;
  job.mJob = JobId("job" + std::to_string(mNextId++));
  job.mAccount = AccountId(aAccount);
  job.mTasks = aTasks;
  job.mResourcesPerTask = { Slots(1), Accelerators(aAccelerators), Cores(1), MemoryMiB(100) };
  job.mAdjacency = aAdjacency;
  job.mSubmitted = mSnapshot.mNow + Duration(mNextId);
  return mSnapshot.mJobs.emplace_back(std::move(job));
}

Plan
ClusterFake::Step()
{
  auto plan = ComputePlan(mSnapshot, mState);
  Check(plan);
  Apply(plan);
  mSnapshot.mNow += std::chrono::seconds(2);
  return plan;
}

void
ClusterFake::Check(const Plan& aPlan) const
{
  std::map<WorkerId, Resources> used;
  std::map<LeaseId, const LeaseView*> leases;
  std::map<JobId, std::set<LeaseId>> gangs;
  for (const auto& worker : mSnapshot.mWorkers) {
    for (const auto& it : worker.mLeases) {
      used[worker.mWorker] += it.mResources;
      leases[it.mLease] = &it;
      gangs[it.mJob].insert(it.mLease);
    }
  }
  for (const auto& start : aPlan.mStarts) {
    const auto job = std::ranges::find(mSnapshot.mJobs, start.mJob, &PendingJob::mJob);
    cr_assert(job != mSnapshot.mJobs.end());
    cr_assert_eq(static_cast<int>(start.mWorkers.size()), job->mTasks, "a gang is placed whole");
    for (const auto& it : start.mWorkers) {
      used[it] += job->mResourcesPerTask;
    }
  }
  for (const auto& it : aPlan.mGrants) {
    used[it.mWorker] += it.mResources;
  }
  for (const auto& it : mSnapshot.mWorkers) {
    cr_assert(used[it.mWorker].FitsInto(it.mCapacity), "capacity exceeded");
  }
  std::set<LeaseId> reclaimed;
  for (const auto& it : aPlan.mReclaims) {
    if (!it.mJob.IsEmpty()) {
      cr_assert_eq(it.mLeases.size(), gangs[it.mJob].size(), "a borrower is reclaimed whole");
    }
    for (const auto& lease : it.mLeases) {
      cr_assert(reclaimed.insert(lease).second, "a lease is reclaimed once");
      cr_assert(leases[lease]->mIdempotent);
      cr_assert(it.mReason == ReclaimReason::WorkerLeaving ||
                  leases[lease]->mClass != CapacityClass::Guaranteed,
                "guaranteed work is not reclaimed");
    }
  }
}

void
ClusterFake::Apply(const Plan& aPlan)
{
  for (const auto& it : aPlan.mReclaims) {
    RemoveLeases(it.mLeases);
    if (const auto node = mRunning.extract(it.mJob)) {
      mSnapshot.mJobs.push_back(node.mapped());
    }
  }
  for (const auto& it : aPlan.mReleases) {
    RemoveLeases({ it.mLease });
  }
  const auto add = [this](const WorkerId& aWorker, LeaseView aLease) {
    aLease.mLease = LeaseId("lease" + std::to_string(mNextId++));
    aLease.mStarted = mSnapshot.mNow;
    std::ranges::find(mSnapshot.mWorkers, aWorker, &WorkerView::mWorker)
      ->mLeases.push_back(std::move(aLease));
  };
  for (const auto& start : aPlan.mStarts) {
    const auto job = std::ranges::find(mSnapshot.mJobs, start.mJob, &PendingJob::mJob);
    int task = 0;
    for (const auto& it : start.mWorkers) {
      LeaseView lease;
      lease.mJob = start.mJob;
      lease.mAccount = start.mAccount;
      lease.mResources = job->mResourcesPerTask;
      lease.mClass = start.mClass;
      lease.mReclaimable = start.mReclaimable;
      lease.mIdempotent = job->mIdempotent;
      lease.mUrgent = job->mUrgent;
      lease.mEstimate = job->mEstimate;
      lease.mTask = task++;
      add(it, lease);
    }
    mRunning[start.mJob] = *job;
    mClass[start.mJob] = start.mClass;
    mSnapshot.mJobs.erase(job);
  }
  for (const auto& it : aPlan.mGrants) {
    LeaseView lease;
    lease.mService = it.mService;
    lease.mAccount = it.mAccount;
    lease.mResources = it.mResources;
    lease.mClass = it.mClass;
    lease.mReclaimable = it.mReclaimable;
    lease.mIdempotent = it.mReclaimable;
    add(it.mWorker, lease);
  }
  for (const auto& it : aPlan.mRefused) {
    std::erase_if(mSnapshot.mJobs, [&](const auto& aJob) { return aJob.mJob == it.mJob; });
  }
}

void
ClusterFake::RemoveLeases(const std::vector<LeaseId>& aLeases)
{
  const std::set<LeaseId> ids(aLeases.begin(), aLeases.end());
  for (auto& worker : mSnapshot.mWorkers) {
    std::erase_if(worker.mLeases, [&](const auto& aLease) { return ids.contains(aLease.mLease); });
  }
}

void
ClusterFake::Finish(const JobId& aJob)
{
  for (auto& worker : mSnapshot.mWorkers) {
    std::erase_if(worker.mLeases, [&](const auto& aLease) { return aLease.mJob == aJob; });
  }
  mRunning.erase(aJob);
}

const WaitingJob*
ClusterFake::FindWaiting(const Plan& aPlan, const JobId& aJob) const
{
  const auto it = std::ranges::find(aPlan.mWaiting, aJob, &WaitingJob::mJob);
  return it == aPlan.mWaiting.end() ? nullptr : &*it;
}

} // namespace lovagerock::placement::tests
