#pragma once

#include "base/EventLoop.h"
#include "base/LogEvent.h"
#include "base/Random.h"
#include "configstore/ConfigRecord.h"
#include "configstore/ConfigStoreSettings.h"
#include "kv/KeyValueStore.h"
#include "kv/KvError.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <system_error>
#include <utility>

namespace lovagerock::configstore {

// The result of one read of the head from the key-value service.
struct HeadReading
{
  std::optional<ConfigHead> mHead;
  kv::ModifyIndex mIndex = 0;
  // When the read began; the head was current at this time or later.
  TimePoint mSent;
};

// Watches the head and also reads it directly at a fixed period. Must be used on the store's event
// loop only.
template<kv::KeyValueStore Store>
class HeadWatcher
{
public:
  // Called for each successful read.
  using ReadingCallback = std::function<void(const HeadReading&)>;
  using ReadCallback = std::function<void(std::error_code, const HeadReading&)>;

  HeadWatcher(EventLoop& aLoop, Store& aStore, Random& aRandom,
              const ConfigStoreSettings& aSettings, ReadingCallback aOnReading)
    : mLoop(aLoop)
    , mStore(aStore)
    , mRandom(aRandom)
    , mSettings(aSettings)
    , mOnReading(std::move(aOnReading))
  {
    mReadTimer = mLoop.Every(mSettings.mReadPeriod, [this] { PollHead(); });
    mLoop.Post(Guarded([this] { Watch(); }));
    mLoop.Post(Guarded([this] { PollHead(); }));
  }
  HeadWatcher(const HeadWatcher&) = delete;
  HeadWatcher& operator=(const HeadWatcher&) = delete;

  // Reads the head now. A successful reading is passed to the watcher's ReadingCallback first.
  void Read(ReadCallback aCallback)
  {
    const auto sent = std::chrono::steady_clock::now();
    mStore.Get(kHeadKey, [weak = std::weak_ptr(mAlive), sent, callback = std::move(aCallback)](
                           std::error_code aError, const std::optional<kv::Entry>& aEntry) {
      if (const auto self = weak.lock()) {
        HeadReading reading;
        aError = (*self)->HandleAnswer(aError, aEntry, sent, reading);
        callback(aError, reading);
      }
    });
  }

private:
  template<typename Function>
  EventLoop::Task Guarded(Function aFunction)
  {
    return [weak = std::weak_ptr(mAlive), function = std::move(aFunction)] {
      if (!weak.expired()) {
        function();
      }
    };
  }

  void PollHead()
  {
    if (!std::exchange(mPollPending, true)) {
      Read([this](std::error_code, const HeadReading&) { mPollPending = false; });
    }
  }

  void Watch()
  {
    const auto sent = std::chrono::steady_clock::now();
    mStore.Watch(kHeadKey, mIndex, mSettings.mWatchWait,
                 [weak = std::weak_ptr(mAlive), sent](std::error_code aError,
                                                      const std::optional<kv::Entry>& aEntry) {
                   if (const auto self = weak.lock()) {
                     (*self)->OnWatch(aError, aEntry, sent);
                   }
                 });
  }

  void OnWatch(std::error_code aError, const std::optional<kv::Entry>& aEntry, TimePoint aSent)
  {
    HeadReading reading;
    aError = HandleAnswer(aError, aEntry, aSent, reading);
    if (aError) {
      mRetryTimer = mLoop.After(mRandom.Jitter(mSettings.mRetryDelay), [this] { Watch(); });
      return;
    }
    mIndex = reading.mIndex;
    Watch();
  }

  // Parses an answer and passes it to the ReadingCallback. Returns BadAnswer if the head is
  // malformed.
  std::error_code HandleAnswer(std::error_code aError, const std::optional<kv::Entry>& aEntry,
                               TimePoint aSent, HeadReading& aReading)
  {
    if (aError) {
      return aError;
    }
    aReading.mSent = aSent;
    if (aEntry) {
      aReading.mIndex = aEntry->mModifyIndex;
      aReading.mHead = ReadHead(ParseJson(aEntry->mValue).value_or(Json()));
      if (!aReading.mHead) {
        LogEvent("config_head_malformed", LogLevel::Error).With("index", aReading.mIndex);
        return kv::KvError::BadAnswer;
      }
    }
    mOnReading(aReading);
    return {};
  }

  EventLoop& mLoop;
  Store& mStore;
  Random& mRandom;
  ConfigStoreSettings mSettings;
  ReadingCallback mOnReading;
  kv::ModifyIndex mIndex = 0;
  bool mPollPending = false;
  Timer mReadTimer;
  Timer mRetryTimer;
  std::shared_ptr<HeadWatcher*> mAlive = std::make_shared<HeadWatcher*>(this);
};

} // namespace lovagerock::configstore
