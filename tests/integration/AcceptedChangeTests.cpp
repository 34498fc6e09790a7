#include "integration/LocalSystem.h"
#include "integration/TestFailure.h"
#include "integration/VersionWatch.h"

#include <criterion/criterion.h>

#include <csignal>
#include <string>

using namespace lovagerock;
using namespace lovagerock::integration;

namespace {

http::ClientRequest
ApplyRequest(LocalSystem& aSystem, int aNode, int aVersion)
{
  return HttpCaller::MakePost(aSystem.AdminAddress(aNode),
                              "/v1/config/apply?base=" + std::to_string(aVersion - 1) +
                                "&change=change-" + std::to_string(aVersion) + "&operator=test",
                              Configuration(aVersion));
}

// Waits until the node has the version of the change in force.
void
AwaitVersion(LocalSystem& aSystem, int aNode, int aVersion)
{
  AwaitTrue("version " + std::to_string(aVersion) + " on node " + std::to_string(aNode), [&] {
    const auto config = aSystem.ConfigInForce(aNode);
    return JsonValue(config, "version", 0) == aVersion &&
           JsonValue<std::string>(config, "change", "") == "change-" + std::to_string(aVersion);
  });
}

// The node accepts the version and is killed as soon as it has answered. The other nodes don't
// reach the service from before the write, so nothing but the accepting node can bring them the
// change. The node comes back before the service does, or after it.
void
KillAfterAcceptance(LocalSystem& aSystem, int aNode, int aVersion, bool aNodeFirst)
{
  for (int i = 0; i < aSystem.NodeCount(); ++i) {
    if (i != aNode) {
      aSystem.SetKvFaultsOf(i, { { "silence", "all" } });
    }
  }
  const auto request = ApplyRequest(aSystem, aNode, aVersion);
  // Refused while the node's connections of the round before are dead.
  AwaitTrue("change accepted", [&] { return aSystem.Caller().Call(request).Is(200); });
  aSystem.NodeProcess(aNode).Signal(SIGKILL);
  aSystem.KvProcess().Signal(SIGSTOP);
  Require(aSystem.NodeProcess(aNode).AwaitExit() == -SIGKILL, "the node ended by itself");
  for (int i = 0; i < aSystem.NodeCount(); ++i) {
    if (i != aNode) {
      AwaitVersion(aSystem, i, aVersion);
    }
  }
  if (aNodeFirst) {
    aSystem.RestartNode(aNode);
    AwaitVersion(aSystem, aNode, aVersion);
  }
  aSystem.KvProcess().Signal(SIGCONT);
  aSystem.SetKvFaults({ { "silence", "none" } });
  if (!aNodeFirst) {
    aSystem.RestartNode(aNode);
  }
  for (int i = 0; i < aSystem.NodeCount(); ++i) {
    aSystem.AwaitReady(i);
    AwaitVersion(aSystem, i, aVersion);
  }
}

} // namespace

// Guards against an accepted change that is known to nobody while the service is down, because the
// node that accepted it is killed, and against nodes that go back when both return.
Test(AcceptedChange, is_in_force_everywhere_when_its_node_and_the_service_fail_at_once)
{
  SystemOptions options;
  options.mProxyKv = true;
  RunWithSystem(options, [](LocalSystem& aSystem) {
    VersionWatch watch(aSystem);
    int version = 1;
    for (int node = 0; node < aSystem.NodeCount(); ++node) {
      ++version;
      KillAfterAcceptance(aSystem, node, version, node % 2 == 0);
    }
    // The system accepts changes as before.
    AwaitTrue("another change accepted", [&] {
      const auto result = aSystem.Caller().Call(ApplyRequest(aSystem, 0, version + 1));
      const bool won = JsonValue<std::string>(result.Body(), "change", "") ==
                       "change-" + std::to_string(version + 1);
      return result.Is(200) || (result.Is(409) && won);
    });
    for (int i = 0; i < aSystem.NodeCount(); ++i) {
      AwaitVersion(aSystem, i, version + 1);
    }
    watch.Stop().RequireNeverFell();
  });
}
