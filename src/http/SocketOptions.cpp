#include "http/SocketOptions.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace lovagerock::http {

namespace detail {
namespace {

constexpr int kKeepaliveIdleSeconds = 2;
constexpr int kKeepaliveIntervalSeconds = 1;
constexpr int kKeepaliveProbes = 3;
constexpr int kUserTimeoutMs = 5000;

void
SetOption(int aSocket, int aLevel, int aName, int aValue)
{
  setsockopt(aSocket, aLevel, aName, &aValue, sizeof aValue);
}

bool
HasKeepalive(int aSocket)
{
  int value = 0;
  socklen_t n = sizeof value;
  return getsockopt(aSocket, SOL_SOCKET, SO_KEEPALIVE, &value, &n) == 0 && value != 0;
}

} // namespace
} // namespace detail

void
SetSocketOptions(int aSocket)
{
  // The client calls this for each request of a connection, because evhttp doesn't tell when it
  // connects again. Keepalive is set last and tells that all are set.
  if (detail::HasKeepalive(aSocket)) {
    return;
  }
  detail::SetOption(aSocket, IPPROTO_TCP, TCP_NODELAY, 1);
  detail::SetOption(aSocket, IPPROTO_TCP, TCP_KEEPIDLE, detail::kKeepaliveIdleSeconds);
  detail::SetOption(aSocket, IPPROTO_TCP, TCP_KEEPINTVL, detail::kKeepaliveIntervalSeconds);
  detail::SetOption(aSocket, IPPROTO_TCP, TCP_KEEPCNT, detail::kKeepaliveProbes);
  detail::SetOption(aSocket, IPPROTO_TCP, TCP_USER_TIMEOUT, detail::kUserTimeoutMs);
  detail::SetOption(aSocket, SOL_SOCKET, SO_KEEPALIVE, 1);
}

void
LimitSocketBuffers(int aSocket, Bytes aBytes)
{
  detail::SetOption(aSocket, SOL_SOCKET, SO_RCVBUF, static_cast<int>(aBytes.Value()));
  detail::SetOption(aSocket, SOL_SOCKET, SO_SNDBUF, static_cast<int>(aBytes.Value()));
}

} // namespace lovagerock::http
