#pragma once

#include "base/EventLoop.h"
#include "base/SocketAddress.h"
#include "http/CallerConnections.h"
#include "http/HttpMessage.h"
#include "http/Responder.h"
#include "http/RouteTable.h"
#include "http/ServerLimits.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>
#include <system_error>

namespace lovagerock::http {

namespace detail {
struct ServerState;
} // namespace detail

// An HTTP/1.1 server on evhttp. Handlers run on the loop and answer at once or later through the
// Responder. Unknown paths get 404, known paths with another method 405.
class HttpServer
{
public:
  using Handler = RouteHandler;

  HttpServer(EventLoop& aLoop, const ServerLimits& aLimits = {});
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Registers a handler. The pattern is a path whose "{name}" segments match any one segment; a
  // last segment "{name*}" matches the rest of the path.
  void Handle(Method aMethod, std::string_view aPattern, Handler aHandler);
  // Listens; port 0 picks a free port, which Address() then gives.
  std::error_code Listen(const SocketAddress& aAddress);
  const SocketAddress& Address() const;

  // Asks callers to close their connections after each answer ("Connection: close").
  void SetDraining();
  // Accepts no new connections; open ones go on.
  void StopListening();
  // Number of requests that have no complete answer yet.
  std::size_t ActiveRequests() const;
  // What is held for callers at present.
  CallerCounts Callers() const;

private:
  std::shared_ptr<detail::ServerState> mState;
};

} // namespace lovagerock::http
