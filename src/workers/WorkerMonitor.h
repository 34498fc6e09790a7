#pragma once

#include "base/EventLoop.h"
#include "base/LogEvent.h"
#include "base/Mailbox.h"
#include "base/Random.h"
#include "workers/WatchSharing.h"
#include "workers/WorkerApi.h"
#include "workers/WorkerView.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <system_error>
#include <utility>
#include <vector>

namespace lovagerock::workers {

// Delays, timeouts and limits of the polls.
struct MonitorSettings
{
  // Time a worker holds a poll while its state is unchanged. An error after this time means
  // that the poll timed out, and makes the worker suspected at once.
  Duration mPollWait{ 2000 };
  // Delay between an answer and the next poll, so that one poll covers a burst of changes.
  Duration mPollDelay{ 20 };
  // Delay after the first failed poll, which doubles with each further one up to the maximum.
  Duration mFirstRetryDelay{ 200 };
  Duration mMaxRetryDelay{ 2000 };
  // Failed polls in a row that make a worker suspected.
  int mFailureLimit = 2;
  // Polls in a row that report neither a change nor a version, after which the whole state is read
  // again. A worker that restarted between two polls has a low sequence and would otherwise seem
  // unchanged.
  int mUnchangedLimit = 5;
  // Wait of the first poll after another node stopped relaying the state. Shorter than mPollWait,
  // because part of the time for detecting an unresponsive worker has passed then. A responsive
  // worker answers this poll at once.
  Duration mResumePollWait{ 600 };
  // Time a node keeps polling a worker after another node became its owner, because the nodes
  // need not learn of a change of members at the same time.
  Duration mHandoverOverlap{ 3000 };
  // Other nodes may rely on this node's polls if none was started longer ago than this. Must exceed
  // mPollWait plus kPollMargin, the time after which a poll times out.
  Duration mMaxPollAge{ 3000 };
};

// Long-polls the workers and sends a WorkerChange to the listener for each change of a worker's
// view. With sharing, this node does not poll a worker while another node relays its state. Must be
// used on its event loop. The API must not run callbacks after its own destruction.
template<WorkerApi Api>
class WorkerMonitor
{
public:
  using Listener = Mailbox<WorkerChange>::Address;

  WorkerMonitor(EventLoop& aLoop, Api& aApi, Random& aRandom, Listener aListener,
                const MonitorSettings& aSettings = {})
    : mLoop(&aLoop)
    , mApi(&aApi)
    , mRandom(&aRandom)
    , mListener(std::move(aListener))
    , mSettings(aSettings)
  {
  }

  // Starts to share the polling of workers with other nodes.
  void Share(WatchSharing aSharing)
  {
    mSharing = std::move(aSharing);
    UpdateOwners();
  }

  // Updates which workers this node owns. Must be called after the owners have changed.
  void UpdateOwners()
  {
    for (const auto& [address, entry] : mEntries) {
      if (const bool owned = Owns(address); owned != entry->mOwned) {
        entry->mOwned = owned;
        entry->mOwnerChanged = std::chrono::steady_clock::now();
        ResumePolls(entry);
        Publish(*entry);
      }
    }
  }

  // Sets whether to poll all workers, even those that another node relays, as the planner does.
  void SetPollAll(bool aPollAll)
  {
    if (std::exchange(mPollAll, aPollAll) == aPollAll) {
      return;
    }
    for (const auto& [address, entry] : mEntries) {
      if (aPollAll) {
        ResumePolls(entry);
      }
    }
  }

  bool PollsAll() const { return mPollAll; }

  // Returns whether each worker is suspected or its view comes from this node's own polls.
  bool AllPolled() const
  {
    return std::all_of(mEntries.begin(), mEntries.end(), [](const auto& aItem) {
      return aItem.second->mHasPolledState || aItem.second->mView.mSuspected;
    });
  }

  // Returns whether the polls of the owned workers are recent enough for other nodes to rely on.
  bool ArePollsCurrent() const
  {
    const auto limit = std::chrono::steady_clock::now() - mSettings.mMaxPollAge;
    return std::all_of(mEntries.begin(), mEntries.end(), [limit](const auto& aItem) {
      const auto& entry = *aItem.second;
      return !entry.mOwned || entry.mView.mSuspected || entry.mPollStarted > limit;
    });
  }

  // Reads the state of each worker in addition to the open polls, and calls aDone when all have
  // answered or failed. For use after a pause of this process: the views are out of date then, and
  // so may be the answers to polls that began before it.
  void Recheck(std::function<void()> aDone)
  {
    const auto pending = std::make_shared<std::size_t>(mEntries.size());
    if (*pending == 0) {
      aDone();
      return;
    }
    for (const auto& [address, entry] : mEntries) {
      mApi->Poll(address, 0, Duration(0),
                 [this, pending, aDone, weak = std::weak_ptr<Entry>(entry)](std::error_code aError,
                                                                            PollAnswer aAnswer) {
                   if (const auto checked = weak.lock()) {
                     OnRecheckAnswer(checked, aError, std::move(aAnswer));
                   }
                   if (--*pending == 0) {
                     aDone();
                   }
                 });
    }
  }

