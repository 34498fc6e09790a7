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

// Writes validated changes to the key-value service: reads the head, collects promises from the
// members, writes in one compare-and-set transaction and, if the answer of the write is lost, reads
// the outcome. Must be used on the store's event loop only.
template<kv::KeyValueStore Store, peer::PeerTransport Transport>
class ChangeWriter
{
public:
  // Called when a change was written. The callee must call the given function to report the outcome
  // to the requester.
  using WrittenCallback = std::function<void(AcceptedConfig, std::function<void()>)>;
  // Returns the highest version that this node knows of.
  using VersionGetter = std::function<ConfigVersion()>;
  // Returns the head of the configuration in force; its version is 0 if there is none.
  using HeadGetter = std::function<ConfigHead()>;
  using FindCallback = std::function<void(std::error_code, std::optional<ChangeRecord>)>;

  ChangeWriter(EventLoop& aLoop, Store& aStore, HeadWatcher<Store>& aHead,
               PromiseRound<Transport>& aPromises, Random& aRandom,
               const ConfigStoreSettings& aSettings, VersionGetter aGetHighestVersion,
               HeadGetter aGetInForceHead, WrittenCallback aOnWritten)
    : mLoop(aLoop)
    , mStore(aStore)
    , mHeadWatcher(aHead)
    , mPromises(aPromises)
    , mRandom(aRandom)
    , mSettings(aSettings)
    , mGetHighestVersion(std::move(aGetHighestVersion))
    , mGetInForceHead(std::move(aGetInForceHead))
    , mOnWritten(std::move(aOnWritten))
  {
  }

