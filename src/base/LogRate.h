#pragma once

#include "base/Units.h"

#include <chrono>
#include <cstdint>
#include <utility>

namespace lovagerock {

// Limits how often lines of one kind are logged that callers can trigger, or how often another
// thing is done for them.
class LogRate
{
public:
  // Enough lines to see what happens, and too few to load the node.
  static constexpr int kLinesPerSecond = 5;

  explicit LogRate(int aMaxPerSecond = kLinesPerSecond)
    : mMaxPerSecond(aMaxPerSecond)
  {
  }

  // Whether a line may be logged now. If not, it is counted.
  bool Allows(TimePoint aNow)
  {
    if (aNow - mStarted >= std::chrono::seconds(1)) {
      mStarted = aNow;
      mLogged = 0;
    }
    if (mLogged >= mMaxPerSecond) {
      ++mOmitted;
      return false;
    }
    ++mLogged;
    return true;
  }
  // Returns the number of lines that were not logged since the last call.
  std::uint64_t TakeOmitted() { return std::exchange(mOmitted, 0); }

private:
  int mMaxPerSecond;
  TimePoint mStarted;
  int mLogged = 0;
  std::uint64_t mOmitted = 0;
};

} // namespace lovagerock
