#pragma once

#include "base/Units.h"

#include <algorithm>
#include <chrono>

namespace lovagerock {

// Limits how often a thing is done: so many at once, and so many a second from then on.
class TokenBucket
{
public:
  TokenBucket(int aBurst, double aPerSecond)
    : mBurst(aBurst)
    , mPerSecond(aPerSecond)
    , mTokens(aBurst)
  {
  }

  // Whether the thing may be done now. If so, it counts as done.
  bool Take(TimePoint aNow)
  {
    const std::chrono::duration<double> elapsed = aNow - mFilledAt;
    mFilledAt = aNow;
    mTokens = std::min<double>(mBurst, mTokens + elapsed.count() * mPerSecond);
    if (mTokens < 1) {
      return false;
    }
    mTokens -= 1;
    return true;
  }

private:
  int mBurst;
  double mPerSecond;
  double mTokens;
  TimePoint mFilledAt;
};

} // namespace lovagerock
