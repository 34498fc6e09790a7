#pragma once

#include "base/EventLoop.h"
#include "base/Units.h"

#include <functional>

namespace lovagerock {

// Notices that a loop stood still: its process or VM was paused, or a call took too long. What was
// known before the pause may be out of date. Belongs to the loop.
class PauseWatch
{
public:
  // aOnResumed is called on the loop after each pause longer than aLimit.
  PauseWatch(EventLoop& aLoop, Duration aLimit, std::function<void(Duration)> aOnResumed);

  // Whether a pause has ended that aOnResumed was not told yet. Calls that became due in the pause
  // may run before it.
  bool IsUnnoticed() const;

private:
  void Check();

  Duration mLimit;
  std::function<void(Duration)> mOnResumed;
  TimePoint mLast = std::chrono::steady_clock::now();
  Timer mTimer;
};

} // namespace lovagerock
