#pragma once

#include "base/Ids.h"
#include "base/SocketAddress.h"
#include "base/Units.h"

#include <memory>
#include <string>

namespace lovagerock::routing {

// A worker as the request path sees it. Shared by the worker's replicas and by attempts in
// progress, so it outlives the worker's removal from the table.
struct ReplicaHost
{
  WorkerId mWorker;
  SocketAddress mAddress;
  ZoneId mZone;
  std::string mIncarnation;
  // Connections that the worker accepts at once, from all nodes together.
  int mConnections = 0;
  // Requests of this node on the worker.
  int mOutstanding = 0;
  // Failures since the last success.
  int mFailures = 0;
  // How long the next ejection lasts.
  Duration mNextEjection{ 5000 };
  TimePoint mEjectedUntil;
};

// A running service lease that admits requests.
struct Replica
{
  std::shared_ptr<ReplicaHost> mHost;
  LeaseId mLease;
  ServiceId mService;
  int mSlots = 0;
  bool mReclaimable = true;
  // False once the lease or the worker was dropped from the table.
  bool mLive = true;
  // Requests of this node on the replica.
  int mOutstanding = 0;
};

using ReplicaPtr = std::shared_ptr<Replica>;

} // namespace lovagerock::routing
