#pragma once

#include "base/EventLoop.h"
#include "routing/AdmissionQueue.h"

#include <functional>
#include <map>
#include <vector>

namespace lovagerock::routing {

// Wakes requests at given times with one shared timer, because a timer per request costs more
// than the rest of a short request. Wakes up to 10 ms late; belongs to its loop.
class DeadlineWheel
{
public:
  DeadlineWheel(EventLoop& aLoop, std::function<void(RequestNumber)> aWake);

  // Wakes the request once at the given time. There is no removal: a request checks at each wake
  // what is due, and requests that have ended are ignored by the owner.
  void Add(TimePoint aTime, RequestNumber aRequest);

private:
  void Arm();
  void Run();

  EventLoop& mLoop;
  std::function<void(RequestNumber)> mWake;
  std::map<std::int64_t, std::vector<RequestNumber>> mTicks;
  std::int64_t mArmed = 0;
  Timer mTimer;
};

} // namespace lovagerock::routing
