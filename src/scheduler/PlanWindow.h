#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

namespace lovagerock::scheduler {

// Chooses which of the waiting steps a plan looks at if there are too many for one plan: the first
// ones by rank, and a part of the others, in turn. So a plan takes a bounded time, and steps that
// never fit can't keep others from being looked at.
class PlanWindow
{
public:
  explicit PlanWindow(std::size_t aMaxSteps)
    : mMaxSteps(std::max<std::size_t>(aMaxSteps, 2))
  {
  }

  // Returns the positions of the steps to look at now, ascending, out of aSteps sorted by rank.
  std::vector<std::size_t> Choose(std::size_t aSteps)
  {
    std::vector<std::size_t> chosen;
    const auto first = aSteps <= mMaxSteps ? aSteps : mMaxSteps - mMaxSteps / kOthersPart;
    for (std::size_t i = 0; i < first; ++i) {
      chosen.push_back(i);
    }
    const auto others = aSteps - first;
    for (std::size_t i = 0; i < std::min(mMaxSteps - first, others); ++i) {
      mNext = mNext < others ? mNext : 0;
      chosen.push_back(first + mNext++);
    }
    std::sort(chosen.begin(), chosen.end());
    return chosen;
  }

private:
  // One step in this many is one of the others.
  static constexpr std::size_t kOthersPart = 4;

  std::size_t mMaxSteps;
  // The place among the others at which the next plan begins.
  std::size_t mNext = 0;
};

} // namespace lovagerock::scheduler
