#pragma once

#include "base/Ids.h"
#include "base/Json.h"
#include "base/Units.h"
#include "http/HttpMessage.h"

#include <string>
#include <string_view>

namespace lovagerock::routing {

// Whether a refused request was run.
enum class Ran
{
  // The request was not run and will not be.
  No,
  // The request may have run or may still be running, or its outcome was lost.
  Unknown,
  // The request was started and then cancelled before it ended.
  Partly,
};

// Returns the value of "ran" in refusals: "no", "unknown" or "partly".
std::string_view
RanName(Ran aRan);

// Why a request is refused, and what the caller may do about it.
struct Refusal
{
  int mStatus = 503;
  // Machine-readable code, such as "queue_full".
  std::string mError;
  std::string mMessage;
  Ran mRan = Ran::No;
  // Whether sending the same request again can succeed and is safe.
  bool mRetry = true;
  // Sent as Retry-After in seconds, rounded up; 0 to send none.
  Duration mRetryAfter{ 0 };
};

// Builds the HTTP response of a refusal, with a JSON body.
http::Response
RefusalResponse(const Refusal& aRefusal, const RequestId& aRequest);

// The final response to a request, for its caller and for the requests that joined it.
struct FinalResponse
{
  // "answered", or the code of the refusal.
  std::string mOutcome;
  http::Response mResponse;
  // Whether the request is known not to have run.
  bool mNotRun = false;
};

// Conversion for claims and peer messages: outcome, not_run, status, headers and body, which is
// binary.
void
to_json(Json& aJson, const FinalResponse& aFinal);
void
from_json(const Json& aJson, FinalResponse& aFinal);

} // namespace lovagerock::routing
