#pragma once

#include "base/CallbackGuard.h"
#include "base/EventLoop.h"
#include "base/LogEvent.h"
#include "base/WallClock.h"
#include "control/Deployment.h"
#include "control/Election.h"
#include "control/HandOver.h"
#include "control/PlanPacer.h"
#include "control/ProgressWriter.h"
#include "control/WorkerCalls.h"
#include "control/WorkerLeases.h"
#include "scheduler/JobRecord.h"
#include "scheduler/Scheduler.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace lovagerock::control {

// How a platform's workers register.
template<typename T>
concept WorkerRegistry = requires(const std::string& aKey, const std::string& aValue)
{
  // The prefix of the workers' keys.
  {
    T::Prefix()
    } -> std::convertible_to<std::string>;
  // The worker of a key.
  {
    T::Worker(aKey)
    } -> std::convertible_to<WorkerId>;
  // Its entry; nothing if the value can't be used.
  {
    T::Read(aKey, aValue)
    } -> std::convertible_to<std::optional<scheduler::WorkerEntry>>;
};

// A job's state as the leader knows it.
struct KnownState
{
  scheduler::JobState mState = scheduler::JobState::Queued;
  AccountId mAccount;
};

// Runs the scheduler while this node is the leader: loads the jobs, follows requests and workers,
// keeps the workers' leases, sends the orders and stores the progress. Exists for one leadership.
template<kv::PrefixStore Store, WorkerCalls Calls, WorkerRegistry Registry>
class Leader
{
public:
  Leader(EventLoop& aLoop, Store& aStore, Calls& aCalls, Election<Store>& aElection,
         const ControlSettings& aSettings, const Deployment& aDeployment,
         const HandOverSource& aFormer)
    : mLoop(aLoop)
    , mStore(aStore)
    , mCalls(aCalls)
    , mElection(aElection)
    , mSettings(aSettings)
    , mToken(aElection.Token())
    , mScheduler(aSettings.mScheduler, std::chrono::steady_clock::now())
    , mLeases(aLoop, aCalls, mScheduler, aElection.Token(), aSettings.mScheduler.mHold,
              LeaseHooks())
  {
    OnDeployment(aDeployment);
    aFormer(mGuard.Wrap([this](HandOver aHandOver) { OnHandOver(std::move(aHandOver)); }));
    LoadProgress("");
  }

  // What a successor has to know and may not find in the store.
  HandOver UnstoredState() const
  {
    return { mToken, mScheduler.IsSettled(), mScheduler.UnstoredProgress() };
  }

  // The configuration has changed.
  void OnDeployment(const Deployment& aDeployment)
  {
    std::map<std::string, scheduler::QueuePolicy> queues;
    for (const auto& it : aDeployment.mQueues) {
      queues[it.mName] = it.mPolicy;
    }
    mScheduler.SetQueues(std::move(queues));
    mScheduler.SetGuarantees(aDeployment.mGuarantees);
    PlanSoon();
  }

  // Whether the jobs are loaded.
  bool IsLoaded() const { return mWorkers.has_value(); }

  // The job's state; nothing if the leader doesn't know the job. An end is told once it is stored,
  // unless the store is down, since then the worker keeps it.
  std::optional<KnownState> State(const JobId& aJob) const
  {
    const auto* job = mScheduler.FindJob(aJob);
    if (!job) {
      return std::nullopt;
    }
    KnownState known{ job->State(), job->Accepted().mAccount };
    if (job->IsOver() && known.mState != scheduler::JobState::Cancelled &&
        !mScheduler.IsStored(aJob) && !mWriter->IsFailing()) {
      known.mState = scheduler::JobState::InProgress;
    }
    return known;
  }

  int PendingJobs(const std::string& aQueue) const { return mScheduler.PendingJobs(aQueue); }

private:
  static scheduler::Now Now() { return { std::chrono::steady_clock::now(), WallClockMs() }; }

  WorkerLeaseHooks LeaseHooks()
  {
    WorkerLeaseHooks hooks;
    hooks.mIsLeading = [this] { return mElection.IsLeader(); };
    hooks.mOnNews = [this] { PlanSoon(); };
    hooks.mOnFenced = [this](const WorkerId& aWorker) { OnFenced(aWorker); };
    return hooks;
  }

  void OnHandOver(HandOver aHandOver)
  {
    mHandOver = std::move(aHandOver);
    LoadJobs();
  }

  void LoadProgress(const std::string& aAfter)
  {
    mStore.List(std::string(kRecordPrefix), aAfter,
                mGuard.Wrap([this](std::error_code aError, kv::ItemPage aPage) {
                  OnProgressPage(aError, std::move(aPage));
                }));
  }

