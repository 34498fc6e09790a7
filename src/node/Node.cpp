#include "node/Node.h"

#include "base/Hash.h"
#include "base/LogEvent.h"
#include "node/PolicyConversion.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace lovagerock::node {

namespace detail {
namespace {

constexpr Duration kRoleCheckPeriod{ 500 };
// Views that are older by this much still meet the 3 s for leaving workers.
constexpr Duration kPauseLimit{ 1000 };
// A new planner looks again after this time whether its own polls of all workers were answered.
constexpr Duration kPolledCheckDelay{ 50 };
// A planner waits this long after its start for workers that don't answer.
constexpr Duration kWorkerWait{ 3000 };
constexpr Duration kFencedBackoff{ 2000 };
constexpr int kNotifyTries = 3;
constexpr Duration kIdleCheckPeriod{ 50 };
// An operators' connection without a request for this time may be closed for a new one.
constexpr Duration kMinIdleTime{ 1000 };
// What the kernel may hold for a connection of an operator or another node, in each direction.
constexpr Bytes kSocketBuffer{ 256 * 1024 };
// A batch of workers' changes has some 40 values for each of a region's 2,300 workers.
constexpr std::size_t kMaxPeerCallValues = 262144;
// Longer than any timeout of a call between nodes.
constexpr Duration kMaxPeerCallTime{ 60000 };

std::uint64_t
NewIncarnation()
{
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch())
      .count());
}

membership::Member
MakeSelf(const NodeSettings& aSettings)
{
  membership::Member self;
  self.mNode = aSettings.mNode;
  self.mIncarnation = NewIncarnation();
  self.mZone = aSettings.mZone;
  self.mRegion = aSettings.mRegion;
  self.mAddress = aSettings.PeerAddress();
  return self;
}

kv::ConsulSettings
MakeKvSettings(const NodeSettings& aSettings, std::size_t aMaxInFlight)
{
  kv::ConsulSettings settings;
  settings.mServer = aSettings.mKv;
  settings.mPrefix = aSettings.mKvPrefix;
  settings.mMaxInFlight = aMaxInFlight;
  return settings;
}

configstore::ConfigStoreSettings
MakeConfigSettings(const NodeSettings& aSettings)
{
  configstore::ConfigStoreSettings settings;
  settings.mServeIsolated = aSettings.mIsolatedMode == "serve";
  return settings;
}

routing::RouterOptions
MakeRouterOptions(const NodeSettings& aSettings, std::uint64_t aIncarnation)
{
  routing::RouterOptions options;
  options.mNode = aSettings.mNode;
  options.mIncarnation = std::to_string(aIncarnation);
  options.mPeer = aSettings.PeerAddress();
  options.mZone = aSettings.mZone;
  options.mMaxBuffered = Bytes(aSettings.mMaxBuffered);
  // The store adds the prefix of all keys.
  options.mClaimPrefix = "claims/";
  return options;
}

jobs::CoordinatorSettings
MakeCoordinatorTimes(const NodeSettings& aSettings)
{
  jobs::CoordinatorSettings times;
  times.mReclaimDeadline = aSettings.mReclaimDeadline;
  return times;
}

http::ServerLimits
MakeLimits(const NodeSettings& aSettings)
{
  http::ServerLimits limits;
  limits.mMaxBody = Bytes(aSettings.mMaxBody);
  limits.mReadTimeout = aSettings.mReadTimeout;
  limits.mMaxConnections = static_cast<std::size_t>(aSettings.mMaxConnections);
  limits.mMaxConnectionsPerAddress = static_cast<std::size_t>(aSettings.mMaxConnectionsPerAddress);
  limits.mMaxReceiving = Bytes(aSettings.mMaxReceiving);
  limits.mReceiveLimit = aSettings.mReceiveLimit;
  limits.mMinReceiveRate = Bytes(aSettings.mMinReceiveRate);
  return limits;
}

