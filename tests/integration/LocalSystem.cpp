#include "integration/LocalSystem.h"

#include "base/Hash.h"
#include "integration/FreePorts.h"
#include "integration/TestFailure.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <optional>

namespace lovagerock::integration {

namespace detail {
namespace {

constexpr const char* kRegion = "local";

std::string
ZoneName(int aZone)
{
  return "zone-" + std::to_string(aZone + 1);
}

std::string
NodeName(int aNode)
{
  return "n" + std::to_string(aNode + 1);
}

std::string
MakeDirectory()
{
  auto name = (std::filesystem::temp_directory_path() / "lovagerock-XXXXXX").string();
  Require(mkdtemp(name.data()) != nullptr, "can't create a temporary directory");
  return name;
}

Json
Target(const SocketAddress& aAddress, const std::string& aRole, const std::string& aZone,
       const std::string& aNode)
{
  Json labels{ { "role", aRole }, { "state", "live" }, { "zone", aZone }, { "region", kRegion } };
  if (!aNode.empty()) {
    labels["node"] = aNode;
  }
  return { { "targets", { aAddress.ToString() } }, { "labels", labels } };
}

} // namespace
} // namespace detail

// The service is non-idempotent, so that its slots are on capacity that can't be reclaimed: other
// slots take no non-idempotent requests.
std::string
Configuration(int aWeight)
{
  return R"(format: 1
deployment: local
weights: {completion_time: 0.5, fragmentation: 0.5}
accounts:
  - name: tester
    token_sha256: ")" +
         Sha256Hex(kToken) + R"("
    weight: )" +
         std::to_string(aWeight) + R"(
    quota: {accelerators: 200, slots: 200}
    guarantees:
      - {name: main, count: 4, workers: 1, accelerators_per_worker: 8, adjacency: worker}
services:
  - {name: echo, account: tester, callers: [tester], slots: 12, accelerators_per_slot: 1,
     idempotent: false, timeout_ms: 30000, queue_limit: 1000}
)";
}

LocalSystem::LocalSystem(const SystemOptions& aOptions)
  : mOptions(aOptions)
  , mDirectory(detail::MakeDirectory())
{
  try {
    StartKv();
    StartWorkers();
    AddNodes();
    StartProxies();
    StartNodes();
    ApplyConfiguration();
    std::vector<int> nodes;
    for (int i = 0; i < mOptions.mNodes; ++i) {
      AwaitReady(i);
      nodes.push_back(i);
    }
    AwaitLiveNodes(nodes, mOptions.mNodes);
  } catch (const TestFailure&) {
    std::cerr << LogTails();
    throw;
  }
}

LocalSystem::~LocalSystem()
{
  // The nodes go first, so that their logs aren't full of lost services.
  mNodes.clear();
  mWorkerProcesses.clear();
  mOthers.clear();
  if (std::getenv("LOVAGEROCK_KEEP_LOGS") == nullptr) {
    std::error_code ec;
    std::filesystem::remove_all(mDirectory, ec);
  }
}

std::unique_ptr<Process>
LocalSystem::Start(const std::string& aName, const std::string& aProgram,
                   const std::vector<std::string>& aArguments)
{
  return std::make_unique<Process>(aName, std::string(LOVAGEROCK_PROGRAMS "/") + aProgram,
                                   aArguments, mDirectory + "/" + aName + ".log");
}

void
LocalSystem::StartKv()
{
  mKv = FreeAddress();
  mOthers.push_back(Start("kv", "lovagerock-kv", { "--listen", mKv.ToString() }));
}

void
LocalSystem::StartWorkers()
{
  for (int zone = 0; zone < mOptions.mZones; ++zone) {
    const auto name = detail::ZoneName(zone);
    const auto first = FreeAddress(mOptions.mWorkersPerZone);
    mTraceFiles.push_back(mDirectory + "/" + name + ".jsonl");
    mWorkerProcesses.push_back(
      Start("workers-" + name, "lovagerock-worker",
            { "--listen", first.ToString(), "--count", std::to_string(mOptions.mWorkersPerZone),
              "--zone", name, "--region", detail::kRegion, "--seed", std::to_string(zone + 1),
              "--trace", mTraceFiles.back() }));
    auto& workers = mWorkers.emplace_back();
    for (int i = 0; i < mOptions.mWorkersPerZone; ++i) {
      workers.emplace_back(first.Ip(), static_cast<std::uint16_t>(first.Port() + i));
    }
  }
  mDirectWorkers = mWorkers;
}

