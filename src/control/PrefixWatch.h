#pragma once

#include "base/BootClock.h"
#include "base/CallbackGuard.h"
#include "base/EventLoop.h"
#include "base/LogEvent.h"
#include "control/ControlSettings.h"
#include "kv/KvError.h"
#include "kv/PrefixStore.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace lovagerock::control {

// What the owner of a watch wants to know.
struct WatchCallbacks
{
  // All items, after the first listing and whenever events may have been missed.
  std::function<void(const std::map<std::string, kv::Item>&)> mOnList;
  std::function<void(const kv::ItemEvent&)> mOnEvent;
  // Everything that the store acknowledged before this BootTime() has been told.
  std::function<void(Duration)> mOnConfirmed;
};

// Follows the keys below a prefix: lists them, then asks for changes, and lists again when the
// service has forgotten the changes since. Retries until it is destroyed.
template<kv::PrefixStore Store>
class PrefixWatch
{
public:
  // After changes, waits for the rest time before asking for more, so that frequent ones come
  // together.
  PrefixWatch(EventLoop& aLoop, Store& aStore, std::string aPrefix, WatchCallbacks aCallbacks,
              Duration aRest = Duration(0))
    : mRest(aRest)
    , mLoop(aLoop)
    , mStore(aStore)
    , mPrefix(std::move(aPrefix))
    , mCallbacks(std::move(aCallbacks))
  {
    StartList();
  }

private:
  void StartList()
  {
    mItems.clear();
    mAsOf = kv::Revision();
    mBegan = BootTime();
    ListAfter("");
  }

  void ListAfter(const std::string& aAfter)
  {
    mStore.List(mPrefix, aAfter, mGuard.Wrap([this](std::error_code aError, kv::ItemPage aPage) {
      OnPage(aError, std::move(aPage));
    }));
  }

  void OnPage(std::error_code aError, kv::ItemPage aPage)
  {
    if (aError) {
      RetryLater("list", aError, [this] { StartList(); });
      return;
    }
    // Pages aren't a snapshot: changes since the first one are told as events.
    if (mAsOf == kv::Revision()) {
      mAsOf = aPage.mAsOf;
    }
    std::string last;
    for (auto& it : aPage.mItems) {
      last = it.mKey;
      mItems[last] = std::move(it);
    }
    if (aPage.mHasMore && !last.empty()) {
      ListAfter(last);
      return;
    }
    mCallbacks.mOnList(mItems);
    mItems.clear();
    Confirm();
    WatchNext();
  }

  void WatchNext()
  {
    mBegan = BootTime();
    mStore.Watch(mPrefix, mAsOf, kWatchWait,
                 mGuard.Wrap([this](std::error_code aError, kv::EventPage aPage) {
                   OnEvents(aError, aPage);
                 }));
  }

  void OnEvents(std::error_code aError, const kv::EventPage& aPage)
  {
    if (aError == kv::KvError::HistoryGone) {
      LogEvent("watch_history_gone").With("prefix", mPrefix).With("after", mAsOf);
      StartList();
      return;
    }
    if (aError) {
      RetryLater("watch", aError, [this] { WatchNext(); });
      return;
    }
    mAsOf = std::max(mAsOf, aPage.mAsOf);
    for (const auto& it : aPage.mEvents) {
      mCallbacks.mOnEvent(it);
    }
    Confirm();
    if (mRest > Duration(0) && !aPage.mEvents.empty()) {
      mRetry = mLoop.After(mRest, [this] { WatchNext(); });
    } else {
      WatchNext();
    }
  }

  void Confirm()
  {
    mFailures = 0;
    if (mCallbacks.mOnConfirmed) {
      mCallbacks.mOnConfirmed(mBegan);
    }
  }

  void RetryLater(const char* aCall, std::error_code aError, EventLoop::Task aTask)
  {
    if (mFailures++ == 0) {
      LogEvent("watch_interrupted", LogLevel::Warning)
        .With("prefix", mPrefix)
        .With("call", aCall)
        .With("reason", aError.message());
    }
    mRetry = mLoop.After(kStoreRetry, std::move(aTask));
  }

  Duration mRest;
  EventLoop& mLoop;
  Store& mStore;
  std::string mPrefix;
  WatchCallbacks mCallbacks;
  std::map<std::string, kv::Item> mItems;
  kv::Revision mAsOf;
  Duration mBegan{ 0 };
  int mFailures = 0;
  Timer mRetry;
  CallbackGuard mGuard;
};

} // namespace lovagerock::control
