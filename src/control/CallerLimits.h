#pragma once

#include "control/ControlSettings.h"
#include "http/ServerLimits.h"
#include "peer/PeerSettings.h"

namespace lovagerock::control {

// The limits of an entry node's listeners against hostile callers, as parts of what the machine
// has. Callers come from one address if a load balancer connects for them, so no limit is per
// address.

// For the callers' requests.
http::ServerLimits
MakeCallerLimits(const ControlSettings& aSettings);

// For the load balancer's checks and the metrics.
http::ServerLimits
MakeReadinessLimits(const ControlSettings& aSettings);

// For the calls of other nodes.
peer::PeerSettings
MakePeerLimits(const ControlSettings& aSettings);

// The memory that the accepted jobs may take on the leader.
Bytes
MaxBacklog(const ControlSettings& aSettings);

// The most orders to workers that a leader has in progress at a time.
std::size_t
MaxOrders(const ControlSettings& aSettings);

} // namespace lovagerock::control