void
LocalSystem::StartProxies()
{
  std::vector<std::string> arguments;
  const auto add = [&arguments](SocketAddress& aAddress) {
    const auto listen = FreeAddress();
    arguments.insert(arguments.end(), { "--map", listen.ToString() + "=" + aAddress.ToString() });
    aAddress = listen;
  };
  for (auto& node : mNodes) {
    if (mOptions.mProxyKv) {
      add(node.mKv);
    }
    if (mOptions.mProxyPeers) {
      add(node.mAdvertise);
    }
  }
  if (mOptions.mProxyWorkers) {
    for (auto& zone : mWorkers) {
      std::for_each(zone.begin(), zone.end(), add);
    }
  }
  if (!arguments.empty()) {
    mControl = FreeAddress();
    arguments.insert(arguments.end(), { "--control", mControl.ToString() });
    mOthers.push_back(Start("fault-proxy", "lovagerock-fault-proxy", arguments));
    AwaitTrue("fault proxy", [this] { return mCaller.Get(mControl, "/v1/stats").Is(200); });
  }
}

void
LocalSystem::StartVmList()
{
  Json list = Json::array();
  for (int i = 0; i < NodeCount(); ++i) {
    list.push_back(detail::Target(NodeAt(i).mAdvertise, "entry",
                                  detail::ZoneName(i % mOptions.mZones), detail::NodeName(i)));
  }
  for (int zone = 0; zone < mOptions.mZones; ++zone) {
    for (const auto& it : mWorkers.at(static_cast<std::size_t>(zone))) {
      list.push_back(detail::Target(it, "worker", detail::ZoneName(zone), ""));
    }
  }
  const auto file = mDirectory + "/vms.json";
  std::ofstream(file) << DumpJson(list);
  mVmList = FreeAddress();
  mOthers.push_back(
    Start("vmlist", "lovagerock-vmlist", { "--listen", mVmList.ToString(), "--file", file }));
}

void
LocalSystem::AddNodes()
{
  for (int i = 0; i < mOptions.mNodes; ++i) {
    const auto peer = FreeAddress();
    mNodes.push_back({ FreeAddress(), peer, FreeAddress(), peer, mKv, nullptr });
  }
}

void
LocalSystem::StartNodes()
{
  StartVmList();
  for (int i = 0; i < mOptions.mNodes; ++i) {
    StartNode(i);
  }
}

void
LocalSystem::StartNode(int aNode)
{
  auto& node = mNodes.at(static_cast<std::size_t>(aNode));
  const auto name = detail::NodeName(aNode);
  // A restart has the same seed, as under an operator who sets one.
  const int seed = 101 + aNode;
  node.mProcess = Start(name, "lovagerock-node",
                        { "--node-id",
                          name,
                          "--region",
                          detail::kRegion,
                          "--zone",
                          detail::ZoneName(aNode % mOptions.mZones),
                          "--listen",
                          node.mListen.ToString(),
                          "--peer-listen",
                          node.mPeer.ToString(),
                          "--peer-advertise",
                          node.mAdvertise.ToString(),
                          "--admin-listen",
                          node.mAdmin.ToString(),
                          "--kv",
                          node.mKv.ToString(),
                          "--vm-list",
                          mVmList.ToString(),
                          "--seed",
                          std::to_string(seed) });
}

void
LocalSystem::RestartNode(int aNode)
{
  Require(!NodeProcess(aNode).IsRunning(), detail::NodeName(aNode) + " still runs");
  StartNode(aNode);
}

void
LocalSystem::ApplyConfiguration()
{
  // The first tries find nodes that don't listen yet or don't know the workers yet. A conflict
  // names the change that won, which is this one if the answer of an earlier try was lost.
  AwaitTrue("configuration accepted", [this] {
    const auto result =
      mCaller.Post(AdminAddress(0), "/v1/config/apply?base=0&change=first&operator=test",
                   mOptions.mConfiguration.empty() ? Configuration() : mOptions.mConfiguration);
    return result.Is(200) || (result.Is(409) && result.Body().value("change", "") == "first");
  });
}

void
LocalSystem::AwaitReady(int aNode)
{
  AwaitTrue(detail::NodeName(aNode) + " ready", [this, aNode] {
    Require(NodeProcess(aNode).IsRunning(), detail::NodeName(aNode) + " has ended");
    return mCaller.Get(NodeAddress(aNode), "/readyz").Is(200);
  });
}

Json
LocalSystem::GetArray(int aNode, const std::string& aTarget, const std::string& aMember)
{
  const auto result = mCaller.Get(AdminAddress(aNode), aTarget);
  return result.Is(200) ? JsonValue(result.Body(), aMember, Json::array()) : Json::array();
}

Json
LocalSystem::DescribeNodes(int aNode)
{
  return GetArray(aNode, "/v1/nodes", "nodes");
}

Json
LocalSystem::DescribePlacements(int aNode)
{
  return GetArray(aNode, "/v1/placements", "placements");
}

Json
LocalSystem::ConfigInForce(int aNode)
{
  const auto result = mCaller.Get(AdminAddress(aNode), "/v1/config");
  return result.Is(200) ? result.Body() : Json();
}