  // Applies a change that a watcher relayed, unless this node polls the worker or relies on another
  // watcher.
  void OnRelayed(const NodeId& aWatcher, const RelayedChange& aChange)
  {
    const auto it = mEntries.find(aChange.mAddress);
    if (it == mEntries.end() || it->second->mWatcher != aWatcher) {
      return;
    }
    const auto entry = it->second;
    const auto before = entry->mView.Health();
    if (aChange.mState) {
      entry->mView.mLastHeard = std::chrono::steady_clock::now();
      OnState(entry, before, aChange.mState);
      return;
    }
    // The watcher's suspicion applies at once. This node's own poll may then find that only the
    // watcher can't reach the worker.
    entry->mView.mSuspected = aChange.mSuspected;
    ReportHealth(entry, before, "relayed");
    ResumePolls(entry);
  }

  // Resumes the polls of the workers whose states the watcher relayed.
  void OnWatcherInvalidated(const NodeId& aWatcher)
  {
    for (const auto& [address, entry] : mEntries) {
      if (entry->mWatcher == aWatcher) {
        ResumePolls(entry);
      }
    }
  }

  // Sets the workers of the VM list. An unlisted worker is watched until its polls fail, because
  // the list lags and may be wrong.
  void SetWorkers(const std::vector<ListedWorker>& aWorkers)
  {
    for (auto& [address, entry] : mEntries) {
      entry->mListed = false;
    }
    for (const auto& it : aWorkers) {
      AddOrUpdate(it);
    }
    std::vector<EntryPtr> unlisted;
    for (const auto& [address, entry] : mEntries) {
      if (!entry->mListed && entry->mView.mSuspected) {
        unlisted.push_back(entry);
      }
    }
    for (const auto& it : unlisted) {
      Remove(it);
    }
  }

  // Returns the view of a worker, or null if it isn't watched. The pointer is valid until control
  // returns to the event loop.
  const WorkerView* Find(const SocketAddress& aAddress) const
  {
    const auto it = mEntries.find(aAddress);
    return it == mEntries.end() ? nullptr : &it->second->mView;
  }

  // Returns all views, ordered by address.
  std::vector<WorkerView> Views() const
  {
    std::vector<WorkerView> views;
    views.reserve(mEntries.size());
    for (const auto& [address, entry] : mEntries) {
      views.push_back(entry->mView);
    }
    return views;
  }

  // Returns whether there are workers and a state of each has been received. Takes constant time,
  // because it is called on every change.
  bool HaveAllStates() const
  {
    return mEntriesWithState > 0 && mEntriesWithState == mEntries.size();
  }
  // Number of workers that this node has a view of, polled or relayed.
  std::size_t Watched() const { return mEntries.size(); }
  // Number of workers that this node polls for all nodes of the region.
  std::size_t Owned() const
  {
    return CountIf([](const Entry& aEntry) { return aEntry.mOwned; });
  }
  // Number of workers that this node doesn't poll because another node relays their state.
  std::size_t Relayed() const
  {
    return CountIf([](const Entry& aEntry) { return !aEntry.mWatcher.IsEmpty(); });
  }

private:
  struct Entry
  {
    WorkerView mView;
    std::uint64_t mSince = 0;
    TimePoint mPollStarted;
    // The longest time that the worker may hold the latest poll.
    Duration mPollWait{ 0 };
    // This node polls the worker for all nodes of the region.
    bool mOwned = true;
    // When mOwned last changed.
    TimePoint mOwnerChanged;
    // A poll of this node has returned a state since it last relied on a relayed one.
    bool mHasPolledState = false;
    // The node that relays the state; empty while this node polls the worker itself.
    NodeId mWatcher;
    int mFailures = 0;
    int mUnchangedPolls = 0;
    bool mListed = true;
    Timer mNextPollTimer;
  };
  using EntryPtr = std::shared_ptr<Entry>;

  void AddOrUpdate(const ListedWorker& aWorker)
  {
    auto& entry = mEntries[aWorker.mAddress];
    if (!entry) {
      entry = std::make_shared<Entry>();
      entry->mView.mAddress = aWorker.mAddress;
      entry->mView.mListedLeaving = aWorker.mLeaving;
      entry->mOwned = Owns(aWorker.mAddress);
      StartPoll(entry, mSettings.mPollWait);
      return;
    }
    entry->mListed = true;
    const auto before = entry->mView.Health();
    entry->mView.mListedLeaving = aWorker.mLeaving;
    ReportHealth(entry, before, "vm_list");
  }

