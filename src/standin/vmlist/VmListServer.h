#pragma once

#include "base/EventLoop.h"
#include "http/HttpServer.h"
#include "standin/vmlist/TargetTable.h"

#include <system_error>

namespace lovagerock::standin {

// The platform's VM list over HTTP: GET /v1/targets, PUT and DELETE /v1/targets/{ip:port}. The
// body of a PUT is an object of labels, or one with the member "labels". Belongs to its loop.
class VmListServer
{
public:
  VmListServer(EventLoop& aLoop, TargetTable aTable);

  std::error_code Listen(const SocketAddress& aAddress);
  const SocketAddress& Address() const { return mServer.Address(); }

private:
  void SendList(const http::Request& aRequest, const http::Responder& aResponder);
  void OnPut(const http::Request& aRequest, const http::Responder& aResponder);
  void OnDelete(const http::Request& aRequest, const http::Responder& aResponder);

  TargetTable mTable;
  http::HttpServer mServer;
};

} // namespace lovagerock::standin
