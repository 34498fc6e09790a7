#include "hostile/ConnectionFlood.h"
#include "hostile/FloodTexts.h"
#include "hostile/HostileLimits.h"
#include "integration/LocalSystem.h"
#include "integration/TestFailure.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

using namespace lovagerock;
using namespace lovagerock::integration;

namespace {

// The memory that control may take on a node at the design size, 128 MB.
constexpr std::size_t kMaxResidentBytes = 128'000'000;
// The default of --max-connections, and the process's own descriptors and those to workers.
constexpr std::size_t kMaxDescriptors = 1024;
constexpr int kFloodConnections = 60;
// More than the descriptors that a listener may have.
constexpr int kIdleConnections = 1200;

using Listener = std::function<SocketAddress(LocalSystem&)>;

// Floods a listener of a node. Its process must live within its memory and its descriptors, and
// answer callers, operators and the other node while the flood's connections are still open.
void
RunNodeFlood(const Listener& aListener, int aConnections, std::vector<FloodPayload> aTexts)
{
  SystemOptions options;
  options.mNodes = 2;
  std::string failure;
  try {
    LocalSystem system(options);
    auto& process = system.NodeProcess(0);
    ConnectionFlood flood(aListener(system), aConnections, std::move(aTexts));
    ProcessUsage highest;
    flood.Run([&] {
      const auto usage = ReadUsage(process.Pid());
      highest.mPeakResidentBytes = std::max(highest.mPeakResidentBytes, usage.mPeakResidentBytes);
      highest.mDescriptors = std::max(highest.mDescriptors, usage.mDescriptors);
      return IsOverMemory(highest, kMaxResidentBytes);
    });
    Require(process.IsRunning(), "the node has ended after " + Describe(highest));
    Require(!IsOverMemory(highest, kMaxResidentBytes), "too much memory: " + Describe(highest));
    Require(highest.mDescriptors <= kMaxDescriptors, "too many descriptors: " + Describe(highest));
    AwaitTrue("an answer for operators",
              [&] { return system.Caller().Get(system.AdminAddress(0), "/v1/nodes").Is(200); });
    system.AwaitReady(0);
    system.AwaitLiveNodes({ 0, 1 }, 2);
    Require(process.IsRunning(), "the node has ended");
  } catch (const TestFailure& ex) {
    failure = ex.what();
  }
  cr_assert(failure.empty(), "%s", failure.c_str());
}

SocketAddress
Callers(LocalSystem& aSystem)
{
  return aSystem.NodeAddress(0);
}

SocketAddress
Operators(LocalSystem& aSystem)
{
  return aSystem.AdminAddress(0);
}

SocketAddress
Peers(LocalSystem& aSystem)
{
  return aSystem.PeerAddress(0);
}

std::vector<FloodPayload>
BodiesAndRequests(const std::vector<std::string>& aTargets)
{
  auto texts = Pipelined(aTargets);
  const auto chunked = ChunkedBodies();
  const auto announced = AnnouncedBodies();
  texts.insert(texts.end(), chunked.begin(), chunked.end());
  texts.insert(texts.end(), announced.begin(), announced.end());
  return texts;
}

} // namespace

// Guards against bodies and requests that are sent ahead, at the callers' port.
Test(HostileNodeCallers, flood_the_callers_port)
{
  RunNodeFlood(Callers, kFloodConnections,
               BodiesAndRequests({ "/readyz", "/v1/jobs/1", "/nowhere" }));
}

// Guards against bodies without limit at the operators' port, in chunks or of an announced length.
Test(HostileNodeCallers, send_large_bodies_to_the_operators_port)
{
  auto texts = ChunkedBodies();
  const auto announced = AnnouncedBodies();
  texts.insert(texts.end(), announced.begin(), announced.end());
  RunNodeFlood(Operators, kFloodConnections, std::move(texts));
}

// Guards against requests that are sent ahead there while no answer is read.
Test(HostileNodeCallers, send_requests_ahead_to_the_operators_port)
{
  RunNodeFlood(Operators, kFloodConnections,
               Pipelined({ "/v1/nodes", "/metrics", "/v1/config", "/nowhere" }));
}

// Guards against connections that use up the descriptors, and keep operators out.
Test(HostileNodeCallers, hold_idle_connections_at_the_operators_port)
{
  RunNodeFlood(Operators, kIdleConnections, IdleAndSlow());
}

// Guards against bodies that don't end, answers that aren't read, and PINGs, at the peers' port.
Test(HostileNodeCallers, flood_the_peers_port)
{
  RunNodeFlood(Peers, kFloodConnections, PeerFloods());
}

// Guards against idle connections at the peers' port that keep other nodes out.
Test(HostileNodeCallers, hold_idle_connections_at_the_peers_port)
{
  RunNodeFlood(Peers, kIdleConnections, { { "", "" } });
}
