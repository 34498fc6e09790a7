#pragma once

// JobCoordinator: taking over and giving up the planner role, fences and lease renewals.

#include "jobs/JobCoordinator.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace lovagerock::jobs {

template<kv::KeyValueStore S, workers::WorkerApi A>
JobCoordinator<S, A>::JobCoordinator(EventLoop& aLoop, A& aApi, JobStore<S>& aJobStore,
                                     AnswerStore<S>& aAnswers, Random& aRandom, NodeId aNode,
                                     const CoordinatorSettings& aTimes)
  : mLoop(aLoop)
  , mApi(aApi)
  , mJobStore(aJobStore)
  , mAnswerStore(aAnswers)
  , mRandom(aRandom)
  , mTimes(aTimes)
  , mServices(aApi, aRandom)
  , mAttempts(aApi, mViews, mFence)
  , mRetries(aLoop, aRandom, aTimes.mStoreRetry, aTimes.mMaxStoreRetry)
  , mPlanThread(aLoop)
{
  mFence.mNode = std::move(aNode);
}

template<kv::KeyValueStore S, workers::WorkerApi A>
void
JobCoordinator<S, A>::Activate()
{
  if (mActive) {
    return;
  }
  mActive = true;
  mRecordsLoaded = false;
  mListing = true;
  ++mTerm;
  for (const auto& [id, view] : mViews) {
    if (view.mState) {
      mFence.mEpoch = std::max(mFence.mEpoch, view.mState->mFence.mEpoch);
    }
  }
  ++mFence.mEpoch;
  LogEvent("planner_active").With("epoch", mFence.mEpoch).With("workers", mViews.size());
  RenewLeases();
  mRenewTimer = mLoop.Every(mTimes.mRenewPeriod, [this] { RenewLeases(); });
  mRelistTimer = mLoop.Every(mTimes.mRelistPeriod, [this] { Relist(); });
  mPlanTimer = mLoop.Every(mTimes.mPlanPeriod, [this] { OnTick(); });
  LoadRecords();
}

template<kv::KeyValueStore S, workers::WorkerApi A>
void
JobCoordinator<S, A>::Deactivate(const char* aReason)
{
  if (!mActive) {
    return;
  }
  mActive = false;
  ++mTerm;
  mRenewTimer.Cancel();
  mRelistTimer.Cancel();
  mPlanTimer.Cancel();
  mPlanDelayTimer.Cancel();
  mCheckDelayTimer.Cancel();
  mRetries.Clear();
  mAttempts.Clear();
  mJobs.clear();
  mWorkerJobs.Clear();
  mChangedJobs.clear();
  mState = {};
  LogEvent("planner_inactive").With("epoch", mFence.mEpoch).With("reason", aReason);
}

template<kv::KeyValueStore S, workers::WorkerApi A>
void
JobCoordinator<S, A>::SetPolicy(PolicyInput aPolicy)
{
  mPolicy = std::move(aPolicy);
  SchedulePlan();
}

template<kv::KeyValueStore S, workers::WorkerApi A>
void
JobCoordinator<S, A>::OnWorkerChange(const workers::WorkerChange& aChange)
{
  const auto& view = aChange.mView;
  if (!view.mState) {
    return;
  }
  const auto id = view.mState->mWorker;
  mViews[id] = view;
  if (aChange.mKind == workers::WorkerChange::Kind::Removed) {
    mViews[id].mSuspected = true;
  }
  if (!mActive) {
    return;
  }
  if (mFence < view.mState->mFence) {
    StepDown();
    return;
  }
  mServices.ReleaseEnded(view, mFence);
  CheckLeases(view);
  SchedulePlan();
}

template<kv::KeyValueStore S, workers::WorkerApi A>
void
JobCoordinator<S, A>::OnJobChanged(const JobId& aJob)
{
  if (!mActive) {
    return;
  }
  const auto it = mJobs.find(aJob);
  if (it != mJobs.end() && it->second.mPhase == JobPhase::Writing) {
    // The write in progress fails with a conflict if the record changed, and then reads it again.
    return;
  }
  Reload(aJob);
}

