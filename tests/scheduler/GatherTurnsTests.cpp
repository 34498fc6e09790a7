#include "scheduler/GatherTurns.h"

#include <criterion/criterion.h>

using namespace lovagerock;
using namespace lovagerock::scheduler;

// Guards against a gang that comes before all others without a guarantee although its protected
// turn is over, because others gather and it doesn't get its next turn.
Test(GatherTurns, protects_no_step_after_its_protected_turn)
{
  constexpr Duration kTurn{ 6000 };
  constexpr Duration kPause{ 1000 };
  GatherTurns turns(kTurn, kTurn, kPause, kTurn);
  const StepKey step{ JobId("gang"), 0, 0 };
  const TimePoint begin(Duration(10000));
  turns.OnGathered(step, begin);
  const auto next = begin + kTurn + kPause;
  turns.OnGathered(step, next);
  cr_assert(turns.IsProtected(step, next));
  cr_assert(turns.IsProtected(step, next + kTurn - Duration(1)));
  cr_assert_not(turns.IsProtected(step, next + kTurn));
  cr_assert_not(turns.IsProtected(step, next + kTurn + kPause));
}

// Guards against turns that are protected from the second one on, so that jobs of which nothing
// runs wait for as long as a gang gathers.
Test(GatherTurns, protects_no_step_that_has_not_gathered_for_long)
{
  constexpr Duration kTurn{ 6000 };
  constexpr Duration kPause{ 1000 };
  GatherTurns turns(kTurn, kTurn, kPause, 3 * kTurn);
  const StepKey step{ JobId("gang"), 0, 0 };
  TimePoint now(Duration(10000));
  for (const bool isProtected : { false, false, false, true, false, false, true }) {
    turns.OnGathered(step, now);
    cr_assert_eq(turns.IsProtected(step, now), isProtected);
    now += kTurn + kPause;
  }
}
