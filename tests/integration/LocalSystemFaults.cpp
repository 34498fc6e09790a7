#include "integration/LocalSystem.h"
#include "integration/TestFailure.h"

#include <algorithm>
#include <csignal>

// The faults of a LocalSystem: those of its proxies, of the stand-ins, and nodes that are cut off.

namespace lovagerock::integration {

void
LocalSystem::SetFaults(const SocketAddress& aMap, const Json& aFaults)
{
  const auto result =
    mCaller.Post(mControl, "/v1/faults?map=" + aMap.ToString(), DumpJson(aFaults));
  Require(result.Is(200), "faults refused: " + result.Describe());
}

void
LocalSystem::SetWorkerFaults(const Json& aFaults)
{
  for (int zone = 0; zone < mOptions.mZones; ++zone) {
    SetZoneFaults(zone, aFaults);
  }
}

void
LocalSystem::SetZoneFaults(int aZone, const Json& aFaults)
{
  Require(mOptions.mProxyWorkers, "no fault proxies before the workers");
  for (const auto& it : mWorkers.at(static_cast<std::size_t>(aZone))) {
    SetFaults(it, aFaults);
  }
}

void
LocalSystem::SetKvFaults(const Json& aFaults)
{
  for (int i = 0; i < NodeCount(); ++i) {
    SetKvFaultsOf(i, aFaults);
  }
}

void
LocalSystem::SetKvFaultsOf(int aNode, const Json& aFaults)
{
  Require(mOptions.mProxyKv, "no fault proxies before the key-value service");
  SetFaults(NodeAt(aNode).mKv, aFaults);
}

void
LocalSystem::SetPeerFaults(const Json& aFaults)
{
  Require(mOptions.mProxyPeers, "no fault proxies between the nodes");
  for (const auto& it : mNodes) {
    SetFaults(it.mAdvertise, aFaults);
  }
}

void
LocalSystem::SetFaultsAround(int aNode, const Json& aOwn, const Json& aOthers)
{
  Require(mOptions.mProxyKv && mOptions.mProxyPeers, "no fault proxies around the node");
  SetFaults(NodeAt(aNode).mKv, aOwn);
  for (int i = 0; i < NodeCount(); ++i) {
    SetFaults(NodeAt(i).mAdvertise, i == aNode ? aOwn : aOthers);
  }
}

int
LocalSystem::OpenConnections(const SocketAddress& aMap)
{
  const auto stats = mCaller.Get(mControl, "/v1/stats").Body();
  for (const auto& it : JsonValue(stats, "maps", Json::array())) {
    if (it.at("map") == aMap.ToString()) {
      return it.at("open").get<int>();
    }
  }
  return -1;
}

// A node has one address for all others, so its proxy can't tell the callers apart. The other nodes
// connect to each other again while this one is stopped; after that only these connections live.
void
LocalSystem::CutOffNode(int aNode)
{
  NodeProcess(aNode).Signal(SIGSTOP);
  SetFaultsAround(aNode, { { "silence", "all" } }, { { "reset", true } });
  for (int i = 0; i < NodeCount(); ++i) {
    AwaitTrue("connections of the other nodes", [&] {
      return i == aNode || OpenConnections(NodeAt(i).mAdvertise) == NodeCount() - 2;
    });
  }
  SetFaultsAround(aNode, { { "silence", "all" } }, { { "refuse_new", true } });
  NodeProcess(aNode).Signal(SIGCONT);
}

void
LocalSystem::HealNode(int aNode)
{
  SetFaultsAround(aNode, { { "silence", "none" } }, { { "refuse_new", false } });
}

void
LocalSystem::SetServiceFaults(const SocketAddress& aService, const Json& aFaults)
{
  const auto result = mCaller.Post(aService, "/v1/faults", DumpJson(aFaults));
  Require(result.Is(200), "faults refused: " + result.Describe());
}

void
LocalSystem::SetKvServiceFaults(const Json& aFaults)
{
  SetServiceFaults(mKv, aFaults);
}

void
LocalSystem::SetWorkerServiceFaults(const std::string& aWorker, const Json& aFaults)
{
  for (int zone = 0; zone < mOptions.mZones; ++zone) {
    const auto ids = WorkerIds(zone);
    const auto it = std::find(ids.begin(), ids.end(), aWorker);
    if (it != ids.end()) {
      const auto& workers = mDirectWorkers.at(static_cast<std::size_t>(zone));
      SetServiceFaults(workers.at(static_cast<std::size_t>(it - ids.begin())), aFaults);
      return;
    }
  }
  Require(false, "unknown worker " + aWorker);
}

} // namespace lovagerock::integration
