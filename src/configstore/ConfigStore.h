#pragma once

#include "base/EventLoop.h"
#include "base/LogEvent.h"
#include "base/Random.h"
#include "base/WallClock.h"
#include "config/CanonicalJson.h"
#include "config/DocumentReader.h"
#include "configstore/ChangeOutcome.h"
#include "configstore/ChangeWriter.h"
#include "configstore/ConfigPush.h"
#include "configstore/ConfigRecord.h"
#include "configstore/ConfigStoreSettings.h"
#include "configstore/Confirmation.h"
#include "configstore/HeadWatcher.h"
#include "configstore/PromiseRound.h"
#include "configstore/PromiseTable.h"
#include "kv/KeyValueStore.h"
#include "membership/Membership.h"
#include "peer/PeerTransport.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <system_error>
#include <utility>
#include <vector>

namespace lovagerock::configstore {

// A member with what it last said about its configuration.
struct NodeConfig
{
  membership::MemberView mMember;
  ConfigVersion mVersion;
  bool mConfirmed = false;
  // See MemberReport.
  bool mSettled = false;
};

// The configuration in force on this node: accepts changes, takes over those of other nodes and
// knows whether it is current. Versions only go up. Belongs to the loop, as do the given objects,
// which must outlive it. One per membership.
template<kv::KeyValueStore Store, peer::PeerTransport Transport>
class ConfigStore
{
public:
  using Pointer = std::shared_ptr<const AcceptedConfig>;
  using Listener = std::function<void(const Pointer&)>;
  // Gives the problems of a valid document; none if it can be accepted.
  using ExtraCheck = std::function<std::vector<config::Problem>(const config::Document&)>;
  using FindCallback = std::function<void(std::error_code, std::optional<ChangeRecord>)>;

  ConfigStore(EventLoop& aLoop, Store& aStore, Transport& aTransport,
              membership::Membership<Transport>& aMembership, Random& aRandom,
              const ConfigStoreSettings& aSettings = {})
    : mLoop(aLoop)
    , mStore(aStore)
    , mTransport(aTransport)
    , mMembership(aMembership)
    , mRandom(aRandom)
    , mSettings(aSettings)
    , mConfirmation(aSettings.mConfirmation, Clock::now())
    , mPromiseTable(aSettings.mConfirmation.mSettleTime)
    , mPush(aTransport, aMembership, aSettings.mPushTimeout)
    , mPromises(aTransport, aMembership, mPromiseTable, aSettings.mPrepareTimeout,
                [this] { return Version(); })
    , mHead(aLoop, aStore, aRandom, aSettings,
            [this](const HeadReading& aReading) { OnReading(aReading); })
    , mWriter(
        aLoop, aStore, mHead, mPromises, aRandom, aSettings,
        [this] { return std::max(Version(), mConfirmation.HighestHeard()); },
        [this] { return mInForce ? mInForce->mHead : ConfigHead(); },
        [this](AcceptedConfig aConfig, std::function<void()> aDone) {
          OnWritten(std::move(aConfig), std::move(aDone));
        })
  {
    mMembership.AddPayload(
      "config",
      [weak = Weak()] {
        return weak.expired() ? Json() : WriteReport((*weak.lock())->CurrentReport());
      },
      [weak = Weak()](const membership::Member& aMember, const Json& aPayload, TimePoint aSent) {
        if (const auto self = weak.lock()) {
          (*self)->OnReport(aMember, aPayload, aSent);
        }
      });
    HandlePeers();
  }
  ConfigStore(const ConfigStore&) = delete;
  ConfigStore& operator=(const ConfigStore&) = delete;

  // An additional check before a change is accepted.
  void SetExtraCheck(ExtraCheck aCheck) { mExtraCheck = std::move(aCheck); }
  // Calls back at each new version in force; the call comes before it is pushed to others.
  void OnInForce(Listener aListener) { mListeners.push_back(std::move(aListener)); }

