#include "routing/RoutingTable.h"

#include <algorithm>

namespace lovagerock::routing {

void
RoutingTable::Update(const workers::WorkerState& aState, const SocketAddress& aAddress,
                     bool aSuspected)
{
  auto& worker = mWorkers[aState.mWorker];
  const bool restarted = worker.mHost && worker.mHost->mIncarnation != aState.mIncarnation;
  const auto previous = restarted ? std::vector<ReplicaPtr>() : worker.mReplicas;
  RemoveReplicas(worker);
  if (!worker.mHost || restarted) {
    worker.mHost = std::make_shared<ReplicaHost>();
    worker.mHost->mWorker = aState.mWorker;
    worker.mHost->mIncarnation = aState.mIncarnation;
  }
  worker.mHost->mAddress = aAddress;
  worker.mHost->mZone = aState.mZone;
  worker.mHost->mConnections = aState.mConnections;
  if (aSuspected || aState.mLeaving) {
    return;
  }
  for (const auto& it : aState.mLeases) {
    if (it.mKind == workers::LeaseKind::Service && it.mPhase == workers::LeasePhase::Running) {
      AddReplica(worker, it, previous);
    }
  }
}

void
RoutingTable::Remove(const WorkerId& aWorker)
{
  const auto it = mWorkers.find(aWorker);
  if (it != mWorkers.end()) {
    RemoveReplicas(it->second);
    mWorkers.erase(it);
  }
}

void
RoutingTable::SetLiveNodes(int aCount)
{
  mLiveNodes = std::max(1, aCount);
}

const std::vector<ReplicaPtr>&
RoutingTable::Replicas(const ServiceId& aService) const
{
  static const std::vector<ReplicaPtr> kNone;
  const auto it = mServices.find(aService);
  return it == mServices.end() ? kNone : it->second;
}

int
RoutingTable::ConnectionShare(const ReplicaHost& aHost) const
{
  return std::max(1, aHost.mConnections / mLiveNodes);
}

std::size_t
RoutingTable::HostCount() const
{
  return static_cast<std::size_t>(
    std::count_if(mWorkers.begin(), mWorkers.end(),
                  [](const auto& aItem) { return !aItem.second.mReplicas.empty(); }));
}

std::size_t
RoutingTable::EjectedCount(TimePoint aNow) const
{
  return static_cast<std::size_t>(
    std::count_if(mWorkers.begin(), mWorkers.end(), [aNow](const auto& aItem) {
      return !aItem.second.mReplicas.empty() && aItem.second.mHost->mEjectedUntil > aNow;
    }));
}

void
RoutingTable::RemoveReplicas(Worker& aWorker)
{
  for (const auto& it : aWorker.mReplicas) {
    it->mLive = false;
    const auto service = mServices.find(it->mService);
    std::erase(service->second, it);
    if (service->second.empty()) {
      mServices.erase(service);
    }
  }
  aWorker.mReplicas.clear();
}

void
RoutingTable::AddReplica(Worker& aWorker, const workers::LeaseState& aLease,
                         const std::vector<ReplicaPtr>& aPrevious)
{
  // A lease that was there before keeps its Replica object, which holds the count of its requests
  // in progress.
  const auto it = std::find_if(aPrevious.begin(), aPrevious.end(), [&](const auto& aReplica) {
    return aReplica->mLease == aLease.mLease && aReplica->mService == aLease.mService;
  });
  const auto replica = it == aPrevious.end() ? std::make_shared<Replica>() : *it;
  replica->mHost = aWorker.mHost;
  replica->mLease = aLease.mLease;
  replica->mService = aLease.mService;
  replica->mSlots = static_cast<int>(aLease.mResources.mSlots.Value());
  replica->mReclaimable = aLease.mReclaimable;
  replica->mLive = true;
  aWorker.mReplicas.push_back(replica);
  mServices[aLease.mService].push_back(replica);
}

} // namespace lovagerock::routing
