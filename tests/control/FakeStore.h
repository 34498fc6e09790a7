#pragma once

#include "base/EventLoop.h"
#include "kv/KvError.h"
#include "kv/PrefixStore.h"

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace lovagerock::control {

// An in-memory key-value store that simulates outages, late writes, lost replies, expired leases
// and a dropped history. Callbacks run from the event loop.
class FakeStore
{
public:
  explicit FakeStore(EventLoop& aLoop)
    : mLoop(aLoop)
  {
  }

  void Get(const std::string& aKey, kv::ItemCallback aCallback)
  {
    Answer([this, aKey, aCallback] {
      const auto it = mItems.find(aKey);
      if (mIsDown) {
        aCallback(kv::KvError::Unavailable, std::nullopt);
      } else if (it == mItems.end()) {
        aCallback({}, std::nullopt);
      } else {
        aCallback({}, it->second);
      }
    });
  }

  void List(const std::string& aPrefix, const std::string& aAfter, kv::PageCallback aCallback)
  {
    ++mLists;
    if (!mHeldPrefix.empty() && aPrefix == mHeldPrefix) {
      return;
    }
    Answer([this, aPrefix, aAfter, aCallback] {
      kv::ItemPage page;
      page.mAsOf = kv::Revision(mRevision);
      if (mIsDown || (!aAfter.empty() && mPagesToFail > 0 && mPagesToFail-- > 0) ||
          aPrefix == mFailingPrefix) {
        ++mFailedLists;
        aCallback(kv::KvError::Unavailable, page);
        return;
      }
      for (const auto& [key, item] : mItems) {
        if (!key.starts_with(aPrefix) || key <= aAfter) {
          continue;
        }
        if (page.mItems.size() == mPageSize) {
          page.mHasMore = true;
          break;
        }
        page.mItems.push_back(item);
      }
      aCallback({}, page);
    });
  }

  void Watch(const std::string& aPrefix, kv::Revision aAfter, Duration aWait,
             kv::EventsCallback aCallback)
  {
    ++mWatchCalls;
    if (mIsDown || aPrefix == mFailingWatchPrefix) {
      Answer([aCallback] { aCallback(kv::KvError::Unavailable, {}); });
      return;
    }
    mWatches.push_back({ aPrefix, aAfter, aCallback });
    const auto number = ++mWatchNumber;
    mWatches.back().mNumber = number;
    mTimers.push_back(mLoop.After(aWait, [this, number] { EndWatch(number); }));
    ServeWatches();
  }

  void Write(const kv::ConditionalWrites& aWrites, kv::WriteCallback aCallback)
  {
    ++mWrites;
    if (mIsDown) {
      Answer([aCallback] { aCallback(kv::KvError::Unavailable, {}); });
      return;
    }
    if (mWritesToDelay > 0) {
      --mWritesToDelay;
      mDelayedWrites.push_back(aWrites);
      Answer([aCallback] { aCallback(kv::KvError::OutcomeUnknown, {}); });
      return;
    }
    const bool isLost = mLoseAnswers > 0;
    mLoseAnswers -= isLost ? 1 : 0;
    if (mAppliesLate) {
      mTimers.push_back(mLoop.After(mWriteTime, [this, aWrites, aCallback, isLost] {
        const auto outcome = Apply(aWrites);
        aCallback(isLost ? make_error_code(kv::KvError::OutcomeUnknown) : std::error_code(),
                  outcome);
        ServeWatches();
      }));
      return;
    }
    const auto outcome = Apply(aWrites);
    const auto answer = [aCallback, outcome, isLost] {
      aCallback(isLost ? make_error_code(kv::KvError::OutcomeUnknown) : std::error_code(), outcome);
    };
    if (mWriteTime > Duration(0)) {
      mTimers.push_back(mLoop.After(mWriteTime, answer));
    } else {
      Answer(answer);
    }
    ServeWatches();
  }

  void GrantLease(Duration aTime, kv::LeaseCallback aCallback)
  {
    Answer([this, aTime, aCallback] {
      if (mIsDown) {
        aCallback(kv::KvError::Unavailable, {});
        return;
      }
      mLeases.insert(++mLease);
      aCallback({}, { kv::StoreLease(mLease), mLeaseTime.value_or(aTime) });
    });
  }

  void RenewLease(kv::StoreLease aLease, kv::RenewalCallback aCallback)
  {
    if (mHoldsRenewals) {
      return;
    }
    Answer([this, aLease, aCallback] {
      if (mIsDown || mFailsRenewals) {
        aCallback(kv::KvError::Unavailable, {});
      } else {
        aCallback(mLeases.contains(aLease.Value()) ? std::error_code()
                                                   : make_error_code(kv::KvError::LeaseEnded),
                  mLeaseTime);
      }
    });
  }

  // Removes the lease and its keys, as when it isn't renewed in time.
  void ExpireLease(kv::StoreLease aLease)
  {
    mLeases.erase(aLease.Value());
    std::vector<std::string> keys;
    for (const auto& [key, lease] : mKeyLeases) {
      if (lease == aLease && mItems.contains(key)) {
        keys.push_back(key);
      }
    }
    kv::ConditionalWrites deletes;
    deletes.mDeletes = keys;
    Apply(deletes);
    ServeWatches();
  }

  // Writes a key unconditionally, as an operator or a worker does.
  void Put(const std::string& aKey, const std::string& aValue)
  {
    kv::ConditionalWrites write;
    write.mWrites.push_back({ aKey, aValue, {} });
    Apply(write);
    ServeWatches();
  }

  // Removes a key unconditionally.
  void Remove(const std::string& aKey)
  {
    kv::ConditionalWrites removal;
    removal.mDeletes.push_back(aKey);
    Apply(removal);
    ServeWatches();
  }

  // Applies the delayed writes whose conditions hold; returns how many did.
  int ApplyDelayedWrites()
  {
    int applied = 0;
    for (const auto& it : std::exchange(mDelayedWrites, {})) {
      applied += Apply(it).mApplied ? 1 : 0;
    }
    ServeWatches();
    return applied;
  }

  // Drops the history and fails the open watch calls with HistoryGone.
  void Compact()
  {
    mCompacted = mRevision;
    mEvents.clear();
    for (const auto& it : std::exchange(mWatches, {})) {
      Answer([it] { it.mCallback(kv::KvError::HistoryGone, {}); });
    }
  }

  // Writes a key; open watch calls get the event only with that of the next change.
  void PutWithoutNotification(const std::string& aKey, const std::string& aValue)
  {
    kv::ConditionalWrites write;
    write.mWrites.push_back({ aKey, aValue, {} });
    Apply(write);
  }

  bool mIsDown = false;
  // Lists of this prefix get no answer; empty for none.
  std::string mHeldPrefix;
  // Lists of this prefix fail; empty for none.
  std::string mFailingPrefix;
  // New watch calls of this prefix fail; empty for none.
  std::string mFailingWatchPrefix;
  // The number of upcoming lists that fail, of those that don't begin at the first key.
  int mPagesToFail = 0;
  // Leases are granted and renewed for this time; unset for what callers ask for.
  std::optional<Duration> mLeaseTime;
  // Renewals of leases get no answer.
  bool mHoldsRenewals = false;
  // Renewals of leases fail.
  bool mFailsRenewals = false;
  // Numbers of upcoming writes that report OutcomeUnknown: those that are applied only by
  // ApplyDelayedWrites(), and those that are applied at once.
  int mWritesToDelay = 0;
  int mLoseAnswers = 0;
  // The time until a write is answered.
  Duration mWriteTime{ 0 };
  // Whether writes are applied at the end of that time, not at its beginning.
  bool mAppliesLate = false;
  std::size_t mPageSize = 500;
  // More changes than this don't fit into an answer.
  std::size_t mMaxEvents = 1000000;
  int mLists = 0;
  // Listings that were answered with an error.
  int mFailedLists = 0;
  int mWatchCalls = 0;
  int mWrites = 0;
  std::map<std::string, kv::Item> mItems;

private:
  struct WaitingWatch
  {
    std::string mPrefix;
    kv::Revision mAfter;
    kv::EventsCallback mCallback;
    int mNumber = 0;
  };

  template<typename Task>
  void Answer(Task aTask)
  {
    mLoop.Post(std::move(aTask));
  }

  kv::WriteOutcome Apply(const kv::ConditionalWrites& aWrites)
  {
    kv::WriteOutcome outcome;
    bool holds = true;
    for (const auto& it : aWrites.mConditions) {
      const auto item = mItems.find(it.mKey);
      const auto revision = item == mItems.end() ? kv::Revision() : item->second.mRevision;
      holds = holds && revision == it.mRevision;
      if (item != mItems.end()) {
        outcome.mPresent.push_back(item->second);
      }
    }
    if (!holds) {
      return outcome;
    }
    ++mRevision;
    for (const auto& it : aWrites.mWrites) {
      mItems[it.mKey] = { it.mKey, it.mValue, kv::Revision(mRevision) };
      mKeyLeases[it.mKey] = it.mLease;
      mEvents.push_back({ it.mKey, it.mValue, kv::Revision(mRevision) });
    }
    for (const auto& it : aWrites.mDeletes) {
      mItems.erase(it);
      mEvents.push_back({ it, std::nullopt, kv::Revision(mRevision) });
    }
    return { true, kv::Revision(mRevision), {} };
  }

  kv::EventPage EventsFor(const WaitingWatch& aWatch) const
  {
    kv::EventPage page;
    page.mAsOf = kv::Revision(mRevision);
    for (const auto& it : mEvents) {
      if (it.mRevision > aWatch.mAfter && it.mKey.starts_with(aWatch.mPrefix)) {
        page.mEvents.push_back(it);
      }
    }
    return page;
  }

  void ServeWatches()
  {
    for (std::size_t i = 0; i < mWatches.size();) {
      const auto watch = mWatches[i];
      const auto page = EventsFor(watch);
      if (watch.mAfter.Value() < mCompacted) {
        Answer([watch] { watch.mCallback(kv::KvError::HistoryGone, {}); });
      } else if (page.mEvents.size() > mMaxEvents) {
        Answer([watch] { watch.mCallback(kv::KvError::TooLarge, {}); });
      } else if (!page.mEvents.empty()) {
        Answer([watch, page] { watch.mCallback({}, page); });
      } else {
        ++i;
        continue;
      }
      mWatches.erase(mWatches.begin() + static_cast<long>(i));
    }
  }

  void EndWatch(int aNumber)
  {
    for (std::size_t i = 0; i < mWatches.size(); ++i) {
      if (mWatches[i].mNumber == aNumber) {
        const auto watch = mWatches[i];
        mWatches.erase(mWatches.begin() + static_cast<long>(i));
        watch.mCallback(mIsDown ? make_error_code(kv::KvError::Unavailable) : std::error_code(),
                        EventsFor(watch));
        return;
      }
    }
  }

  EventLoop& mLoop;
  std::int64_t mRevision = 10;
  std::int64_t mCompacted = 0;
  std::vector<kv::ItemEvent> mEvents;
  std::vector<WaitingWatch> mWatches;
  int mWatchNumber = 0;
  std::vector<Timer> mTimers;
  std::int64_t mLease = 0;
  std::set<std::int64_t> mLeases;
  std::map<std::string, kv::StoreLease> mKeyLeases;
  std::vector<kv::ConditionalWrites> mDelayedWrites;
};

static_assert(kv::PrefixStore<FakeStore>);

} // namespace lovagerock::control
