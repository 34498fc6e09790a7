#pragma once

#include "load/Session.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>

namespace lovagerock::load {

// One request to a service.
struct RequestPlan
{
  std::string mService;
  // The bearer token; the session's if empty.
  std::string mBearer;
  bool mIdempotent = true;
  Duration mRunTime{ 0 };
  // Size of the body, and so of the answer; smaller if the body needs more.
  std::size_t mSize = 0;
  // If set, the request goes to a worker itself under this service lease, in the worker protocol.
  std::string mWorkerLease;
  // The time from which the latency counts.
  TimePoint mIntended;
};

// Sends requests, checks their answers, counts and logs them.
class RequestSender
{
public:
  explicit RequestSender(Session& aSession);

  // aDone gets what became of the request, and the time since it was meant to be sent.
  using Callback = std::function<void(Outcome, std::chrono::microseconds)>;
  void Send(const RequestPlan& aPlan, Callback aDone);

private:
  CallSpec MakeCall(const RequestPlan& aPlan, const std::string& aToken) const;
  Outcome Record(const RequestPlan& aPlan, const std::string& aToken, const CallResult& aResult,
                 const std::string& aExpected, std::chrono::microseconds aLatency);

  Session& mSession;
};

} // namespace lovagerock::load
