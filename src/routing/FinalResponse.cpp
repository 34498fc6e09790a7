#include "routing/FinalResponse.h"

namespace lovagerock::routing {

std::string_view
RanName(Ran aRan)
{
  switch (aRan) {
    case Ran::No:
      return "no";
    case Ran::Unknown:
      return "unknown";
    case Ran::Partly:
      return "partly";
  }
  return "unknown";
}

http::Response
RefusalResponse(const Refusal& aRefusal, const RequestId& aRequest)
{
  const Json body = { { "error", aRefusal.mError },
                      { "message", aRefusal.mMessage },
                      { "ran", RanName(aRefusal.mRan) },
                      { "retry", aRefusal.mRetry },
                      { "request_id", aRequest.Value() } };
  auto response = http::JsonResponse(aRefusal.mStatus, DumpJson(body));
  response.mHeaders.Add("Request-Id", aRequest.Value());
  if (aRefusal.mRetryAfter.count() > 0) {
    const auto seconds = (aRefusal.mRetryAfter.count() + 999) / 1000;
    response.mHeaders.Add("Retry-After", std::to_string(seconds));
  }
  return response;
}

void
to_json(Json& aJson, const FinalResponse& aFinal)
{
  Json headers = Json::array();
  for (const auto& [name, value] : aFinal.mResponse.mHeaders) {
    headers.push_back({ name, value });
  }
  const auto& body = aFinal.mResponse.mBody;
  aJson = { { "outcome", aFinal.mOutcome },
            { "not_run", aFinal.mNotRun },
            { "status", aFinal.mResponse.mStatus },
            { "headers", std::move(headers) },
            { "body", Json::binary({ body.begin(), body.end() }) } };
}

void
from_json(const Json& aJson, FinalResponse& aFinal)
{
  aFinal.mOutcome = JsonValue<std::string>(aJson, "outcome", "");
  aFinal.mNotRun = JsonValue(aJson, "not_run", false);
  aFinal.mResponse.mStatus = JsonValue(aJson, "status", 500);
  for (const auto& it : JsonValue(aJson, "headers", Json::array())) {
    if (it.is_array() && it.size() == 2 && it[0].is_string() && it[1].is_string()) {
      aFinal.mResponse.mHeaders.Add(it[0].get<std::string>(), it[1].get<std::string>());
    }
  }
  const auto body = aJson.find("body");
  if (body != aJson.end() && body->is_binary()) {
    const auto& bytes = body->get_binary();
    aFinal.mResponse.mBody.assign(bytes.begin(), bytes.end());
  }
}

} // namespace lovagerock::routing
