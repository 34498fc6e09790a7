#pragma once

#include "base/Ids.h"

#include <chrono>
#include <vector>

namespace lovagerock::membership {

// Returns which of a region's live nodes reads the VM list for the others; empty without nodes. The
// planner already has more traffic than the others and is selected only if it is the only node. The
// others take turns of 10 minutes by the wall clock, which spreads the traffic. Nodes whose clocks
// differ may select two readers for a while, which is harmless.
NodeId
SelectListReader(const RegionId& aRegion, std::vector<NodeId> aNodes,
                 std::chrono::system_clock::time_point aNow);

} // namespace lovagerock::membership
