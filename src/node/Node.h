#pragma once

#include "admin/AdminApi.h"
#include "base/EventLoop.h"
#include "base/PauseWatch.h"
#include "base/Random.h"
#include "configstore/ConfigStore.h"
#include "http/HttpClient.h"
#include "http/HttpServer.h"
#include "jobs/JobApi.h"
#include "jobs/JobCoordinator.h"
#include "kv/ConsulStore.h"
#include "membership/Membership.h"
#include "membership/SharedVmList.h"
#include "node/NodeMetrics.h"
#include "node/NodeSettings.h"
#include "peer/NghttpTransport.h"
#include "retention/Sweeper.h"
#include "routing/RequestApi.h"
#include "routing/Router.h"
#include "routing/RoutingMetrics.h"
#include "workers/HttpWorkerApi.h"
#include "workers/StateRelay.h"
#include "workers/WorkerMonitor.h"

#include <prometheus/registry.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <system_error>

namespace lovagerock::node {

// An entry node: builds all modules and passes their messages on. Belongs to its loop.
class Node
{
public:
  Node(EventLoop& aLoop, NodeSettings aSettings, std::uint64_t aSeed);

  // Opens the listening sockets.
  std::error_code Start();
  // Leaves gracefully and then stops the loop. A second call stops it at once.
  void Shutdown();

private:
  // Limit of a call to another node on behalf of a caller or operator.
  static constexpr Duration kPeerTimeout{ 2000 };

  using Transport = peer::NghttpTransport;
  using Membership = membership::Membership<Transport>;
  using Config = configstore::ConfigStore<kv::ConsulStore, Transport>;
  using Router = routing::Router<kv::ConsulStore, Transport, workers::HttpWorkerApi>;
  using JobStore = jobs::JobStore<kv::ConsulStore>;
  using Coordinator = jobs::JobCoordinator<kv::ConsulStore, workers::HttpWorkerApi>;

  void WireMembership();
  void WireWatching();
  void WireConfig();
  void WireJobs();
  void RegisterApis();
  admin::AdminHooks MakeAdminHooks();

  // Checks the workers before anything more is sent to them.
  void OnResumed(Duration aPause);
  // Whether this node reads the VM list for the others, as far as it knows.
  bool ReadsVmList() const;
  // Takes the members that share the watching of the workers.
  void UpdateWatchNodes();
  // The peer addresses of the other members of the region that were heard lately, without one.
  std::vector<SocketAddress> RegionPeers(const NodeId& aWithout);
  void OnVmList(const std::vector<membership::Vm>& aVms);
  void OnWorkerChange(const workers::WorkerChange& aChange);
  void OnConfig(const std::shared_ptr<const configstore::AcceptedConfig>& aConfig);
  // Takes or gives up the planner role as the membership says.
  void CheckPlannerRole();
  void GiveUpPlannerRole(const char* aReason);
  bool AllWorkersHeard() const;
  NodeId PlannerNode();
  // The peer address of a live node; nothing if it isn't known.
  std::optional<SocketAddress> PeerAddress(const NodeId& aNode);
  void NotifyPlanner(const JobId& aJob, int aTriesLeft);

  // Why new work is refused at present; nothing if it is accepted.
  std::optional<std::string> Gate();
  std::optional<std::string> NotReady();
  std::optional<AccountId> Authenticate(const http::Request& aRequest) const;

  Json LocalPlannerView(const std::string& aView, const std::string& aJob) const;
  void PlannerView(const std::string& aView, const std::string& aJob,
                   const std::function<void(std::optional<Json>)>& aCallback);
  Json DescribeNodes();
  http::Response ShowConfig() const;
  http::Response CheckFile(const std::string& aText) const;
  http::Response DiffFile(const std::string& aText) const;
  void ApplyFile(const admin::ApplyRequest& aRequest, const admin::ReplyCallback& aReply);
  void FindChange(const ChangeId& aChange, const admin::ReplyCallback& aReply);
  std::string CollectMetrics();

  void StopAccepting();
  void StopWhenIdle();

  EventLoop& mLoop;
  NodeSettings mSettings;
  Random mRandom;
  // Ids and tokens must never repeat, so they don't depend on the seed of the settings: a node that
  // restarts with the same seed would give its old request ids to new requests.
  Random mIdRandom;
  prometheus::Registry mRegistry;
  // Requests and control use different clients, so that neither holds up the other.
  http::HttpClient mRequestClient;
  http::HttpClient mControlClient;
  kv::ConsulStore mStore;
  // Waiting calls of callers, which must not use up the calls in flight of the other store.
  kv::ConsulStore mWatchStore;
  Transport mTransport;
  Membership mMembership;
  Config mConfig;
  std::shared_ptr<const config::Document> mDocument;
  workers::HttpWorkerApi mWorkerApi;
  Mailbox<workers::WorkerChange> mWorkerChanges;
  workers::WorkerMonitor<workers::HttpWorkerApi> mMonitor;
  // The nodes that share the watching; empty if this node must rely on itself alone.
  std::vector<NodeId> mWatchNodes;
  workers::StateRelay<Transport> mRelay;
  routing::RoutingMetrics mRoutingMetrics;
  Router mRouter;
  JobStore mJobStore;
  JobStore mJobWatches;
  jobs::AnswerStore<kv::ConsulStore> mAnswers;
  Coordinator mCoordinator;
  retention::Sweeper<kv::ConsulStore> mSweeper;
  NodeMetrics mMetrics;
  routing::RequestApi mRequestApi;
  jobs::JobApi<kv::ConsulStore> mJobApi;
  admin::AdminApi mAdminApi;
  http::HttpServer mServer;
  http::HttpServer mAdminServer;
  membership::SharedVmList<Transport> mVmList;
  std::size_t mListedWorkers = 0;
  PauseWatch mPauseWatch;
  // Pauses so far, and the last one after which all workers were checked.
  std::uint64_t mPauses = 0;
  std::uint64_t mCheckedPauses = 0;
  TimePoint mStarted;
  // The planner role isn't taken again before this time after another planner's fence was seen.
  TimePoint mPlannerNotBefore;
  bool mShuttingDown = false;
  Timer mRoleTimer;
  Timer mPolledTimer;
  Timer mShutdownTimer;
};

} // namespace lovagerock::node
