#pragma once

#include "base/Random.h"
#include "http/HttpServer.h"
#include "routing/AccountDirectory.h"
#include "routing/FinalAnswer.h"
#include "routing/RouteRequest.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace lovagerock::routing {

// The callers' endpoint POST /v1/services/{service}/requests, as described in
// docs/callers-api.md. Checks each request and hands it over. Belongs to its loop.
class RequestApi
{
public:
  // The longest deadline that a caller may ask for.
  static constexpr Duration kLongestTimeout{ 3600000 };
  static constexpr std::size_t kMaxKey = 255;

  // Why new work is refused at present, such as "not_ready"; nothing if it is accepted.
  using Gate = std::function<std::optional<std::string>()>;
  using Submit = std::function<void(RouteRequest, const http::Responder&)>;

  RequestApi(AccountDirectory aDirectory, Gate aGate, Submit aSubmit, Random& aRandom);

  // Registers the endpoint. This object must outlive the server's requests.
  void Register(http::HttpServer& aServer);

private:
  void OnRequest(http::Request aRequest, const http::Responder& aResponder);
  // Fills the route request from the caller's; a refusal if a check fails.
  std::optional<Refusal> Check(const http::Request& aRequest, RouteRequest& aRoute) const;
  std::optional<Refusal> CheckAccount(const http::Request& aRequest, RouteRequest& aRoute) const;
  std::optional<Refusal> CheckHeaders(const http::Request& aRequest, RouteRequest& aRoute) const;

  AccountDirectory mDirectory;
  Gate mGate;
  Submit mSubmit;
  // Request ids are this prefix, unique for the process, and a number.
  std::string mIdPrefix;
  std::uint64_t mLastId = 0;
};

} // namespace lovagerock::routing
