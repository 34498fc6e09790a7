#pragma once

#include "placement/Planner.h"

namespace lovagerock::placement::replay {

enum class Baseline
{
  // In order of submission, into the first place that fits; the first waiting job blocks the rest.
  FirstFit,
  // Every job that fits, into the fullest domain and worker that hold it.
  BestFit,
};

// A plan without fair share, reservations and moves. The guarantees of the snapshot are enforced:
// jobs that fit their account's assigned capacity start there and reclaim what is lent of it.
Plan
ComputeBaseline(const ClusterSnapshot& aSnapshot, PlannerState& aState, Baseline aBaseline);

} // namespace lovagerock::placement::replay
