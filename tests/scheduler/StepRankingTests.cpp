#include "scheduler/StepRanking.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

using namespace lovagerock;
using namespace lovagerock::scheduler;

namespace {

StepRank
Rank(PlanClass aClass, int aPriority, int aLevel, int aObjectiveMs)
{
  StepRank rank;
  rank.mClass = aClass;
  rank.mPriority = aPriority;
  rank.mAccountLevel = aLevel;
  rank.mObjective = TimePoint(Duration(aObjectiveMs));
  return rank;
}

} // namespace

// A queue with one step for each reason to go first or last. Guards against keys that change
// places, so that a weak reason outranks a strong one.
Test(StepRanking, orders_by_the_strongest_reason)
{
  auto protectedGang = Rank(Late, 2, 3, 900);
  protectedGang.mIsProtected = true;
  const std::vector<StepRank> expected{
    Rank(Entitled, 0, 0, 800), protectedGang,           Rank(InTime, 0, 0, 700),
    Rank(InTime, 0, 1, 100),   Rank(Late, 0, 0, 100),   Rank(InTime, 1, 0, 500),
    Rank(InTime, 1, 0, 600),   Rank(InTime, 1, 1, 400), Rank(InTime, 1, 2, 300),
    Rank(Late, 1, 0, 200),     Rank(InTime, 2, 0, 50),  Rank(Worthless, 0, 0, 10),
    Rank(Worthless, 1, 0, 5),
  };
  for (std::size_t i = 0; i < expected.size(); ++i) {
    for (std::size_t j = 0; j < expected.size(); ++j) {
      cr_assert_eq(ComesBefore(expected[i], expected[j]), i < j, "%zu and %zu", i, j);
    }
  }
}

// Guards against an account in excess whose guaranteed work goes behind that of others.
Test(StepRanking, disregards_the_level_of_guaranteed_steps)
{
  cr_assert(ComesBefore(Rank(Entitled, 0, 3, 100), Rank(Entitled, 0, 0, 200)));
}

// Guards against an order of equal steps that changes from plan to plan.
Test(StepRanking, orders_equal_steps_by_their_ids)
{
  const std::vector<std::string> ids{ "c", "a", "b" };
  auto sorted = ids;
  SortByRank(sorted, [](const auto& aId) {
    auto rank = Rank(InTime, 1, 0, 100);
    rank.mKey = { JobId(aId), 0, 0 };
    return rank;
  });
  cr_assert_eq(sorted, (std::vector<std::string>{ "a", "b", "c" }));
}

// Guards against bounds of the classes that move by one.
Test(StepRanking, classifies_a_job_by_its_expected_end)
{
  const TimePoint accepted(Duration(1000));
  const auto objective = accepted + Duration(500);
  const auto classAt = [&](int aEndMs) {
    return ClassOfJob({ accepted, objective, accepted + Duration(aEndMs) });
  };
  cr_assert_eq(classAt(500), InTime);
  cr_assert_eq(classAt(501), Late);
  cr_assert_eq(classAt(1500), Late);
  cr_assert_eq(classAt(1501), Worthless);
}

// Guards against the last tasks of a late step that hold back the results of all others.
Test(StepRanking, counts_a_late_step_as_in_time_once_half_of_it_is_done)
{
  Step step;
  step.mCount = 4;
  step.mDone = 1;
  cr_assert_eq(ClassOfStep(Late, step), Late);
  step.mDone = 2;
  cr_assert_eq(ClassOfStep(Late, step), InTime);
  cr_assert_eq(ClassOfStep(Worthless, step), Worthless);
}
