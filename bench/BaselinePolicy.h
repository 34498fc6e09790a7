#pragma once

#include "placement/Planner.h"

namespace lovagerock::placement::replay {

enum class Baseline
{
  // Places jobs in order of submission on the first workers that fit. The first job that doesn't
  // fit blocks all later ones.
  FirstFit,
  // Places each job that fits, in order of submission, in the domain with the fewest free
  // accelerators that holds it, on its workers with the fewest free accelerators first.
  BestFit,
};

// Computes a plan without fair share, reservations and moves. Enforces the guarantees of the
// snapshot: jobs that fit into their account's assigned capacity start there, and borrowers of it
// are reclaimed.
Plan
ComputeBaseline(const ClusterSnapshot& aSnapshot, PlannerState& aState, Baseline aBaseline);

} // namespace lovagerock::placement::replay
