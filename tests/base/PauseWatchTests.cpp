#include "base/PauseWatch.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <chrono>

using namespace lovagerock;

namespace {

void
HoldLoop(Duration aTime)
{
  const auto end = std::chrono::steady_clock::now() + aTime;
  while (std::chrono::steady_clock::now() < end) {
  }
}

} // namespace

// Guards against work by what was known before a pause, in calls that run before the pause is told.
Test(PauseWatch, knows_of_a_pause_before_it_tells_of_it)
{
  EventLoop loop;
  bool knew = false;
  Duration longest{ 0 };
  const PauseWatch watch(loop, Duration(200), [&](Duration aPause) {
    longest = std::max(longest, aPause);
    if (knew) {
      loop.Stop();
    }
  });
  loop.Post([&] {
    HoldLoop(Duration(300));
    knew = watch.IsUnnoticed();
  });
  const auto limit = loop.After(Duration(60000), [] { cr_assert_fail("test did not finish"); });
  loop.Run();
  cr_assert(knew);
  cr_assert_geq(longest.count(), 300);
  cr_assert_not(watch.IsUnnoticed());
}