  // The configuration in force; null before the first.
  const Pointer& InForce() const { return mInForce; }
  ConfigVersion Version() const { return mInForce ? mInForce->mHead.mVersion : ConfigVersion(); }
  ConfirmationState State()
  {
    return mConfirmation.State(Clock::now(), mMembership.KnownCount(), mPromiseTable.HighestOpen());
  }
  // Whether new work may be accepted. Must be asked at each decision, because time alone ends it.
  bool MayAcceptWork()
  {
    const auto state = State();
    return state == ConfirmationState::Confirmed || state == ConfirmationState::ServiceDown ||
           (state == ConfirmationState::Isolated && mSettings.mServeIsolated);
  }

  // Checks a change and applies it. The same change again has the same outcome.
  void Accept(const ChangeRequest& aRequest, OutcomeCallback aCallback)
  {
    auto read = config::ReadYaml(aRequest.mText, "");
    auto& problems = read.mProblems;
    std::string text;
    if (read.mDocument) {
      text = config::CanonicalText(*read.mDocument);
      Check(aRequest, *read.mDocument, text, problems);
    }
    if (!read.mDocument || !problems.empty()) {
      Answer(std::move(aCallback), { ChangeOutcome::Kind::Invalid, {}, std::move(problems), {} });
      return;
    }
    AcceptedConfig config;
    config.mHead = { aRequest.mBase + ConfigVersion(1), config::ContentHash(*read.mDocument),
                     aRequest.mChange, aRequest.mOperator };
    config.mBody = config::ToJson(*read.mDocument);
    config.mDocument = std::move(*read.mDocument);
    if (mInForce && mInForce->mHead.mChange == aRequest.mChange &&
        mInForce->mHead.mHash == config.mHead.mHash) {
      Spread(nullptr, [&loop = mLoop, callback = std::move(aCallback), head = mInForce->mHead] {
        loop.Post([callback, head] { callback({ ChangeOutcome::Kind::Applied, head, {}, {} }); });
      });
      return;
    }
    mWriter.Write(std::move(config), std::move(text), std::move(aCallback));
  }

  // Finds the record of a change; nothing if it is not applied now.
  void FindChange(const ChangeId& aChange, FindCallback aCallback)
  {
    if (mInForce && mInForce->mHead.mChange == aChange) {
      mLoop.Post([record = ChangeRecord{ mInForce->mHead.mVersion, mInForce->mHead.mHash },
                  callback = std::move(aCallback)] { callback({}, record); });
      return;
    }
    mWriter.Find(aChange, std::move(aCallback));
  }

  // All members, this node included, with their versions.
  std::vector<NodeConfig> Nodes()
  {
    std::vector<NodeConfig> nodes;
    const auto now = Clock::now();
    for (auto& it : mMembership.Members()) {
      const auto& id = it.mMember.mNode;
      if (id == mMembership.Self().mNode) {
        nodes.push_back(
          { it, Version(), State() == ConfirmationState::Confirmed, mConfirmation.IsSettled() });
        continue;
      }
      const auto* report = mConfirmation.ReportOf(id);
      nodes.push_back({ it, report ? report->mVersion : ConfigVersion(),
                        mConfirmation.IsMemberConfirmed(id, now), report && report->mSettled });
    }
    return nodes;
  }

  // What this node says about its configuration in heartbeat answers.
  MemberReport CurrentReport()
  {
    MemberReport report;
    report.mVersion = Version();
    report.mHash = mInForce ? mInForce->mHead.mHash : "";
    report.mOpenPromise = mPromiseTable.HighestOpen();
    mConfirmation.FillReport(report, Clock::now());
    return report;
  }

  // Number of pushes sent so far.
  const ConfigPush<Transport>& Pushes() const { return mPush; }

private:
  using Clock = std::chrono::steady_clock;
  static constexpr const char* kPull = "config/pull";

  std::weak_ptr<ConfigStore*> Weak() const { return mAlive; }

