#pragma once

#include "base/Units.h"
#include "control/ControlSettings.h"

#include <algorithm>

namespace lovagerock::control {

// Decides when the next plan may be made, so that planning leaves most of a slow machine's CPU time
// to the calls that carry the plans out.
class PlanPacer
{
public:
  // Records when the last plan was finished and how long it took.
  void OnPlanned(TimePoint aEnd, Duration aDuration)
  {
    mNextPlan = aEnd + kPauseFactor * aDuration;
  }
  // Returns the delay before the next plan if it is requested now.
  Duration Delay(TimePoint aNow) const
  {
    return std::max(kPlanDelay, std::chrono::ceil<Duration>(mNextPlan - aNow));
  }

private:
  // The pause after a plan is this many times its duration, so planning takes at most 1 / (factor +
  // 1) of the time.
  static constexpr int kPauseFactor = 4;

  TimePoint mNextPlan;
};

} // namespace lovagerock::control
