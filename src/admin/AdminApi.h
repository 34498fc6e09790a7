#pragma once

#include "admin/AdminHooks.h"
#include "http/HttpServer.h"

namespace lovagerock::admin {

// The operators' API, the health checks and the metrics of a node, as described in
// docs/operators-api.md. Belongs to its loop.
class AdminApi
{
public:
  explicit AdminApi(AdminHooks aHooks);

  // Registers the endpoints. This object must outlive the server's requests.
  void Register(http::HttpServer& aServer);

private:
  void RegisterConfig(http::HttpServer& aServer);
  void RegisterViews(http::HttpServer& aServer);
  void RegisterChecks(http::HttpServer& aServer);
  void Apply(const http::Request& aRequest, const http::Responder& aResponder);
  void
  SendView(const std::string& aView, const std::string& aJob, const http::Responder& aResponder);

  AdminHooks mHooks;
};

} // namespace lovagerock::admin
