#pragma once

#include "base/BootClock.h"
#include "base/CallbackGuard.h"
#include "base/EventLoop.h"
#include "base/LogEvent.h"
#include "base/WallClock.h"
#include "control/AcceptedJobs.h"
#include "control/CallerLimits.h"
#include "control/ClosedGroupsPublisher.h"
#include "control/Deployment.h"
#include "control/Election.h"
#include "control/FormerLeaders.h"
#include "control/HandOver.h"
#include "control/OrderWindow.h"
#include "control/PlanPacer.h"
#include "control/PrefixReader.h"
#include "control/PrefixWatch.h"
#include "control/ProgressRecorder.h"
#include "control/StoreFreshness.h"
#include "control/WaitMonitor.h"
#include "control/Witnesses.h"
#include "control/WorkerCalls.h"
#include "control/WorkerLeases.h"
#include "control/ZoneEvacuations.h"
#include "scheduler/Scheduler.h"
#include "scheduler/WaitScanner.h"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace lovagerock::control {

// Reads the entries under which a platform's workers register in the store.
template<typename T>
concept WorkerRegistry = requires(const std::string& aKey, const std::string& aValue)
{
  // The prefix of the entries' keys.
  {
    T::Prefix()
    } -> std::convertible_to<std::string>;
  // Returns the worker whose entry has the key.
  {
    T::Worker(aKey)
    } -> std::convertible_to<WorkerId>;
  // Reads the entry; nullopt if the value is malformed.
  {
    T::Read(aKey, aValue)
    } -> std::convertible_to<std::optional<scheduler::WorkerEntry>>;
};

// The number of pending jobs of a queue as the leader knows it.
struct PendingCount
{
  int mJobs = 0;
  // Whether the leader's view is so recent that it lacks no job that was accepted a while ago.
  bool mIsCurrent = false;

  // Whether a node may pass the count on. Only while a node reaches the store, jobs may have been
  // accepted that an outdated count lacks: in an outage of the store none are.
  bool IsUsable(bool aIsStoreReachable) const { return mIsCurrent || !aIsStoreReachable; }
};

// Runs the scheduler while this node is the leader: loads the jobs, watches requests and worker
// entries, renews the workers' leases, sends orders to workers and stores progress. Exists for one
// leadership.
template<kv::PrefixStore Store, WorkerCalls Calls, WorkerRegistry Registry>
class Leader
{
public:
  Leader(EventLoop& aLoop, Store& aStore, Calls& aCalls, Election<Store>& aElection,
         const ControlSettings& aSettings, const Deployment& aDeployment,
         const HandOverSource& aHandOverSource)
    : mLoop(aLoop)
    , mStore(aStore)
    , mCalls(aCalls)
    , mElection(aElection)
    , mSettings(aSettings)
    , mToken(aElection.Token())
    , mNamesRunsSince(aElection.OwnClaim().mNamesRunsSince)
    , mScheduler(aSettings.mScheduler, std::chrono::steady_clock::now())
    , mFormerLeaders(aLoop, aCalls, aHandOverSource, aElection.FormerLeaders(),
                     aElection.Witnesses(),
                     { aElection.Token(), BootTime(), aElection.OwnClaim().mBoundsLeasesSince },
                     MakeLeaseBounds(), MakeFormerLeaderHooks())
    , mWitnesses(aElection.Witnesses().mWitnesses)
    , mRecords(aLoop, aStore, std::string(kRecordPrefix), MakeRecordCallbacks())
    , mJobs(aStore, mScheduler, aSettings, MaxBacklog(aSettings), [this] { SchedulePlan(); })
    , mClosedGroups(aStore, aElection)
    , mOrders(MaxOrders(aSettings))
    , mLeases(aLoop, aCalls, mScheduler, aElection.Token(), aSettings.mScheduler, MakeLeaseHooks())
  {
    OnDeployment(aDeployment);
    FollowEvacuations();
    mFormerLeaders.Start();
    mRecords.Start();
  }

