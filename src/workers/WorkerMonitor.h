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

// Times and limits of the polls.
struct MonitorSettings
{
  // How long a worker holds a poll without news. An error that comes after it means that the poll
  // was abandoned.
  Duration mWait{ 2000 };
  // Shortest time between two polls of a worker that has news; it merges bursts of changes.
  Duration mPause{ 20 };
  // First and longest delay after failures; the delay doubles in between.
  Duration mFirstRetry{ 200 };
  Duration mLongestRetry{ 2000 };
  // Failed polls in a row that make a worker suspected.
  int mFailureLimit = 2;
  // Polls without news and without a version after which the whole state is read again. A worker
  // that restarted between two polls counts from a low sequence and would otherwise seem unchanged.
  int mQuietLimit = 5;
  // Wait of the first poll after another node stopped watching. Shorter than mWait, because part of
  // the time to notice a silent worker has passed then. A worker answers this poll at once.
  Duration mResumeWait{ 600 };
  // How long a node polls on after another became the owner of the worker, so that others need not
  // rely on two nodes having the same members at the same time.
  Duration mLinger{ 3000 };
  // Polls are in time if none was begun longer ago than this. Above mWait and the time until a poll
  // is abandoned.
  Duration mOverdue{ 3000 };
};

// Long-polls workers and sends one message per change of their views. With sharing, polls of a
// worker rest while another node relays its state. Belongs to its loop. The callbacks of the API
// must not run after the API's own end.
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

  // Shares the workers with other nodes from now on.
  void Share(WatchSharing aSharing)
  {
    mSharing = std::move(aSharing);
    Reassign();
  }

  // Takes and gives up workers after the owners have changed.
  void Reassign()
  {
    for (const auto& [address, entry] : mEntries) {
      if (const bool owned = Owns(address); owned != entry->mOwned) {
        entry->mOwned = owned;
        entry->mOwnerChanged = std::chrono::steady_clock::now();
        Resume(entry);
        Offer(*entry);
      }
    }
  }

  // Whether to poll all workers, owned or not, as the planner does.
  void SetPollAll(bool aPollAll)
  {
    if (std::exchange(mPollAll, aPollAll) == aPollAll) {
      return;
    }
    for (const auto& [address, entry] : mEntries) {
      if (aPollAll) {
        Resume(entry);
      }
    }
  }

  bool PollsAll() const { return mPollAll; }

  // Whether the view of each worker is one of this node's own polls.
  bool AllPolled() const
  {
    return std::all_of(mEntries.begin(), mEntries.end(), [](const auto& aItem) {
      return aItem.second->mPolled || aItem.second->mView.mSuspected;
    });
  }

  // Whether the polls of the owned workers run in time, so that others may rely on them.
  bool IsTimely() const
  {
    const auto limit = std::chrono::steady_clock::now() - mSettings.mOverdue;
    return std::all_of(mEntries.begin(), mEntries.end(), [limit](const auto& aItem) {
      const auto& entry = *aItem.second;
      return !entry.mOwned || entry.mView.mSuspected || entry.mAsked > limit;
    });
  }

  // Asks each worker for its state, apart from the polls that are open, and calls back when each
  // has answered or failed. For use after a pause of this process: the views are out of date then,
  // and so may be the answers to polls that began before it.
  void Recheck(std::function<void()> aDone)
  {
    const auto open = std::make_shared<std::size_t>(mEntries.size());
    if (*open == 0) {
      aDone();
      return;
    }
    for (const auto& [address, entry] : mEntries) {
      mApi->Poll(address, 0, Duration(0),
                 [this, open, aDone, weak = std::weak_ptr<Entry>(entry)](std::error_code aError,
                                                                         PollAnswer aAnswer) {
                   if (const auto checked = weak.lock()) {
                     OnRechecked(checked, aError, std::move(aAnswer));
                   }
                   if (--*open == 0) {
                     aDone();
                   }
                 });
    }
  }

  // Takes a change that a watcher relayed.
  void OnRelayed(const NodeId& aWatcher, const RelayedChange& aChange)
  {
    const auto it = mEntries.find(aChange.mAddress);
    if (it == mEntries.end() || it->second->mWatcher != aWatcher) {
      return;
    }
    const auto entry = it->second;
    const auto before = entry->mView.Health();
    if (aChange.mState) {
      entry->mView.mHeard = std::chrono::steady_clock::now();
      OnState(entry, before, aChange.mState);
      return;
    }
    // Suspected at once. The own poll may find that only the watcher can't reach the worker.
    entry->mView.mSuspected = aChange.mSuspected;
    ReportHealth(entry, before, "relayed");
    Resume(entry);
  }

  // Polls again what a watcher relayed until now.
  void OnLapsed(const NodeId& aWatcher)
  {
    for (const auto& [address, entry] : mEntries) {
      if (entry->mWatcher == aWatcher) {
        Resume(entry);
      }
    }
  }

  // Takes the workers of the VM list. An unlisted worker is watched until its polls fail, because
  // the list lags and may be wrong.
  void SetWorkers(const std::vector<ListedWorker>& aWorkers)
  {
    for (auto& [address, entry] : mEntries) {
      entry->mListed = false;
    }
    for (const auto& it : aWorkers) {
      Apply(it);
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

  // The view of a worker; null if it isn't watched. Valid until the loop goes on.
  const WorkerView* Find(const SocketAddress& aAddress) const
  {
    const auto it = mEntries.find(aAddress);
    return it == mEntries.end() ? nullptr : &it->second->mView;
  }

  // All views, ordered by address.
  std::vector<WorkerView> Views() const
  {
    std::vector<WorkerView> views;
    views.reserve(mEntries.size());
    for (const auto& [address, entry] : mEntries) {
      views.push_back(entry->mView);
    }
    return views;
  }

  // Whether there are workers and each of them was heard at least once. Takes the same time for any
  // number of workers, because it is asked on every change.
  bool AllHeard() const { return mHeard > 0 && mHeard == mEntries.size(); }
  // Number of workers that are watched.
  std::size_t Watched() const { return mEntries.size(); }
  // Workers that this node watches for all.
  std::size_t Owned() const
  {
    return CountIf([](const Entry& aEntry) { return aEntry.mOwned; });
  }
  // Workers whose own polls rest because another node relays their state.
  std::size_t Relayed() const
  {
    return CountIf([](const Entry& aEntry) { return !aEntry.mWatcher.IsEmpty(); });
  }

private:
  struct Entry
  {
    WorkerView mView;
    std::uint64_t mSince = 0;
    TimePoint mAsked;
    // How long the worker may hold the poll that is open.
    Duration mWait{ 0 };
    // This node watches the worker for all.
    bool mOwned = true;
    // When mOwned changed last.
    TimePoint mOwnerChanged;
    // The view is one of an own poll since the polls began or resumed.
    bool mPolled = false;
    // The node that relays the state while the own polls rest; empty if they don't.
    NodeId mWatcher;
    int mFailures = 0;
    int mQuiet = 0;
    bool mListed = true;
    Timer mNext;
  };
  using EntryPtr = std::shared_ptr<Entry>;

  void Apply(const ListedWorker& aWorker)
  {
    auto& entry = mEntries[aWorker.mAddress];
    if (!entry) {
      entry = std::make_shared<Entry>();
      entry->mView.mAddress = aWorker.mAddress;
      entry->mView.mListedLeaving = aWorker.mLeaving;
      entry->mOwned = Owns(aWorker.mAddress);
      Ask(entry, mSettings.mWait);
      return;
    }
    entry->mListed = true;
    const auto before = entry->mView.Health();
    entry->mView.mListedLeaving = aWorker.mLeaving;
    ReportHealth(entry, before, "vm_list");
  }

  void Remove(EntryPtr aEntry)
  {
    mHeard -= aEntry->mView.mState ? 1 : 0;
    aEntry->mOwned = false;
    Offer(*aEntry);
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

  void Offer(const Entry& aEntry) const
  {
    if (mSharing.mOffer) {
      const bool suspected = aEntry.mView.mSuspected;
      mSharing.mOffer(
        { aEntry.mView.mAddress,
          aEntry.mOwned && aEntry.mPolled && !suspected ? aEntry.mView.mState : nullptr,
          suspected });
    }
  }

  // Begins to rest if another node relays the worker's state.
  bool Rest(const EntryPtr& aEntry)
  {
    const auto now = std::chrono::steady_clock::now();
    if (mPollAll || aEntry->mOwned || !mSharing.mFind || !aEntry->mPolled ||
        now - aEntry->mOwnerChanged < mSettings.mLinger) {
      return false;
    }
    const auto relayed = mSharing.mFind(aEntry->mView.mAddress);
    // Of two incarnations only the own poll knows which is the later one.
    if (!relayed.mState || relayed.mState->mIncarnation != aEntry->mView.mState->mIncarnation) {
      return false;
    }
    aEntry->mPolled = false;
    aEntry->mWatcher = relayed.mWatcher;
    OnRelayed(relayed.mWatcher, { aEntry->mView.mAddress, relayed.mState, false });
    return true;
  }

  // Ends a rest. The whole state is read, in case that a relayed one was missed.
  void Resume(const EntryPtr& aEntry)
  {
    if (aEntry->mWatcher.IsEmpty()) {
      return;
    }
    aEntry->mWatcher = NodeId();
    aEntry->mSince = 0;
    Ask(aEntry, mSettings.mResumeWait);
  }

  void Ask(const EntryPtr& aEntry, Duration aWait)
  {
    aEntry->mAsked = std::chrono::steady_clock::now();
    aEntry->mWait = aWait;
    mApi->Poll(
      aEntry->mView.mAddress, aEntry->mSince, aWait,
      [this, weak = std::weak_ptr<Entry>(aEntry)](std::error_code aError, PollAnswer aAnswer) {
        // The monitor owns the entries, so a live entry means a live monitor.
        if (const auto entry = weak.lock()) {
          OnPolled(entry, aError, std::move(aAnswer));
        }
      });
  }

  void AskLater(const EntryPtr& aEntry, Duration aDelay)
  {
    aEntry->mNext = mLoop->After(aDelay, [this, weak = std::weak_ptr<Entry>(aEntry)] {
      if (const auto entry = weak.lock()) {
        Ask(entry, mSettings.mWait);
      }
    });
  }

  void OnPolled(const EntryPtr& aEntry, std::error_code aError, PollAnswer aAnswer)
  {
    if (aError) {
      OnFailure(aEntry, aError);
      return;
    }
    const auto before = aEntry->mView.Health();
    aEntry->mFailures = 0;
    aEntry->mView.mSuspected = false;
    aEntry->mView.mHeard = std::chrono::steady_clock::now();
    if (!aAnswer.mState) {
      CheckVersion(*aEntry, aAnswer.mVersion);
      ReportHealth(aEntry, before, "answered");
    } else {
      aEntry->mQuiet = 0;
      aEntry->mSince = aAnswer.mState->mSequence;
      aEntry->mPolled = true;
      OnState(aEntry, before, std::make_shared<const WorkerState>(std::move(*aAnswer.mState)));
    }
    Offer(*aEntry);
    if (!Rest(aEntry)) {
      AskLater(aEntry, mSettings.mPause);
    }
  }

  void OnRechecked(const EntryPtr& aEntry, std::error_code aError, PollAnswer aAnswer)
  {
    const auto before = aEntry->mView.Health();
    if (aError || !aAnswer.mState) {
      // Suspected until its next poll is answered.
      aEntry->mView.mSuspected = true;
      ReportHealth(aEntry, before, "recheck_failed");
      Resume(aEntry);
    } else {
      aEntry->mView.mSuspected = false;
      aEntry->mView.mHeard = std::chrono::steady_clock::now();
      OnState(aEntry, before, std::make_shared<const WorkerState>(std::move(*aAnswer.mState)));
    }
    Offer(*aEntry);
  }

  // Makes the next poll read the whole state unless the unchanged state is surely the known one.
  void CheckVersion(Entry& aEntry, const std::optional<StateVersion>& aVersion)
  {
    const auto& state = aEntry.mView.mState;
    const bool known = aVersion && state && state->Version() == *aVersion;
    aEntry.mQuiet = known ? 0 : aEntry.mQuiet + 1;
    if (!known && (aVersion || aEntry.mQuiet >= mSettings.mQuietLimit)) {
      aEntry.mSince = 0;
    }
  }

  void
  OnState(const EntryPtr& aEntry, WorkerHealth aBefore, std::shared_ptr<const WorkerState> aState)
  {
    const auto& old = aEntry->mView.mState;
    const bool restarted = !old || old->mIncarnation != aState->mIncarnation;
    if (!restarted && old->mSequence >= aState->mSequence) {
      // Read again after failures or quiet polls, and unchanged.
      ReportHealth(aEntry, aBefore, "answered");
      return;
    }
    mHeard += old ? 0 : 1;
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

  void OnFailure(const EntryPtr& aEntry, std::error_code aError)
  {
    const auto before = aEntry->mView.Health();
    const bool wasSuspected = aEntry->mView.mSuspected;
    const bool abandoned = std::chrono::steady_clock::now() - aEntry->mAsked > aEntry->mWait;
    ++aEntry->mFailures;
    // The worker may have restarted, and then counts its changes anew.
    aEntry->mSince = 0;
    if (abandoned || aEntry->mFailures >= mSettings.mFailureLimit) {
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
        .With("abandoned", abandoned);
    }
    ReportHealth(aEntry, before, "poll_failed");
    Offer(*aEntry);
    const int doublings = std::min(aEntry->mFailures - 1, 10);
    AskLater(aEntry, mRandom->Jitter(std::min(mSettings.mFirstRetry * (1 << doublings),
                                              mSettings.mLongestRetry)));
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
  // Entries with a state.
  std::size_t mHeard = 0;
};

} // namespace lovagerock::workers
