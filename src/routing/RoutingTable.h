#pragma once

#include "routing/Replica.h"
#include "workers/WorkerState.h"

#include <unordered_map>
#include <vector>

namespace lovagerock::routing {

// The replicas of each service, built from the states of the workers. Not thread-safe.
class RoutingTable
{
public:
  // Updates a worker's state. Removes the replicas of a suspected or leaving worker.
  void Update(const workers::WorkerState& aState, const SocketAddress& aAddress, bool aSuspected);
  // Removes a worker and its replicas.
  void Remove(const WorkerId& aWorker);
  // Sets the number of live nodes that share the workers' connections.
  void SetLiveNodes(int aCount);

  // Returns the replicas that requests may be sent to; empty for an unknown service.
  const std::vector<ReplicaPtr>& Replicas(const ServiceId& aService) const;
  // Returns the number of requests that this node may have in progress on the worker: an equal
  // share of the worker's connections, and at least 1.
  int ConnectionShare(const ReplicaHost& aHost) const;
  // Returns the number of workers with at least one replica.
  std::size_t HostCount() const;
  // Returns the number of workers with at least one replica that are ejected at the given time.
  std::size_t EjectedCount(TimePoint aNow) const;

private:
  struct Worker
  {
    std::shared_ptr<ReplicaHost> mHost;
    std::vector<ReplicaPtr> mReplicas;
  };

  void RemoveReplicas(Worker& aWorker);
  void AddReplica(Worker& aWorker, const workers::LeaseState& aLease,
                  const std::vector<ReplicaPtr>& aPrevious);

  std::unordered_map<WorkerId, Worker> mWorkers;
  std::unordered_map<ServiceId, std::vector<ReplicaPtr>> mServices;
  int mLiveNodes = 1;
};

} // namespace lovagerock::routing
