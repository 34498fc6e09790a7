#pragma once

#include "base/EventLoop.h"
#include "routing/AdmissionQueue.h"

#include <functional>
#include <map>
#include <vector>

namespace lovagerock::routing {

// Calls back for requests at given times, using one shared event-loop timer, because a timer per
// request costs more than the rest of a short request. Times are rounded up to ticks of 10 ms, so
// callbacks come up to 10 ms late. Not thread-safe: use it only on its event loop.
class DeadlineWheel
{
public:
  DeadlineWheel(EventLoop& aLoop, std::function<void(RequestNumber)> aWake);

  // Calls aWake once for the request at the given time. Entries can't be removed: the owner checks
  // at each call what is due, and ignores requests that have ended.
  void Add(TimePoint aTime, RequestNumber aRequest);

private:
  void Arm();
  void Run();

  EventLoop& mLoop;
  std::function<void(RequestNumber)> mWake;
  // Requests by tick, in units of 10 ms of the steady clock.
  std::map<std::int64_t, std::vector<RequestNumber>> mTicks;
  // The tick that the timer is set for.
  std::int64_t mArmedTick = 0;
  Timer mTimer;
};

} // namespace lovagerock::routing
