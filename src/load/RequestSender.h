#pragma once

#include "load/Session.h"

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

  void Send(const RequestPlan& aPlan, std::function<void()> aDone);

private:
  CallSpec MakeCall(const RequestPlan& aPlan, const std::string& aToken) const;
  void Record(const RequestPlan& aPlan, const std::string& aToken, const CallResult& aResult,
              const std::string& aExpected);

  Session& mSession;
};

} // namespace lovagerock::load
