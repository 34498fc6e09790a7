#pragma once

#include "base/EventLoop.h"
#include "base/SocketAddress.h"
#include "http/HttpServer.h"
#include "standin/faultproxy/FaultProxy.h"

#include <memory>
#include <system_error>
#include <vector>

namespace lovagerock::standin {

// The control port of a set of proxies: POST /v1/faults[?map=ADDRESS] changes the faults of one
// or all mappings, GET /v1/stats shows them. Belongs to its loop.
class FaultControl
{
public:
  explicit FaultControl(EventLoop& aLoop);

  // Adds a mapping. Port 0 picks a free port.
  std::error_code AddMapping(const SocketAddress& aListen, const SocketAddress& aTarget);
  // Listens for control calls; port 0 picks a free port, which Address() then gives.
  std::error_code Listen(const SocketAddress& aAddress);
  const SocketAddress& Address() const { return mServer.Address(); }
  // The proxies in the order of their mappings.
  const std::vector<std::unique_ptr<FaultProxy>>& Proxies() const { return mProxies; }

private:
  void OnFaults(const http::Request& aRequest, const http::Responder& aResponder);
  void OnStats(const http::Responder& aResponder) const;

  EventLoop& mLoop;
  http::HttpServer mServer;
  std::vector<std::unique_ptr<FaultProxy>> mProxies;
};

} // namespace lovagerock::standin