  // Writes aConfig, whose head has the new version (base version + 1), and its canonical text.
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
             CompleteUnavailable(*attempt, "key-value service: " + aError.message());
           } else if (aRecord) {
             OnRecorded(attempt, *aRecord);
           } else {
             ReadBase(attempt);
           }
         }));
  }

  // Reads the record of a change; passes nullopt if the change was not applied.
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
    TimePoint mPrepareStart;
    int mOutcomeReads = 0;
    // The answer of the write was lost, so the write may still take effect.
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
    mHeadWatcher.Read(
      Guarded([this, aAttempt](std::error_code aError, const HeadReading& aReading) {
        if (aError) {
          CompleteUnavailable(*aAttempt, "key-value service: " + aError.message());
          return;
        }
        const auto version = VersionOf(aReading.mHead);
        if (version < mGetHighestVersion()) {
          CompleteUnwritten(aAttempt, mGetInForceHead(),
                            "key-value service shows an older version than the one in force");
          return;
        }
        if (version + ConfigVersion(1) != aAttempt->mConfig.mHead.mVersion) {
          CompleteConflict(*aAttempt, aReading.mHead.value_or(ConfigHead()));
          return;
        }
        aAttempt->mHeadIndex = aReading.mIndex;
        Prepare(aAttempt);
      }));
  }

  void Prepare(const AttemptPointer& aAttempt)
  {
    aAttempt->mPrepareStart = std::chrono::steady_clock::now();
    mPromises.Run(aAttempt->mToken, aAttempt->mConfig.mHead.mVersion,
                  Guarded([this, aAttempt](bool aPromised) {
                    // Members drop old promises, so a promise must not be used if this process was
                    // paused after asking for it.
                    const auto age = std::chrono::steady_clock::now() - aAttempt->mPrepareStart;
                    if (aPromised && age < 2 * mSettings.mPrepareTimeout) {
                      Transact(aAttempt);
                      return;
                    }
                    mPromises.Abandon(aAttempt->mToken);
                    OnNoPromise(aAttempt);
                  }));
  }

  // A member refuses a version that it already has, so the head shows which change took it.
  void OnNoPromise(const AttemptPointer& aAttempt)
  {
    mHeadWatcher.Read(Guarded([this, aAttempt](std::error_code, const HeadReading& aReading) {
      const auto inForce = mGetInForceHead();
      const auto read = aReading.mHead.value_or(ConfigHead());
      CompleteUnwritten(aAttempt, read.mVersion > inForce.mVersion ? read : inForce,
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
          OnApplied(aAttempt);
        } else if (aError == kv::KvError::Unavailable || aError == kv::KvError::RateLimited) {
          mPromises.Abandon(aAttempt->mToken);
          CompleteUnavailable(*aAttempt, "key-value service: " + aError.message());
        } else {
          aAttempt->mMayTakeEffect = static_cast<bool>(aError);
          if (!aError) {
            mPromises.Abandon(aAttempt->mToken);
          }
          ReadOutcome(aAttempt);
        }
      }));
  }

  // Reads the outcome of a write that was not applied or whose answer was lost.
  void ReadOutcome(AttemptPointer aAttempt)
  {
    if (aAttempt->mOutcomeReads++ >= mSettings.mMaxOutcomeReads) {
      mTimers.erase(aAttempt->mToken);
      LogEvent("config_outcome_unknown", LogLevel::Warning)
        .With("change", aAttempt->mConfig.mHead.mChange);
      Complete(*aAttempt, { ChangeOutcome::Kind::OutcomeUnknown, {}, {}, {} });
      return;
    }
    // The record is read after the head, so that the change is found even if a later one has
    // already replaced it as the head.
    mHeadWatcher.Read(
      Guarded([this, aAttempt](std::error_code aError, const HeadReading& aReading) {
        if (aError) {
          ReadOutcomeLater(aAttempt);
          return;
        }
        Find(aAttempt->mConfig.mHead.mChange,
             Guarded([this, aAttempt, head = aReading.mHead](std::error_code aFindError,
                                                             std::optional<ChangeRecord> aRecord) {
               OnOutcomeRead(aAttempt, head, aFindError, aRecord);
             }));
      }));
  }

  void OnOutcomeRead(const AttemptPointer& aAttempt, const std::optional<ConfigHead>& aHead,
                     std::error_code aError, const std::optional<ChangeRecord>& aRecord)
  {
    // A write in flight can succeed only while the head is still the one that it compares with.
    const bool replaced = VersionOf(aHead) >= aAttempt->mConfig.mHead.mVersion;
    if (aError || (!aRecord && aAttempt->mMayTakeEffect && !replaced)) {
      ReadOutcomeLater(aAttempt);
      return;
    }
    mTimers.erase(aAttempt->mToken);
    if (aRecord) {
      OnRecorded(aAttempt, *aRecord);
      return;
    }
    mPromises.Abandon(aAttempt->mToken);
    CompleteConflict(*aAttempt, aHead.value_or(ConfigHead()));
  }

  void ReadOutcomeLater(const AttemptPointer& aAttempt)
  {
    mTimers[aAttempt->mToken] =
      mLoop.After(mSettings.mOutcomeReadDelay, [this, aAttempt] { ReadOutcome(aAttempt); });
  }

  // Handles a change that is already recorded, by this attempt or an earlier one.
  void OnRecorded(const AttemptPointer& aAttempt, const ChangeRecord& aRecord)
  {
    const auto& head = aAttempt->mConfig.mHead;
    if (aRecord.mHash != head.mHash) {
      config::Problem problem;
      problem.mMessage = "change id was used for another file";
      Complete(*aAttempt, { ChangeOutcome::Kind::Invalid, {}, { problem }, {} });
    } else if (aRecord.mVersion == head.mVersion) {
      OnApplied(aAttempt);
    } else {
      auto applied = head;
      applied.mVersion = aRecord.mVersion;
      Complete(*aAttempt, { ChangeOutcome::Kind::Applied, applied, {}, {} });
    }
  }

  void OnApplied(const AttemptPointer& aAttempt)
  {
    const auto& head = aAttempt->mConfig.mHead;
    LogEvent("config_accepted")
      .With("version", head.mVersion)
      .With("change", head.mChange)
      .With("operator", head.mOperator);
    mOnWritten(
      aAttempt->mConfig, Guarded([this, aAttempt] {
        Complete(*aAttempt, { ChangeOutcome::Kind::Applied, aAttempt->mConfig.mHead, {}, {} });
      }));
  }

  void CompleteConflict(Attempt& aAttempt, const ConfigHead& aWinner)
  {
    Complete(aAttempt, { ChangeOutcome::Kind::Conflict, aWinner, {}, {} });
  }

  // Completes an attempt that was not written. aHead is the newest known head.
  void CompleteUnwritten(const AttemptPointer& aAttempt, const ConfigHead& aHead,
                         const std::string& aReason)
  {
    const auto& own = aAttempt->mConfig.mHead;
    if (aHead.mVersion < own.mVersion) {
      CompleteUnavailable(*aAttempt, aReason);
    } else if (aHead.mChange == own.mChange && aHead.mHash == own.mHash) {
      // Another attempt of the same change won.
      aAttempt->mConfig.mHead = aHead;
      OnApplied(aAttempt);
    } else {
      CompleteConflict(*aAttempt, aHead);
    }
  }

  void CompleteUnavailable(Attempt& aAttempt, const std::string& aReason)
  {
    Complete(aAttempt, { ChangeOutcome::Kind::Unavailable, {}, {}, aReason });
  }

  void Complete(Attempt& aAttempt, const ChangeOutcome& aOutcome)
  {
    std::exchange(aAttempt.mCallback, {})(aOutcome);
  }

  EventLoop& mLoop;
  Store& mStore;
  HeadWatcher<Store>& mHeadWatcher;
  PromiseRound<Transport>& mPromises;
  Random& mRandom;
  ConfigStoreSettings mSettings;
  VersionGetter mGetHighestVersion;
  HeadGetter mGetInForceHead;
  WrittenCallback mOnWritten;
  std::map<std::string, Timer> mTimers;
  std::shared_ptr<ChangeWriter*> mAlive = std::make_shared<ChangeWriter*>(this);
};

} // namespace lovagerock::configstore