template<kv::KeyValueStore S, workers::WorkerApi A>
void
JobCoordinator<S, A>::StepDown()
{
  Deactivate("fenced");
  if (mOnFenced) {
    mLoop.Post([callback = mOnFenced] { callback(); });
  }
}

template<kv::KeyValueStore S, workers::WorkerApi A>
bool
JobCoordinator<S, A>::CheckFenced(std::error_code aError)
{
  if (aError != make_error_code(workers::WorkerError::Fenced)) {
    return false;
  }
  StepDown();
  return true;
}

template<kv::KeyValueStore S, workers::WorkerApi A>
void
JobCoordinator<S, A>::RenewGang(const Record& aRecord)
{
  std::map<SocketAddress, std::vector<LeaseId>> leases;
  for (std::size_t i = 0; i < aRecord.mPlacements.size(); ++i) {
    leases[aRecord.mPlacements[i].mAddress].push_back(TaskLeaseId(aRecord, static_cast<int>(i)));
  }
  for (const auto& [address, ids] : leases) {
    Renew(address, ids);
  }
}

template<kv::KeyValueStore S, workers::WorkerApi A>
void
JobCoordinator<S, A>::RenewLeases()
{
  const auto complete = mRecordsLoaded ? std::set<std::string>() : CompleteAttempts();
  for (const auto& [id, view] : mViews) {
    if (view.mState) {
      Renew(view.mAddress, LeasesToRenew(*view.mState, complete));
    }
  }
}

template<kv::KeyValueStore S, workers::WorkerApi A>
std::set<std::string>
JobCoordinator<S, A>::CompleteAttempts() const
{
  std::map<std::string, int> missing;
  for (const auto& [id, view] : mViews) {
    if (!view.mState || view.mSuspected) {
      continue;
    }
    for (const auto& it : view.mState->mLeases) {
      const bool runs =
        it.mPhase == workers::LeasePhase::Running || it.mPhase == workers::LeasePhase::Finished;
      if (it.mKind == workers::LeaseKind::Job && runs) {
        --missing.try_emplace(mAttempts.Prefix(it.mLease), it.mTasks).first->second;
      }
    }
  }
  std::set<std::string> complete;
  for (const auto& [prefix, n] : missing) {
    if (n <= 0) {
      complete.insert(prefix);
    }
  }
  return complete;
}

template<kv::KeyValueStore S, workers::WorkerApi A>
std::vector<LeaseId>
JobCoordinator<S, A>::LeasesToRenew(const workers::WorkerState& aState,
                                    const std::set<std::string>& aCompleteAttempts)
{
  std::vector<LeaseId> leases;
  for (const auto& it : aState.mLeases) {
    if (it.mPhase != workers::LeasePhase::Running) {
      continue;
    }
    const auto* job = Find(it.mJob);
    const bool known =
      job && job->mPhase == JobPhase::Running && TaskLeaseId(job->mRecord, it.mTask) == it.mLease;
    const bool wanted =
      mRecordsLoaded ? known : aCompleteAttempts.contains(mAttempts.Prefix(it.mLease));
    if (it.mKind == workers::LeaseKind::Service || wanted) {
      leases.push_back(it.mLease);
    }
  }
  return leases;
}

template<kv::KeyValueStore S, workers::WorkerApi A>
void
JobCoordinator<S, A>::Renew(const SocketAddress& aWorker, const std::vector<LeaseId>& aLeases)
{
  mApi.Renew(
    aWorker, mFence, mTimes.mGang.mRunningTtl, aLeases,
    InTerm([this](std::error_code aError, const std::vector<LeaseId>&) { CheckFenced(aError); }));
}

} // namespace lovagerock::jobs
