#include "scheduler/PlanWindow.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace lovagerock::scheduler {

namespace {

// One of so many steps of a group is one of those that are looked at in turn.
constexpr std::size_t kOthersPart = 4;

// Returns how many steps each group may have so that all of them together have aMax: groups with
// fewer leave the rest to the others.
std::size_t
PartOfEach(std::vector<std::size_t> aCounts, std::size_t aMax)
{
  std::sort(aCounts.begin(), aCounts.end());
  auto left = aMax;
  for (std::size_t i = 0; i < aCounts.size(); ++i) {
    const auto part = left / (aCounts.size() - i);
    if (aCounts[i] > part) {
      return std::max<std::size_t>(part, 1);
    }
    left -= aCounts[i];
  }
  return aMax;
}

} // namespace

PlanWindow::PlanWindow(std::size_t aMaxSteps)
  : mMaxSteps(std::max<std::size_t>(aMaxSteps, 2))
{
}

std::vector<std::size_t>
PlanWindow::Choose(const std::vector<JobGroup>& aGroups)
{
  std::vector<std::size_t> chosen;
  if (aGroups.size() <= mMaxSteps) {
    mNext.clear();
    chosen.resize(aGroups.size());
    std::iota(chosen.begin(), chosen.end(), std::size_t{ 0 });
    return chosen;
  }
  std::map<JobGroup, std::vector<std::size_t>> groups;
  for (std::size_t i = 0; i < aGroups.size(); ++i) {
    groups[aGroups[i]].push_back(i);
  }
  std::vector<std::size_t> counts;
  counts.reserve(groups.size());
  for (const auto& [group, positions] : groups) {
    counts.push_back(positions.size());
  }
  const auto part = PartOfEach(std::move(counts), mMaxSteps);
  const auto known = std::exchange(mNext, {});
  for (const auto& [group, positions] : groups) {
    if (positions.size() <= part) {
      chosen.insert(chosen.end(), positions.begin(), positions.end());
      continue;
    }
    const auto inTurn = std::max<std::size_t>(part / kOthersPart, 1);
    const auto first = part - inTurn;
    chosen.insert(chosen.end(), positions.begin(), positions.begin() + static_cast<long>(first));
    const auto others = positions.size() - first;
    const auto it = known.find(group);
    auto next = it == known.end() ? 0 : it->second;
    for (std::size_t i = 0; i < inTurn; ++i, ++next) {
      chosen.push_back(positions[first + next % others]);
    }
    mNext[group] = next % others;
  }
  std::sort(chosen.begin(), chosen.end());
  return chosen;
}

} // namespace lovagerock::scheduler
