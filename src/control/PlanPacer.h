#pragma once

#include "base/Units.h"
#include "control/ControlSettings.h"

#include <algorithm>

namespace lovagerock::control {

// Decides when the next plan may be made, so that planning leaves most of a slow machine's time for
// the calls that the plans are about.
class PlanPacer
{
public:
  // The last plan ended at the given time and took the given time.
  void OnPlanned(TimePoint aEnd, Duration aTook) { mNext = aEnd + kRestFactor * aTook; }
  // The delay of a plan that is wanted now.
  Duration Delay(TimePoint aNow) const
  {
    return std::max(kPlanDelay, std::chrono::ceil<Duration>(mNext - aNow));
  }

private:
  // Planning takes at most one part in this many, plus one, of the time.
  static constexpr int kRestFactor = 4;

  TimePoint mNext;
};

} // namespace lovagerock::control