// For operators.
http::ServerLimits
MakeAdminLimits(const NodeSettings& aSettings)
{
  http::ServerLimits limits;
  limits.mReadTimeout = aSettings.mReadTimeout;
  limits.mMaxConnections = static_cast<std::size_t>(aSettings.mAdminMaxConnections);
  limits.mMaxReceiving = Bytes(aSettings.mAdminMaxReceiving);
  limits.mMaxHeld = Bytes(aSettings.mAdminMaxHeld);
  limits.mReceiveLimit = aSettings.mReceiveLimit;
  limits.mMinReceiveRate = Bytes(aSettings.mMinReceiveRate);
  limits.mMinIdleTime = kMinIdleTime;
  limits.mSocketBuffer = kSocketBuffer;
  return limits;
}

// For other nodes.
peer::PeerSettings
MakePeerLimits(const NodeSettings& aSettings)
{
  peer::PeerSettings limits;
  limits.mMaxConnections = static_cast<std::size_t>(aSettings.mPeerMaxConnections);
  limits.mMaxHeld = Bytes(aSettings.mPeerMaxHeld);
  limits.mMaxCallValues = kMaxPeerCallValues;
  limits.mMaxCallTime = kMaxPeerCallTime;
  limits.mSocketBuffer = kSocketBuffer;
  return limits;
}

membership::VmListSettings
MakeVmListSettings(const NodeSettings& aSettings)
{
  membership::VmListSettings settings;
  settings.mServer = aSettings.mVmList;
  return settings;
}

} // namespace
} // namespace detail

Node::Node(EventLoop& aLoop, NodeSettings aSettings, std::uint64_t aSeed)
  : mLoop(aLoop)
  , mSettings(std::move(aSettings))
  , mRandom(aSeed)
  , mIdRandom(Random::SystemSeed())
  , mRequestClient(aLoop)
  , mControlClient(aLoop)
  , mStore(aLoop, detail::MakeKvSettings(mSettings, 64))
  , mWatchStore(
      aLoop, detail::MakeKvSettings(mSettings, jobs::JobApi<kv::ConsulStore>::kMaxWaitingCallers))
  , mTransport(aLoop, mRandom, detail::MakePeerLimits(mSettings))
  , mMembership(aLoop, mTransport, detail::MakeSelf(mSettings))
  , mConfig(aLoop, mStore, mTransport, mMembership, mRandom, detail::MakeConfigSettings(mSettings))
  , mWorkerApi(mControlClient)
  , mWorkerChanges(aLoop, [this](const workers::WorkerChange& aChange) { OnWorkerChange(aChange); })
  , mMonitor(aLoop, mWorkerApi, mRandom, mWorkerChanges.GetAddress())
  , mRelay(aLoop, mTransport, mSettings.mNode, mMembership.Self().mIncarnation,
           // The planner polls all workers itself. One that isn't in its own view misses the
           // batches, and polls for that reason.
           { [this] { return RegionPeers(PlannerNode()); },
             [this] { return mMonitor.ArePollsCurrent(); },
             [this](const NodeId& aWatcher, const workers::RelayedChange& aChange) {
               mMonitor.OnRelayed(aWatcher, aChange);
             },
             [this](const NodeId& aWatcher) { mMonitor.OnWatcherInvalidated(aWatcher); } })
  , mRoutingMetrics(mRegistry)
  , mRouter(aLoop, mRequestClient, mStore, mTransport, mWorkerApi, mRandom, mRoutingMetrics,
            detail::MakeRouterOptions(mSettings, mMembership.Self().mIncarnation))
  , mJobStore(mStore, mSettings.mRegion, mIdRandom)
  , mJobWatches(mWatchStore, mSettings.mRegion, mIdRandom)
  , mAnswers(mStore)
  , mCoordinator(aLoop, mWorkerApi, mJobStore, mAnswers, mIdRandom, mSettings.mNode,
                 detail::MakeCoordinatorTimes(mSettings))
  , mSweeper(aLoop, mStore, mRandom, mSettings.mRegion, {})
  , mMetrics(mRegistry)
  , mRequestApi(
      ToAccountDirectory(&mDocument), [this] { return Gate(); },
      [this](routing::RouteRequest aRequest, const http::Responder& aResponder) {
        mRouter.Submit(std::move(aRequest), aResponder);
      },
      mIdRandom)
  , mJobApi(mJobStore, mJobWatches, mAnswers,
            { [this](const http::Request& aRequest) { return Authenticate(aRequest); },
              [this] { return mDocument != nullptr; }, [this] { return Gate(); },
              [this](const JobId& aJob) { NotifyPlanner(aJob, detail::kNotifyTries); } })
  , mAdminApi(MakeAdminHooks())
  , mServer(aLoop, detail::MakeLimits(mSettings))
  , mAdminServer(aLoop, detail::MakeAdminLimits(mSettings))
  , mVmList(aLoop, mTransport, mRandom, mSettings.mNode, mMembership.Self().mIncarnation,
            { [this] { return ReadsVmList(); }, [this] { return RegionPeers(NodeId()); } },
            detail::MakeVmListSettings(mSettings),
            [this](const std::vector<membership::Vm>& aVms) { OnVmList(aVms); })
  , mPauseWatch(aLoop, detail::kPauseLimit, [this](Duration aPause) { OnResumed(aPause); })
  , mStarted(std::chrono::steady_clock::now())
{
  WireMembership();
  WireWatching();
  WireConfig();
  WireJobs();
  RegisterApis();
}

