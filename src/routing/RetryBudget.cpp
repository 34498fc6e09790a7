#include "routing/RetryBudget.h"

#include <algorithm>

namespace lovagerock::routing {

namespace detail {
namespace {

constexpr double kRetriesPerRequest = 0.1;
constexpr double kRetriesPerSecond = 3;
// Unused budget accumulates only up to this many retries, so that an outage after a period without
// failures doesn't cause a burst of retries.
constexpr double kMaxTokens = 100;
constexpr Duration kFirstBackoff{ 20 };
constexpr Duration kLongestBackoff{ 2000 };

} // namespace
} // namespace detail

RetryBudget::RetryBudget(TimePoint aNow)
  : mTokens(detail::kRetriesPerSecond)
  , mUpdated(aNow)
{
}

void
RetryBudget::AddRequest()
{
  mTokens = std::min(detail::kMaxTokens, mTokens + detail::kRetriesPerRequest);
}

bool
RetryBudget::TakeRetry(TimePoint aNow)
{
  const std::chrono::duration<double> elapsed = aNow - mUpdated;
  mUpdated = aNow;
  mTokens = std::min(detail::kMaxTokens, mTokens + elapsed.count() * detail::kRetriesPerSecond);
  if (mTokens < 1) {
    return false;
  }
  mTokens -= 1;
  return true;
}

Duration
RetryBudget::Backoff(int aRetry, Random& aRandom)
{
  const auto doublings = std::clamp(aRetry - 1, 0, 10);
  return aRandom.Jitter(
    std::min(detail::kLongestBackoff, Duration(detail::kFirstBackoff.count() << doublings)));
}

} // namespace lovagerock::routing
