#include "http/HttpServer.h"

#include "http/CallerConnections.h"
#include "http/HttpError.h"
#include "http/RouteTable.h"
#include "http/SocketOptions.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <utility>

namespace lovagerock::http {

namespace detail {

struct EvhttpFree
{
  void operator()(evhttp* aServer) const { evhttp_free(aServer); }
};

struct ServerState
{
  EventLoop* mLoop = nullptr;
  // Before the server, whose end closes the connections.
  std::unique_ptr<CallerConnections> mConnections;
  std::unique_ptr<evhttp, EvhttpFree> mServer;
  evhttp_bound_socket* mSocket = nullptr;
  Bytes mSocketBuffer;
  SocketAddress mAddress;
  RouteTable mRoutes;
  std::size_t mActive = 0;
  bool mDraining = false;
};

// The state of one request between its arrival and the end of its answer. evhttp frees the
// request when the answer is complete or the connection is lost; mRequest is null from then on.
struct Exchange : std::enable_shared_from_this<Exchange>
{
  Exchange(evhttp_request* aRequest, const std::shared_ptr<ServerState>& aServer)
    : mRequest(aRequest)
    , mServer(aServer)
  {
    ++aServer->mActive;
  }
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;
  ~Exchange();

  void Detach();
  void OnClosed();
  void AddHeaders(const Headers& aHeaders) const;
  void SendWhole(const Response& aResponse);
  // Ends the watch for a caller that closes its connection.
  void Unwatch();