  void OnProgressPage(std::error_code aError, kv::ItemPage aPage)
  {
    if (aError) {
      LogEvent("progress_not_loaded", LogLevel::Warning).With("reason", aError.message());
      mProgress.clear();
      mRetry = mLoop.After(kStoreRetry, [this] { LoadProgress(""); });
      return;
    }
    std::string last;
    for (auto& it : aPage.mItems) {
      last = it.mKey;
      if (it.mKey == kBatchKey) {
        mBatchRevision = it.mRevision;
      } else if (const auto job = JobOfKey(kProgressPrefix, it.mKey)) {
        mProgress[*job] = std::move(it.mValue);
      } else if (it.mKey.starts_with(kRackPrefix)) {
        OnRackRecord(it);
      }
    }
    if (aPage.mHasMore && !last.empty()) {
      LoadProgress(last);
      return;
    }
    mIsProgressLoaded = true;
    LoadJobs();
  }

  // Goes on once both the stored progress and the former leader's answer are there.
  void LoadJobs()
  {
    if (!mIsProgressLoaded || !mHandOver) {
      return;
    }
    mWriter.emplace(mStore, mElection.Condition(), mBatchRevision);
    for (auto& it : mHandOver->mProgress) {
      mProgress[it.mJob] = std::move(it.mText);
      mHandedOver.insert(it.mJob);
    }
    if (mHandOver->mToken.Value() != 0) {
      LogEvent("progress_handed_over")
        .With("from_token", mHandOver->mToken)
        .With("complete", mHandOver->mIsComplete)
        .With("jobs", mHandedOver.size());
    }
    WatchRequests();
  }

  void OnRackRecord(const kv::Item& aItem)
  {
    const auto workers = scheduler::ReadRackRecord(aItem.mValue);
    if (!workers) {
      LogEvent("rack_record_malformed", LogLevel::Error).With("key", aItem.mKey);
      return;
    }
    mScheduler.AddRecordedWorkers(RackId(aItem.mKey.substr(kRackPrefix.size())), *workers);
  }

  void WatchRequests()
  {
    WatchCallbacks callbacks;
    callbacks.mOnList = [this](const auto& aItems) { OnRequests(aItems); };
    callbacks.mOnEvent = [this](const auto& aEvent) {
      if (aEvent.mValue) {
        OnRequest(aEvent.mKey, *aEvent.mValue, false);
        PlanSoon();
      }
    };
    mRequests.emplace(mLoop, mStore, std::string(kRequestPrefix), std::move(callbacks));
  }

  void OnRequests(const std::map<std::string, kv::Item>& aItems)
  {
    // Cancellations sort before jobs and need them.
    for (const auto& [key, item] : aItems) {
      if (key.starts_with(kJobPrefix)) {
        OnRequest(key, item.mValue, !IsLoaded());
      }
    }
    for (const auto& [key, item] : aItems) {
      if (key.starts_with(kCancelPrefix)) {
        OnRequest(key, item.mValue, false);
      }
    }
    mProgress.clear();
    for (const auto& it : std::exchange(mHandedOver, {})) {
      mScheduler.MarkUnstored(it);
    }
    if (!IsLoaded()) {
      if (mHandOver->mIsComplete) {
        mScheduler.OnHandedOver(Now());
      }
      LogEvent("jobs_loaded").With("jobs", mScheduler.JobCount()).With("token", mToken);
      AskRecordedWorkers();
      WatchWorkers();
      mPlanPeriod = mLoop.Every(kPlanPeriod, [this] { PlanSoon(); });
      mExpiry = mLoop.Every(kExpiryPeriod, [this] { mDeleteExpired = true; });
    }
    PlanSoon();
  }

  void OnRequest(const std::string& aKey, const std::string& aValue, bool aInherited)
  {
    if (const auto cancelled = JobOfKey(kCancelPrefix, aKey)) {
      mScheduler.CancelJob(*cancelled, Now());
      return;
    }
    if (!aKey.starts_with(kJobPrefix)) {
      return;
    }
    const auto job = scheduler::ReadAcceptedJob(aValue);
    if (!job) {
      LogEvent("job_record_malformed", LogLevel::Error).With("key", aKey);
      return;
    }
    const auto age = WallClockMs() - job->mAcceptedMs;
    if (!aInherited && !mScheduler.FindJob(job->mId) &&
        age > mSettings.mScheduler.mKeepFinished.count()) {
      // A listing from before its deletion: all jobs of that age are known, or over and deleted.
      LogEvent("job_record_outdated").With("job", job->mId).With("age_ms", age);
      return;
    }
    const auto progress = mProgress.find(job->mId);
    if (!mScheduler.AddJob(*job, progress == mProgress.end() ? "" : progress->second, aInherited,
                           Now())) {
      LogEvent("job_progress_malformed", LogLevel::Error).With("job", job->mId);
    } else if (!aInherited) {
      LogEvent("job_received").With("job", job->mId).With("queue", job->mQueue);
    }
  }

