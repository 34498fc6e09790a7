#include "integration/FreePorts.h"

#include "integration/TestFailure.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <set>
#include <sys/socket.h>
#include <unistd.h>

namespace lovagerock::integration {

namespace detail {
namespace {

// Binds a port of the loopback address, 0 for any, and releases it. Gives the port, or 0 if it is
// in use.
int
ProbePort(int aPort)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t n = sizeof address;
  const bool bound = bind(fd, reinterpret_cast<sockaddr*>(&address), n) == 0 &&
                     getsockname(fd, reinterpret_cast<sockaddr*>(&address), &n) == 0;
  close(fd);
  return bound ? ntohs(address.sin_port) : 0;
}

} // namespace
} // namespace detail

SocketAddress
FreeAddress(int aCount)
{
  static std::set<int> sGiven;
  constexpr int kTries = 1000;
  constexpr int kLastPort = 65535;
  for (int i = 0; i < kTries; ++i) {
    const int first = detail::ProbePort(0);
    bool usable = first != 0 && first + aCount <= kLastPort;
    for (int port = first; usable && port < first + aCount; ++port) {
      usable = !sGiven.contains(port) && detail::ProbePort(port) == port;
    }
    if (usable) {
      for (int port = first; port < first + aCount; ++port) {
        sGiven.insert(port);
      }
      return { "127.0.0.1", static_cast<std::uint16_t>(first) };
    }
  }
  throw TestFailure("no free ports");
}

} // namespace lovagerock::integration
