#include "base/TokenBucket.h"

#include <criterion/criterion.h>

using namespace lovagerock;

namespace {

int
TakeAll(TokenBucket& aBucket, TimePoint aNow)
{
  int taken = 0;
  while (aBucket.Take(aNow)) {
    ++taken;
  }
  return taken;
}

} // namespace

// Guards against a limit that holds up a burst, or that lets more pass once it is used up.
Test(TokenBucket, allows_a_burst_and_a_rate_after_it)
{
  TokenBucket bucket(10, 5);
  const auto now = TimePoint() + std::chrono::hours(1);
  cr_assert_eq(TakeAll(bucket, now), 10);
  cr_assert_eq(TakeAll(bucket, now + std::chrono::milliseconds(1000)), 5);
  cr_assert_eq(TakeAll(bucket, now + std::chrono::milliseconds(1100)), 0);
  cr_assert_eq(TakeAll(bucket, now + std::chrono::milliseconds(1200)), 1);
  cr_assert_eq(TakeAll(bucket, now + std::chrono::hours(1)), 10);
}