  // Workers whose entries expired during an outage may run work that only their lists tell of.
  void AskRecordedWorkers()
  {
    std::vector<WorkerId> recorded;
    for (const auto& [id, worker] : mScheduler.Workers()) {
      recorded.push_back(id);
    }
    for (const auto& it : recorded) {
      mLeases.Renew(it);
    }
  }

  void WatchWorkers()
  {
    WatchCallbacks callbacks;
    callbacks.mOnList = [this](const auto& aItems) {
      for (const auto& [id, worker] : mScheduler.Workers()) {
        if (!aItems.contains(Registry::Prefix() + id.Value())) {
          mUnlisted.push_back(id);
        }
      }
      for (const auto& it : std::exchange(mUnlisted, {})) {
        mScheduler.OnWorkerUnlisted(it);
      }
      for (const auto& [key, item] : aItems) {
        OnWorkerItem(key, item.mValue);
      }
      PlanSoon();
    };
    callbacks.mOnEvent = [this](const auto& aEvent) {
      if (aEvent.mValue) {
        OnWorkerItem(aEvent.mKey, *aEvent.mValue);
      } else {
        mScheduler.OnWorkerUnlisted(Registry::Worker(aEvent.mKey));
        LogEvent("worker_unlisted").With("worker", Registry::Worker(aEvent.mKey));
      }
      PlanSoon();
    };
    mWorkers.emplace(mLoop, mStore, Registry::Prefix(), std::move(callbacks), kWorkerNewsRest);
  }

  void OnWorkerItem(const std::string& aKey, const std::string& aValue)
  {
    const auto entry = Registry::Read(aKey, aValue);
    if (!entry) {
      // An entry of another writer; it tells nothing about the worker.
      LogEvent("worker_entry_unreadable", LogLevel::Warning).With("key", aKey);
      return;
    }
    const auto known = mScheduler.Workers().find(entry->mId);
    const bool wasDraining = known != mScheduler.Workers().end() && known->second.mEntry.mDraining;
    if (entry->mDraining && !wasDraining) {
      LogEvent("worker_draining")
        .With("worker", entry->mId)
        .With("remaining_ms", entry->mRemaining);
    }
    mScheduler.OnWorkerEntry(*entry, Now());
    mLeases.Renew(entry->mId);
  }

  void OnFenced(const WorkerId& aWorker)
  {
    LogEvent("fenced", LogLevel::Warning).With("worker", aWorker).With("token", mToken);
    mElection.Resign("fenced");
  }

  void PlanSoon()
  {
    if (IsLoaded() && !mPlanSoon.IsPending()) {
      mPlanSoon = mLoop.After(mPacer.Delay(std::chrono::steady_clock::now()), [this] { Plan(); });
    }
  }

  void Plan()
  {
    if (!mElection.IsLeader()) {
      return;
    }
    const auto begin = std::chrono::steady_clock::now();
    const auto orders = mScheduler.Plan(Now());
    const auto end = std::chrono::steady_clock::now();
    mPacer.OnPlanned(end, std::chrono::ceil<Duration>(end - begin));
    // Stops go first, because the room of what they end is waited for.
    for (const auto& it : orders.mStops) {
      SendStop(it);
    }
    for (const auto& it : orders.mStarts) {
      SendStart(it);
    }
    StoreSoon();
  }

  void SendStart(const scheduler::StartOrder& aOrder)
  {
    const auto& worker = mScheduler.Workers().at(aOrder.mWorker);
    const auto until = mLeases.Deadline(aOrder.mWorker);
    StartCall call{ aOrder.mRun, aOrder.mPayload, aOrder.mCheckpoint,
                    until.value_or(scheduler::WorkerClock()) };
    mScheduler.OnLeaseSent(aOrder.mWorker, Now());
    mCalls.Start(
      mLeases.Target(worker), call,
      mGuard.Wrap([this, aOrder](const OrderReply& aReply) { OnStartReply(aOrder, aReply); }));
  }

  void OnStartReply(const scheduler::StartOrder& aOrder, const OrderReply& aReply)
  {
    if (aReply.mOutcome != scheduler::OrderOutcome::Done) {
      LogEvent("start_refused")
        .With("job", aOrder.mRun.mTask.mJob)
        .With("task", aOrder.mRun.mTask.mIndex)
        .With("run", aOrder.mRun.mRun)
        .With("worker", aOrder.mWorker)
        .With("reason", scheduler::OrderOutcomeName(aReply.mOutcome));
    }
    if (aReply.mOutcome == scheduler::OrderOutcome::Fenced) {
      OnFenced(aOrder.mWorker);
      return;
    }
    mScheduler.OnStartOutcome(aOrder.mWorker, aOrder.mRun, aReply.mOutcome,
                              aReply.mClock.value_or(scheduler::WorkerClock()), Now());
    PlanSoon();
  }

