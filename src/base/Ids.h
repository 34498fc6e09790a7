#pragma once

#include "base/StrongId.h"

namespace lovagerock {

// An entry node, unique in a deployment.
using NodeId = StrongId<struct NodeTag>;
// A worker, unique in a deployment.
using WorkerId = StrongId<struct WorkerTag>;
// A job; derived from the client account and the caller's idempotency key.
using JobId = StrongId<struct JobTag>;
// A lease on a worker's resources.
using LeaseId = StrongId<struct LeaseTag>;
// One request of a caller to a service.
using RequestId = StrongId<struct RequestTag>;
// A client account.
using AccountId = StrongId<struct AccountTag>;
// A service that requests are routed to.
using ServiceId = StrongId<struct ServiceTag>;
// An availability zone.
using ZoneId = StrongId<struct ZoneTag>;
// A rack inside an availability zone.
using RackId = StrongId<struct RackTag>;
// A region, which holds one or more availability zones.
using RegionId = StrongId<struct RegionTag>;
// One configuration change, chosen by the operator's client.
using ChangeId = StrongId<struct ChangeTag>;

} // namespace lovagerock
