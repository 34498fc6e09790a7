#pragma once

#include "base/EventLoop.h"
#include "base/LogEvent.h"
#include "base/Random.h"
#include "base/WallClock.h"
#include "configstore/ChangeOutcome.h"
#include "configstore/ConfigStoreSettings.h"
#include "configstore/HeadWatcher.h"
#include "configstore/PromiseRound.h"
#include "kv/KeyValueStore.h"
#include "kv/KvError.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <system_error>
#include <utility>

namespace lovagerock::configstore {

// Writes checked changes to the service: reads the head, collects promises, writes by one
// compare-and-set transaction and settles a write whose answer is lost. Belongs to the store's
// loop.
template<kv::KeyValueStore Store, peer::PeerTransport Transport>
class ChangeWriter
{
public:
  // Called when a change was written. The outcome is told when the given function is called.
  using WrittenCallback = std::function<void(AcceptedConfig, std::function<void()>)>;
  // Gives the highest version that this node knows of.
  using VersionGetter = std::function<ConfigVersion()>;
  // Gives the head of the configuration in force; version 0 for none.
  using HeadGetter = std::function<ConfigHead()>;
  using FindCallback = std::function<void(std::error_code, std::optional<ChangeRecord>)>;

  ChangeWriter(EventLoop& aLoop, Store& aStore, HeadWatcher<Store>& aHead,
               PromiseRound<Transport>& aPromises, Random& aRandom,
               const ConfigStoreSettings& aSettings, VersionGetter aHighest, HeadGetter aInForce,
               WrittenCallback aOnWritten)
    : mLoop(aLoop)
    , mStore(aStore)
    , mHead(aHead)
    , mPromises(aPromises)
    , mRandom(aRandom)
    , mSettings(aSettings)
    , mHighest(std::move(aHighest))
    , mInForce(std::move(aInForce))
    , mOnWritten(std::move(aOnWritten))
  {
  }

  // Writes a body on top of the base version. aConfig's head has the new version.
  void Write(AcceptedConfig aConfig, std::string aText, OutcomeCallback aCallback)
  {
    const auto attempt = std::make_shared<Attempt>();
    attempt->mToken = mRandom.Token();
    attempt->mConfig = std::move(aConfig);
    attempt->mText = std::move(aText);
    attempt->mCallback = std::move(aCallback);
    Find(attempt->mConfig.mHead.mChange,
         Guarded([this, attempt](std::error_code aError, std::optional<ChangeRecord> aRecord) {
           if (aError) {
             Refuse(*attempt, "key-value service: " + aError.message());
           } else if (aRecord) {
             Repeat(attempt, *aRecord);
           } else {
             ReadBase(attempt);
           }
         }));
  }

  // Reads the record of a change; nothing if it is not applied.
  void Find(const ChangeId& aChange, FindCallback aCallback)
  {
    mStore.Get(ChangeKey(aChange),
               [callback = std::move(aCallback)](std::error_code aError,
                                                 const std::optional<kv::Entry>& aEntry) {
                 const auto record = aEntry ? ReadChange(aEntry->mValue) : std::nullopt;
                 const bool malformed = !aError && aEntry && !record;
                 callback(malformed ? make_error_code(kv::KvError::BadAnswer) : aError, record);
               });
  }

private:
  struct Attempt
  {
    std::string mToken;
    AcceptedConfig mConfig;
    // The canonical text.
    std::string mText;
    OutcomeCallback mCallback;
    kv::ModifyIndex mHeadIndex = 0;
    TimePoint mPrepared;
    int mReads = 0;
    // Whether the write may take effect after an answer that was lost.
    bool mMayTakeEffect = false;
  };
  using AttemptPointer = std::shared_ptr<Attempt>;

  // Wraps a callback so that it is dropped once the writer is destroyed.
  template<typename Function>
  auto Guarded(Function aFunction)
  {
    return [weak = std::weak_ptr(mAlive), function = std::move(aFunction)](auto&&... aArguments) {
      if (!weak.expired()) {
        function(std::forward<decltype(aArguments)>(aArguments)...);
      }
    };
  }

