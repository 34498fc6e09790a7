#include "integration/LocalSystem.h"
#include "integration/RequestLoad.h"
#include "integration/TestFailure.h"

#include <criterion/criterion.h>

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <fcntl.h>
#include <memory>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <tuple>
#include <unistd.h>
#include <vector>

using namespace lovagerock;
using namespace lovagerock::integration;

namespace {

constexpr const char* kHostileAddress = "127.0.0.2";
// The defaults of --max-connections-per-address and --max-receiving.
constexpr int kAddressLimit = 512;
constexpr double kReceiveLimit = 32 * 1024 * 1024;

// A connection from another address than that of the ordinary callers. Sends a text as far as the
// server takes it.
struct HostileSocket
{
  int mSocket = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  std::string mUnsent;

  HostileSocket(const SocketAddress& aServer, std::string aText)
    : mUnsent(std::move(aText))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    std::ignore = inet_pton(AF_INET, kHostileAddress, &address.sin_addr);
    std::ignore = bind(mSocket, reinterpret_cast<sockaddr*>(&address), sizeof address);
    address.sin_port = htons(aServer.Port());
    std::ignore = inet_pton(AF_INET, aServer.Ip().c_str(), &address.sin_addr);
    std::ignore = connect(mSocket, reinterpret_cast<sockaddr*>(&address), sizeof address);
  }
  HostileSocket(const HostileSocket&) = delete;
  HostileSocket& operator=(const HostileSocket&) = delete;
  ~HostileSocket() { close(mSocket); }

  void Step()
  {
    const auto n = send(mSocket, mUnsent.data(), mUnsent.size(), MSG_NOSIGNAL);
    mUnsent.erase(0, n > 0 ? static_cast<std::size_t>(n) : 0);
  }
};

std::string
PostText(std::size_t aLength, const std::string& aBody)
{
  return "POST /v1/services/echo/requests HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " +
         std::string(kToken) + "\r\nContent-Length: " + std::to_string(aLength) + "\r\n\r\n" +
         aBody;
}

// Callers that stall in their uploads or headers, and callers that hang up, on a thread of their
// own until destroyed.
class HostileCallers
{
public:
  explicit HostileCallers(const SocketAddress& aServer)
    : mThread([this, aServer] { Run(aServer); })
  {
  }
  HostileCallers(const HostileCallers&) = delete;
  HostileCallers& operator=(const HostileCallers&) = delete;
  ~HostileCallers()
  {
    mStop = true;
    mThread.join();
  }

private:
  void Run(const SocketAddress& aServer)
  {
    constexpr std::size_t kBody = 256 * 1024;
    constexpr int kUploads = 400;
    constexpr int kHangUps = 20;
    std::vector<std::unique_ptr<HostileSocket>> sockets;
    const auto run = DumpJson({ { "answer", "unwanted" }, { "run_ms", 500 } });
    int hangUps = 0;
    while (!mStop) {
      // The first are the ones that hang up, so that the limit of connections leaves them a place.
      std::unique_ptr<HostileSocket> hangUp;
      if (hangUps++ < kHangUps) {
        hangUp = std::make_unique<HostileSocket>(aServer, PostText(run.size(), run));
      } else if (sockets.empty()) {
        for (int i = 0; i < kUploads; ++i) {
          sockets.push_back(
            std::make_unique<HostileSocket>(aServer, PostText(kBody, std::string(kBody - 1, 'x'))));
        }
        for (int i = kUploads; i < kAddressLimit + 50; ++i) {
          sockets.push_back(std::make_unique<HostileSocket>(aServer, "POST /v1/serv"));
        }
      }
      for (const auto& it : sockets) {
        it->Step();
      }
      if (hangUp) {
        hangUp->Step();
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
  }

  std::atomic<bool> mStop = false;
  std::thread mThread;
};

} // namespace

// Guards against callers that use up a node's memory, connections or slots: ordinary callers of
// the same node are all answered meanwhile.
Test(Callers, hostile_ones_dont_affect_ordinary_ones)
{
  RunWithSystem({}, [](LocalSystem& aSystem) {
    const HostileCallers hostile(aSystem.NodeAddress(0));
    AwaitTrue("hostile callers at the limits", [&] {
      return aSystem.Metric(0, "lovagerock_caller_hangups_total") > 0 &&
             aSystem.Metric(0, "lovagerock_caller_receive_waiting") > 0 &&
             aSystem.Metric(
               0, "lovagerock_caller_connections_closed_total{reason=\"too_many_connections_of_"
                  "address\"}") > 0;
    });
    RequestLoad load(aSystem, {}, [](int) {});
    for (const auto& it : load.Run()) {
      Require(it.mResult.Is(200) && it.mResult.mResponse.mBody == it.mKey && it.mLost == 0,
              it.mKey + ": " + it.mResult.Describe());
    }
    Require(aSystem.Metric(0, "lovagerock_caller_receiving_bytes") <= kReceiveLimit,
            "more bytes are being received than allowed");
    aSystem.ReadTrace().RequireNoRequestTwice();
  });
}
