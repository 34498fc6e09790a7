#include "control/PlanPacer.h"

#include <criterion/criterion.h>

using namespace lovagerock;
using namespace lovagerock::control;

// Guards against a leader that only plans while news of leaving workers waits for seconds.
Test(PlanPacer, rests_for_several_times_what_a_plan_took)
{
  PlanPacer pacer;
  const TimePoint now = TimePoint() + std::chrono::hours(1);
  cr_assert_eq(pacer.Delay(now), kPlanDelay);
  pacer.OnPlanned(now, Duration(50));
  cr_assert_eq(pacer.Delay(now), Duration(200));
  cr_assert_eq(pacer.Delay(now + Duration(150)), Duration(50));
  cr_assert_eq(pacer.Delay(now + Duration(300)), kPlanDelay);
}
