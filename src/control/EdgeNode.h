#pragma once

#include "base/BootClock.h"
#include "base/EventLoop.h"
#include "base/Json.h"
#include "base/LogEvent.h"
#include "base/Random.h"
#include "control/CallerApi.h"
#include "control/ControlSettings.h"
#include "control/Deployment.h"
#include "control/Election.h"
#include "control/Leader.h"
#include "control/PrefixWatch.h"
#include "control/StoreContact.h"
#include "http/HttpServer.h"
#include "peer/NghttpTransport.h"

#include <memory>
#include <optional>
#include <string>
#include <system_error>
#include <utility>

namespace lovagerock::control {

// What an entry node takes from the platform that it runs on.
template<typename T>
concept Platform = kv::PrefixStore<typename T::Store> && WorkerCalls<typename T::Calls> &&
  WorkerRegistry<typename T::Registry> && CallerCodec<typename T::Callers> &&
  requires(const std::string& aText)
{
  // The key of the configuration, and its form.
  {
    T::ConfigurationKey()
    } -> std::convertible_to<std::string>;
  {
    T::ReadConfiguration(aText)
    } -> std::convertible_to<std::optional<Deployment>>;
  {
    T::ReadinessPath()
    } -> std::convertible_to<std::string>;
};

// An entry node: serves callers, follows the configuration, takes part in the election, and runs
// the scheduler while it is the leader.
template<Platform P>
class EdgeNode
{
public:
  using Store = typename P::Store;
  using Calls = typename P::Calls;

  EdgeNode(EventLoop& aLoop, Random& aRandom, Store& aStore, Calls& aCalls,
           const ControlSettings& aSettings)
    : mLoop(aLoop)
    , mRandom(aRandom)
    , mStore(aStore)
    , mCalls(aCalls)
    , mSettings(aSettings)
    , mPeers(aLoop, aRandom)
    , mCallerServer(aLoop)
    , mReadinessServer(aLoop)
    , mApi(aLoop, aStore, Hooks())
  {
  }

  // Starts to listen and to follow the store.
  std::error_code Start()
  {
    for (const auto method : { http::Method::Get, http::Method::Post, http::Method::Delete }) {
      mCallerServer.Handle(method, "/{path*}", [this](http::Request aRequest, http::Responder aTo) {
        mApi.Handle(aRequest, aTo);
      });
    }
    mReadinessServer.Handle(http::Method::Get, P::ReadinessPath(),
                            [this](const http::Request&, http::Responder aTo) {
                              aTo.Send({ IsReady() ? 200 : 503, {}, "" });
                            });
    HandlePeers();
    for (const auto ec :
         { mCallerServer.Listen(mSettings.mCallers), mReadinessServer.Listen(mSettings.mReadiness),
           mPeers.Listen(mSettings.mPeers) }) {
      if (ec) {
        return ec;
      }
    }
    FollowConfiguration();
    ElectionCallbacks callbacks;
    callbacks.mOnElected = [this](FencingToken) { OnElected(); };
    callbacks.mOnLost = [this](const char*) { OnLost(); };
    mElection.emplace(mLoop, mStore, mRandom, mSettings, std::move(callbacks));
    return {};
  }

  // The settings have changed; addresses stay as they are.
  void OnSettings(const ControlSettings& aSettings)
  {
    const auto old = std::exchange(mSettings, aSettings);
    mSettings.mCallers = old.mCallers;
    mSettings.mReadiness = old.mReadiness;
    mSettings.mPeers = old.mPeers;
    LogEvent("settings_applied").With("grace_ms", mSettings.mGrace);
  }

  // Hands the leadership over, goes on serving open connections while callers move to other nodes,
  // and stops the loop before the grace time ends.
  void Shutdown()
  {
    if (mIsStopping) {
      return;
    }
    mIsStopping = true;
    mStopBegan = std::chrono::steady_clock::now();
    LogEvent("shutdown_started").With("active", mCallerServer.ActiveRequests());
    mCallerServer.SetDraining();
    mElection->Withdraw();
    mStopCheck = mLoop.Every(kStopCheckPeriod, [this] { CheckStopped(); });
  }

private:
  void CheckStopped()
  {
    // The balancer needs two checks, a second apart, to notice.
    constexpr Duration kBalancerDelay{ 2500 };
    constexpr Duration kReserve{ 700 };
    const auto elapsed = std::chrono::steady_clock::now() - mStopBegan;
    const bool isIdle = mCallerServer.ActiveRequests() == 0;
    const bool isLast = elapsed > mSettings.mGrace - kReserve;
    const bool isUnused = mCallerServer.Callers().mConnections == 0 && elapsed > kBalancerDelay;
    if (isLast) {
      mCallerServer.StopListening();
    }
    if (isIdle && (isUnused || isLast)) {
      mLoop.Stop();
    }
  }