  void ReadBase(const AttemptPointer& aAttempt)
  {
    mHead.Read(Guarded([this, aAttempt](std::error_code aError, const HeadReading& aReading) {
      if (aError) {
        Refuse(*aAttempt, "key-value service: " + aError.message());
        return;
      }
      const auto version = VersionOf(aReading.mHead);
      if (version < mHighest()) {
        Lose(aAttempt, mInForce(),
             "key-value service shows an older version than the one in force");
        return;
      }
      if (version + ConfigVersion(1) != aAttempt->mConfig.mHead.mVersion) {
        Conflict(*aAttempt, aReading.mHead.value_or(ConfigHead()));
        return;
      }
      aAttempt->mHeadIndex = aReading.mIndex;
      Prepare(aAttempt);
    }));
  }

  void Prepare(const AttemptPointer& aAttempt)
  {
    aAttempt->mPrepared = std::chrono::steady_clock::now();
    mPromises.Run(aAttempt->mToken, aAttempt->mConfig.mHead.mVersion,
                  Guarded([this, aAttempt](bool aPromised) {
                    // Members drop promises that are old, and this process may have been paused.
                    const auto age = std::chrono::steady_clock::now() - aAttempt->mPrepared;
                    if (aPromised && age < 2 * mSettings.mPrepareTimeout) {
                      Transact(aAttempt);
                      return;
                    }
                    mPromises.Abandon(aAttempt->mToken);
                    OnNoPromise(aAttempt);
                  }));
  }

  // A member refuses a version that it has, so the head tells who won.
  void OnNoPromise(const AttemptPointer& aAttempt)
  {
    mHead.Read(Guarded([this, aAttempt](std::error_code, const HeadReading& aReading) {
      const auto inForce = mInForce();
      const auto read = aReading.mHead.value_or(ConfigHead());
      Lose(aAttempt, read.mVersion > inForce.mVersion ? read : inForce,
           "no promise from more than half of the members");
    }));
  }

  void Transact(const AttemptPointer& aAttempt)
  {
    using Kind = kv::Operation::Kind;
    const auto& head = aAttempt->mConfig.mHead;
    const auto record = WriteChange({ head.mVersion, head.mHash, WallClockMs() });
    mStore.Transact(
      { { Kind::CompareAndSet, kHeadKey, DumpJson(WriteHead(head)), aAttempt->mHeadIndex },
        { Kind::Set, kBodyKey, aAttempt->mText, 0 },
        { Kind::CompareAndSet, ChangeKey(head.mChange), DumpJson(record), 0 } },
      Guarded([this, aAttempt](std::error_code aError, const kv::TransactionResult& aResult) {
        if (!aError && aResult.mApplied) {
          Applied(aAttempt);
        } else if (aError == kv::KvError::Unavailable || aError == kv::KvError::RateLimited) {
          mPromises.Abandon(aAttempt->mToken);
          Refuse(*aAttempt, "key-value service: " + aError.message());
        } else {
          aAttempt->mMayTakeEffect = static_cast<bool>(aError);
          if (!aError) {
            mPromises.Abandon(aAttempt->mToken);
          }
          Settle(aAttempt);
        }
      }));
  }

  // Finds out what came of a write that was not applied or whose answer was lost.
  void Settle(AttemptPointer aAttempt)
  {
    if (aAttempt->mReads++ >= mSettings.mSettleReads) {
      mTimers.erase(aAttempt->mToken);
      LogEvent("config_outcome_unknown", LogLevel::Warning)
        .With("change", aAttempt->mConfig.mHead.mChange);
      Tell(*aAttempt, { ChangeOutcome::Kind::OutcomeUnknown, {}, {}, {} });
      return;
    }
    // The record is read after the head, so that a change that the head already replaced is found.
    mHead.Read(Guarded([this, aAttempt](std::error_code aError, const HeadReading& aReading) {
      if (aError) {
        SettleLater(aAttempt);
        return;
      }
      Find(aAttempt->mConfig.mHead.mChange,
           Guarded([this, aAttempt, head = aReading.mHead](std::error_code aFindError,
                                                           std::optional<ChangeRecord> aRecord) {
             OnSettled(aAttempt, head, aFindError, aRecord);
           }));
    }));
  }

