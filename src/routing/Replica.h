#pragma once

#include "base/Ids.h"
#include "base/SocketAddress.h"
#include "base/Units.h"

#include <memory>
#include <string>

namespace lovagerock::routing {

// Routing state of a worker that hosts replicas. Shared by the worker's replicas, and through them
// by attempts in progress, so it can outlive the worker's removal from the RoutingTable.
struct ReplicaHost
{
  WorkerId mWorker;
  SocketAddress mAddress;
  ZoneId mZone;
  std::string mIncarnation;
  // Concurrent connections that the worker accepts from all nodes together.
  int mConnections = 0;
  // Requests that this node has in progress on the worker.
  int mOutstanding = 0;
  // Consecutive failures since the last success or ejection.
  int mFailures = 0;
  // Duration of the next ejection.
  Duration mNextEjection{ 5000 };
  TimePoint mEjectedUntil;
};

// A running service lease on a worker, to which requests can be sent.
struct Replica
{
  std::shared_ptr<ReplicaHost> mHost;
  LeaseId mLease;
  ServiceId mService;
  // Requests that the replica runs concurrently.
  int mSlots = 0;
  // Whether the scheduler may reclaim the lease, which stops the requests on it.
  bool mReclaimable = true;
  // False once the lease or its worker was removed from the RoutingTable.
  bool mLive = true;
  // Requests that this node has in progress on the replica.
  int mOutstanding = 0;
};

using ReplicaPtr = std::shared_ptr<Replica>;

} // namespace lovagerock::routing
