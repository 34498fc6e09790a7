#pragma once

#include "base/BootClock.h"
#include "base/CallbackGuard.h"
#include "base/EventLoop.h"
#include "base/LogEvent.h"
#include "control/ControlSettings.h"
#include "kv/PrefixStore.h"

#include <algorithm>
#include <bit>
#include <chrono>
#include <cstddef>
#include <functional>
#include <iterator>
#include <string>
#include <utility>
#include <vector>

namespace lovagerock::control {

// Notifications to the owner of a reader.
struct ReaderCallbacks
{
  // Receives the items in the order of their keys, some at a time, with the revision of their page;
  // none of an empty page.
  std::function<void(std::vector<kv::Item>, kv::Revision)> mOnItems;
  // All items have been passed to mOnItems.
  std::function<void()> mOnEnd;
  // Called after each failure once calls have failed for kMaxListOutage; may be empty.
  std::function<void()> mOnOutage;
};

// Logs repeated failures: the first one, and then after each doubling of their number.
inline void
LogRepeatedFailure(const char* aEvent, const std::string& aPrefix, const char* aCall, int aFailures,
                   std::error_code aError)
{
  if (std::has_single_bit(static_cast<unsigned>(aFailures))) {
    LogEvent(aEvent, LogLevel::Warning)
      .With("prefix", aPrefix)
      .With("call", aCall)
      .With("failures", aFailures)
      .With("reason", aError.message());
  }
}

// Reads all keys with a prefix, page by page. A page that fails is read again until it arrives, so
// that a long listing makes progress over a bad connection. The loop serves other events after each
// kMaxListWork of work with the items: a leader that worked through a page of many jobs in one go
// wouldn't renew its lease in time on a slow or busy machine.
template<kv::PrefixStore Store>
class PrefixReader
{
public:
  PrefixReader(EventLoop& aLoop, Store& aStore, std::string aPrefix, ReaderCallbacks aCallbacks)
    : mLoop(aLoop)
    , mStore(aStore)
    , mPrefix(std::move(aPrefix))
    , mCallbacks(std::move(aCallbacks))
  {
  }

  // The BootTime() at which the first page was requested, in the attempt that succeeded. The pages
  // contain every change that the store had acknowledged by then.
  Duration StartedAt() const { return mStartedAt; }

  // Begins with the first page. Must not be called while pages are being read.
  void Start()
  {
    mAfter.clear();
    ReadPage();
  }

private:
  void ReadPage()
  {
    if (mAfter.empty()) {
      mStartedAt = BootTime();
    }
    mStore.List(mPrefix, mAfter, mGuard.Wrap([this](std::error_code aError, kv::ItemPage aPage) {
      OnPage(aError, std::move(aPage));
    }));
  }

  void OnPage(std::error_code aError, kv::ItemPage aPage)
  {
    if (aError) {
      OnFailure(aError);
      return;
    }
    mFailures = 0;
    mHasMore = aPage.mHasMore && !aPage.mItems.empty();
    if (mHasMore) {
      mAfter = aPage.mItems.back().mKey;
    }
    mPage = std::move(aPage);
    mPassedOn = 0;
    PassItems();
  }

  // Passes items of the page on until they all are, or the loop has to serve other events.
  void PassItems()
  {
    const auto begin = std::chrono::steady_clock::now();
    do {
      mCallbacks.mOnItems(TakeItems(), mPage.mAsOf);
      if (mPassedOn == mPage.mItems.size()) {
        EndPage();
        return;
      }
    } while (std::chrono::steady_clock::now() - begin < kMaxListWork);
    mNextItemsTimer = mLoop.After(Duration(0), [this] { PassItems(); });
  }

  void EndPage()
  {
    mPage = {};
    if (mHasMore) {
      ReadPage();
    } else {
      mCallbacks.mOnEnd();
    }
  }

  // Takes the next items out of the page, so many as are passed on at a time.
  std::vector<kv::Item> TakeItems()
  {
    const auto n = std::min(kListedAtATime, mPage.mItems.size() - mPassedOn);
    const auto first = mPage.mItems.begin() + static_cast<std::ptrdiff_t>(mPassedOn);
    mPassedOn += n;
    return { std::make_move_iterator(first),
             std::make_move_iterator(first + static_cast<std::ptrdiff_t>(n)) };
  }

  void OnFailure(std::error_code aError)
  {
    if (mFailures++ == 0) {
      mFailingSince = BootTime();
    }
    LogRepeatedFailure("list_interrupted", mPrefix, "list", mFailures, aError);
    mRetryTimer = mLoop.After(kStoreRetryDelay, [this] { ReadPage(); });
    if (mCallbacks.mOnOutage && BootTime() - mFailingSince >= kMaxListOutage) {
      mCallbacks.mOnOutage();
    }
  }

  EventLoop& mLoop;
  Store& mStore;
  std::string mPrefix;
  ReaderCallbacks mCallbacks;
  // The last key of the pages that have arrived; empty before the first one.
  std::string mAfter;
  // The last page that has arrived, how many of its items are passed on, and whether another page
  // follows.
  kv::ItemPage mPage;
  std::size_t mPassedOn = 0;
  bool mHasMore = false;
  Timer mNextItemsTimer;
  // See StartedAt().
  Duration mStartedAt{ 0 };
  // Failed calls in a row, and the BootTime() of the first of them.
  int mFailures = 0;
  Duration mFailingSince{ 0 };
  Timer mRetryTimer;
  CallbackGuard mGuard;
};

} // namespace lovagerock::control
