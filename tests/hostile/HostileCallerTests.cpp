#include "hostile/ConnectionFlood.h"
#include "hostile/FloodTexts.h"
#include "hostile/HostileLimits.h"
#include "integration/EdgeSystem.h"
#include "integration/TestFailure.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

using namespace lovagerock;
using namespace lovagerock::integration;
using namespace std::chrono_literals;

namespace {

// The smallest machine of the deployments, with fewer descriptors, so that few connections are
// enough.
constexpr const char* kNodeSettings = "limits:\n"
                                      "  memory_mb: 120\n"
                                      "  file_descriptors: 256\n"
                                      "  cpu_share: 0.09\n"
                                      "  cores: 1\n"
                                      "  link_mbps: 10\n";
constexpr std::size_t kMaxDescriptors = 256;
// Four fifths of the machine's memory. The rest is for what the kernel holds for the sockets.
constexpr std::size_t kMaxResidentBytes = 96 * 1024 * 1024;
constexpr int kFloodConnections = 40;
// More than the descriptors.
constexpr int kIdleConnections = 300;
constexpr const char* kJob = "00000000000000aa";

Json
OneTask()
{
  return { { "count", 1 }, { "cpu", 100 }, { "mem_mb", 100 }, { "gpu", 1 }, { "estimate_ms", 50 } };
}

// Floods a listener of a node. The process must live within its memory and its
// descriptors, and answer ordinary callers while the flood's connections are still open.
void
RunFlood(const std::function<SocketAddress(EdgeSystem&)>& aListener, int aConnections,
         std::vector<FloodPayload> aTexts)
{
  WorkerFleet workers;
  workers.mCount = 1;
  RunWithEdges(
    1, workers,
    [&](EdgeSystem& aSystem) {
      auto& process = aSystem.ProcessOf(0);
      ConnectionFlood flood(aListener(aSystem), aConnections, std::move(aTexts));
      ProcessUsage highest;
      flood.Run([&] {
        const auto usage = ReadUsage(process.Pid());
        highest.mPeakResidentBytes = std::max(highest.mPeakResidentBytes, usage.mPeakResidentBytes);
        highest.mDescriptors = std::max(highest.mDescriptors, usage.mDescriptors);
        return IsOverMemory(highest, kMaxResidentBytes);
      });
      Require(process.IsRunning(), "the node has ended after " + Describe(highest));
      Require(!IsOverMemory(highest, kMaxResidentBytes), "too much memory: " + Describe(highest));
      Require(highest.mDescriptors <= kMaxDescriptors,
              "too many descriptors: " + Describe(highest));
      AwaitTrue("a job to be accepted",
                [&] { return aSystem.Submit(0, kJob, Json::array({ OneTask() }), 50ms).Is(200); });
      aSystem.AwaitReady(0);
      Require(process.IsRunning(), "the node has ended");
    },
    kNodeSettings);
}

SocketAddress
Callers(EdgeSystem& aSystem)
{
  return aSystem.CallersAddress(0);
}

SocketAddress
Readiness(EdgeSystem& aSystem)
{
  return aSystem.ReadinessAddress(0);
}

SocketAddress
Peers(EdgeSystem& aSystem)
{
  return aSystem.PeersAddress(0);
}

} // namespace

// Guards against requests that are sent ahead and kept in memory while the answer to an earlier one
// isn't read.
Test(HostileCallers, send_requests_ahead_and_read_no_answers)
{
  RunFlood(Callers, kFloodConnections,
           Pipelined({ "/nowhere/1", "/batch/1", "/batch/00000000000000cc" }));
}

// Guards against bodies in chunks that take memory without limit: by their size, by lines between
// the chunks, and by header fields after them.
Test(HostileCallers, send_endless_chunked_bodies)
{
  RunFlood(Callers, kFloodConnections, ChunkedBodies());
}

// Guards against bodies that are announced to be too large, and against many large ones that don't
// end.
Test(HostileCallers, announce_large_bodies)
{
  RunFlood(Callers, kFloodConnections, AnnouncedBodies());
}

// Guards against connections that use up the descriptors, and keep ordinary callers out.
Test(HostileCallers, hold_idle_and_slow_connections)
{
  RunFlood(Callers, kIdleConnections, IdleAndSlow());
}

// Guards against the same at the address of the load balancer's checks, which has fewer
// connections.
Test(HostileCallers, flood_the_readiness_address)
{
  auto texts = Pipelined({ "/lovagerock/readyz", "/metrics", "/nowhere" });
  const auto chunked = ChunkedBodies();
  const auto announced = AnnouncedBodies();
  texts.insert(texts.end(), chunked.begin(), chunked.end());
  texts.insert(texts.end(), announced.begin(), announced.end());
  RunFlood(Readiness, kFloodConnections, std::move(texts));
}

// Guards against idle connections that keep the load balancer's checks out.
Test(HostileCallers, hold_idle_connections_at_the_readiness_address)
{
  RunFlood(Readiness, kIdleConnections, IdleAndSlow());
}

// Guards against peers that exhaust the memory with PINGs, bodies that don't end, or answers that
// they don't read.
Test(HostileCallers, flood_the_peer_address)
{
  RunFlood(Peers, kFloodConnections, PeerFloods());
}

// Guards against unknown peers that use up the descriptors at the port for other nodes.
Test(HostileCallers, hold_idle_connections_at_the_peer_address)
{
  RunFlood(Peers, kIdleConnections, { { "", "" } });
}
