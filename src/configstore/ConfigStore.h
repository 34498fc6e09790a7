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

// A member with the configuration status from its last report.
struct NodeConfig
{
  membership::MemberView mMember;
  ConfigVersion mVersion;
  bool mConfirmed = false;
  // See MemberReport.
  bool mSettled = false;
};

// Holds the configuration in force on this node: accepts changes from operators, installs those
// accepted by other nodes and determines whether it is current. The version in force never
// decreases. Must be used on the event loop only, as must the objects given to the constructor,
// which must outlive it. Create one per membership.
template<kv::KeyValueStore Store, peer::PeerTransport Transport>
class ConfigStore
{
public:
  using Pointer = std::shared_ptr<const AcceptedConfig>;
  using Listener = std::function<void(const Pointer&)>;
  // Returns the problems of a well-formed document; empty if it can be accepted.
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
    , mHeadWatcher(aLoop, aStore, aRandom, aSettings,
                   [this](const HeadReading& aReading) { OnReading(aReading); })
    , mWriter(
        aLoop, aStore, mHeadWatcher, mPromises, aRandom, aSettings,
        [this] { return std::max(Version(), mConfirmation.HighestKnownVersion()); },
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
    RegisterPeerHandlers();
  }
  ConfigStore(const ConfigStore&) = delete;
  ConfigStore& operator=(const ConfigStore&) = delete;

  // Sets an additional check that a change must pass before it is accepted.
  void SetExtraCheck(ExtraCheck aCheck) { mExtraCheck = std::move(aCheck); }
  // Adds a listener for each new version in force, called before the version is pushed to others.
  void OnInForce(Listener aListener) { mListeners.push_back(std::move(aListener)); }

  // The configuration in force; null before the first.
  const Pointer& InForce() const { return mInForce; }
  ConfigVersion Version() const { return mInForce ? mInForce->mHead.mVersion : ConfigVersion(); }
  ConfirmationState State()
  {
    return mConfirmation.State(Clock::now(), mMembership.KnownCount(), mPromiseTable.HighestOpen());
  }
  // Whether new work may be accepted. Call it for each decision and do not cache the result: the
  // confirmation expires without any event.
  bool MayAcceptWork()
  {
    const auto state = State();
    return state == ConfirmationState::Confirmed || state == ConfirmationState::ServiceDown ||
           (state == ConfirmationState::Isolated && mSettings.mServeIsolated);
  }

  // Validates a change and applies it. Idempotent: a change that is applied already is reported as
  // applied again.
  void Accept(const ChangeRequest& aRequest, OutcomeCallback aCallback)
  {
    auto read = config::ReadYaml(aRequest.mText, "");
    auto& problems = read.mProblems;
    std::string text;
    if (read.mDocument) {
      text = config::CanonicalText(*read.mDocument);
      Validate(aRequest, *read.mDocument, text, problems);
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
      PushToMembers(
        nullptr, [&loop = mLoop, callback = std::move(aCallback), head = mInForce->mHead] {
          loop.Post([callback, head] { callback({ ChangeOutcome::Kind::Applied, head, {}, {} }); });
        });
      return;
    }
    mWriter.Write(std::move(config), std::move(text), std::move(aCallback));
  }

  // Reads the record of a change; passes nullopt if the change is not applied now.
  void FindChange(const ChangeId& aChange, FindCallback aCallback)
  {
    if (mInForce && mInForce->mHead.mChange == aChange) {
      mLoop.Post([record = ChangeRecord{ mInForce->mHead.mVersion, mInForce->mHead.mHash },
                  callback = std::move(aCallback)] { callback({}, record); });
      return;
    }
    mWriter.Find(aChange, std::move(aCallback));
  }

  // Returns all members, this node included, with their versions.
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

  // Returns the report that this node sends in heartbeat answers.
  MemberReport CurrentReport()
  {
    MemberReport report;
    report.mVersion = Version();
    report.mHash = mInForce ? mInForce->mHead.mHash : "";
    report.mOpenPromise = mPromiseTable.HighestOpen();
    mConfirmation.FillReport(report, Clock::now());
    return report;
  }

  // Gives access to the number of pushes sent so far.
  const ConfigPush<Transport>& Pushes() const { return mPush; }

private:
  using Clock = std::chrono::steady_clock;
  static constexpr const char* kPull = "config/pull";

  std::weak_ptr<ConfigStore*> Weak() const { return mAlive; }

