#pragma once

#include "base/Units.h"

#include <optional>

namespace lovagerock::routing {

// What the attempts at one service tell about its speed: how long an attempt holds its slot, how
// long a run takes, and how many attempts are open. Estimates the time until a waiting request
// gets a slot by Little's law, which holds whatever limits the service: its slots, the workers'
// connections or other nodes. Belongs to its loop.
class RunTimes
{
public:
  void OnStart() { ++mOpen; }
  // Records the end of an attempt that held its slot for aTime.
  void OnEnd(std::chrono::microseconds aTime);
  // Records the run time of an attempt that was answered.
  void OnAnswered(std::chrono::microseconds aTime);
  // Records an attempt that its deadline ended after aTime: its run would have taken longer.
  void OnCutOff(std::chrono::microseconds aTime);

  int Open() const { return mOpen; }
  // The time until a request with aAhead requests before it gets a slot; nothing if no attempt
  // is open, because the next slot may then come at any time.
  std::optional<std::chrono::microseconds> Wait(double aAhead) const;
  // The mean time of a run; zero if unknown.
  std::chrono::microseconds Mean() const;
  // A time that most runs don't exceed; zero if unknown.
  std::chrono::microseconds Typical() const;

private:
  int mOpen = 0;
  // Moving averages in microseconds; negative before the first sample.
  double mHeld = -1;
  double mRun = -1;
  double mDeviation = 0;
};

} // namespace lovagerock::routing
