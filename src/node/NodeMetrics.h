#pragma once

#include "http/CallerConnections.h"
#include "jobs/SnapshotBuilder.h"
#include "membership/VmList.h"
#include "peer/NghttpTransport.h"
#include "placement/Plan.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

namespace lovagerock::node {

// Metrics of the control part of a node, brought up to date at each collection.
class NodeMetrics
{
public:
  explicit NodeMetrics(prometheus::Registry& aRegistry);

  void SetConfig(ConfigVersion aVersion, bool aMayAcceptWork);
  void SetMembers(std::size_t aLive);
  void SetPlanner(bool aActive, std::uint64_t aEpoch, const jobs::ManagedJobs& aJobs,
                  const placement::Plan& aPlan);
  void SetLearnedRunTimes(std::uint64_t aCount);
  void SetWorkers(const jobs::WorkerViews& aWorkers);
  // aOwned workers are watched for all nodes; other nodes relay the state of aRelayed ones.
  void SetWatching(std::size_t aOwned, std::size_t aRelayed);
  void SetVmList(const membership::VmList& aList, bool aRelayed);
  void SetCallers(const http::CallerCounts& aCallers);
  void SetKvCalls(std::size_t aCalls);

private:
  prometheus::Gauge& mConfigVersion;
  prometheus::Gauge& mAcceptsWork;
  prometheus::Gauge& mLiveMembers;
  prometheus::Gauge& mPlannerActive;
  prometheus::Gauge& mPlannerEpoch;
  prometheus::Gauge& mQueuedJobs;
  prometheus::Gauge& mRunningJobs;
  prometheus::Gauge& mFragmentation;
  prometheus::Gauge& mLearnedRunTimes;
  prometheus::Gauge& mLiveWorkers;
  prometheus::Gauge& mOwnedWorkers;
  prometheus::Gauge& mRelayedWorkers;
  prometheus::Gauge& mVmListReads;
  prometheus::Gauge& mVmListWholeReads;
  prometheus::Gauge& mVmListRelayed;
  prometheus::Gauge& mKvCalls;
  prometheus::Gauge& mConnections;
  prometheus::Gauge& mReceiving;
  prometheus::Gauge& mReceiveWaiting;
  prometheus::Family<prometheus::Counter>& mConnectionsClosed;
  prometheus::Counter& mHungUp;
};

} // namespace lovagerock::node
