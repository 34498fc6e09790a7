#pragma once

#include "base/Units.h"

#include <algorithm>
#include <chrono>

namespace lovagerock::standin {

// A token bucket that holds at most one second's worth of calls.
class RateLimiter
{
public:
  // A rate of 0 means no limit.
  explicit RateLimiter(double aPerSecond = 0)
    : mPerSecond(aPerSecond)
    , mTokens(aPerSecond)
  {
  }

  // Whether one more call is within the rate.
  bool Allow(TimePoint aNow)
  {
    if (mPerSecond <= 0) {
      return true;
    }
    if (mLast != TimePoint()) {
      const std::chrono::duration<double> passed = aNow - mLast;
      mTokens = std::min(std::max(1.0, mPerSecond), mTokens + passed.count() * mPerSecond);
    }
    mLast = aNow;
    if (mTokens < 1) {
      return false;
    }
    mTokens -= 1;
    return true;
  }

private:
  double mPerSecond;
  double mTokens;
  TimePoint mLast;
};

} // namespace lovagerock::standin
