#pragma once

#include "base/SocketAddress.h"

#include <event2/http.h>

#include <memory>
#include <system_error>
#include <vector>

struct event_base;

namespace lovagerock::passthrough {

// Forwards every HTTP/1.1 request to one server over persistent connections, and nothing more: the
// least that a proxy on evhttp costs. It uses evhttp directly, so that the benchmark's baseline
// does not include the project's HTTP library. Belongs to the thread that runs the base.
class Passthrough
{
public:
  Passthrough(event_base* aBase, SocketAddress aServer);
  ~Passthrough();
  Passthrough(const Passthrough&) = delete;
  Passthrough& operator=(const Passthrough&) = delete;

  // Listens; port 0 picks a free port, which Address() then gives.
  std::error_code Listen(const SocketAddress& aAddress);
  const SocketAddress& Address() const { return mAddress; }

private:
  struct Exchange;

  static void OnRequest(evhttp_request* aRequest, void* aSelf);
  static void OnAnswer(evhttp_request* aAnswer, void* aExchange);
  static void OnCallerClosed(evhttp_connection* aConnection, void* aExchange);
  void Forward(evhttp_request* aRequest);
  evhttp_connection* TakeConnection();

  event_base* mBase;
  SocketAddress mServer;
  SocketAddress mAddress;
  evhttp* mHttp;
  std::vector<evhttp_connection*> mIdle;
};

} // namespace lovagerock::passthrough
