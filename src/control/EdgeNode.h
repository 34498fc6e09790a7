#pragma once

#include "base/BootClock.h"
#include "base/EventLoop.h"
#include "base/Json.h"
#include "base/LogEvent.h"
#include "base/Random.h"
#include "base/TokenBucket.h"
#include "control/CallerApi.h"
#include "control/CallerLimits.h"
#include "control/ControlSettings.h"
#include "control/Deployment.h"
#include "control/EdgeMetrics.h"
#include "control/Election.h"
#include "control/Leader.h"
#include "control/PrefixWatch.h"
#include "control/StoreFreshness.h"
#include "control/WriteRelay.h"
#include "http/HttpServer.h"
#include "peer/NghttpTransport.h"

#include <memory>
#include <optional>
#include <string>
#include <system_error>
#include <utility>
#include <vector>

namespace lovagerock::control {

// The platform-specific types and functions that an entry node uses.
template<typename T>
concept Platform = kv::PrefixStore<typename T::Store> && WorkerCalls<typename T::Calls> &&
  WorkerRegistry<typename T::Registry> && CallerCodec<typename T::Callers> &&
  requires(const std::string& aText)
{
  // The store key of the configuration, and the parser of its value.
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

// An entry node: serves callers, watches the configuration, takes part in the leader election, and
// runs the scheduler while it is the leader.
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
    , mPeers(aLoop, aRandom, MakePeerLimits(aSettings))
    , mCallerServer(aLoop, MakeCallerLimits(aSettings))
    , mReadinessServer(aLoop, MakeReadinessLimits(aSettings))
    , mRelay(aStore, mPeers, aSettings.mPeers, MakeRelayHooks())
    , mCallerApi(aLoop, aStore, MakeCallerHooks(), aSettings.mJobs)
  {
  }

  // Starts the servers, the configuration watch and the election; returns an error if an address
  // can't be bound.
  std::error_code Start()
  {
    for (const auto method : { http::Method::Get, http::Method::Post, http::Method::Delete }) {
      mCallerServer.Handle(method, "/{path*}", [this](http::Request aRequest, http::Responder aTo) {
        mCallerApi.Handle(aRequest, aTo);
      });
    }
    mReadinessServer.Handle(http::Method::Get, P::ReadinessPath(),
                            [this](const http::Request&, http::Responder aTo) {
                              aTo.Send({ IsReady() ? 200 : 503, {}, "" });
                            });
    mReadinessServer.Handle(
      http::Method::Get, "/metrics", [this](const http::Request&, http::Responder aTo) {
        mMetrics.SetListener("callers", mCallerServer.Callers());
        mMetrics.SetListener("readiness", mReadinessServer.Callers());
        mMetrics.SetPeers(mPeers.Counters());
        const auto status = mLeader ? std::optional(mLeader->Status()) : std::nullopt;
        aTo.Send({ 200,
                   { { "Content-Type", "text/plain; version=0.0.4" } },
                   mMetrics.Collect(status ? &*status : nullptr) });
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

  // Applies changed settings, except for the listening addresses.
  void OnSettings(const ControlSettings& aSettings)
  {
    const auto old = std::exchange(mSettings, aSettings);
    mSettings.mCallers = old.mCallers;
    mSettings.mReadiness = old.mReadiness;
    mSettings.mPeers = old.mPeers;
    if (mLeader) {
      mLeader->OnSettings();
    }
    LogEvent("settings_applied").With("grace_ms", mSettings.mGracePeriod);
  }

  // Resigns the leadership and keeps serving while callers move to other nodes. Stops the event
  // loop when no request is active and either all connections are closed or the grace period is
  // nearly over.
  void Shutdown()
  {
    if (mIsShuttingDown) {
      return;
    }
    mIsShuttingDown = true;
    mShutdownStarted = std::chrono::steady_clock::now();
    LogEvent("shutdown_started").With("active", mCallerServer.ActiveRequests());
    mCallerServer.SetDraining();
    mElection->Withdraw();
    mShutdownTimer = mLoop.Every(kShutdownCheckPeriod, [this] { CheckShutdown(); });
  }

private:
  void CheckShutdown()
  {
    // The load balancer notices after two failed readiness checks, one second apart.
    constexpr Duration kBalancerDelay{ 2500 };
    constexpr Duration kGraceMargin{ 700 };
    const auto elapsed = std::chrono::steady_clock::now() - mShutdownStarted;
    const bool isIdle = mCallerServer.ActiveRequests() == 0;
    const bool isGraceNearlyOver = elapsed > mSettings.mGracePeriod - kGraceMargin;
    const bool isDrained = mCallerServer.Callers().mConnections == 0 && elapsed > kBalancerDelay;
    if (isGraceNearlyOver) {
      mCallerServer.StopListening();
    }
    if (isIdle && (isDrained || isGraceNearlyOver)) {
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
    callbacks.mOnConfirmed = [this](Duration aConfirmed) {
      mStoreFreshness.OnAnswer(aConfirmed, BootTime());
      mRelay.NoteLeader();
    };
    mConfigurationWatch.emplace(mLoop, mStore, P::ConfigurationKey(), std::move(callbacks));
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

  Duration ConfigurationAge() const { return mStoreFreshness.Age(BootTime()); }

  bool IsReady() const
  {
    return mDeployment && !mIsShuttingDown && ConfigurationAge() < kMaxReadyConfigurationAge;
  }

  void OnElected()
  {
    if (mDeployment && !mLeader) {
      mLeader = std::make_unique<LeaderType>(
        mLoop, mStore, mCalls, *mElection, mSettings, *mDeployment,
        [this](const FormerLeader& aFormer, Duration aTimeout, const HandOverCallback& aCallback) {
          RequestHandOver(aFormer, aTimeout, aCallback);
        });
    }
  }

  void
  RequestHandOver(const FormerLeader& aFormer, Duration aTimeout, const HandOverCallback& aCallback)
  {
    if (aFormer.mNode == mSettings.mNode && aFormer.mAddress == mSettings.mPeers) {
      aCallback(ProvideHandOver(aFormer.mToken, aFormer.mNode));
      return;
    }
    if (!aFormer.mAddress) {
      aCallback(HandOver());
      return;
    }
    mPeers.Call(
      *aFormer.mAddress, "hand_over",
      { { "token", aFormer.mToken.Value() },
        { "node", aFormer.mNode.Value() },
        { "successor", mSettings.mPeers.ToString() } },
      aTimeout, [aCallback, token = aFormer.mToken](std::error_code aError, const Json& aReply) {
        if (aError) {
          LogEvent("former_leader_silent").With("token", token).With("reason", aError.message());
        }
        aCallback(aError ? HandOver() : ReadHandOver(aReply));
      });
  }

  // Returns the state that the leadership with the token may not have stored, for its successor.
  // Resigns first if this node still holds it.
  HandOver ProvideHandOver(FencingToken aToken, const NodeId& aNode)
  {
    if (mElection && mElection->Token() == aToken) {
      mElection->Resign("successor");
    }
    // It isn't the present leadership of this node, so it ended with an earlier one at the latest.
    const auto endedAgo = BootTime() - mLastLedAt;
    if (mLastHandOver && mLastHandOver->mToken == aToken) {
      auto handOver = *mLastHandOver;
      handOver.mEndedAgo = endedAgo;
      handOver.mEarlierLeases = std::max(handOver.mEarlierLeases - endedAgo, Duration(0));
      return handOver;
    }
    // A claim without an outcome yet may be the one that began that leadership.
    const bool isEnded = aNode == mSettings.mNode && !(mElection && mElection->IsClaiming());
    return isEnded ? UnknownHandOver(aToken, endedAgo) : HandOver();
  }

  void OnLost()
  {
    mLastLedAt = BootTime();
    if (mLeader) {
      mLastHandOver = mLeader->UnstoredState();
    }
    // Destroyed from the event loop, because the leader itself may have called Resign().
    mLoop.Post([leader = std::shared_ptr<LeaderType>(std::move(mLeader))] {});
  }

  CallerHooks MakeCallerHooks()
  {
    CallerHooks hooks;
    hooks.mDeployment = [this] { return mDeployment ? &*mDeployment : nullptr; };
    hooks.mAreKeysCurrent = [this] {
      return mSettings.mRevocationLimit == Duration(0) ||
             ConfigurationAge() < mSettings.mRevocationLimit - kRevocationMargin;
    };
    hooks.mConfigurationAge = [this] { return ConfigurationAge(); };
    hooks.mIsStoreReachable = [this] { return mStoreFreshness.IsReachable(BootTime()); };
    hooks.mQueryState = [this](const JobId& aJob, StateCallback aCallback) {
      QueryState(aJob, std::move(aCallback));
    };
    hooks.mQueryPendingCount = [this](const std::string& aQueue, PendingCountCallback aCallback) {
      QueryPendingCount(aQueue, std::move(aCallback));
    };
    hooks.mIsClosed = [this](const scheduler::JobGroup& aGroup) {
      return mElection && mElection->ClosedGroups().contains(aGroup);
    };
    hooks.mMayRecordCancellation = [this] { return MayRecordCancellation(); };
    hooks.mOnJobRefused = [this](const char* aReason) { mMetrics.CountRefusedJob(aReason); };
    hooks.mRelayWrite = [this](const RequestWrite& aWrite, std::vector<SocketAddress>& aAsked,
                               TimePoint aDeadline, RelayCallback aCallback) {
      return mRelay.Send(aWrite, aAsked, aDeadline, std::move(aCallback));
    };
    return hooks;
  }

  RelayHooks MakeRelayHooks()
  {
    RelayHooks hooks;
    hooks.mLeader = [this] {
      if (mElection && mElection->IsLeader()) {
        return std::optional(mSettings.mPeers);
      }
      return mElection ? mElection->LeaderAddress() : mNoAddress;
    };
    hooks.mIsStoreReachable = [this] { return mStoreFreshness.IsReachable(BootTime()); };
    hooks.mMayRecordCancellation = [this] { return MayRecordCancellation(); };
    hooks.mOnOutcome = [this](RelayOutcome aOutcome) { mMetrics.CountRelayedWrite(aOutcome); };
    return hooks;
  }

  // Callers can name as many unknown jobs as they like, and each record is a write of the store.
  bool MayRecordCancellation()
  {
    const bool isAllowed = mEarlyCancellations.Take(std::chrono::steady_clock::now());
    mMetrics.CountEarlyCancellation(isAllowed);
    return isAllowed;
  }

  bool IsLoadedLeader() const { return mLeader && mLeader->IsLoaded(); }

  void HandlePeers()
  {
    mPeers.Handle("job_state", [this](const Json& aBody, const peer::ReplyFunction& aReply) {
      if (!IsLoadedLeader()) {
        aReply(NotLeading());
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
      const NodeId node(JsonValue(aBody, "node", std::string()));
      // A former leader that the store rejects learns of the present one only here.
      if (const auto leader = SocketAddress::Parse(JsonValue(aBody, "successor", std::string()))) {
        mRelay.Nodes().OnNamed(*leader);
      }
      aReply(WriteHandOver(ProvideHandOver(token, node)));
    });
    mPeers.Handle("pending_jobs", [this](const Json& aBody, const peer::ReplyFunction& aReply) {
      if (!IsLoadedLeader()) {
        aReply(NotLeading());
        return;
      }
      const auto count = mLeader->PendingJobs(JsonValue(aBody, "queue", std::string()));
      aReply({ { "leader", true }, { "count", count.mJobs }, { "current", count.mIsCurrent } });
    });
  }

  Json NotLeading() const
  {
    Json reply;
    reply["leader"] = false;
    if (const auto leader = mRelay.NamedLeader()) {
      reply["address"] = leader->ToString();
    }
    return reply;
  }

  // Calls the leader, and a second node if the first one doesn't lead and another is known to.
  void AskLeader(const std::string& aMethod, const Json& aBody, peer::CallCallback aCallback)
  {
    mRelay.NoteLeader();
    // While the store answers, this node's view is the newest one.
    const bool isViewCurrent = mElection && mStoreFreshness.IsReachable(BootTime());
    const auto leader = isViewCurrent ? mElection->LeaderAddress() : mRelay.Nodes().Choose();
    if (!leader) {
      aCallback(peer::PeerError::NotSent, {});
      return;
    }
    mPeers.Call(*leader, aMethod, aBody, kLeaderCallTimeout,
                [this, asked = *leader, aMethod, aBody,
                 callback = std::move(aCallback)](std::error_code aError, const Json& aReply) {
                  if (const auto next = NextLeader(asked, aError, aReply)) {
                    mPeers.Call(*next, aMethod, aBody, kLeaderCallTimeout, callback);
                  } else {
                    callback(aError, aReply);
                  }
                });
  }

  // Returns the node to ask after the reply; unset if the reply is the leader's, or if no other
  // node may lead.
  std::optional<SocketAddress>
  NextLeader(const SocketAddress& aAsked, std::error_code aError, const Json& aReply)
  {
    if (!aError && JsonValue(aReply, "leader", false)) {
      return std::nullopt;
    }
    auto next =
      aError ? mNoAddress : SocketAddress::Parse(JsonValue(aReply, "address", std::string()));
    if (next) {
      mRelay.Nodes().OnNamed(*next);
    } else if (!mStoreFreshness.IsReachable(BootTime())) {
      mRelay.Nodes().OnSilent(aAsked);
      next = mRelay.Nodes().Choose();
    }
    return next == aAsked || next == mSettings.mPeers ? std::nullopt : next;
  }

  void QueryState(const JobId& aJob, StateCallback aCallback)
  {
    if (IsLoadedLeader()) {
      aCallback(mLeader->State(aJob));
      return;
    }
    AskLeader("job_state", { { "job", aJob.Value() } },
              [callback = std::move(aCallback)](std::error_code aError, const Json& aReply) {
                callback(ReadStateReply(aError, aReply));
              });
  }

  static std::optional<std::optional<JobStatus>>
  ReadStateReply(std::error_code aError, const Json& aReply)
  {
    if (aError || !JsonValue(aReply, "leader", false)) {
      return std::nullopt;
    }
    const auto state = scheduler::ParseJobState(JsonValue(aReply, "state", std::string()));
    std::optional<JobStatus> known;
    if (state) {
      known = JobStatus{ *state, AccountId(JsonValue(aReply, "account", std::string())) };
    }
    return known;
  }

  void QueryPendingCount(const std::string& aQueue, PendingCountCallback aCallback)
  {
    if (IsLoadedLeader()) {
      const auto count = mLeader->PendingJobs(aQueue);
      // A slow leader may take the store for unreachable, so only a current count is sent.
      aCallback(count.mIsCurrent ? std::optional(count.mJobs) : std::nullopt);
      return;
    }
    AskLeader("pending_jobs", { { "queue", aQueue } },
              [this, callback = std::move(aCallback)](std::error_code aError, const Json& aReply) {
                callback(ReadPendingCountReply(aError, aReply));
              });
  }

  std::optional<int> ReadPendingCountReply(std::error_code aError, const Json& aReply) const
  {
    if (aError || !JsonValue(aReply, "leader", false)) {
      return std::nullopt;
    }
    // Leaders of earlier versions don't say whether their count is current.
    const PendingCount count{ JsonValue(aReply, "count", 0), JsonValue(aReply, "current", true) };
    // Writes that were relayed show that other nodes reach the store, and accept jobs.
    const bool hasRelayed = BootTime() - mRelay.StoredAt() < kMaxPendingCountAge;
    const bool isUsable = count.IsUsable(hasRelayed || mStoreFreshness.IsReachable(BootTime()));
    return isUsable ? std::optional(count.mJobs) : std::nullopt;
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
  EdgeMetrics mMetrics;
  TokenBucket mEarlyCancellations{ kEarlyCancellationBurst, kEarlyCancellationsPerSecond };
  WriteRelay<Store, peer::NghttpTransport> mRelay;
  CallerApi<Store, typename P::Callers> mCallerApi;
  std::optional<Deployment> mDeployment;
  StoreFreshness mStoreFreshness;
  std::optional<PrefixWatch<Store>> mConfigurationWatch;
  std::optional<Election<Store>> mElection;
  std::unique_ptr<LeaderType> mLeader;
  // When the last leadership of this node ended, as BootTime(). An earlier process of the node had
  // ended when this one started.
  Duration mLastLedAt = BootTime();
  // The state that may not have been stored when this node's last leadership ended.
  std::optional<HandOver> mLastHandOver;
  const std::optional<SocketAddress> mNoAddress;
  bool mIsShuttingDown = false;
  TimePoint mShutdownStarted;
  Timer mShutdownTimer;
};

} // namespace lovagerock::control
