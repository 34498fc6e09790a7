#pragma once

#include "base/Units.h"
#include "control/ControlSettings.h"

namespace lovagerock::control {

// How current a node's view of the store is. All times are BootTime().
class StoreContact
{
public:
  // A call that began and was answered at the given times told everything that the store had
  // acknowledged before it began.
  void OnAnswer(Duration aBegan, Duration aAnswered)
  {
    mConfirmed = aBegan;
    mAnswered = aAnswered;
  }

  // The age of what is known for certain.
  Duration Age(Duration aNow) const { return aNow - mConfirmed; }
  // Whether the store answers. A watch without events is answered after its wait, and confirms
  // only the time before it, so the age alone would call a quiet store unreachable.
  bool IsReachable(Duration aNow) const { return aNow - mAnswered < kWatchWait + kAnswerReserve; }

private:
  // What an answer may take beyond the wait.
  static constexpr Duration kAnswerReserve{ 800 };

  Duration mConfirmed = Duration::min() / 2;
  Duration mAnswered = Duration::min() / 2;
};

} // namespace lovagerock::control
