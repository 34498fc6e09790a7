#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "http/HttpMessage.h"

#include <cstddef>
#include <string>

namespace lovagerock::routing {

// A caller's request after validation.
struct RouteRequest
{
  RequestId mId;
  AccountId mAccount;
  ServiceId mService;
  // Weight of the client account and limit of its queue for the service.
  double mWeight = 1;
  std::size_t mQueueLimit = 1000;
  // The caller's idempotency key; empty for none.
  std::string mKey;
  bool mIdempotent = true;
  Duration mTimeout{ 30000 };
  // Header fields to forward to the worker.
  http::Headers mHeaders;
  std::string mBody;
};

} // namespace lovagerock::routing
