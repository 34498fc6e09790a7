#include "routing/RequestApi.h"

#include "base/Hash.h"
#include "base/LogEvent.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace lovagerock::routing {

namespace detail {
namespace {

constexpr std::string_view kBearer = "Bearer ";
// Header fields that are forwarded from the caller's request to the worker.
constexpr std::array<std::string_view, 7> kForwardedHeaders{ "Content-Type",    "Content-Encoding",
                                                             "Accept",          "Accept-Encoding",
                                                             "Accept-Language", "traceparent",
                                                             "tracestate" };

Refusal
BadRequest(std::string aError, std::string aMessage)
{
  return { 400, std::move(aError), std::move(aMessage), Ran::No, false, Duration(0) };
}

bool
IsVisibleAscii(std::string_view aText)
{
  return std::all_of(aText.begin(), aText.end(),
                     [](unsigned char aByte) { return aByte > ' ' && aByte < 0x7f; });
}

} // namespace
} // namespace detail

RequestApi::RequestApi(AccountDirectory aDirectory, Gate aGate, Submit aSubmit, Random& aRandom)
  : mDirectory(std::move(aDirectory))
  , mGate(std::move(aGate))
  , mSubmit(std::move(aSubmit))
  , mIdPrefix(aRandom.Token().substr(0, 16) + "-")
{
}

void
RequestApi::Register(http::HttpServer& aServer)
{
  aServer.Handle(http::Method::Post, "/v1/services/{service}/requests",
                 [this](http::Request aRequest, const http::Responder& aResponder) {
                   OnRequest(std::move(aRequest), aResponder);
                 });
}

void
RequestApi::OnRequest(http::Request aRequest, const http::Responder& aResponder)
{
  RouteRequest route;
  route.mId = RequestId(mIdPrefix + std::to_string(++mLastId));
  if (const auto refusal = Check(aRequest, route)) {
    LogEvent("request_refused")
      .With("request", route.mId)
      .With("account", route.mAccount)
      .With("service", aRequest.PathParameter("service"))
      .With("reason", refusal->mError);
    aResponder.Send(RefusalResponse(*refusal, route.mId));
    return;
  }
  route.mBody = std::move(aRequest.mBody);
  mSubmit(std::move(route), aResponder);
}

std::optional<Refusal>
RequestApi::Check(const http::Request& aRequest, RouteRequest& aRoute) const
{
  if (const auto reason = mGate()) {
    return Refusal{ 503,     *reason, "this node is not accepting requests at present",
                    Ran::No, true,    Duration(1000) };
  }
  if (auto refusal = CheckAccount(aRequest, aRoute)) {
    return refusal;
  }
  return CheckHeaders(aRequest, aRoute);
}

std::optional<Refusal>
RequestApi::CheckAccount(const http::Request& aRequest, RouteRequest& aRoute) const
{
  const auto authorization = aRequest.mHeaders.Get("Authorization");
  const auto account =
    authorization.starts_with(detail::kBearer)
      ? mDirectory.mFindAccount(Sha256Hex(authorization.substr(detail::kBearer.size())))
      : std::nullopt;
  if (!account) {
    return Refusal{ 401,     "wrong_token", "the bearer token belongs to no client account",
                    Ran::No, false,         Duration(0) };
  }
  aRoute.mAccount = account->mAccount;
  aRoute.mWeight = account->mWeight;
  aRoute.mService = ServiceId(aRequest.PathParameter("service"));
  const auto service = mDirectory.mFindService(aRoute.mService);
  // A service that the account may not call is reported in the same way as one that doesn't exist.
  if (!service || std::find(service->mCallers.begin(), service->mCallers.end(),
                            account->mAccount) == service->mCallers.end()) {
    return Refusal{
      404,   "unknown_service", "the client account has access to no service of this name", Ran::No,
      false, Duration(0)
    };
  }
  aRoute.mIdempotent = service->mIdempotent;
  aRoute.mTimeout = service->mTimeout;
  aRoute.mQueueLimit = service->mQueueLimit;
  return std::nullopt;
}

std::optional<Refusal>
RequestApi::CheckHeaders(const http::Request& aRequest, RouteRequest& aRoute) const
{
  const auto& headers = aRequest.mHeaders;
  if (headers.Has("Idempotent")) {
    const auto value = headers.Get("Idempotent");
    if (value != "true" && value != "false") {
      return detail::BadRequest("invalid_idempotent", "Idempotent must be true or false");
    }
    aRoute.mIdempotent = value == "true";
  }
  if (headers.Has("Idempotency-Key")) {
    const auto value = headers.Get("Idempotency-Key");
    if (value.empty() || value.size() > kMaxKeyLength || !detail::IsVisibleAscii(value)) {
      return detail::BadRequest("invalid_idempotency_key",
                                "Idempotency-Key must have 1 to 255 visible ASCII characters");
    }
    aRoute.mKey = value;
  }
  if (headers.Has("Deadline-Ms")) {
    const auto value = headers.Get("Deadline-Ms");
    std::int64_t ms = 0;
    const auto [end, ec] = std::from_chars(value.data(), value.data() + value.size(), ms);
    if (ec != std::errc() || end != value.data() + value.size() || ms < 1 ||
        ms > kLongestTimeout.count()) {
      return detail::BadRequest("invalid_deadline",
                                "Deadline-Ms must be a whole number from 1 to 3600000");
    }
    aRoute.mTimeout = Duration(ms);
  }
  for (const auto it : detail::kForwardedHeaders) {
    const auto value = headers.Get(it);
    if (!value.empty()) {
      aRoute.mHeaders.Add(std::string(it), std::string(value));
    }
  }
  return std::nullopt;
}

} // namespace lovagerock::routing