  void OnSettled(const AttemptPointer& aAttempt, const std::optional<ConfigHead>& aHead,
                 std::error_code aError, const std::optional<ChangeRecord>& aRecord)
  {
    // A write that is still under way can succeed only while the head is the one it expects.
    const bool replaced = VersionOf(aHead) >= aAttempt->mConfig.mHead.mVersion;
    if (aError || (!aRecord && aAttempt->mMayTakeEffect && !replaced)) {
      SettleLater(aAttempt);
      return;
    }
    mTimers.erase(aAttempt->mToken);
    if (aRecord) {
      Repeat(aAttempt, *aRecord);
      return;
    }
    mPromises.Abandon(aAttempt->mToken);
    Conflict(*aAttempt, aHead.value_or(ConfigHead()));
  }

  void SettleLater(const AttemptPointer& aAttempt)
  {
    mTimers[aAttempt->mToken] =
      mLoop.After(mSettings.mSettleDelay, [this, aAttempt] { Settle(aAttempt); });
  }

  // The change is recorded, by this attempt or an earlier one of the same change.
  void Repeat(const AttemptPointer& aAttempt, const ChangeRecord& aRecord)
  {
    const auto& head = aAttempt->mConfig.mHead;
    if (aRecord.mHash != head.mHash) {
      config::Problem problem;
      problem.mMessage = "change id was used for another file";
      Tell(*aAttempt, { ChangeOutcome::Kind::Invalid, {}, { problem }, {} });
    } else if (aRecord.mVersion == head.mVersion) {
      Applied(aAttempt);
    } else {
      auto applied = head;
      applied.mVersion = aRecord.mVersion;
      Tell(*aAttempt, { ChangeOutcome::Kind::Applied, applied, {}, {} });
    }
  }

  void Applied(const AttemptPointer& aAttempt)
  {
    const auto& head = aAttempt->mConfig.mHead;
    LogEvent("config_accepted")
      .With("version", head.mVersion)
      .With("change", head.mChange)
      .With("operator", head.mOperator);
    mOnWritten(aAttempt->mConfig, Guarded([this, aAttempt] {
                 Tell(*aAttempt, { ChangeOutcome::Kind::Applied, aAttempt->mConfig.mHead, {}, {} });
               }));
  }

  void Conflict(Attempt& aAttempt, const ConfigHead& aWinner)
  {
    Tell(aAttempt, { ChangeOutcome::Kind::Conflict, aWinner, {}, {} });
  }

  // Ends an attempt that was not written, with a known head.
  void Lose(const AttemptPointer& aAttempt, const ConfigHead& aHead, const std::string& aReason)
  {
    const auto& own = aAttempt->mConfig.mHead;
    if (aHead.mVersion < own.mVersion) {
      Refuse(*aAttempt, aReason);
    } else if (aHead.mChange == own.mChange && aHead.mHash == own.mHash) {
      // Another attempt of the same change won.
      aAttempt->mConfig.mHead = aHead;
      Applied(aAttempt);
    } else {
      Conflict(*aAttempt, aHead);
    }
  }

  void Refuse(Attempt& aAttempt, const std::string& aReason)
  {
    Tell(aAttempt, { ChangeOutcome::Kind::Unavailable, {}, {}, aReason });
  }

  void Tell(Attempt& aAttempt, const ChangeOutcome& aOutcome)
  {
    std::exchange(aAttempt.mCallback, {})(aOutcome);
  }

  EventLoop& mLoop;
  Store& mStore;
  HeadWatcher<Store>& mHead;
  PromiseRound<Transport>& mPromises;
  Random& mRandom;
  ConfigStoreSettings mSettings;
  VersionGetter mHighest;
  HeadGetter mInForce;
  WrittenCallback mOnWritten;
  std::map<std::string, Timer> mTimers;
  std::shared_ptr<ChangeWriter*> mAlive = std::make_shared<ChangeWriter*>(this);
};

} // namespace lovagerock::configstore
