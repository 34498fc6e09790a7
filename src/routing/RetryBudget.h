#pragma once

#include "base/Random.h"
#include "base/Units.h"

namespace lovagerock::routing {

// Token bucket that limits retries to 10% of the requests plus 3 per second, so that retries can't
// overload a service that is already failing. Not thread-safe.
class RetryBudget
{
public:
  explicit RetryBudget(TimePoint aNow);

  // Adds the share of a new request to the budget.
  void AddRequest();
  // Takes one retry out of the budget. Returns false if the budget is exhausted.
  bool TakeRetry(TimePoint aNow);
  // Returns the delay before retry number aRetry, counted from 1: 20 ms, doubling up to 2 s, with
  // jitter.
  static Duration Backoff(int aRetry, Random& aRandom);

private:
  double mTokens;
  TimePoint mUpdated;
};

} // namespace lovagerock::routing