std::error_code
Node::Start()
{
  if (const auto ec = mTransport.Listen(mSettings.mPeerListen)) {
    return ec;
  }
  if (const auto ec = mAdminServer.Listen(mSettings.mAdminListen)) {
    return ec;
  }
  return mServer.Listen(mSettings.mListen);
}

void
Node::WireMembership()
{
  mMembership.OnChange([this] {
    mRouter.SetLiveNodes(
      static_cast<int>(std::max<std::size_t>(1, mMembership.LiveNodes().size())));
    UpdateWatchNodes();
    CheckPlannerRole();
  });
  mRoleTimer = mLoop.Every(detail::kRoleCheckPeriod, [this] { CheckPlannerRole(); });
}

void
Node::WireConfig()
{
  mConfig.SetExtraCheck([this](const config::Document& aDocument) {
    return CheckGuarantees(aDocument, mCoordinator.Views());
  });
  mConfig.OnInForce([this](const std::shared_ptr<const configstore::AcceptedConfig>& aConfig) {
    OnConfig(aConfig);
  });
}

void
Node::WireJobs()
{
  mCoordinator.OnFenced([this] {
    mSweeper.Stop();
    mPlannerNotBefore = std::chrono::steady_clock::now() + mRandom.Jitter(detail::kFencedBackoff);
  });
  mTransport.Handle("job.changed", [this](const Json& aBody, const peer::ReplyFunction& aReply) {
    mCoordinator.OnJobChanged(JobId(JsonValue<std::string>(aBody, "job", "")));
    aReply({ { "planner", mCoordinator.IsActive() } });
  });
  mTransport.Handle("planner.view", [this](const Json& aBody, const peer::ReplyFunction& aReply) {
    Json reply{ { "planner", mCoordinator.IsActive() } };
    if (mCoordinator.IsActive()) {
      reply["view"] = LocalPlannerView(JsonValue<std::string>(aBody, "view", ""),
                                       JsonValue<std::string>(aBody, "job", ""));
    }
    aReply(reply);
  });
}

void
Node::RegisterApis()
{
  mRequestApi.Register(mServer);
  mJobApi.Register(mServer);
  // The balancer checks the port that it sends callers to.
  mServer.Handle(http::Method::Get, "/readyz",
                 [this](const http::Request&, const http::Responder& aResponder) {
                   const auto reason = NotReady();
                   aResponder.Send({ reason ? 503 : 200, {}, reason.value_or("ready") + "\n" });
                 });
  mAdminApi.Register(mAdminServer);
}

void
Node::OnConfig(const std::shared_ptr<const configstore::AcceptedConfig>& aConfig)
{
  mDocument = std::shared_ptr<const config::Document>(aConfig, &aConfig->mDocument);
  mCoordinator.SetPolicy(ToPolicyInput(*mDocument));
  LogEvent("config_in_force")
    .With("version", aConfig->mHead.mVersion)
    .With("change", aConfig->mHead.mChange)
    .With("operator", aConfig->mHead.mOperator);
  CheckPlannerRole();
}

bool
Node::AllWorkersHeard() const
{
  return mMonitor.HaveAllStates() && mMonitor.Watched() >= mListedWorkers;
}

