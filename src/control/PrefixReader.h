#pragma once

#include "base/BootClock.h"
#include "base/CallbackGuard.h"
#include "base/EventLoop.h"
#include "base/LogEvent.h"
#include "control/ControlSettings.h"
#include "kv/PrefixStore.h"

#include <bit>
#include <functional>
#include <string>
#include <utility>

namespace lovagerock::control {

// Notifications to the owner of a reader.
struct ReaderCallbacks
{
  std::function<void(kv::ItemPage)> mOnPage;
  // All pages have been passed to mOnPage.
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
// that a long listing makes progress over a bad connection.
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
    const bool hasMore = aPage.mHasMore && !aPage.mItems.empty();
    if (hasMore) {
      mAfter = aPage.mItems.back().mKey;
    }
    mCallbacks.mOnPage(std::move(aPage));
    if (hasMore) {
      ReadPage();
    } else {
      mCallbacks.mOnEnd();
    }
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
  // See StartedAt().
  Duration mStartedAt{ 0 };
  // Failed calls in a row, and the BootTime() of the first of them.
  int mFailures = 0;
  Duration mFailingSince{ 0 };
  Timer mRetryTimer;
  CallbackGuard mGuard;
};

} // namespace lovagerock::control
