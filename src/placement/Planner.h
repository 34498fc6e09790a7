#pragma once

#include "placement/ClusterSnapshot.h"
#include "placement/Plan.h"
#include "placement/PlannerState.h"

namespace lovagerock::placement {

// Computes what to start, reclaim, grant and release now. The same snapshot and state always give
// the same plan. Updates the assignment of guarantees and the reservation in the state.
Plan
ComputePlan(const ClusterSnapshot& aSnapshot, PlannerState& aState);

} // namespace lovagerock::placement
