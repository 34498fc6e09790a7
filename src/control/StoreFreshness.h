#pragma once

#include "base/Units.h"
#include "control/ControlSettings.h"

namespace lovagerock::control {

// Tracks how recent a node's view of the store is. All times are BootTime().
class StoreFreshness
{
public:
  // Records a call that was sent and answered at the given times. Its answer covers everything that
  // the store had acknowledged before the call was sent.
  void OnAnswer(Duration aSent, Duration aAnswered)
  {
    mConfirmedUntil = aSent;
    mAnsweredAt = aAnswered;
  }

  // Returns the time since the last confirmation; the view contains every change older than that.
  Duration Age(Duration aNow) const { return aNow - mConfirmedUntil; }
  // Whether the store answers. A watch call without events is answered only after kWatchWait and
  // confirms just the time before it was sent, so Age() alone would make a store without changes
  // look unreachable.
  bool IsReachable(Duration aNow) const { return aNow - mAnsweredAt < kWatchWait + kAnswerMargin; }

private:
  // The time beyond kWatchWait that an answer may take.
  static constexpr Duration kAnswerMargin{ 800 };

  Duration mConfirmedUntil = Duration::min() / 2;
  Duration mAnsweredAt = Duration::min() / 2;
};

} // namespace lovagerock::control