  void FollowConfiguration()
  {
    WatchCallbacks callbacks;
    callbacks.mOnList = [this](const auto& aItems) {
      const auto it = aItems.find(P::ConfigurationKey());
      if (it != aItems.end()) {
        OnConfiguration(it->second.mValue);
      }
    };
    callbacks.mOnEvent = [this](const auto& aEvent) {
      if (aEvent.mValue && aEvent.mKey == P::ConfigurationKey()) {
        OnConfiguration(*aEvent.mValue);
      }
    };
    callbacks.mOnConfirmed = [this](Duration aBegan) { mContact.OnAnswer(aBegan, BootTime()); };
    mConfiguration.emplace(mLoop, mStore, P::ConfigurationKey(), std::move(callbacks));
  }

  void OnConfiguration(const std::string& aText)
  {
    auto deployment = P::ReadConfiguration(aText);
    if (!deployment) {
      LogEvent("configuration_malformed", LogLevel::Error).With("bytes", aText.size());
      return;
    }
    if (mDeployment && deployment->mVersion <= mDeployment->mVersion) {
      return;
    }
    LogEvent("configuration_applied")
      .With("version", deployment->mVersion)
      .With("queues", deployment->mQueues.size());
    mDeployment = std::move(deployment);
    if (mLeader) {
      mLeader->OnDeployment(*mDeployment);
    } else if (mElection && mElection->IsLeader()) {
      OnElected();
    }
  }

  Duration ConfirmedAge() const { return mContact.Age(BootTime()); }

  bool IsReady() const
  {
    return mDeployment && !mIsStopping && ConfirmedAge() < kReadyConfirmation;
  }

  void OnElected()
  {
    if (mDeployment && !mLeader) {
      mLeader = std::make_unique<LeaderType>(
        mLoop, mStore, mCalls, *mElection, mSettings, *mDeployment,
        [this](const HandOverCallback& aCallback) { AskFormer(aCallback); });
    }
  }

  void AskFormer(const HandOverCallback& aCallback)
  {
    const auto former = mElection->Former();
    if (!former || !former->mAddress) {
      const bool isOwn = former && mUnstored && mUnstored->mToken == former->mToken;
      aCallback(isOwn ? *mUnstored : HandOver());
      return;
    }
    mPeers.Call(*former->mAddress, "hand_over", { { "token", former->mToken.Value() } },
                kHandOverCall, [aCallback](std::error_code aError, const Json& aReply) {
                  if (aError) {
                    LogEvent("former_leader_silent").With("reason", aError.message());
                  }
                  aCallback(aError ? HandOver() : ReadHandOver(aReply));
                });
  }

  // Gives a successor what this node may not have stored while it led, and gives up if it still
  // does.
  HandOver GiveHandOver(FencingToken aToken)
  {
    if (mElection && mElection->Token() == aToken) {
      mElection->Resign("successor");
    }
    return mUnstored && mUnstored->mToken == aToken ? *mUnstored : HandOver();
  }

  void OnLost()
  {
    if (mLeader) {
      mUnstored = mLeader->UnstoredState();
    }
    // Freed from the loop, because the leader itself may have given up.
    mLoop.Post([leader = std::shared_ptr<LeaderType>(std::move(mLeader))] {});
  }

  CallerHooks Hooks()
  {
    CallerHooks hooks;
    hooks.mDeployment = [this] { return mDeployment ? &*mDeployment : nullptr; };
    hooks.mAreKeysCurrent = [this] {
      return mSettings.mRevocation == Duration(0) ||
             ConfirmedAge() < mSettings.mRevocation - kRevocationMargin;
    };
    hooks.mConfigurationAge = [this] { return ConfirmedAge(); };
    hooks.mIsStoreReachable = [this] { return mContact.IsReachable(BootTime()); };
    hooks.mAskState = [this](const JobId& aJob, StateAnswer aAnswer) {
      AskState(aJob, std::move(aAnswer));
    };
    hooks.mAskPending = [this](const std::string& aQueue, PendingAnswer aAnswer) {
      AskPending(aQueue, std::move(aAnswer));
    };
    return hooks;
  }

