#pragma once

#include "base/Json.h"
#include "base/SocketAddress.h"
#include "integration/HttpCaller.h"
#include "integration/Process.h"
#include "integration/Trace.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace lovagerock::integration {

// The shape of a LocalSystem.
struct SystemOptions
{
  int mNodes = 3;
  int mZones = 3;
  int mWorkersPerZone = 3;
  // Puts a fault proxy between the nodes and each worker.
  bool mProxyWorkers = false;
  // Puts a fault proxy between each node and the key-value service.
  bool mProxyKv = false;
  // Puts a fault proxy between each node and the other nodes.
  bool mProxyPeers = false;
  // The configuration's file; the one of Configuration() if empty.
  std::string mConfiguration;
};

// The file of a LocalSystem's first configuration. Another weight of the account makes another
// file that changes no placement.
std::string
Configuration(int aWeight = 1);

// The token of the account "tester", which the configuration of a LocalSystem holds, and its
// service "echo" with 12 slots.
inline constexpr const char* kToken = "token-tester";

// A whole system of real processes on loopback addresses, with a configuration in force. All
// functions end the test on failure. The destructor ends all processes.
class LocalSystem
{
public:
  // Starts everything and waits until all nodes are ready.
  explicit LocalSystem(const SystemOptions& aOptions = {});
  ~LocalSystem();
  LocalSystem(const LocalSystem&) = delete;
  LocalSystem& operator=(const LocalSystem&) = delete;

  int NodeCount() const { return static_cast<int>(mNodes.size()); }
  // The address of a node for callers and for operators. Nodes count from 0.
  const SocketAddress& NodeAddress(int aNode) const { return NodeAt(aNode).mListen; }
  const SocketAddress& AdminAddress(int aNode) const { return NodeAt(aNode).mAdmin; }
  // The address of a node for other nodes.
  const SocketAddress& PeerAddress(int aNode) const { return NodeAt(aNode).mPeer; }
  Process& NodeProcess(int aNode) { return *mNodes.at(static_cast<std::size_t>(aNode)).mProcess; }

  // Starts a node that has ended again, with the same settings.
  void RestartNode(int aNode);
  // Waits until the node answers that it is ready.
  void AwaitReady(int aNode);
  // Waits until each of the given nodes sees aLive live nodes.
  void AwaitLiveNodes(const std::vector<int>& aNodes, int aLive);
  // The index of the planner as the given node sees it, or -1.
  int PlannerSeenBy(int aNode);
  // The value of a metric of a node, or -1.
  double Metric(int aNode, const std::string& aName);

  // Changes the faults between the nodes and the workers, or the key-value service.
  void SetWorkerFaults(const Json& aFaults);
  void SetZoneFaults(int aZone, const Json& aFaults);
  void SetKvFaults(const Json& aFaults);
  // The same between one node and the key-value service.
  void SetKvFaultsOf(int aNode, const Json& aFaults);
  // Changes the faults on all connections between nodes.
  void SetPeerFaults(const Json& aFaults);
  // Cuts the node off from the other nodes and the key-value service, in both directions. Needs the
  // proxies of both. Callers, operators and workers still reach it. At most one node at a time.
  void CutOffNode(int aNode);
  void HealNode(int aNode);
  // Changes the faults of the key-value service itself, and of one worker itself.
  void SetKvServiceFaults(const Json& aFaults);
  void SetWorkerServiceFaults(const std::string& aWorker, const Json& aFaults);
  const SocketAddress& KvAddress() const { return mKv; }
  Process& KvProcess() { return *mOthers.front(); }
  // The process with all workers of a zone. Zones count from 0.
  Process& WorkerProcess(int aZone)
  {
    return *mWorkerProcesses.at(static_cast<std::size_t>(aZone));
  }
  // The ids of the workers of a zone.
  std::vector<std::string> WorkerIds(int aZone) const;
  // The zone in which a task of the job is placed, as the node sees it, or -1.
  int ZoneOfJob(int aNode, const std::string& aJob);
  // Number of leases of tasks in the phase on all workers, of one job or of all if it is empty,
  // with more than the given time to live.
  int CountLeases(const std::string& aJob, const std::string& aPhase, int aMinTtlMs = -1);
  // Waits until the leases of all running tasks of a job have the long time to live that follows
  // the confirmed start.
  void AwaitConfirmedStart(const std::string& aJob, int aTasks);

  // The entries of GET /v1/nodes or GET /v1/placements at a node; empty without an answer.
  Json DescribeNodes(int aNode);
  Json DescribePlacements(int aNode);
  // The change in force on a node, or null; see GET /v1/config.
  Json ConfigInForce(int aNode);
  // Waits until all nodes have the version of the change in force.
  void AwaitInForce(int aVersion, const std::string& aChange);

  Trace ReadTrace() const;
  // The ends of the logs of all processes.
  std::string LogTails() const;
  HttpCaller& Caller() { return mCaller; }

private:
  struct Node
  {
    SocketAddress mListen;
    SocketAddress mPeer;
    SocketAddress mAdmin;
    // Where the other nodes reach it, and where it reaches the key-value service.
    SocketAddress mAdvertise;
    SocketAddress mKv;
    std::unique_ptr<Process> mProcess;
  };

  const Node& NodeAt(int aNode) const { return mNodes.at(static_cast<std::size_t>(aNode)); }
  std::unique_ptr<Process> Start(const std::string& aName, const std::string& aProgram,
                                 const std::vector<std::string>& aArguments);
  void StartKv();
  void StartWorkers();
  void AddNodes();
  void StartProxies();
  void StartVmList();
  void StartNodes();
  void StartNode(int aNode);
  void ApplyConfiguration();
  void SetFaults(const SocketAddress& aMap, const Json& aFaults);
  void SetFaultsAround(int aNode, const Json& aOwn, const Json& aOthers);
  int OpenConnections(const SocketAddress& aMap);
  void SetServiceFaults(const SocketAddress& aService, const Json& aFaults);
  Json GetArray(int aNode, const std::string& aTarget, const std::string& aMember);

  SystemOptions mOptions;
  std::string mDirectory;
  SocketAddress mKv;
  SocketAddress mVmList;
  SocketAddress mControl;
  std::vector<std::string> mTraceFiles;
  // The workers' addresses as the VM list gives them, by zone.
  std::vector<std::vector<SocketAddress>> mWorkers;
  // The same without fault proxies.
  std::vector<std::vector<SocketAddress>> mDirectWorkers;
  std::vector<Node> mNodes;
  std::vector<std::unique_ptr<Process>> mOthers;
  std::vector<std::unique_ptr<Process>> mWorkerProcesses;
  HttpCaller mCaller;
};

// Runs the test with a fresh system. A TestFailure ends all processes, prints the ends of their
// logs and fails the Criterion test.
void
RunWithSystem(const SystemOptions& aOptions, const std::function<void(LocalSystem&)>& aTest);

} // namespace lovagerock::integration