  evhttp_request* mRequest;
  std::weak_ptr<ServerState> mServer;
  std::function<void()> mDrained;
  std::function<void()> mHungUp;
  // Keeps the exchange alive until evhttp is done with it.
  std::shared_ptr<Exchange> mSelf;
  bool mStarted = false;
  bool mEnded = false;
};

namespace {

void
OnAnswerComplete(evhttp_request* aRequest, void* aArgument)
{
  auto* exchange = static_cast<Exchange*>(aArgument);
  const auto self = exchange->shared_from_this();
  auto* connection = evhttp_request_get_connection(aRequest);
  const auto server = exchange->mServer.lock();
  if (connection && server) {
    server->mConnections->OnAnswered(connection);
  }
  exchange->Detach();
}

void
OnChunkWritten(evhttp_connection*, void* aArgument)
{
  auto* exchange = static_cast<Exchange*>(aArgument);
  const auto self = exchange->shared_from_this();
  auto drained = std::exchange(exchange->mDrained, nullptr);
  if (drained) {
    drained();
  }
}

bool
ReadMethod(evhttp_request* aRequest, Method& aMethod)
{
  switch (evhttp_request_get_command(aRequest)) {
    case EVHTTP_REQ_GET:
      aMethod = Method::Get;
      return true;
    case EVHTTP_REQ_POST:
      aMethod = Method::Post;
      return true;
    case EVHTTP_REQ_PUT:
      aMethod = Method::Put;
      return true;
    case EVHTTP_REQ_DELETE:
      aMethod = Method::Delete;
      return true;
    default:
      return false;
  }
}

void
ReadRequest(evhttp_request* aFrom, Request& aRequest)
{
  const auto* fields = evhttp_request_get_input_headers(aFrom);
  for (const auto* it = fields->tqh_first; it; it = it->next.tqe_next) {
    aRequest.mHeaders.Add(it->key, it->value);
  }
  auto* input = evhttp_request_get_input_buffer(aFrom);
  aRequest.mBody.resize(evbuffer_get_length(input));
  evbuffer_remove(input, aRequest.mBody.data(), aRequest.mBody.size());
  if (auto* connection = evhttp_request_get_connection(aFrom)) {
    char* ip = nullptr;
    std::uint16_t port = 0;
    evhttp_connection_get_peer(connection, &ip, &port);
    aRequest.mRemoteIp = ip ? ip : "";
  }
}

Response
ErrorResponse(int aStatus, const char* aError)
{
  return JsonResponse(aStatus, std::string(R"({"error":")") + aError + R"(","ran":"no"})");
}

void
OnRequest(evhttp_request* aRequest, void* aArgument)
{
  const auto shared = *static_cast<std::shared_ptr<ServerState>*>(aArgument);
  auto exchange = std::make_shared<Exchange>(aRequest, shared);
  exchange->mSelf = exchange;
  evhttp_request_set_on_complete_cb(aRequest, OnAnswerComplete, exchange.get());
  bool fits = true;
  if (auto* connection = evhttp_request_get_connection(aRequest)) {
    fits = shared->mConnections->OnRequest(connection, [aExchange = exchange.get()] {
      const auto self = aExchange->shared_from_this();
      aExchange->OnClosed();
    });
  }
  const Responder responder(exchange);
  if (!fits) {
    auto refusal =
      JsonResponse(503, R"({"error":"request_memory_used_up","ran":"no","retry":true})");
    refusal.mHeaders.Add("Retry-After", "1");
    responder.Send(std::move(refusal));
    return;
  }
  Request request;
  const auto* uri = evhttp_request_get_evhttp_uri(aRequest);
  const char* path = uri ? evhttp_uri_get_path(uri) : nullptr;
  if (!path || !ReadMethod(aRequest, request.mMethod)) {
    responder.Send(ErrorResponse(400, "malformed_request"));
    return;
  }
  request.mPath = path;
  ParseQuery(evhttp_uri_get_query(uri), request);
  ReadRequest(aRequest, request);
  const auto match = shared->mRoutes.Find(path, request);
  if (!match.mHandler) {
    responder.Send(match.mPathKnown ? ErrorResponse(405, "method_not_allowed")
                                    : ErrorResponse(404, "unknown_path"));
    return;
  }
  // A copy, because the handler may register routes or destroy the server.
  const auto handler = *match.mHandler;
  handler(std::move(request), responder);
}

bufferevent*
NewConnection(event_base*, void* aConnections)
{
  return static_cast<CallerConnections*>(aConnections)->Accept();
}

} // namespace

Exchange::~Exchange()
{
  if (const auto server = mServer.lock()) {
    --server->mActive;
  }
}

void
Exchange::Detach()
{
  mRequest = nullptr;
  mEnded = true;
  mDrained = nullptr;
  mSelf.reset();
}

void
Exchange::OnClosed()
{
  auto hungUp = std::exchange(mHungUp, nullptr);
  Detach();
  const auto server = mServer.lock();
  // Posted, because the connection is still being closed.
  if (hungUp && server) {
    server->mLoop->Post(std::move(hungUp));
  }
}

void
Exchange::Unwatch()
{
  const auto server = mServer.lock();
  if (std::exchange(mHungUp, nullptr) && server) {
    server->mConnections->Unwatch(evhttp_request_get_connection(mRequest));
  }
}

void
Exchange::AddHeaders(const Headers& aHeaders) const
{
  auto* fields = evhttp_request_get_output_headers(mRequest);
  for (const auto& it : aHeaders) {
    evhttp_add_header(fields, it.first.c_str(), it.second.c_str());
  }
  const auto server = mServer.lock();
  if (!server || server->mDraining) {
    evhttp_add_header(fields, "Connection", "close");
  }
}

void
Exchange::SendWhole(const Response& aResponse)
{
  mStarted = true;
  mEnded = true;
  Unwatch();
  AddHeaders(aResponse.mHeaders);
  auto* buf = evbuffer_new();
  evbuffer_add(buf, aResponse.mBody.data(), aResponse.mBody.size());
  evhttp_send_reply(mRequest, aResponse.mStatus, nullptr, buf);
  evbuffer_free(buf);
}

namespace {

// Closes the connection of an exchange from the loop, because evhttp still uses the connection
// after its own callbacks return.
void
AbortLater(const std::shared_ptr<Exchange>& aExchange)
{
  const auto server = aExchange->mServer.lock();
  if (!aExchange->mRequest || !server) {
    return;
  }
  // Nothing more is sent, in particular no 500 when the responder is dropped.
  aExchange->mStarted = true;
  aExchange->mEnded = true;
  server->mLoop->Post([aExchange] {
    auto* connection =
      aExchange->mRequest ? evhttp_request_get_connection(aExchange->mRequest) : nullptr;
    if (connection) {
      evhttp_connection_free(connection);
    }
  });
}

// Runs when the last copy of a responder is gone: an unanswered caller must not wait for ever.
void
OnResponderDropped(const std::shared_ptr<Exchange>& aExchange)
{
  if (!aExchange->mRequest || aExchange->mEnded) {
    return;
  }
  if (aExchange->mStarted) {
    AbortLater(aExchange);
  } else {
    aExchange->SendWhole(
      JsonResponse(500, R"({"error":"internal","ran":"unknown","retry":false})"));
  }
}

} // namespace
} // namespace detail

HttpServer::HttpServer(EventLoop& aLoop, const ServerLimits& aLimits)
  : mState(std::make_shared<detail::ServerState>())
{
  mState->mLoop = &aLoop;
  mState->mSocketBuffer = aLimits.mSocketBuffer;
  mState->mConnections = std::make_unique<CallerConnections>(aLoop, aLimits);
  mState->mServer.reset(evhttp_new(aLoop.Base()));
  auto* server = mState->mServer.get();
  evhttp_set_max_headers_size(server, aLimits.mMaxHeaders.Value());
  evhttp_set_max_body_size(server, aLimits.mMaxBody.Value());
  evhttp_set_timeout(server, static_cast<int>(aLimits.mReadTimeout.count() / 1000));
  evhttp_set_allowed_methods(server,
                             EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE);
  evhttp_set_default_content_type(server, nullptr);
  evhttp_set_bevcb(server, detail::NewConnection, mState->mConnections.get());
  evhttp_set_gencb(server, detail::OnRequest, &mState);
}

HttpServer::~HttpServer() = default;

void
HttpServer::Handle(Method aMethod, std::string_view aPattern, Handler aHandler)
{
  mState->mRoutes.Add(aMethod, aPattern, std::move(aHandler));
}

std::error_code
HttpServer::Listen(const SocketAddress& aAddress)
{
  mState->mSocket =
    evhttp_bind_socket_with_handle(mState->mServer.get(), aAddress.Ip().c_str(), aAddress.Port());
  if (!mState->mSocket) {
    return HttpError::ListenFailed;
  }
  const int fd = evhttp_bound_socket_get_fd(mState->mSocket);
  // Accepted sockets inherit these options from the listening socket.
  SetSocketOptions(fd);
  if (mState->mSocketBuffer > Bytes(0)) {
    LimitSocketBuffers(fd, mState->mSocketBuffer);
  }
  mState->mConnections->SetListener(evhttp_bound_socket_get_listener(mState->mSocket));
  sockaddr_in bound{};
  socklen_t n = sizeof bound;
  getsockname(fd, reinterpret_cast<sockaddr*>(&bound), &n);
  mState->mAddress = SocketAddress(aAddress.Ip(), ntohs(bound.sin_port));
  return {};
}

const SocketAddress&
HttpServer::Address() const
{
  return mState->mAddress;
}

void
HttpServer::SetDraining()
{
  mState->mDraining = true;
}

void
HttpServer::StopListening()
{
  if (mState->mSocket) {
    mState->mConnections->SetListener(nullptr);
    evhttp_del_accept_socket(mState->mServer.get(), mState->mSocket);
    mState->mSocket = nullptr;
  }
}

std::size_t
HttpServer::ActiveRequests() const
{
  return mState->mActive;
}

CallerCounts
HttpServer::Callers() const
{
  return mState->mConnections->Counts();
}

Responder::Responder(std::shared_ptr<detail::Exchange> aExchange)
  : mExchange(aExchange.get(),
              [exchange = aExchange](detail::Exchange*) { detail::OnResponderDropped(exchange); })
{
}

void
Responder::Send(Response aResponse) const
{
  if (!mExchange->mRequest || mExchange->mStarted) {
    return;
  }
  mExchange->SendWhole(aResponse);
}

void
Responder::Start(int aStatus, const Headers& aHeaders) const
{
  if (!mExchange->mRequest || mExchange->mStarted) {
    return;
  }
  mExchange->mStarted = true;
  mExchange->Unwatch();
  mExchange->AddHeaders(aHeaders);
  evhttp_send_reply_start(mExchange->mRequest, aStatus, nullptr);
}

void
Responder::Write(std::string_view aData, std::function<void()> aDrained) const
{
  if (!mExchange->mRequest || !mExchange->mStarted || mExchange->mEnded) {
    return;
  }
  auto* buf = evbuffer_new();
  evbuffer_add(buf, aData.data(), aData.size());
  mExchange->mDrained = std::move(aDrained);
  evhttp_send_reply_chunk_with_cb(mExchange->mRequest, buf, detail::OnChunkWritten,
                                  mExchange.get());
  evbuffer_free(buf);
}

void
Responder::End() const
{
  if (!mExchange->mRequest || !mExchange->mStarted || mExchange->mEnded) {
    return;
  }
  mExchange->mEnded = true;
  evhttp_send_reply_end(mExchange->mRequest);
}

void
Responder::Abort() const
{
  detail::AbortLater(mExchange->shared_from_this());
}

void
Responder::OnHungUp(std::function<void()> aHungUp) const
{
  const auto server = mExchange->mServer.lock();
  if (!server || mExchange->mStarted) {
    return;
  }
  auto* request = mExchange->mRequest;
  if (!request) {
    server->mLoop->Post(std::move(aHungUp));
    return;
  }
  mExchange->mHungUp = std::move(aHungUp);
  server->mConnections->Watch(evhttp_request_get_connection(request),
                              request->major == 1 && request->minor >= 1);
}

bool
Responder::IsStarted() const
{
  return mExchange->mStarted;
}

} // namespace lovagerock::http