  // Returns the state that the next leader needs and may not find in the store.
  HandOver UnstoredState() const
  {
    if (!IsLoaded()) {
      // What the former leader handed over isn't applied yet.
      return { mToken,
               false,
               mScheduler.EarlierLeases(Now()),
               mHandOver ? mHandOver->mProgress : HandOver().mProgress,
               Duration(0),
               mHandOver ? mHandOver->mRestarted : HandOver().mRestarted };
    }
    return { mToken,
             mScheduler.IsTakeoverSettled(),
             mScheduler.EarlierLeases(Now()),
             mScheduler.UnstoredProgress(),
             Duration(0),
             mScheduler.RestartedWorkers() };
  }

  // Applies a changed configuration.
  void OnDeployment(const Deployment& aDeployment)
  {
    std::map<std::string, scheduler::QueuePolicy> queues;
    for (const auto& it : aDeployment.mQueues) {
      queues[it.mName] = it.mPolicy;
    }
    mScheduler.SetQueues(std::move(queues));
    mScheduler.SetGuarantees(aDeployment.mGuarantees);
    SchedulePlan();
  }

  // The settings that the leader was created with have changed.
  void OnSettings() { FollowEvacuations(); }

  // Whether the jobs are loaded.
  bool IsLoaded() const { return mWorkers.has_value(); }

  // See AcceptedJobs::State().
  std::optional<JobStatus> State(const JobId& aJob) const { return mJobs.State(aJob); }

  // Returns the number of the queue's known jobs of which no task has started.
  PendingCount PendingJobs(const std::string& aQueue)
  {
    const auto age = mRequestsFreshness.Age(BootTime());
    const bool isCurrent = age <= kMaxPendingCountAge;
    if (!isCurrent && !std::exchange(mIsOutdatedLogged, true)) {
      LogEvent("requests_outdated", LogLevel::Warning).With("age_ms", age);
    }
    return { CountPending(aQueue), isCurrent };
  }

  // What this node knows as the leader, for the metrics.
  LeaderStatus Status() const
  {
    LeaderStatus status;
    status.mIsTakeoverSettled = mScheduler.IsTakeoverSettled();
    status.mUnansweredWorkers = mWaits.UnansweredWorkers();
    status.mWaits = mWaits.Counts();
    status.mEvacuatedZones = mEvacuations ? mEvacuations->Zones().size() : 0;
    status.mAreZonesOutdated = mAreZonesOutdated;
    status.mAccounts = mScheduler.Usage().AccountsByLevel();
    status.mSpeeds = mScheduler.Speeds().Counts();
    status.mWasted = mScheduler.Wasted();
    status.mFormerWorkers = mScheduler.FormerWorkerCount();
    status.mEarlyCancellations = mJobs.GetEarlyCancellations().Count();
    const auto& backlog = mJobs.GetBacklog();
    status.mBacklog = { backlog.Used(), backlog.Limit(), backlog.ParkedCount(),
                        mClosedGroups.Published().size() };
    return status;
  }

private:
  // The number of a queue's pending jobs, and when they were counted.
  struct PendingJobsCount
  {
    int mJobs = 0;
    TimePoint mCountedAt;
  };

  // Returns the number of the queue's pending jobs, which callers may ask for in any number, so
  // that all jobs are counted at most once per kPendingCountPeriod for a queue.
  int CountPending(const std::string& aQueue)
  {
    const auto now = std::chrono::steady_clock::now();
    auto& count = mPendingCounts[aQueue];
    if (now - count.mCountedAt >= kPendingCountPeriod) {
      count = { mJobs.CountPending(aQueue), now };
    }
    const int jobs = count.mJobs;
    if (mPendingCounts.size() > kMaxPendingCounts) {
      // Of queues that were removed since.
      mPendingCounts.clear();
    }
    return jobs;
  }

  static scheduler::CurrentTime Now()
  {
    return { std::chrono::steady_clock::now(), WallClockMs() };
  }

