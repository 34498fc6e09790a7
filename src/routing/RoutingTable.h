#pragma once

#include "routing/Replica.h"
#include "workers/WorkerState.h"

#include <unordered_map>
#include <vector>

namespace lovagerock::routing {

// The replicas of each service, built from the states of the workers. Belongs to its loop.
class RoutingTable
{
public:
  // Takes a worker's new state. A suspected or leaving worker loses its replicas at once.
  void Update(const workers::WorkerState& aState, const SocketAddress& aAddress, bool aSuspected);
  // Forgets a worker.
  void Remove(const WorkerId& aWorker);
  // Sets the number of entry nodes that share the workers' connections.
  void SetLiveNodes(int aCount);

  // The replicas that may get requests; empty for an unknown service.
  const std::vector<ReplicaPtr>& Replicas(const ServiceId& aService) const;
  // The requests that this node may have on the worker at once.
  int ConnectionShare(const ReplicaHost& aHost) const;
  // Number of workers with at least one replica.
  std::size_t HostCount() const;
  // Number of those that are ejected at the given time.
  std::size_t EjectedCount(TimePoint aNow) const;

private:
  struct Worker
  {
    std::shared_ptr<ReplicaHost> mHost;
    std::vector<ReplicaPtr> mReplicas;
  };

  void Drop(Worker& aWorker);
  void Add(Worker& aWorker, const workers::LeaseState& aLease, const std::vector<ReplicaPtr>& aOld);

  std::unordered_map<WorkerId, Worker> mWorkers;
  std::unordered_map<ServiceId, std::vector<ReplicaPtr>> mServices;
  int mLiveNodes = 1;
};

} // namespace lovagerock::routing
