#include "integration/FreePorts.h"

#include "integration/TestFailure.h"

#include <algorithm>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <random>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace lovagerock::integration {

namespace detail {
namespace {

// Ports below the range that the kernel gives to outgoing connections and to port 0. A port from
// that range can be taken by any connection between its choice and its use. The fixed ports of the
// scripts lie below these.
constexpr int kFirstPort = 24000;
constexpr int kBlockSize = 100;
constexpr int kBlocks = 85;

// Binds a port of the loopback address. Gives the socket, or -1 if the port is in use.
int
BindPort(int aPort)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

bool
IsFree(int aPort)
{
  const int fd = BindPort(aPort);
  if (fd >= 0) {
    close(fd);
  }
  return fd >= 0;
}

// Blocks of ports of this process. The first port of a block stays bound until the process ends, so
// that no other test program uses the block.
class PortBlocks
{
public:
  PortBlocks()
    : mBlock(static_cast<int>(std::random_device()() % kBlocks))
  {
  }

  // The first of aCount free ports in a row.
  int Take(int aCount)
  {
    for (int i = 0; i < kBlocks * kBlockSize; ++i) {
      if (mNext + aCount > mEnd) {
        OpenBlock();
      }
      int n = 0;
      while (n < aCount && IsFree(mNext + n)) {
        ++n;
      }
      const int first = std::exchange(mNext, mNext + std::max(n, 1));
      if (n == aCount) {
        return first;
      }
    }
    throw TestFailure("no free ports");
  }

private:
  void OpenBlock()
  {
    for (int i = 0; i < kBlocks; ++i) {
      const int first = kFirstPort + mBlock * kBlockSize;
      mBlock = (mBlock + 1) % kBlocks;
      if (BindPort(first) >= 0) {
        mNext = first + 1;
        mEnd = first + kBlockSize;
        return;
      }
    }
    throw TestFailure("no free block of ports");
  }

  int mBlock;
  int mNext = 0;
  int mEnd = 0;
};

} // namespace
} // namespace detail

SocketAddress
FreeAddress(int aCount)
{
  static detail::PortBlocks sBlocks;
  return { "127.0.0.1", static_cast<std::uint16_t>(sBlocks.Take(aCount)) };
}

} // namespace lovagerock::integration
