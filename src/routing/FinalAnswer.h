#pragma once

#include "base/Ids.h"
#include "base/Json.h"
#include "base/Units.h"
#include "http/HttpMessage.h"

#include <string>
#include <string_view>

namespace lovagerock::routing {

// What a refusal says about the request.
enum class Ran
{
  // It was not run and will not be.
  No,
  // It may have been run, may be running, or its outcome was lost.
  Unknown,
  // It was started and cancelled before its end.
  Partly,
};

// The name in refusals: "no", "unknown" or "partly".
std::string_view
RanName(Ran aRan);

// The reasons for a refusal.
struct Refusal
{
  int mStatus = 503;
  // A short code for programs, such as "queue_full".
  std::string mError;
  std::string mMessage;
  Ran mRan = Ran::No;
  // Whether sending the same request again can succeed and is safe.
  bool mRetry = true;
  // Written as Retry-After in seconds, rounded up; 0 for none.
  Duration mRetryAfter{ 0 };
};

// The refusal as an answer with its JSON body.
http::Response
RefusalResponse(const Refusal& aRefusal, const RequestId& aRequest);

// The final answer of a request, for the caller and for those that joined the request.
struct FinalAnswer
{
  // "answered" or the refusal's code.
  std::string mOutcome;
  http::Response mResponse;
  // Whether the request is known not to have run.
  bool mNotRun = false;
};

// The members status, headers and body (binary), for claims and peer messages.
void
to_json(Json& aJson, const FinalAnswer& aAnswer);
void
from_json(const Json& aJson, FinalAnswer& aAnswer);

} // namespace lovagerock::routing
