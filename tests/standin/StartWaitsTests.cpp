#include "standin/platform/StartWaits.h"

#include <criterion/criterion.h>

#include <chrono>

using namespace lovagerock;
using namespace lovagerock::standin;
using namespace std::chrono_literals;

// Guards against waits that leave out jobs which never start, or begin or end at another event.
Test(StartWaits, counts_from_the_acceptance_to_the_first_start)
{
  const TimePoint begin(1h);
  StartWaits waits;
  waits.OnStart("early", begin);
  for (const auto* it : { "early", "started", "waiting" }) {
    waits.OnAccepted(it, begin + 1s);
  }
  waits.OnAccepted("started", begin + 2s);
  waits.OnStart("started", begin + 4s);
  waits.OnStart("started", begin + 5s);
  waits.OnStart("rejected", begin + 5s);
  const auto result = waits.Waits(begin + 9s);
  cr_assert_eq(result.size(), 3);
  cr_assert_eq(result.at("early"), 0s);
  cr_assert_eq(result.at("started"), 3s);
  cr_assert_eq(result.at("waiting"), 8s);
}
