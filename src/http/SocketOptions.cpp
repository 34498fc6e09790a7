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

} // namespace
} // namespace detail

void
SetSocketOptions(int aSocket)
{
  detail::SetOption(aSocket, IPPROTO_TCP, TCP_NODELAY, 1);
  detail::SetOption(aSocket, SOL_SOCKET, SO_KEEPALIVE, 1);
  detail::SetOption(aSocket, IPPROTO_TCP, TCP_KEEPIDLE, detail::kKeepaliveIdleSeconds);
  detail::SetOption(aSocket, IPPROTO_TCP, TCP_KEEPINTVL, detail::kKeepaliveIntervalSeconds);
  detail::SetOption(aSocket, IPPROTO_TCP, TCP_KEEPCNT, detail::kKeepaliveProbes);
  detail::SetOption(aSocket, IPPROTO_TCP, TCP_USER_TIMEOUT, detail::kUserTimeoutMs);
}

} // namespace lovagerock::http