  void Remove(EntryPtr aEntry)
  {
    mEntriesWithState -= aEntry->mView.mState ? 1 : 0;
    aEntry->mOwned = false;
    Publish(*aEntry);
    mEntries.erase(aEntry->mView.mAddress);
    LogEvent("worker_unwatched").With("address", aEntry->mView.mAddress.ToString());
    mListener.Send({ WorkerChange::Kind::Removed, aEntry->mView });
  }

  template<typename Predicate>
  std::size_t CountIf(Predicate aPredicate) const
  {
    return static_cast<std::size_t>(
      std::count_if(mEntries.begin(), mEntries.end(),
                    [&](const auto& aItem) { return aPredicate(*aItem.second); }));
  }

  bool Owns(const SocketAddress& aAddress) const
  {
    return !mSharing.mOwns || mSharing.mOwns(aAddress);
  }

  void Publish(const Entry& aEntry) const
  {
    if (mSharing.mPublish) {
      const bool suspected = aEntry.mView.mSuspected;
      mSharing.mPublish(
        { aEntry.mView.mAddress,
          aEntry.mOwned && aEntry.mHasPolledState && !suspected ? aEntry.mView.mState : nullptr,
          suspected });
    }
  }

  // Stops polling a worker if another node relays its state. Returns whether it stopped.
  bool StopIfRelayed(const EntryPtr& aEntry)
  {
    const auto now = std::chrono::steady_clock::now();
    if (mPollAll || aEntry->mOwned || !mSharing.mFind || !aEntry->mHasPolledState ||
        now - aEntry->mOwnerChanged < mSettings.mHandoverOverlap) {
      return false;
    }
    const auto relayed = mSharing.mFind(aEntry->mView.mAddress);
    // If the incarnations differ, only a poll can tell which is the later one.
    if (!relayed.mState || relayed.mState->mIncarnation != aEntry->mView.mState->mIncarnation) {
      return false;
    }
    aEntry->mHasPolledState = false;
    aEntry->mWatcher = relayed.mWatcher;
    OnRelayed(relayed.mWatcher, { aEntry->mView.mAddress, relayed.mState, false });
    return true;
  }

  // Polls a worker again if another node relayed its state until now. Reads the whole state,
  // because a relayed one may have been missed.
  void ResumePolls(const EntryPtr& aEntry)
  {
    if (aEntry->mWatcher.IsEmpty()) {
      return;
    }
    aEntry->mWatcher = NodeId();
    aEntry->mSince = 0;
    StartPoll(aEntry, mSettings.mResumePollWait);
  }

  void StartPoll(const EntryPtr& aEntry, Duration aWait)
  {
    aEntry->mPollStarted = std::chrono::steady_clock::now();
    aEntry->mPollWait = aWait;
    mApi->Poll(
      aEntry->mView.mAddress, aEntry->mSince, aWait,
      [this, weak = std::weak_ptr<Entry>(aEntry)](std::error_code aError, PollAnswer aAnswer) {
        // The monitor owns the entries, so a live entry means a live monitor.
        if (const auto entry = weak.lock()) {
          OnPolled(entry, aError, std::move(aAnswer));
        }
      });
  }

  void SchedulePoll(const EntryPtr& aEntry, Duration aDelay)
  {
    aEntry->mNextPollTimer = mLoop->After(aDelay, [this, weak = std::weak_ptr<Entry>(aEntry)] {
      if (const auto entry = weak.lock()) {
        StartPoll(entry, mSettings.mPollWait);
      }
    });
  }

  void OnPolled(const EntryPtr& aEntry, std::error_code aError, PollAnswer aAnswer)
  {
    if (aError) {
      OnPollFailed(aEntry, aError);
      return;
    }
    const auto before = aEntry->mView.Health();
    aEntry->mFailures = 0;
    aEntry->mView.mSuspected = false;
    aEntry->mView.mLastHeard = std::chrono::steady_clock::now();
    if (!aAnswer.mState) {
      CheckVersion(*aEntry, aAnswer.mVersion);
      ReportHealth(aEntry, before, "answered");
    } else {
      aEntry->mUnchangedPolls = 0;
      aEntry->mSince = aAnswer.mState->mSequence;
      aEntry->mHasPolledState = true;
      OnState(aEntry, before, std::make_shared<const WorkerState>(std::move(*aAnswer.mState)));
    }
    Publish(*aEntry);
    if (!StopIfRelayed(aEntry)) {
      SchedulePoll(aEntry, mSettings.mPollDelay);
    }
  }

