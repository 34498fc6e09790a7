#pragma once

#include "base/Ids.h"

#include <chrono>
#include <vector>

namespace lovagerock::membership {

// The live node of a region that reads the VM list for the others; empty without nodes. The planner
// has more traffic than the others and does it only if it is alone. The others take turns of 10
// minutes by the wall clock, so that each bears a part of the bytes. Clocks that differ give two
// readers for a while, which does no harm.
NodeId
ListReaderOf(const RegionId& aRegion, std::vector<NodeId> aNodes,
             std::chrono::system_clock::time_point aNow);

} // namespace lovagerock::membership
