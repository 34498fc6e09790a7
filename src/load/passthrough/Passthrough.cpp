#include "load/passthrough/Passthrough.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/keyvalq_struct.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <strings.h>
#include <sys/socket.h>

namespace lovagerock::passthrough {

namespace detail {
namespace {

constexpr int kTimeoutSeconds = 600;
constexpr ev_ssize_t kMaxBody = 64 * 1024 * 1024;

void
SetNoDelay(bufferevent* aBuffer)
{
  const int on = 1;
  setsockopt(bufferevent_getfd(aBuffer), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

// Fields that belong to one connection, and the length, which evhttp sets itself.
bool
IsPerConnection(const char* aName)
{
  for (const char* it : { "Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length" }) {
    if (strcasecmp(aName, it) == 0) {
      return true;
    }
  }
  return false;
}

void
CopyHeaders(evkeyvalq* aFrom, evkeyvalq* aTo)
{
  for (const auto* it = aFrom->tqh_first; it; it = it->next.tqe_next) {
    if (!IsPerConnection(it->key)) {
      evhttp_add_header(aTo, it->key, it->value);
    }
  }
}

} // namespace
} // namespace detail

// A request of a caller that waits for the server's answer.
struct Passthrough::Exchange
{
  Passthrough* mSelf;
  // Null once the caller has closed its connection.
  evhttp_request* mRequest;
  evhttp_connection* mUpstream;
};

Passthrough::Passthrough(event_base* aBase, SocketAddress aServer)
  : mBase(aBase)
  , mServer(std::move(aServer))
  , mHttp(evhttp_new(aBase))
{
  evhttp_set_max_body_size(mHttp, detail::kMaxBody);
  evhttp_set_timeout(mHttp, detail::kTimeoutSeconds);
  evhttp_set_default_content_type(mHttp, nullptr);
  evhttp_set_gencb(mHttp, OnRequest, this);
}

Passthrough::~Passthrough()
{
  evhttp_free(mHttp);
  for (auto* it : mIdle) {
    evhttp_connection_free(it);
  }
}

std::error_code
Passthrough::Listen(const SocketAddress& aAddress)
{
  auto* bound = evhttp_bind_socket_with_handle(mHttp, aAddress.Ip().c_str(), aAddress.Port());
  if (!bound) {
    return std::make_error_code(std::errc::address_not_available);
  }
  sockaddr_in address{};
  socklen_t n = sizeof address;
  getsockname(evhttp_bound_socket_get_fd(bound), reinterpret_cast<sockaddr*>(&address), &n);
  mAddress = SocketAddress(aAddress.Ip(), ntohs(address.sin_port));
  return {};
}

void
Passthrough::OnRequest(evhttp_request* aRequest, void* aSelf)
{
  static_cast<Passthrough*>(aSelf)->Forward(aRequest);
}

evhttp_connection*
Passthrough::TakeConnection()
{
  if (!mIdle.empty()) {
    auto* connection = mIdle.back();
    mIdle.pop_back();
    return connection;
  }
  auto* buffer = bufferevent_socket_new(mBase, -1, BEV_OPT_CLOSE_ON_FREE);
  auto* connection = evhttp_connection_base_bufferevent_new(mBase, nullptr, buffer,
                                                            mServer.Ip().c_str(), mServer.Port());
  evhttp_connection_set_timeout(connection, detail::kTimeoutSeconds);
  evhttp_connection_set_retries(connection, 0);
  return connection;
}

void
Passthrough::Forward(evhttp_request* aRequest)
{
  auto* caller = evhttp_request_get_connection(aRequest);
  detail::SetNoDelay(evhttp_connection_get_bufferevent(caller));
  auto* exchange = new Exchange{ this, aRequest, TakeConnection() };
  evhttp_connection_set_closecb(caller, OnCallerClosed, exchange);
  auto* request = evhttp_request_new(OnAnswer, exchange);
  detail::CopyHeaders(evhttp_request_get_input_headers(aRequest),
                      evhttp_request_get_output_headers(request));
  evbuffer_add_buffer(evhttp_request_get_output_buffer(request),
                      evhttp_request_get_input_buffer(aRequest));
  // A failure is reported through OnAnswer.
  evhttp_make_request(exchange->mUpstream, request, evhttp_request_get_command(aRequest),
                      evhttp_request_get_uri(aRequest));
}

void
Passthrough::OnCallerClosed(evhttp_connection*, void* aExchange)
{
  static_cast<Exchange*>(aExchange)->mRequest = nullptr;
}

void
Passthrough::OnAnswer(evhttp_request* aAnswer, void* aExchange)
{
  const std::unique_ptr<Exchange> exchange(static_cast<Exchange*>(aExchange));
  const int status = aAnswer ? evhttp_request_get_response_code(aAnswer) : 0;
  // A failed connection is kept as well: evhttp connects it again for the next request.
  detail::SetNoDelay(evhttp_connection_get_bufferevent(exchange->mUpstream));
  exchange->mSelf->mIdle.push_back(exchange->mUpstream);
  auto* request = exchange->mRequest;
  if (!request) {
    return;
  }
  evhttp_connection_set_closecb(evhttp_request_get_connection(request), nullptr, nullptr);
  if (status == 0) {
    evhttp_send_error(request, 502, "Bad Gateway");
    return;
  }
  detail::CopyHeaders(evhttp_request_get_input_headers(aAnswer),
                      evhttp_request_get_output_headers(request));
  evhttp_send_reply(request, status, evhttp_request_get_response_code_line(aAnswer),
                    evhttp_request_get_input_buffer(aAnswer));
}

} // namespace lovagerock::passthrough
