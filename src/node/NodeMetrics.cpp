#include "node/NodeMetrics.h"

#include <algorithm>

namespace lovagerock::node {

namespace detail {
namespace {

prometheus::Gauge&
AddGauge(prometheus::Registry& aRegistry, const char* aName, const char* aHelp)
{
  return prometheus::BuildGauge().Name(aName).Help(aHelp).Register(aRegistry).Add({});
}

} // namespace
} // namespace detail

NodeMetrics::NodeMetrics(prometheus::Registry& aRegistry)
  : mConfigVersion(detail::AddGauge(aRegistry, "lovagerock_config_version",
                                    "Version of the configuration in force"))
  , mAcceptsWork(detail::AddGauge(aRegistry, "lovagerock_accepts_work",
                                  "1 while the node knows its configuration to be current"))
  , mLiveMembers(
      detail::AddGauge(aRegistry, "lovagerock_live_members", "Live entry nodes, this one included"))
  , mPlannerActive(
      detail::AddGauge(aRegistry, "lovagerock_planner_active", "1 while this node plans"))
  , mPlannerEpoch(
      detail::AddGauge(aRegistry, "lovagerock_planner_epoch", "Fencing epoch of this node"))
  , mQueuedJobs(detail::AddGauge(aRegistry, "lovagerock_jobs_queued", "Jobs waiting for capacity"))
  , mRunningJobs(detail::AddGauge(aRegistry, "lovagerock_jobs_running", "Jobs that are started"))
  , mFragmentation(detail::AddGauge(aRegistry, "lovagerock_fragmentation",
                                    "Share of free accelerators in partly used racks, 0 to 1"))
  , mLearnedRunTimes(detail::AddGauge(aRegistry, "lovagerock_run_times_learned",
                                      "Run times of finished jobs given to the planner so far"))
  , mLiveWorkers(detail::AddGauge(aRegistry, "lovagerock_workers_live", "Live workers"))
  , mOwnedWorkers(detail::AddGauge(aRegistry, "lovagerock_workers_owned",
                                   "Workers that this node watches for all nodes"))
  , mRelayedWorkers(detail::AddGauge(aRegistry, "lovagerock_workers_relayed",
                                     "Workers that this node doesn't poll, because another relays "
                                     "their state"))
  , mVmListReads(
      detail::AddGauge(aRegistry, "lovagerock_vm_list_reads", "Reads of the VM list so far"))
  , mVmListWholeReads(detail::AddGauge(aRegistry, "lovagerock_vm_list_whole_reads",
                                       "Reads of the VM list so far that found it changed"))
  , mVmListRelayed(detail::AddGauge(aRegistry, "lovagerock_vm_list_relayed",
                                    "1 while another node reads the VM list for this one"))
  , mKvCalls(
      detail::AddGauge(aRegistry, "lovagerock_kv_calls", "Calls to the key-value service so far"))
  , mConnections(
      detail::AddGauge(aRegistry, "lovagerock_caller_connections", "Open connections of callers"))
  , mReceiving(detail::AddGauge(aRegistry, "lovagerock_caller_receiving_bytes",
                                "Bytes held of the budget for requests that are being received"))
  , mReceiveWaiting(detail::AddGauge(aRegistry, "lovagerock_caller_receive_waiting",
                                     "Connections that wait for the budget for requests"))
  , mConnectionsClosed(prometheus::BuildCounter()
                         .Name("lovagerock_caller_connections_closed_total")
                         .Help("Connections of callers that were closed because of a limit")
                         .Register(aRegistry))
  , mHungUp(prometheus::BuildCounter()
              .Name("lovagerock_caller_hangups_total")
              .Help("Callers that closed their connection while their answer was pending")
              .Register(aRegistry)
              .Add({}))
{
}

void
NodeMetrics::SetConfig(ConfigVersion aVersion, bool aMayAcceptWork)
{
  mConfigVersion.Set(static_cast<double>(aVersion.Value()));
  mAcceptsWork.Set(aMayAcceptWork ? 1 : 0);
}

void
NodeMetrics::SetMembers(std::size_t aLive)
{
  mLiveMembers.Set(static_cast<double>(aLive));
}

void
NodeMetrics::SetPlanner(bool aActive, std::uint64_t aEpoch, const jobs::ManagedJobs& aJobs,
                        const placement::Plan& aPlan)
{
  const auto queued = std::count_if(aJobs.begin(), aJobs.end(), [](const auto& aJob) {
    return aJob.second.mPhase == jobs::JobPhase::Queued;
  });
  mPlannerActive.Set(aActive ? 1 : 0);
  mPlannerEpoch.Set(static_cast<double>(aEpoch));
  mQueuedJobs.Set(static_cast<double>(queued));
  mRunningJobs.Set(static_cast<double>(static_cast<std::ptrdiff_t>(aJobs.size()) - queued));
  mFragmentation.Set(aActive ? aPlan.mFragmentation : 0);
}

void
NodeMetrics::SetLearnedRunTimes(std::uint64_t aCount)
{
  mLearnedRunTimes.Set(static_cast<double>(aCount));
}

void
NodeMetrics::SetWorkers(const jobs::WorkerViews& aWorkers)
{
  const auto live = std::count_if(aWorkers.begin(), aWorkers.end(), [](const auto& aWorker) {
    return aWorker.second.Health() == workers::WorkerHealth::Live;
  });
  mLiveWorkers.Set(static_cast<double>(live));
}

void
NodeMetrics::SetWatching(std::size_t aOwned, std::size_t aRelayed)
{
  mOwnedWorkers.Set(static_cast<double>(aOwned));
  mRelayedWorkers.Set(static_cast<double>(aRelayed));
}

void
NodeMetrics::SetVmList(const membership::VmList& aList, bool aRelayed)
{
  mVmListReads.Set(static_cast<double>(aList.Reads()));
  mVmListWholeReads.Set(static_cast<double>(aList.WholeReads()));
  mVmListRelayed.Set(aRelayed ? 1 : 0);
}

void
NodeMetrics::SetCallers(const http::CallerCounts& aCallers)
{
  mConnections.Set(static_cast<double>(aCallers.mConnections));
  mReceiving.Set(static_cast<double>(aCallers.mReceiving.Value()));
  mReceiveWaiting.Set(static_cast<double>(aCallers.mWaiting));
  mHungUp.Increment(static_cast<double>(aCallers.mHungUp) - mHungUp.Value());
  for (const auto& it : aCallers.mClosed) {
    auto& counter = mConnectionsClosed.Add({ { "reason", it.first } });
    counter.Increment(static_cast<double>(it.second) - counter.Value());
  }
}

void
NodeMetrics::SetKvCalls(std::size_t aCalls)
{
  mKvCalls.Set(static_cast<double>(aCalls));
}

} // namespace lovagerock::node