  bool IsLoadedLeader() const { return mLeader && mLeader->IsLoaded(); }

  void HandlePeers()
  {
    mPeers.Handle("job_state", [this](const Json& aBody, const peer::ReplyFunction& aReply) {
      if (!IsLoadedLeader()) {
        aReply({ { "leader", false } });
        return;
      }
      const auto known = mLeader->State(JobId(JsonValue(aBody, "job", std::string())));
      Json reply{ { "leader", true }, { "known", known.has_value() } };
      if (known) {
        reply["state"] = scheduler::JobStateName(known->mState);
        reply["account"] = known->mAccount.Value();
      }
      aReply(std::move(reply));
    });
    mPeers.Handle("hand_over", [this](const Json& aBody, const peer::ReplyFunction& aReply) {
      const FencingToken token(JsonValue(aBody, "token", std::int64_t{ 0 }));
      aReply(WriteHandOver(GiveHandOver(token)));
    });
    mPeers.Handle("pending_jobs", [this](const Json& aBody, const peer::ReplyFunction& aReply) {
      if (!IsLoadedLeader()) {
        aReply({ { "leader", false } });
        return;
      }
      const auto queue = JsonValue(aBody, "queue", std::string());
      aReply({ { "leader", true }, { "count", mLeader->PendingJobs(queue) } });
    });
  }

  void AskState(const JobId& aJob, StateAnswer aAnswer)
  {
    if (IsLoadedLeader()) {
      aAnswer(mLeader->State(aJob));
      return;
    }
    const auto& leader = mElection ? mElection->LeaderAddress() : mNoAddress;
    if (!leader) {
      aAnswer(std::nullopt);
      return;
    }
    mPeers.Call(*leader, "job_state", { { "job", aJob.Value() } }, kLeaderCall,
                [answer = std::move(aAnswer)](std::error_code aError, const Json& aReply) {
                  answer(ReadStateReply(aError, aReply));
                });
  }

  static std::optional<std::optional<KnownState>>
  ReadStateReply(std::error_code aError, const Json& aReply)
  {
    if (aError || !JsonValue(aReply, "leader", false)) {
      return std::nullopt;
    }
    const auto state = scheduler::ParseJobState(JsonValue(aReply, "state", std::string()));
    std::optional<KnownState> known;
    if (state) {
      known = KnownState{ *state, AccountId(JsonValue(aReply, "account", std::string())) };
    }
    return known;
  }

  void AskPending(const std::string& aQueue, PendingAnswer aAnswer)
  {
    if (IsLoadedLeader()) {
      aAnswer(mLeader->PendingJobs(aQueue));
      return;
    }
    const auto& leader = mElection ? mElection->LeaderAddress() : mNoAddress;
    if (!leader) {
      aAnswer(std::nullopt);
      return;
    }
    mPeers.Call(*leader, "pending_jobs", { { "queue", aQueue } }, kLeaderCall,
                [answer = std::move(aAnswer)](std::error_code aError, const Json& aReply) {
                  const bool isKnown = !aError && JsonValue(aReply, "leader", false);
                  answer(isKnown ? std::optional(JsonValue(aReply, "count", 0)) : std::nullopt);
                });
  }

  using LeaderType = Leader<Store, Calls, typename P::Registry>;

  EventLoop& mLoop;
  Random& mRandom;
  Store& mStore;
  Calls& mCalls;
  ControlSettings mSettings;
  peer::NghttpTransport mPeers;
  http::HttpServer mCallerServer;
  http::HttpServer mReadinessServer;
  CallerApi<Store, typename P::Callers> mApi;
  std::optional<Deployment> mDeployment;
  StoreContact mContact;
  std::optional<PrefixWatch<Store>> mConfiguration;
  std::optional<Election<Store>> mElection;
  std::unique_ptr<LeaderType> mLeader;
  // Of this node's last leadership.
  std::optional<HandOver> mUnstored;
  const std::optional<SocketAddress> mNoAddress;
  bool mIsStopping = false;
  TimePoint mStopBegan;
  Timer mStopCheck;
};

} // namespace lovagerock::control
