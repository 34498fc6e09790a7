#pragma once

#include "base/Units.h"

#include <optional>

namespace lovagerock::standin {

// The simulated progress of one task.
class TaskRunner
{
public:
  // aDone is the progress that an earlier attempt saved.
  TaskRunner(Duration aTotal, Duration aDone, TimePoint aNow);

  // Sets the speed in percent of full speed, from 0 to 100.
  void SetSpeed(int aPercent, TimePoint aNow);
  // The work done, in time at full speed.
  Duration Progress(TimePoint aNow) const;
  // When the work will be done; nothing at speed 0.
  std::optional<TimePoint> EndsAt() const;

private:
  Duration mTotal;
  Duration mDone;
  TimePoint mSince;
  int mPercent = 100;
};

} // namespace lovagerock::standin