  void HandlePeers()
  {
    mTransport.Handle(mPush.kMethod,
                      [weak = Weak()](const Json& aBody, const peer::ReplyFunction& aReply) {
                        const auto self = weak.lock();
                        if (self) {
                          (*self)->TakePush(aBody);
                        }
                        aReply({ { "version", self ? (*self)->Version().Value() : 0 } });
                      });
    mTransport.Handle(kPull, [weak = Weak()](const Json&, const peer::ReplyFunction& aReply) {
      const auto self = weak.lock();
      aReply(self && (*self)->mInForce ? WriteWhole(*(*self)->mInForce) : Json::object());
    });
  }

  void Answer(OutcomeCallback aCallback, ChangeOutcome aOutcome)
  {
    mLoop.Post(
      [callback = std::move(aCallback), outcome = std::move(aOutcome)] { callback(outcome); });
  }

  void Check(const ChangeRequest& aRequest, const config::Document& aDocument,
             const std::string& aText, std::vector<config::Problem>& aProblems) const
  {
    const auto add = [&aProblems](const std::string& aMessage) {
      config::Problem problem;
      problem.mMessage = aMessage;
      aProblems.push_back(problem);
    };
    if (aRequest.mChange.IsEmpty() || aRequest.mBase < ConfigVersion()) {
      add("change id is missing or the base version is negative");
    }
    if (static_cast<std::int64_t>(aText.size()) > kv::kMaxValue.Value()) {
      add("canonical text has " + std::to_string(aText.size()) + " bytes, over the limit of " +
          std::to_string(kv::kMaxValue.Value()));
    }
    if (mExtraCheck) {
      const auto more = mExtraCheck(aDocument);
      aProblems.insert(aProblems.end(), more.begin(), more.end());
    }
  }

  // Takes over a higher version; false if it is not higher.
  bool Install(AcceptedConfig aConfig, const char* aSource)
  {
    if (aConfig.mHead.mVersion <= Version()) {
      return false;
    }
    mInForce = std::make_shared<const AcceptedConfig>(std::move(aConfig));
    mConfirmation.SetInForce(Version());
    mPromiseTable.SetInForce(Version());
    LogEvent("config_in_force")
      .With("version", Version())
      .With("hash", mInForce->mHead.mHash)
      .With("change", mInForce->mHead.mChange)
      .With("source", aSource);
    for (const auto& it : mListeners) {
      it(mInForce);
    }
    return true;
  }

  void OnWritten(AcceptedConfig aConfig, std::function<void()> aDone)
  {
    const auto before = mInForce;
    const bool isNew = Install(std::move(aConfig), "accepted");
    Spread(isNew ? before : nullptr, std::move(aDone));
  }

  // Sends the configuration in force to the members that don't have it. An operator hears of a
  // change only after that: otherwise it would be lost to all others for as long as the service is
  // down, if this node failed right after its answer.
  void Spread(const Pointer& aBase, std::function<void()> aDone)
  {
    mPush.SendToAll(aBase, mInForce, mConfirmation, std::move(aDone));
  }

  void TakePush(const Json& aMessage)
  {
    if (auto config = ReadPush(aMessage, mInForce.get())) {
      Install(std::move(*config), "peer");
    }
  }

  void OnReport(const membership::Member& aMember, const Json& aPayload, TimePoint aSent)
  {
    const auto report = ReadReport(aPayload);
    if (!report) {
      return;
    }
    mConfirmation.NoteReport(aMember.mNode, *report, aSent);
    if (report->mVersion <= Version() || std::exchange(mPulling, true)) {
      return;
    }
    mTransport.Call(aMember.mAddress, kPull, Json::object(), mSettings.mPushTimeout,
                    [weak = Weak()](std::error_code aError, const Json& aAnswer) {
                      const auto self = weak.lock();
                      if (self) {
                        (*self)->mPulling = false;
                      }
                      if (self && !aError) {
                        (*self)->TakePush(aAnswer);
                      }
                    });
  }