  void SendStop(const scheduler::StopOrder& aOrder)
  {
    const auto& worker = mScheduler.Workers().at(aOrder.mWorker);
    mCalls.Stop(
      mLeases.Target(worker), aOrder.mRun,
      mGuard.Wrap([this, aOrder](const OrderReply& aReply) { OnStopReply(aOrder, aReply); }));
  }

  void OnStopReply(const scheduler::StopOrder& aOrder, const OrderReply& aReply)
  {
    if (aReply.mOutcome == scheduler::OrderOutcome::Fenced) {
      OnFenced(aOrder.mWorker);
      return;
    }
    mScheduler.OnStopOutcome(aOrder.mWorker, aOrder.mRun, aReply.mOutcome,
                             aReply.mClock.value_or(scheduler::WorkerClock()), Now());
    PlanSoon();
  }

  void StoreSoon()
  {
    if (mStoreSoon.IsPending() || mWriter->IsBusy() ||
        !(mScheduler.HasProgress() || mDeleteExpired)) {
      return;
    }
    mStoreSoon =
      mLoop.After(mWriter->IsFailing() ? kStoreRetry : kStoreDelay, [this] { StoreNow(); });
  }

  void StoreNow()
  {
    if (mWriter->IsBusy() || !mElection.IsLeader()) {
      return;
    }
    const auto batch = std::make_shared<scheduler::ProgressBatch>(mScheduler.TakeProgress());
    std::vector<JobId> expired;
    if (std::exchange(mDeleteExpired, false)) {
      expired = mScheduler.ExpiredJobs(Now());
    }
    auto deletes = KeysOf(expired);
    auto writes = WritesOf(*batch, deletes);
    const auto done = [this, batch, expired](bool aIsStored) {
      if (aIsStored) {
        mScheduler.OnStored(*batch);
        mScheduler.Forget(expired);
      } else {
        mScheduler.OnNotStored(*batch);
        mDeleteExpired = !expired.empty();
      }
      for (const auto& it : batch->mSeen) {
        if (aIsStored) {
          mLeases.Renew(it.mWorker);
        }
      }
      StoreSoon();
    };
    mWriter->Begin(std::move(writes), std::move(deletes), done);
  }

  // The batch in the order in which it has to be written; adds the keys of racks that have become
  // empty to those to delete.
  static std::vector<kv::ConditionalWrites::Write>
  WritesOf(const scheduler::ProgressBatch& aBatch, std::vector<std::string>& aDeletes)
  {
    std::vector<kv::ConditionalWrites::Write> writes;
    writes.reserve(aBatch.mWrites.size() + aBatch.mRacks.size());
    for (const auto& it : aBatch.mWrites) {
      writes.push_back({ KeyOf(kProgressPrefix, it.mJob), it.mText, {} });
    }
    for (const auto& it : aBatch.mRacks) {
      auto key = std::string(kRackPrefix) + it.mRack.Value();
      if (it.mWorkers.empty()) {
        aDeletes.push_back(std::move(key));
      } else {
        writes.push_back({ std::move(key), scheduler::WriteRackRecord(it.mWorkers), {} });
      }
    }
    return writes;
  }

  // All keys of the jobs; the progress goes last, so that a job that is still listed is never
  // without it.
  static std::vector<std::string> KeysOf(const std::vector<JobId>& aJobs)
  {
    std::vector<std::string> keys;
    keys.reserve(3 * aJobs.size());
    for (const auto prefix : { kJobPrefix, kCancelPrefix, kProgressPrefix }) {
      for (const auto& job : aJobs) {
        keys.push_back(KeyOf(prefix, job));
      }
    }
    return keys;
  }

  EventLoop& mLoop;
  Store& mStore;
  Calls& mCalls;
  Election<Store>& mElection;
  const ControlSettings& mSettings;
  FencingToken mToken;
  scheduler::Scheduler mScheduler;
  std::map<JobId, std::string> mProgress;
  bool mIsProgressLoaded = false;
  // Unset until the former leader has answered, or can't be waited for any longer.
  std::optional<HandOver> mHandOver;
  // Jobs whose progress the former leader told.
  std::set<JobId> mHandedOver;
  kv::Revision mBatchRevision;
  std::optional<ProgressWriter<Store>> mWriter;
  std::optional<PrefixWatch<Store>> mRequests;
  std::optional<PrefixWatch<Store>> mWorkers;
  WorkerLeases<Calls> mLeases;
  std::vector<WorkerId> mUnlisted;
  bool mDeleteExpired = false;
  Timer mRetry;
  PlanPacer mPacer;
  Timer mPlanSoon;
  Timer mPlanPeriod;
  Timer mStoreSoon;
  Timer mExpiry;
  CallbackGuard mGuard;
};

} // namespace lovagerock::control
