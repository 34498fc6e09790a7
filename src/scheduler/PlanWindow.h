#pragma once

#include "scheduler/JobGroup.h"

#include <cstddef>
#include <map>
#include <vector>

namespace lovagerock::scheduler {

// Chooses which of the waiting steps a plan looks at if there are too many for one plan, so that a
// plan takes a bounded time whatever callers submit. Each group of jobs has the same number of
// steps, unless it has fewer; of each, most are the first ones by rank, and the others are looked
// at in turn. So neither steps of another group nor steps that never fit keep one from being looked
// at.
class PlanWindow
{
public:
  explicit PlanWindow(std::size_t aMaxSteps);

  // Returns the positions of the steps to look at now, ascending. aGroups has the group of each
  // step, in the order of their ranks.
  std::vector<std::size_t> Choose(const std::vector<JobGroup>& aGroups);

private:
  std::size_t mMaxSteps;
  // For each group that has more steps than its part, the place among the others at which the next
  // plan begins.
  std::map<JobGroup, std::size_t> mNext;
};

} // namespace lovagerock::scheduler