  void OnReading(const HeadReading& aReading)
  {
    const auto version = VersionOf(aReading.mHead);
    if (mInForce && version == Version() && aReading.mHead->mHash != mInForce->mHead.mHash) {
      LogEvent("config_diverged", LogLevel::Error)
        .With("version", version)
        .With("hash", mInForce->mHead.mHash)
        .With("service_hash", aReading.mHead->mHash);
      return;
    }
    mConfirmation.NoteDirectRead(version, aReading.mSent);
    mPromiseTable.NoteDirectRead(version, aReading.mSent);
    if (version > Version()) {
      WaitForPush();
    } else if (version < Version()) {
      WriteBackLater();
    }
  }

  // Reads the body from the service unless a peer delivers the version first.
  void WaitForPush()
  {
    if (std::exchange(mFetching, true)) {
      return;
    }
    mFetchTimer = mLoop.After(mRandom.Jitter(mSettings.mPushWait * 2), [this] { FetchHead(); });
  }

  void FetchHead()
  {
    mHead.Read([this](std::error_code aError, const HeadReading& aReading) {
      if (aError || VersionOf(aReading.mHead) <= Version()) {
        mFetching = false;
        return;
      }
      FetchBody(*aReading.mHead);
    });
  }

  // If the body belongs to a later head by now, the next read of the head starts again.
  void FetchBody(const ConfigHead& aHead)
  {
    mStore.Get(kBodyKey, [weak = Weak(), aHead](std::error_code aError,
                                                const std::optional<kv::Entry>& aEntry) {
      const auto self = weak.lock();
      if (!self) {
        return;
      }
      (*self)->mFetching = false;
      if (!aError && aEntry) {
        if (auto config = ReadBody(aHead, ParseJson(aEntry->mValue).value_or(Json()))) {
          (*self)->Install(std::move(*config), "service");
        }
      }
    });
  }

  // The service showed a lower version than the one in force. It may have been restored from a
  // backup, or the read alone was stale, so the head is read again before it is written.
  void WriteBackLater()
  {
    if (std::exchange(mWritingBack, true)) {
      return;
    }
    mWriteBackTimer = mLoop.After(mRandom.Jitter(mSettings.mRetryDelay), [this] {
      mHead.Read([this](std::error_code aError, const HeadReading& aReading) {
        if (aError || VersionOf(aReading.mHead) >= Version()) {
          mWritingBack = false;
          return;
        }
        WriteBack(aReading);
      });
    });
  }

  void WriteBack(const HeadReading& aReading)
  {
    using Kind = kv::Operation::Kind;
    const auto& head = mInForce->mHead;
    LogEvent("config_write_back", LogLevel::Warning)
      .With("version", head.mVersion)
      .With("service_version", VersionOf(aReading.mHead));
    const auto record = WriteChange({ head.mVersion, head.mHash, WallClockMs() });
    mStore.Transact({ { Kind::CompareAndSet, kHeadKey, DumpJson(WriteHead(head)), aReading.mIndex },
                      { Kind::Set, kBodyKey, DumpJson(mInForce->mBody), 0 },
                      { Kind::Set, ChangeKey(head.mChange), DumpJson(record), 0 } },
                    [weak = Weak()](std::error_code, const kv::TransactionResult&) {
                      // Whatever the result is, the next read of the head tells whether this has to
                      // go on.
                      if (const auto self = weak.lock()) {
                        (*self)->mWritingBack = false;
                      }
                    });
  }

  EventLoop& mLoop;
  Store& mStore;
  Transport& mTransport;
  membership::Membership<Transport>& mMembership;
  Random& mRandom;
  ConfigStoreSettings mSettings;
  Pointer mInForce;
  Confirmation mConfirmation;
  PromiseTable mPromiseTable;
  ConfigPush<Transport> mPush;
  PromiseRound<Transport> mPromises;
  HeadWatcher<Store> mHead;
  ChangeWriter<Store, Transport> mWriter;
  ExtraCheck mExtraCheck;
  std::vector<Listener> mListeners;
  bool mPulling = false;
  bool mFetching = false;
  bool mWritingBack = false;
  Timer mFetchTimer;
  Timer mWriteBackTimer;
  std::shared_ptr<ConfigStore*> mAlive = std::make_shared<ConfigStore*>(this);
};

} // namespace lovagerock::configstore