  void OnRecheckAnswer(const EntryPtr& aEntry, std::error_code aError, PollAnswer aAnswer)
  {
    const auto before = aEntry->mView.Health();
    if (aError || !aAnswer.mState) {
      // Suspected until its next poll is answered.
      aEntry->mView.mSuspected = true;
      ReportHealth(aEntry, before, "recheck_failed");
      ResumePolls(aEntry);
    } else {
      aEntry->mView.mSuspected = false;
      aEntry->mView.mLastHeard = std::chrono::steady_clock::now();
      OnState(aEntry, before, std::make_shared<const WorkerState>(std::move(*aAnswer.mState)));
    }
    Publish(*aEntry);
  }

  // Handles a poll that reported no change. Makes the next poll read the whole state if the version
  // differs from the known one, or if mUnchangedLimit polls in a row reported no version.
  void CheckVersion(Entry& aEntry, const std::optional<StateVersion>& aVersion)
  {
    const auto& state = aEntry.mView.mState;
    const bool known = aVersion && state && state->Version() == *aVersion;
    aEntry.mUnchangedPolls = known ? 0 : aEntry.mUnchangedPolls + 1;
    if (!known && (aVersion || aEntry.mUnchangedPolls >= mSettings.mUnchangedLimit)) {
      aEntry.mSince = 0;
    }
  }

  void
  OnState(const EntryPtr& aEntry, WorkerHealth aBefore, std::shared_ptr<const WorkerState> aState)
  {
    const auto& old = aEntry->mView.mState;
    const bool restarted = !old || old->mIncarnation != aState->mIncarnation;
    if (!restarted && old->mSequence >= aState->mSequence) {
      // The whole state was read again, for instance after a failed poll, and has not changed.
      ReportHealth(aEntry, aBefore, "answered");
      return;
    }
    mEntriesWithState += old ? 0 : 1;
    aEntry->mView.mState = std::move(aState);
    if (restarted) {
      LogEvent("worker_started")
        .With("worker", aEntry->mView.mState->mWorker)
        .With("address", aEntry->mView.mAddress.ToString())
        .With("incarnation", aEntry->mView.mState->mIncarnation);
    }
    if (aEntry->mView.Health() != aBefore) {
      LogHealth(*aEntry, "state");
    }
    const auto kind = restarted ? WorkerChange::Kind::Restarted : WorkerChange::Kind::State;
    mListener.Send({ kind, aEntry->mView });
  }

  void OnPollFailed(const EntryPtr& aEntry, std::error_code aError)
  {
    const auto before = aEntry->mView.Health();
    const bool wasSuspected = aEntry->mView.mSuspected;
    const bool timedOut =
      std::chrono::steady_clock::now() - aEntry->mPollStarted > aEntry->mPollWait;
    ++aEntry->mFailures;
    // The worker may have restarted with a lower sequence, so the next poll reads the whole state.
    aEntry->mSince = 0;
    if (timedOut || aEntry->mFailures >= mSettings.mFailureLimit) {
      aEntry->mView.mSuspected = true;
    }
    if (!aEntry->mListed && aEntry->mView.mSuspected) {
      Remove(aEntry);
      return;
    }
    if (aEntry->mView.mSuspected != wasSuspected) {
      LogEvent("worker_poll_failed", LogLevel::Warning)
        .With("address", aEntry->mView.mAddress.ToString())
        .With("error", aError.message())
        .With("abandoned", timedOut);
    }
    ReportHealth(aEntry, before, "poll_failed");
    Publish(*aEntry);
    const int doublings = std::min(aEntry->mFailures - 1, 10);
    SchedulePoll(aEntry, mRandom->Jitter(std::min(mSettings.mFirstRetryDelay * (1 << doublings),
                                                  mSettings.mMaxRetryDelay)));
  }

  void ReportHealth(const EntryPtr& aEntry, WorkerHealth aBefore, const char* aReason)
  {
    if (aEntry->mView.Health() != aBefore) {
      LogHealth(*aEntry, aReason);
      mListener.Send({ WorkerChange::Kind::Health, aEntry->mView });
    }
  }

  void LogHealth(const Entry& aEntry, const char* aReason) const
  {
    const auto health = aEntry.mView.Health();
    LogEvent("worker_health")
      .With("address", aEntry.mView.mAddress.ToString())
      .With("worker", aEntry.mView.mState ? aEntry.mView.mState->mWorker : WorkerId())
      .With("health", health == WorkerHealth::Live        ? "live"
                      : health == WorkerHealth::Suspected ? "suspected"
                                                          : "leaving")
      .With("reason", aReason);
  }

  EventLoop* mLoop;
  Api* mApi;
  Random* mRandom;
  Listener mListener;
  MonitorSettings mSettings;
  WatchSharing mSharing;
  bool mPollAll = false;
  std::map<SocketAddress, EntryPtr> mEntries;
  // Number of entries with a state.
  std::size_t mEntriesWithState = 0;
};

} // namespace lovagerock::workers
