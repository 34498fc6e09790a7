#pragma once

#include "base/Units.h"
#include "scheduler/Job.h"
#include "scheduler/TaskRef.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace lovagerock::scheduler {

// The urgency of a job, by its account's guarantee and its expected end.
enum PlanClass : int
{
  // The job is within the number of accelerators that its account is guaranteed.
  Entitled = 0,
  // The job is expected to end by its objective, or it is Late but at least half of the step's
  // tasks are done.
  InTime = 1,
  // The job is expected to miss its objective.
  Late = 2,
  // The job is expected to take so much longer than its objective allows that its result has no
  // value.
  Worthless = 3,
};

// When a job was accepted, should be done and is expected to be done.
struct JobTimes
{
  TimePoint mAcceptedAt;
  TimePoint mObjective;
  TimePoint mExpectedEnd;
};

// Returns the class of a job without a guarantee.
PlanClass
ClassOfJob(const JobTimes& aTimes);

// Returns the class of a step of a job.
PlanClass
ClassOfStep(PlanClass aJobClass, const Step& aStep);

// What decides when a waiting step is placed, compared with others. Entitled steps come first, then
// gangs with a protected turn, and Worthless steps last. Between these, the queue's priority comes
// before the class, the class before the account's level, and the objective decides last.
struct StepRank
{
  PlanClass mClass = InTime;
  // See GatherTurns.
  bool mIsProtected = false;
  // See QueuePolicy.
  int mPriority = 0;
  // See AccountUsage. Doesn't count for Entitled steps.
  int mAccountLevel = 0;
  TimePoint mObjective;
  // Makes the order of equal steps definite.
  StepKey mKey;
};

// Whether the first step is placed before the second one.
bool
ComesBefore(const StepRank& aLeft, const StepRank& aRight);

// Sorts the items by the ranks that aRankOf returns for them.
template<typename Item, typename RankOf>
void
SortByRank(std::vector<Item>& aItems, const RankOf& aRankOf)
{
  std::vector<std::pair<StepRank, Item>> ranked;
  ranked.reserve(aItems.size());
  for (auto& item : aItems) {
    auto rank = aRankOf(item);
    ranked.emplace_back(std::move(rank), std::move(item));
  }
  std::sort(ranked.begin(), ranked.end(), [](const auto& aLeft, const auto& aRight) {
    return ComesBefore(aLeft.first, aRight.first);
  });
  std::transform(ranked.begin(), ranked.end(), aItems.begin(),
                 [](auto& aIt) { return std::move(aIt.second); });
}

} // namespace lovagerock::scheduler
