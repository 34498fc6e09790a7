// The part of Node that serves operators: views, configuration files and metrics.
#include "node/ConfigReplies.h"
#include "node/Node.h"
#include "node/PlannerViews.h"
#include "node/PolicyConversion.h"

#include <prometheus/text_serializer.h>

#include <chrono>
#include <sstream>
#include <utility>

namespace lovagerock::node {

Json
Node::LocalPlannerView(const std::string& aView, const std::string& aJob) const
{
  const auto now = std::chrono::steady_clock::now();
  if (aView == "queues") {
    return DescribeQueues(mCoordinator.Jobs(), now);
  }
  if (aView == "placements") {
    return DescribePlacements(mCoordinator.Jobs(), mCoordinator.Views());
  }
  if (aView == "workers") {
    return DescribeWorkers(mCoordinator.Views());
  }
  return DescribeWhy(mCoordinator.Jobs(), JobId(aJob), now);
}

void
Node::PlannerView(const std::string& aView, const std::string& aJob,
                  const std::function<void(std::optional<Json>)>& aCallback)
{
  if (mCoordinator.IsActive()) {
    aCallback(LocalPlannerView(aView, aJob));
    return;
  }
  const auto address = PeerAddress(PlannerNode());
  if (!address) {
    aCallback(std::nullopt);
    return;
  }
  mTransport.Call(*address, "planner.view", { { "view", aView }, { "job", aJob } }, kPeerTimeout,
                  [aCallback](std::error_code aError, const Json& aReply) {
                    const bool known = !aError && aReply.contains("view");
                    aCallback(known ? std::optional(aReply.at("view")) : std::nullopt);
                  });
}

Json
Node::DescribeNodes()
{
  const auto planner = PlannerNode();
  Json nodes = Json::array();
  for (const auto& it : mConfig.Nodes()) {
    nodes.push_back(DescribeNode(it, planner));
  }
  return nodes;
}

http::Response
Node::ShowConfig() const
{
  const auto& config = mConfig.InForce();
  return config ? DescribeConfig(*config) : NoConfig();
}

http::Response
Node::CheckFile(const std::string& aText) const
{
  auto read = config::ReadYaml(aText, "");
  if (read.mDocument) {
    read.mProblems = CheckGuarantees(*read.mDocument, mCoordinator.Views());
  }
  return read.mProblems.empty() ? ValidFile() : InvalidFile(read.mProblems);
}

http::Response
Node::DiffFile(const std::string& aText) const
{
  const auto read = config::ReadYaml(aText, "");
  if (!read.mDocument) {
    return InvalidFile(read.mProblems);
  }
  return DescribeDiff(mConfig.Version(), mDocument ? *mDocument : config::Document(),
                      *read.mDocument);
}

void
Node::ApplyFile(const admin::ApplyRequest& aRequest, const admin::ReplyCallback& aReply)
{
  configstore::ChangeRequest request;
  request.mText = aRequest.mText;
  request.mBase = aRequest.mBase;
  request.mChange = aRequest.mChange;
  request.mOperator = aRequest.mOperator;
  mConfig.Accept(request, [aRequest, aReply](const configstore::ChangeOutcome& aOutcome) {
    aReply(DescribeOutcome(aRequest.mChange, aOutcome));
  });
}

void
Node::FindChange(const ChangeId& aChange, const admin::ReplyCallback& aReply)
{
  mConfig.FindChange(aChange,
                     [aChange, aReply](std::error_code aError,
                                       const std::optional<configstore::ChangeRecord>& aRecord) {
                       aReply(DescribeChange(aChange, aError, aRecord));
                     });
}

std::string
Node::CollectMetrics()
{
  mMetrics.SetConfig(mConfig.Version(), mConfig.MayAcceptWork());
  mMetrics.SetMembers(mMembership.LiveNodes().size());
  mMetrics.SetPlanner(mCoordinator.IsActive(), mCoordinator.GetFence().mEpoch, mCoordinator.Jobs(),
                      mCoordinator.LastPlan());
  mMetrics.SetLearnedRunTimes(mCoordinator.LearnedRunTimes());
  mMetrics.SetWorkers(mCoordinator.Views());
  mMetrics.SetWatching(mMonitor.Owned(), mMonitor.Relayed());
  mMetrics.SetVmList(mVmList.List(), mVmList.IsRelayed());
  mMetrics.SetCallers(mServer.Callers());
  mMetrics.SetKvCalls(mStore.Calls() + mWatchStore.Calls());
  std::ostringstream stream;
  prometheus::TextSerializer().Serialize(stream, mRegistry.Collect());
  return stream.str();
}

admin::AdminHooks
Node::MakeAdminHooks()
{
  admin::AdminHooks hooks;
  hooks.mCheck = [this](const std::string& aText) { return CheckFile(aText); };
  hooks.mDiff = [this](const std::string& aText) { return DiffFile(aText); };
  hooks.mApply = [this](const admin::ApplyRequest& aRequest, const admin::ReplyCallback& aReply) {
    ApplyFile(aRequest, aReply);
  };
  hooks.mFindChange = [this](const ChangeId& aChange, const admin::ReplyCallback& aReply) {
    FindChange(aChange, aReply);
  };
  hooks.mShowConfig = [this] { return ShowConfig(); };
  hooks.mNodes = [this] { return DescribeNodes(); };
  hooks.mPlannerView = [this](const std::string& aView, const std::string& aJob,
                              const std::function<void(std::optional<Json>)>& aCallback) {
    PlannerView(aView, aJob, aCallback);
  };
  hooks.mNotReady = [this] { return NotReady(); };
  hooks.mMetrics = [this] { return CollectMetrics(); };
  return hooks;
}

} // namespace lovagerock::node
