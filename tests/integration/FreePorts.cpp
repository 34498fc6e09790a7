#include "integration/FreePorts.h"

#include "integration/TestFailure.h"

#include <algorithm>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <random>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>
#include <vector>

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
        OpenBlocks(aCount / kBlockSize + 1);
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
  // Opens so many blocks in a row. The first ports of all but the first block lie within the range,
  // so they stay bound only until the range is found.
  void OpenBlocks(int aCount)
  {
    for (int i = 0; i < kBlocks; ++i) {
      const int block = mBlock;
      mBlock = (mBlock + 1) % kBlocks;
      if (block + aCount <= kBlocks && BindBlocks(block, aCount)) {
        mNext = kFirstPort + block * kBlockSize + 1;
        mEnd = kFirstPort + (block + aCount) * kBlockSize;
        mBlock = (block + aCount) % kBlocks;
        return;
      }
    }
    throw TestFailure("no free block of ports");
  }

  static bool BindBlocks(int aBlock, int aCount)
  {
    std::vector<int> sockets;
    for (int i = 0; i < aCount; ++i) {
      const int fd = BindPort(kFirstPort + (aBlock + i) * kBlockSize);
      if (fd < 0) {
        break;
      }
      sockets.push_back(fd);
    }
    const bool isBound = static_cast<int>(sockets.size()) == aCount;
    for (std::size_t i = isBound ? 1 : 0; i < sockets.size(); ++i) {
      close(sockets[i]);
    }
    return isBound;
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
