#pragma once

#include "base/Random.h"
#include "http/HttpServer.h"
#include "routing/AccountDirectory.h"
#include "routing/FinalResponse.h"
#include "routing/RouteRequest.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace lovagerock::routing {

// The callers' endpoint POST /v1/services/{service}/requests, as described in
// docs/callers-api.md. Validates each request and passes it to Submit. Not thread-safe: use it only
// on the event loop of its server.
class RequestApi
{
public:
  // The longest deadline that a caller may ask for.
  static constexpr Duration kLongestTimeout{ 3600000 };

  static constexpr std::size_t kMaxKeyLength = 255;

  // Returns the code with which new requests are refused at present, such as "not_ready"; nothing
  // if they are accepted.
  using Gate = std::function<std::optional<std::string>()>;
  using Submit = std::function<void(RouteRequest, const http::Responder&)>;

  RequestApi(AccountDirectory aDirectory, Gate aGate, Submit aSubmit, Random& aRandom);

  // Registers the endpoint. This object must outlive the server's requests.
  void Register(http::HttpServer& aServer);

private:
  void OnRequest(http::Request aRequest, const http::Responder& aResponder);
  // Fills aRoute from the caller's request. Returns a refusal if a check fails.
  std::optional<Refusal> Check(const http::Request& aRequest, RouteRequest& aRoute) const;
  std::optional<Refusal> CheckAccount(const http::Request& aRequest, RouteRequest& aRoute) const;
  std::optional<Refusal> CheckHeaders(const http::Request& aRequest, RouteRequest& aRoute) const;

  AccountDirectory mDirectory;
  Gate mGate;
  Submit mSubmit;
  // Request ids consist of this prefix, which is unique to the process, and a sequence number.
  std::string mIdPrefix;
  std::uint64_t mLastId = 0;
};

} // namespace lovagerock::routing