  void RegisterPeerHandlers()
  {
    mTransport.Handle(mPush.kMethod,
                      [weak = Weak()](const Json& aBody, const peer::ReplyFunction& aReply) {
                        const auto self = weak.lock();
                        if (self) {
                          (*self)->ApplyPush(aBody);
                        }
                        aReply({ { "version", self ? (*self)->Version().Value() : 0 } });
                      });
    mTransport.Handle(kPull, [weak = Weak()](const Json&, const peer::ReplyFunction& aReply) {
      const auto self = weak.lock();
      aReply(self && (*self)->mInForce ? WriteFullBody(*(*self)->mInForce) : Json::object());
    });
  }

  void Answer(OutcomeCallback aCallback, ChangeOutcome aOutcome)
  {
    mLoop.Post(
      [callback = std::move(aCallback), outcome = std::move(aOutcome)] { callback(outcome); });
  }

  void Validate(const ChangeRequest& aRequest, const config::Document& aDocument,
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

  // Puts a configuration in force. Returns false if its version is not above the one in force.
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
    PushToMembers(isNew ? before : nullptr, std::move(aDone));
  }

  // Pushes the configuration in force to the members that don't have it. A change is reported to
  // its operator only when the push is done: if this node failed right after its answer while the
  // service is down, the other members would lack the change until the service is back.
  void PushToMembers(const Pointer& aBase, std::function<void()> aDone)
  {
    mPush.SendToAll(aBase, mInForce, mConfirmation, std::move(aDone));
  }

  void ApplyPush(const Json& aMessage)
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
    if (report->mVersion <= Version() || std::exchange(mPullPending, true)) {
      return;
    }
    mTransport.Call(aMember.mAddress, kPull, Json::object(), mSettings.mPushTimeout,
                    [weak = Weak()](std::error_code aError, const Json& aAnswer) {
                      const auto self = weak.lock();
                      if (self) {
                        (*self)->mPullPending = false;
                      }
                      if (self && !aError) {
                        (*self)->ApplyPush(aAnswer);
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

  // Waits for the push of a new version; if none arrives in time, reads the body from the service.
  void WaitForPush()
  {
    if (std::exchange(mFetchPending, true)) {
      return;
    }
    mFetchTimer = mLoop.After(mRandom.Jitter(mSettings.mPushWait * 2), [this] { FetchHead(); });
  }

  void FetchHead()
  {
    mHeadWatcher.Read([this](std::error_code aError, const HeadReading& aReading) {
      if (aError || VersionOf(aReading.mHead) <= Version()) {
        mFetchPending = false;
        return;
      }
      FetchBody(*aReading.mHead);
    });
  }

  // Reads the body for aHead. If it belongs to a later head by then, it is refused, and the next
  // read of the head starts another fetch.
  void FetchBody(const ConfigHead& aHead)
  {
    mStore.Get(kBodyKey, [weak = Weak(), aHead](std::error_code aError,
                                                const std::optional<kv::Entry>& aEntry) {
      const auto self = weak.lock();
      if (!self) {
        return;
      }
      (*self)->mFetchPending = false;
      if (!aError && aEntry) {
        if (auto config = ReadBody(aHead, ParseJson(aEntry->mValue).value_or(Json()))) {
          (*self)->Install(std::move(*config), "service");
        }
      }
    });
  }

  // Schedules a write-back after the service showed a lower version than the one in force. Either
  // it was restored from a backup or that read was stale, so the head is read again before it is
  // written.
  void WriteBackLater()
  {
    if (std::exchange(mWriteBackPending, true)) {
      return;
    }
    mWriteBackTimer = mLoop.After(mRandom.Jitter(mSettings.mRetryDelay), [this] {
      mHeadWatcher.Read([this](std::error_code aError, const HeadReading& aReading) {
        if (aError || VersionOf(aReading.mHead) >= Version()) {
          mWriteBackPending = false;
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
                      // The result does not matter: the next read of the head shows whether another
                      // write-back is needed.
                      if (const auto self = weak.lock()) {
                        (*self)->mWriteBackPending = false;
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
  HeadWatcher<Store> mHeadWatcher;
  ChangeWriter<Store, Transport> mWriter;
  ExtraCheck mExtraCheck;
  std::vector<Listener> mListeners;
  bool mPullPending = false;
  bool mFetchPending = false;
  bool mWriteBackPending = false;
  Timer mFetchTimer;
  Timer mWriteBackTimer;
  std::shared_ptr<ConfigStore*> mAlive = std::make_shared<ConfigStore*>(this);
};

} // namespace lovagerock::configstore