void
LocalSystem::AwaitInForce(int aVersion, const std::string& aChange)
{
  for (int i = 0; i < NodeCount(); ++i) {
    AwaitTrue(aChange + " in force on " + detail::NodeName(i), [&] {
      const auto config = ConfigInForce(i);
      return JsonValue(config, "version", 0) == aVersion &&
             JsonValue<std::string>(config, "change", "") == aChange;
    });
  }
}

void
LocalSystem::AwaitLiveNodes(const std::vector<int>& aNodes, int aLive)
{
  for (const int node : aNodes) {
    AwaitTrue(detail::NodeName(node) + " sees " + std::to_string(aLive) + " live nodes", [&] {
      const auto all = DescribeNodes(node);
      return std::count_if(all.begin(), all.end(), [](const Json& aEntry) {
               return JsonValue<std::string>(aEntry, "state", "") == "live";
             }) == aLive;
    });
  }
}

int
LocalSystem::PlannerSeenBy(int aNode)
{
  for (const auto& it : DescribeNodes(aNode)) {
    for (int i = 0; i < NodeCount(); ++i) {
      if (JsonValue(it, "planner", false) && it.at("node") == detail::NodeName(i)) {
        return i;
      }
    }
  }
  return -1;
}

double
LocalSystem::Metric(int aNode, const std::string& aName)
{
  const auto text = "\n" + mCaller.Get(AdminAddress(aNode), "/metrics").mResponse.mBody;
  const auto at = text.find("\n" + aName + " ");
  return at == std::string::npos ? -1 : std::stod(text.substr(at + aName.size() + 2));
}

std::vector<std::string>
LocalSystem::WorkerIds(int aZone) const
{
  std::vector<std::string> ids;
  for (const auto& it : mDirectWorkers.at(static_cast<std::size_t>(aZone))) {
    ids.push_back(detail::ZoneName(aZone) + "-" + it.Ip() + "-" + std::to_string(it.Port()));
  }
  return ids;
}

int
LocalSystem::ZoneOfJob(int aNode, const std::string& aJob)
{
  for (const auto& it : DescribePlacements(aNode)) {
    for (int zone = 0; JsonValue<std::string>(it, "job", "") == aJob && zone < mOptions.mZones;
         ++zone) {
      const auto ids = WorkerIds(zone);
      if (std::find(ids.begin(), ids.end(), JsonValue<std::string>(it, "worker", "")) !=
          ids.end()) {
        return zone;
      }
    }
  }
  return -1;
}

int
LocalSystem::CountLeases(const std::string& aJob, const std::string& aPhase, int aMinTtlMs)
{
  int n = 0;
  for (const auto& zone : mDirectWorkers) {
    for (const auto& worker : zone) {
      const auto state = mCaller.Get(worker, "/v1/state").Body();
      for (const auto& it : JsonValue(state, "leases", Json::array())) {
        const auto job = JsonValue<std::string>(it, "job", "");
        n += (aJob.empty() ? !job.empty() : job == aJob) &&
                 JsonValue<std::string>(it, "phase", "") == aPhase &&
                 JsonValue(it, "expires_in_ms", 0) > aMinTtlMs
               ? 1
               : 0;
      }
    }
  }
  return n;
}

void
LocalSystem::AwaitConfirmedStart(const std::string& aJob, int aTasks)
{
  // Above the 5 s of a start that isn't confirmed yet.
  constexpr int kLongTtlMs = 10000;
  AwaitTrue("confirmed start of job " + aJob,
            [&] { return CountLeases(aJob, "running", kLongTtlMs) == aTasks; });
}

Trace
LocalSystem::ReadTrace() const
{
  return Trace(mTraceFiles);
}

std::string
LocalSystem::LogTails() const
{
  std::string text;
  const auto add = [&text](const Process& aProcess) {
    text += "--- " + aProcess.Name() + "\n" + aProcess.LogTail() + "\n";
  };
  for (const auto& it : mOthers) {
    add(*it);
  }
  for (const auto& it : mWorkerProcesses) {
    add(*it);
  }
  for (const auto& it : mNodes) {
    if (it.mProcess) {
      add(*it.mProcess);
    }
  }
  return text;
}

void
RunWithSystem(const SystemOptions& aOptions, const std::function<void(LocalSystem&)>& aTest)
{
  std::optional<std::string> failure;
  try {
    LocalSystem system(aOptions);
    try {
      aTest(system);
    } catch (const std::exception&) {
      std::cerr << system.LogTails();
      throw;
    }
  } catch (const std::exception& e) {
    failure = e.what();
  }
  cr_assert_not(failure.has_value(), "%s", failure.value_or("").c_str());
}

} // namespace lovagerock::integration
