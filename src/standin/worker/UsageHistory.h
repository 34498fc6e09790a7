#pragma once

#include "base/Units.h"

#include <deque>
#include <optional>
#include <utility>

namespace lovagerock::standin {

// The use of a worker's accelerators as it is reported: with a lag.
class UsageHistory
{
public:
  explicit UsageHistory(Duration aLag)
    : mLag(aLag)
  {
  }

  // Notes the use from now on.
  void Record(Accelerators aBusy, TimePoint aNow);
  // The use at the time aNow minus the lag. The time must not go back.
  Accelerators Reported(TimePoint aNow);
  // When the reported use changes next.
  std::optional<TimePoint> NextDue() const;
  Duration Lag() const { return mLag; }

private:
  Duration mLag;
  Accelerators mReported;
  Accelerators mLatest;
  // Changes that aren't reported yet, by the time of their report.
  std::deque<std::pair<TimePoint, Accelerators>> mPending;
};

} // namespace lovagerock::standin