void
Node::CheckPlannerRole()
{
  const auto now = std::chrono::steady_clock::now();
  const bool owner =
    !mShuttingDown && !mMembership.IsViewUnconfirmed() && PlannerNode() == mSettings.mNode;
  // The planner reads leases and fences itself, so that it decides on nothing older than before.
  mMonitor.SetPollAll(owner);
  if (!owner || !mDocument) {
    GiveUpPlannerRole("not_owner");
    return;
  }
  if (!mCoordinator.IsActive() && !mMonitor.AllPolled()) {
    mPolledTimer = mLoop.After(detail::kPolledCheckDelay, [this] { CheckPlannerRole(); });
    return;
  }
  const bool ready = AllWorkersHeard() || now - mStarted > detail::kWorkerWait;
  if (ready && now >= mPlannerNotBefore) {
    mCoordinator.Activate();
    mSweeper.Start();
  }
}

void
Node::GiveUpPlannerRole(const char* aReason)
{
  mCoordinator.Deactivate(aReason);
  mSweeper.Stop();
}

NodeId
Node::PlannerNode()
{
  return mMembership.OwnerOf("planner/" + mSettings.mRegion.Value(), mSettings.mRegion);
}

std::optional<SocketAddress>
Node::PeerAddress(const NodeId& aNode)
{
  for (const auto& it : mMembership.Members()) {
    if (it.mMember.mNode == aNode) {
      return it.mMember.mAddress;
    }
  }
  return std::nullopt;
}

void
Node::NotifyPlanner(const JobId& aJob, int aTriesLeft)
{
  if (mCoordinator.IsActive()) {
    mCoordinator.OnJobChanged(aJob);
    return;
  }
  const auto address = PeerAddress(PlannerNode());
  const auto retry = [this, aJob, aTriesLeft] {
    // The planner reads all records from time to time, so a lost notification only delays.
    if (aTriesLeft > 1) {
      mLoop.Post([this, aJob, aTriesLeft] { NotifyPlanner(aJob, aTriesLeft - 1); });
    }
  };
  if (!address) {
    retry();
    return;
  }
  mTransport.Call(*address, "job.changed", { { "job", aJob.Value() } }, kPeerTimeout,
                  [retry](std::error_code aError, const Json& aReply) {
                    if (aError || !JsonValue(aReply, "planner", false)) {
                      retry();
                    }
                  });
}

std::optional<std::string>
Node::Gate()
{
  if (!mDocument) {
    return "no_configuration";
  }
  if (!mConfig.MayAcceptWork()) {
    return "isolated";
  }
  return std::nullopt;
}

std::optional<std::string>
Node::NotReady()
{
  if (mShuttingDown) {
    return "leaving";
  }
  return Gate();
}

std::optional<AccountId>
Node::Authenticate(const http::Request& aRequest) const
{
  constexpr std::string_view kScheme = "Bearer ";
  const auto field = aRequest.mHeaders.Get("Authorization");
  if (!mDocument || !field.starts_with(kScheme)) {
    return std::nullopt;
  }
  const auto hash = Sha256Hex(field.substr(kScheme.size()));
  for (const auto& it : mDocument->mAccounts) {
    if (it.mTokenHash.Value() == hash) {
      return it.mName;
    }
  }
  return std::nullopt;
}

void
Node::Shutdown()
{
  if (mShuttingDown) {
    LogEvent("shutdown_forced", LogLevel::Warning)
      .With("active_requests", mServer.ActiveRequests());
    mLoop.Stop();
    return;
  }
  mShuttingDown = true;
  LogEvent("shutdown_started").With("active_requests", mServer.ActiveRequests());
  GiveUpPlannerRole("leaving");
  mMembership.SetLeaving();
  mServer.SetDraining();
  // The balancer needs time to notice before connections are refused.
  mShutdownTimer = mLoop.After(mSettings.mDrainAccept, [this] { StopAccepting(); });
}

void
Node::StopAccepting()
{
  mServer.StopListening();
  mRouter.Drain([this] { StopWhenIdle(); });
}

void
Node::StopWhenIdle()
{
  if (mServer.ActiveRequests() > 0) {
    mShutdownTimer = mLoop.After(detail::kIdleCheckPeriod, [this] { StopWhenIdle(); });
    return;
  }
  LogEvent("shutdown_complete").With("listen", mSettings.mListen.ToString());
  mLoop.Stop();
}

} // namespace lovagerock::node
