#include "control/PlanPacer.h"

#include <criterion/criterion.h>

using namespace lovagerock;
using namespace lovagerock::control;

// Guards against a leader that plans without pause, so that updates from leaving workers wait for
// seconds.
Test(PlanPacer, delays_the_next_plan_by_a_multiple_of_the_planning_time)
{
  PlanPacer pacer;
  const TimePoint now = TimePoint() + std::chrono::hours(1);
  cr_assert_eq(pacer.Delay(now), kPlanDelay);
  pacer.OnPlanned(now, Duration(50));
  cr_assert_eq(pacer.Delay(now), Duration(200));
  cr_assert_eq(pacer.Delay(now + Duration(150)), Duration(50));
  cr_assert_eq(pacer.Delay(now + Duration(300)), kPlanDelay);
}