  WorkerLeaseHooks MakeLeaseHooks()
  {
    WorkerLeaseHooks hooks;
    hooks.mMayRenew = [this] { return mElection.MayAct(); };
    hooks.mLeaseDuration = [this] { return LeaseDuration(); };
    hooks.mRenewalWait = [this](const WorkerId& aWorker) {
      return !CountsLeasesFromConfirmation() && mWitnesses.IsWitness(aWorker) ? kWitnessWait
                                                                              : kRenewalWait;
    };
    hooks.mOnAnswer = [this](const WorkerId& aWorker, auto aIncarnation, Duration aSent) {
      mWitnesses.OnAnswer(aWorker, aIncarnation, aSent);
      mFormerLeaders.OnAnswer(aWorker, aIncarnation);
    };
    hooks.mOnUpdate = [this] { SchedulePlan(); };
    hooks.mOnFenced = [this](const WorkerId& aWorker) { OnFenced(aWorker); };
    return hooks;
  }

  LeaseBounds MakeLeaseBounds() const
  {
    const auto& settings = mSettings.mScheduler;
    return { settings.mStoreOutageTolerance, mScheduler.MaxLeaseDuration(),
             mScheduler.WithClockDrift(settings.mWitnessedLease) };
  }

  // Whether the store has confirmed the leadership so recently that leases count from that, and
  // witnesses needn't answer. Independent of the time of the leader's own lease: if that is long,
  // it outlasts the workers' leases.
  bool CountsLeasesFromConfirmation() const
  {
    return mElection.ConfirmationAge() < kLeadershipLease - kOrderTime;
  }

  // Returns for how long workers' leases may be renewed now. A successor relies on it: leases end
  // at a fixed time after the last confirmation of the leadership, or shortly after the witnesses
  // have answered the successor.
  Duration LeaseDuration()
  {
    const auto& settings = mSettings.mScheduler;
    const auto age = mElection.ConfirmationAge();
    const auto lease = settings.mLeaseDuration - age;
    if (CountsLeasesFromConfirmation() || lease >= settings.mWitnessedLease) {
      mAreLeasesWitnessed = false;
      return lease;
    }
    const bool haveAnswered = mWitnesses.HaveAnswered(BootTime());
    if (!std::exchange(mAreLeasesWitnessed, true)) {
      LogEvent("leases_witnessed", LogLevel::Warning)
        .With("token", mToken)
        .With("answered", haveAnswered);
    }
    const bool mayExtend = haveAnswered && age < settings.mStoreOutageTolerance;
    return mayExtend ? settings.mWitnessedLease : lease;
  }

  FormerLeaderHooks MakeFormerLeaderHooks()
  {
    FormerLeaderHooks hooks;
    hooks.mOnHandOver = [this](HandOver aHandOver) {
      mHandOver = std::move(aHandOver);
      LoadJobs();
    };
    hooks.mOnUpdate = [this] {
      mScheduler.OnHandedOver(mFormerLeaders.EarlierLeasesLast(), false, Now());
      SchedulePlan();
    };
    hooks.mOnRestarted = [this](const auto& aWorkers) {
      mScheduler.OnRestartsHandedOver(aWorkers);
    };
    hooks.mOnFenced = [this](const WorkerId& aWorker) { OnFenced(aWorker); };
    return hooks;
  }

  ReaderCallbacks MakeRecordCallbacks()
  {
    ReaderCallbacks callbacks;
    callbacks.mOnItems = [this](auto aItems, kv::Revision) { OnRecords(std::move(aItems)); };
    callbacks.mOnEnd = [this] {
      mAreRecordsLoaded = true;
      LoadJobs();
    };
    callbacks.mOnOutage = [this] { OnListOutage(); };
    return callbacks;
  }

  void OnRecords(std::vector<kv::Item> aItems)
  {
    for (auto& it : aItems) {
      if (it.mKey == kBatchKey) {
        mBatchRevision = it.mRevision;
      } else if (it.mKey == kSettledKey) {
        OnSettledRecord(it);
      } else if (it.mKey == kSpeedsKey) {
        OnSpeedRecord(it);
      } else if (const auto job = JobOfKey(kProgressPrefix, it.mKey)) {
        mJobs.AddProgress(*job, std::move(it.mValue));
      } else if (it.mKey.starts_with(kRackPrefix)) {
        OnRackRecord(it);
      }
    }
  }

  // The store has answered no listing for a while. If it confirms the leadership all the same,
  // another node may have a better way to it; if it doesn't, no other node is better off.
  void OnListOutage()
  {
    if (mElection.IsConfirmed()) {
      mElection.StandBack("listing_failed");
    }
  }

