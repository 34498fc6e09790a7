#pragma once

#include "base/Random.h"
#include "base/Units.h"

namespace lovagerock::routing {

// Limits retries to 10% of the requests plus 3 a second, so that retries can't overload a service
// that already fails. Belongs to its loop.
class RetryBudget
{
public:
  explicit RetryBudget(TimePoint aNow);

  // Counts a new request.
  void AddRequest();
  // Takes one retry out of the budget; false if it is used up.
  bool TakeRetry(TimePoint aNow);
  // The delay before a retry, where the first has number 1: 20 ms doubling up to 2 s, with jitter.
  static Duration Backoff(int aRetry, Random& aRandom);

private:
  double mTokens;
  TimePoint mUpdated;
};

} // namespace lovagerock::routing