  // Proceeds once the stored progress is loaded and the hand-over request is answered.
  void LoadJobs()
  {
    if (!mAreRecordsLoaded || !mHandOver) {
      return;
    }
    mRecorder.emplace(mLoop, mStore, mScheduler, mElection.Condition(), mBatchRevision,
                      MakeRecorderHooks());
    mJobs.AddHandedOver(mHandOver->mProgress);
    mJobs.OnProgressLoaded(NamesProgressAllRuns());
    mScheduler.OnRestartsHandedOver(mHandOver->mRestarted);
    if (mHandOver->mToken.Value() != 0) {
      LogEvent("progress_handed_over")
        .With("from_token", mHandOver->mToken)
        .With("complete", mHandOver->mIsComplete)
        .With("jobs", mHandOver->mProgress.size())
        .With("restarted_workers", mHandOver->mRestarted.size());
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

  void OnSettledRecord(const kv::Item& aItem)
  {
    const auto json = ParseJson(aItem.mValue);
    const auto token = json ? JsonValue(*json, "token", std::int64_t{ 0 }) : 0;
    if (token <= 0) {
      LogEvent("settled_record_malformed", LogLevel::Error).With("key", aItem.mKey);
      return;
    }
    mSettled = FencingToken(token);
    mFormerLeaders.OnSettled(mSettled);
  }

  void OnSpeedRecord(const kv::Item& aItem)
  {
    const auto now = Now();
    if (!mScheduler.Speeds().ReadRecord(aItem.mValue, now.mSteady, now.mWallMs)) {
      LogEvent("speed_record_malformed", LogLevel::Error).With("key", aItem.mKey);
    }
  }

  // Whether the stored progress names all runs that may be in progress. All leaderships since
  // mNamesRunsSince have stored the progress before they ordered a run; what earlier ones ordered
  // is known since one of these had settled its takeover.
  bool NamesStoredProgressAllRuns() const
  {
    return mNamesRunsSince.Value() > 0 && mSettled >= mNamesRunsSince;
  }

  void WatchRequests()
  {
    WatchCallbacks callbacks;
    callbacks.mOnListed = [this](const auto& aItems) { mJobs.OnItems(aItems); };
    callbacks.mOnList = [this](const auto&) { OnRequestsListed(); };
    callbacks.mOnEvent = [this](const auto& aEvent) {
      if (aEvent.mValue) {
        mJobs.OnWritten(aEvent.mKey, *aEvent.mValue);
        SchedulePlan();
      }
    };
    callbacks.mOnConfirmed = [this](Duration aConfirmed) {
      mRequestsFreshness.OnAnswer(aConfirmed, BootTime());
      mIsOutdatedLogged = false;
    };
    callbacks.mOnListOutage = [this] { OnListOutage(); };
    mRequests.emplace(mLoop, mStore, std::string(kRequestPrefix), std::move(callbacks));
  }

  void OnRequestsListed()
  {
    mJobs.OnListEnd();
    if (!IsLoaded()) {
      const bool namesAllRuns = NamesProgressAllRuns();
      mScheduler.OnHandedOver(mFormerLeaders.EarlierLeasesLast(), namesAllRuns, Now());
      LogEvent("jobs_loaded")
        .With("jobs", mScheduler.JobCount())
        .With("parked", mJobs.GetBacklog().ParkedCount())
        .With("unreported_runs", mScheduler.UnreportedRuns(Now()))
        .With("names_all_runs", namesAllRuns)
        .With("earlier_leases_ms", mFormerLeaders.EarlierLeasesLast())
        .With("token", mToken);
      RenewRecordedLeases();
      WatchWorkers();
      mPeriodicPlanTimer = mLoop.Every(kPlanPeriod, [this] { SchedulePlan(); });
      mBacklogTimer = mLoop.Every(kBacklogPeriod, [this] { UpdateBacklog(); });
      mExpiryTimer = mLoop.Every(kExpiryPeriod, [this] { mDeleteExpired = true; });
      mFormerLeaders.KeepAsking([this] { return mScheduler.EarlierLeases(Now()) > Duration(0); });
    }
    SchedulePlan();
  }

  // Whether the loaded progress names all runs that may be in progress.
  bool NamesProgressAllRuns() const
  {
    return mHandOver->mIsComplete || NamesStoredProgressAllRuns();
  }

  // Keeps the memory of jobs within its limit, and tells other nodes whose jobs to refuse.
  void UpdateBacklog()
  {
    mJobs.UpdateBacklog();
    mClosedGroups.Update(mJobs.GetBacklog());
  }

  // Renews the leases of the recorded workers. A worker whose entry expired during an outage may
  // have work that only its own report names.
  void RenewRecordedLeases()
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
        mScheduler.OnWorkerUnregistered(it);
      }
      for (const auto& [key, item] : aItems) {
        OnWorkerItem(key, item.mValue);
      }
      SchedulePlan();
    };
    callbacks.mOnEvent = [this](const auto& aEvent) {
      if (aEvent.mValue) {
        OnWorkerItem(aEvent.mKey, *aEvent.mValue);
      } else {
        mScheduler.OnWorkerUnregistered(Registry::Worker(aEvent.mKey));
        LogEvent("worker_unlisted").With("worker", Registry::Worker(aEvent.mKey));
      }
      SchedulePlan();
    };
    callbacks.mOnListOutage = [this] { OnListOutage(); };
    mWorkers.emplace(mLoop, mStore, Registry::Prefix(), std::move(callbacks), kWorkerWatchPause);
  }

  void OnWorkerItem(const std::string& aKey, const std::string& aValue)
  {
    const auto entry = Registry::Read(aKey, aValue);
    if (!entry) {
      // Written by another program, so the worker's known state is left unchanged.
      LogEvent("worker_entry_unreadable", LogLevel::Warning).With("key", aKey);
      return;
    }
    const auto known = mScheduler.Workers().find(entry->mId);
    const bool wasDraining = known != mScheduler.Workers().end() && known->second.mEntry.mDraining;
    if (entry->mDraining && !wasDraining) {
      LogEvent("worker_draining")
        .With("worker", entry->mId)
        .With("remaining_ms", entry->mRemainingTime);
    }
    mScheduler.OnWorkerEntry(*entry, Now());
    mLeases.Renew(entry->mId);
  }

  // Follows the evacuated zones as the settings say.
  void FollowEvacuations()
  {
    if (mSettings.mEvacuations == mFollowedEvacuations) {
      return;
    }
    mFollowedEvacuations = mSettings.mEvacuations;
    mEvacuations.reset();
    if (!mSettings.mEvacuations) {
      OnEvacuatedZones({});
    } else {
      mEvacuations.emplace(mLoop, mStore, *mSettings.mEvacuations,
                           [this](const auto& aZones) { OnEvacuatedZones(aZones); });
    }
  }

  void OnEvacuatedZones(const std::set<ZoneId>& aZones)
  {
    for (const auto& it : aZones) {
      const bool isUnknown = !mSettings.mZones.empty() && !mSettings.mZones.contains(it);
      if (isUnknown && mUnknownZones.insert(it).second) {
        LogEvent("evacuated_zone_unknown", LogLevel::Warning).With("zone", it);
      }
    }
    mScheduler.SetEvacuatedZones(aZones);
    SchedulePlan();
  }

  // Whether runs may be started: the store has confirmed the leadership, else another leader may
  // start the same tasks, and the evacuated zones are known well enough.
  bool MayStart() { return mElection.IsConfirmed() && CheckZonesCurrent(); }

  // Returns whether the view of the evacuated zones is recent enough, and logs once if it isn't.
  bool CheckZonesCurrent()
  {
    const bool isOutdated =
      mEvacuations && !mEvacuations->IsCurrent(mSettings.mEvacuations->mLimit);
    if (isOutdated && !mAreZonesOutdated) {
      LogEvent("evacuations_outdated", LogLevel::Warning)
        .With("age_ms", mEvacuations->Age())
        .With("limit_ms", mSettings.mEvacuations->mLimit);
    }
    mAreZonesOutdated = isOutdated;
    return !isOutdated;
  }

  void OnFenced(const WorkerId& aWorker)
  {
    LogEvent("fenced", LogLevel::Warning).With("worker", aWorker).With("token", mToken);
    mElection.Resign("fenced");
  }

  void SchedulePlan()
  {
    if (IsLoaded() && !mPlanTimer.IsPending()) {
      mPlanTimer =
        mLoop.After(mPacer.Delay(std::chrono::steady_clock::now()), [this] { OnPlanTimer(); });
    }
  }

  void OnPlanTimer()
  {
    Plan();
    ReportWaits();
  }

  // Reports what still waits after a plan, once per WaitMonitor::kPeriod.
  void ReportWaits()
  {
    const LeaderCondition condition{ mElection.MayAct(), mElection.IsConfirmed(),
                                     mScheduler.IsTakeoverSettled(), CheckZonesCurrent() };
    const auto now = Now();
    if (mWaits.OnPlan(condition, now.mSteady)) {
      mWaits.OnReport(mWaitScanner.Scan(now, condition.MayStart(), mRecorder->HeldRuns()),
                      now.mSteady);
    }
  }

  void Plan()
  {
    if (!mElection.MayAct()) {
      return;
    }
    const auto begin = std::chrono::steady_clock::now();
    const auto orders = mScheduler.Plan(Now(), MayStart());
    const auto end = std::chrono::steady_clock::now();
    mPacer.OnPlanned(end, std::chrono::ceil<Duration>(end - begin));
    // Stops are sent first, because other work waits for the capacity that they free.
    for (const auto& it : orders.mStops) {
      mOrders.AddStop([this, it] { return SendStop(it); });
    }
    std::vector<scheduler::StartOrder> unnamed;
    for (const auto& it : orders.mStarts) {
      if (it.mIsRepeated) {
        mOrders.AddStart([this, it] {
          const bool isDue = mScheduler.IsRepeatedStartDue(it.mWorker, it.mRun);
          return isDue && SendStart(it);
        });
      } else {
        unnamed.push_back(it);
      }
    }
    mRecorder->HoldStarts(std::move(unnamed));
    SendStoredStarts();
    mRecorder->Schedule();
  }

  // Sends the start orders whose runs are named by stored progress.
  void SendStoredStarts()
  {
    if (!MayStart()) {
      return;
    }
    auto orders = mRecorder->TakeNamedStarts();
    const auto held = orders.size();
    // Twice: one member of a gang that can't be started any more keeps back those before it.
    for (int i = 0; i < 2; ++i) {
      std::erase_if(orders, [this](const auto& aIt) {
        return !mScheduler.ReleaseStart(aIt.mWorker, aIt.mRun, Now());
      });
    }
    for (const auto& it : orders) {
      mOrders.AddStart([this, it] { return SendReleasedStart(it); });
    }
    if (orders.size() < held) {
      SchedulePlan();
    }
  }

  // Sends a start order that may have waited for others since it was released.
  bool SendReleasedStart(const scheduler::StartOrder& aOrder)
  {
    if (!MayStart()) {
      mRecorder->ReturnStart(aOrder);
      return false;
    }
    if (!mScheduler.ReleaseStart(aOrder.mWorker, aOrder.mRun, Now())) {
      SchedulePlan();
      return false;
    }
    return SendStart(aOrder);
  }

  // Returns for how long the start of a run may be held up on its way: no longer than until the
  // worker's zone may have to be empty.
  Duration LongestStart() const
  {
    return mEvacuations ? mSettings.mEvacuations->mLimit - mEvacuations->Age() - kOrderTime
                        : Duration::max();
  }

  bool SendStart(const scheduler::StartOrder& aOrder)
  {
    const auto& worker = mScheduler.Workers().at(aOrder.mWorker);
    const auto deadline = mLeases.Deadline(aOrder.mWorker, LongestStart());
    StartCall call{ aOrder.mRun, aOrder.mPayload, aOrder.mCheckpoint,
                    deadline.value_or(scheduler::WorkerClock()) };
    mScheduler.OnLeaseSent(aOrder.mWorker, Now());
    const auto target = mLeases.Target(worker);
    mCalls.Start(target, call,
                 mGuard.Wrap([this, aOrder, token = target.mToken](const OrderReply& aReply) {
                   OnStartReply(aOrder, token, aReply);
                 }));
    return true;
  }

  // Whether the worker refused a call because of a token that this leader has sent itself since.
  bool IsFencedByItself(const WorkerId& aWorker, FencingToken aSent) const
  {
    return aSent < mLeases.HighestToken(aWorker);
  }

  void OnStartReply(const scheduler::StartOrder& aOrder, FencingToken aSent, OrderReply aReply)
  {
    mOrders.OnEnded();
    if (aReply.mOutcome == scheduler::OrderOutcome::Fenced &&
        IsFencedByItself(aOrder.mWorker, aSent)) {
      aReply.mOutcome = scheduler::OrderOutcome::TooLate;
    }
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
    SchedulePlan();
  }

  // Returns false if the worker has gone while the order waited for others.
  bool SendStop(const scheduler::StopOrder& aOrder)
  {
    const auto worker = mScheduler.Workers().find(aOrder.mWorker);
    if (worker == mScheduler.Workers().end()) {
      return false;
    }
    const auto target = mLeases.Target(worker->second);
    mCalls.Stop(target, aOrder.mRun,
                mGuard.Wrap([this, aOrder, token = target.mToken](const OrderReply& aReply) {
                  OnStopReply(aOrder, token, aReply);
                }));
    return true;
  }

  void OnStopReply(const scheduler::StopOrder& aOrder, FencingToken aSent, const OrderReply& aReply)
  {
    mOrders.OnEnded();
    if (aReply.mOutcome == scheduler::OrderOutcome::Fenced &&
        !IsFencedByItself(aOrder.mWorker, aSent)) {
      OnFenced(aOrder.mWorker);
      return;
    }
    mScheduler.OnStopOutcome(aOrder.mWorker, aOrder.mRun, aReply.mOutcome,
                             aReply.mClock.value_or(scheduler::WorkerClock()), Now());
    SchedulePlan();
  }

  ProgressRecorderHooks MakeRecorderHooks()
  {
    ProgressRecorderHooks hooks;
    hooks.mIsLeader = [this] { return mElection.IsLeader(); };
    hooks.mAreFurtherDue = [this] { return AreFurtherRecordsDue(); };
    hooks.mTakeFurther = [this] { return TakeFurtherRecords(); };
    hooks.mOnStartsNamed = [this] { SendStoredStarts(); };
    hooks.mOnBatchStored = [this](const auto& aBatch, auto aToken) {
      OnBatchStored(aBatch, aToken);
    };
    return hooks;
  }

  bool AreFurtherRecordsDue() const
  {
    return mDeleteExpired || IsSettledRecordDue() || mScheduler.Speeds().IsRecordDue() ||
           mWitnesses.Change(mScheduler.Workers());
  }

  // Whether the store has to be told that nothing of what earlier leaders ordered is unknown, and
  // that leases which they have renewed don't matter any more.
  bool IsSettledRecordDue() const
  {
    return mSettled < mToken && mScheduler.IsTakeoverSettled() &&
           mScheduler.EarlierLeases(Now()) == Duration(0);
  }

  // Returns the records of this leader that are stored after the progress, which names what it has
  // learned.
  FurtherRecords TakeFurtherRecords()
  {
    FurtherRecords records;
    std::vector<JobId> expiredJobs;
    std::vector<std::string> expiredCancellations;
    if (std::exchange(mDeleteExpired, false)) {
      expiredJobs = mScheduler.ExpiredJobs(Now());
      expiredCancellations = mJobs.GetEarlyCancellations().Expired(WallClockMs());
      records.mDeletes = KeysOf(expiredJobs);
      records.mDeletes.insert(records.mDeletes.end(), expiredCancellations.begin(),
                              expiredCancellations.end());
    }
    const bool isSettled = IsSettledRecordDue();
    if (isSettled) {
      records.mWrites.push_back(
        { std::string(kSettledKey), DumpJson({ { "token", mToken.Value() } }), {} });
    }
    const auto witnesses = mWitnesses.Change(mScheduler.Workers());
    if (witnesses) {
      records.mWrites.push_back({ std::string(kWitnessKey), WriteWitnesses(*witnesses), {} });
      mWitnesses.OnStoring(*witnesses);
    }
    const bool hasSpeeds = mScheduler.Speeds().IsRecordDue();
    if (hasSpeeds) {
      const auto now = Now();
      records.mWrites.push_back(
        { std::string(kSpeedsKey), mScheduler.Speeds().TakeRecord(now.mSteady, now.mWallMs), {} });
    }
    records.mOnDone = [this, expiredJobs, expiredCancellations, isSettled, hasSpeeds,
                       hasWitnesses = witnesses.has_value()](bool aIsStored) {
      if (hasWitnesses) {
        mWitnesses.OnStored(aIsStored);
      }
      if (aIsStored) {
        mSettled = isSettled ? mToken : mSettled;
        mScheduler.RemoveJobs(expiredJobs);
        mJobs.GetEarlyCancellations().RemoveExpired(expiredCancellations, WallClockMs());
        return;
      }
      mDeleteExpired = mDeleteExpired || !expiredJobs.empty();
      if (hasSpeeds) {
        mScheduler.Speeds().OnRecordNotStored();
      }
    };
    return records;
  }

  void OnBatchStored(const scheduler::ProgressBatch& aBatch, FencingToken aToken)
  {
    mLeases.OnTokenObtained(aToken);
    for (const auto& it : aBatch.mRestarted) {
      mLeases.RaiseToken(it, aToken);
    }
    for (const auto& it : aBatch.mProcessedEnds) {
      mLeases.Renew(it.mWorker);
    }
  }

  EventLoop& mLoop;
  Store& mStore;
  Calls& mCalls;
  Election<Store>& mElection;
  const ControlSettings& mSettings;
  FencingToken mToken;
  // See ClaimRecord::mNamesRunsSince.
  FencingToken mNamesRunsSince;
  // The latest leadership of which the store says that its takeover was settled, see
  // IsSettledRecordDue().
  FencingToken mSettled;
  scheduler::Scheduler mScheduler;
  scheduler::WaitScanner mWaitScanner{ mScheduler };
  WaitMonitor mWaits;
  FormerLeaders<Calls> mFormerLeaders;
  LeaderWitnesses mWitnesses;
  // Whether leases depend on the witnesses, because the store hasn't confirmed the leadership.
  bool mAreLeasesWitnessed = false;
  // Reads the records of former leaders: progress, racks and the batch key.
  PrefixReader<Store> mRecords;
  bool mAreRecordsLoaded = false;
  // Unset until the hand-over request is answered or has timed out.
  std::optional<HandOver> mHandOver;
  AcceptedJobs<Store> mJobs;
  ClosedGroupsPublisher<Store> mClosedGroups;
  OrderWindow mOrders;
  kv::Revision mBatchRevision;
  // Unset until the jobs are loaded.
  std::optional<ProgressRecorder<Store>> mRecorder;
  std::optional<PrefixWatch<Store>> mRequests;
  // How recent this leader's view of the accepted and cancelled jobs is.
  StoreFreshness mRequestsFreshness;
  // By queue.
  std::map<std::string, PendingJobsCount> mPendingCounts;
  // Whether it was logged that the view is outdated, since it was last confirmed.
  bool mIsOutdatedLogged = false;
  std::optional<PrefixWatch<Store>> mWorkers;
  // Unset if zones can't be evacuated.
  std::optional<ZoneEvacuations<Store>> mEvacuations;
  // The settings that mEvacuations was created with.
  std::optional<EvacuationSettings> mFollowedEvacuations;
  // Whether nothing is started because the evacuated zones were confirmed too long ago.
  bool mAreZonesOutdated = false;
  // The evacuated zones of which it was logged that they are unknown.
  std::set<ZoneId> mUnknownZones;
  WorkerLeases<Calls> mLeases;
  std::vector<WorkerId> mUnlisted;
  bool mDeleteExpired = false;
  PlanPacer mPacer;
  Timer mPlanTimer;
  Timer mPeriodicPlanTimer;
  Timer mExpiryTimer;
  Timer mBacklogTimer;
  CallbackGuard mGuard;
};

} // namespace lovagerock::control
