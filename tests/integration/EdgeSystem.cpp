#include "integration/EdgeSystem.h"

#include "integration/FreePorts.h"
#include "integration/TestFailure.h"
#include "kv/Base64.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>

namespace lovagerock::integration {

namespace {

// Callers name the host that they connect to.
constexpr const char* kHost = "127.0.0.1";
constexpr const char* kPrefix = "/batch/";
// A caller whose node stands still asks another one after this time.
constexpr std::chrono::milliseconds kSubmitTimeout{ 3000 };

std::string
NodeName(int aNode)
{
  return "edge-" + std::to_string(aNode);
}

Json
Configuration()
{
  return { { "version", 1 },
           { "routes",
             { { { "name", "batch" },
                 { "host", kHost },
                 { "prefix", kPrefix },
                 { "service", "batch" },
                 { "public", true },
                 { "priority", 1 },
                 { "max_attempts", 3 },
                 { "slack_factor", 3.0 },
                 { "target_latency_ms", 1000 } } } } };
}

http::ClientRequest
JobCall(http::Method aMethod, const SocketAddress& aServer, const std::string& aJob)
{
  http::ClientRequest call;
  call.mServer = aServer;
  call.mMethod = aMethod;
  call.mTarget = kPrefix + aJob;
  return call;
}

} // namespace

EdgeSystem::EdgeSystem(int aNodes, const WorkerFleet& aWorkers, std::string aNodeSettings)
  : mNodeSettings(std::move(aNodeSettings))
{
  mDirectory = (std::filesystem::temp_directory_path() / "lovagerock-XXXXXX").string();
  Require(mkdtemp(mDirectory.data()) != nullptr, "can't create a temporary directory");
  mStore = FreeAddress(aNodes + 1);
  mControl = FreeAddress(aWorkers.mCount + 1);
  mPlatform =
    std::make_unique<Process>("platform", std::string(LOVAGEROCK_PROGRAMS) + "/lovagerock-platform",
                              PlatformArguments(aNodes, aWorkers), mDirectory + "/platform.log");
  AwaitTrue("the configuration to be written", [this] {
    return mCaller.Post(mControl, "/configuration", DumpJson(Configuration())).Is(200);
  });
  for (int i = 0; i < aNodes; ++i) {
    AddNode(i);
    Start(i);
  }
  for (int i = 0; i < aNodes; ++i) {
    AwaitReady(i);
  }
}

std::vector<std::string>
EdgeSystem::PlatformArguments(int aNodes, const WorkerFleet& aWorkers) const
{
  return { "--store",
           mStore.ToString(),
           "--store-addresses",
           std::to_string(aNodes + 1),
           "--control",
           mControl.ToString(),
           "--workers",
           std::to_string(aWorkers.mCount),
           "--workers-per-rack",
           std::to_string(aWorkers.mPerRack),
           "--worker-cpu-millicores",
           std::to_string(aWorkers.mMilliCores),
           "--worker-memory-mb",
           std::to_string(aWorkers.mMemoryMb),
           "--worker-accelerators",
           std::to_string(aWorkers.mAccelerators) };
}

EdgeSystem::~EdgeSystem()
{
  for (auto& it : mNodes) {
    it.mProcess.reset();
  }
  mPlatform.reset();
  if (!std::getenv("LOVAGEROCK_KEEP_LOGS")) {
    std::error_code ec;
    std::filesystem::remove_all(mDirectory, ec);
    if (ec) {
      std::cerr << mDirectory << " can't be removed: " << ec.message() << '\n';
    }
  }
}

void
EdgeSystem::AddNode(int aNode)
{
  Node node;
  node.mCallers = FreeAddress();
  node.mReadiness = FreeAddress();
  node.mPeers = FreeAddress();
  node.mSettings = mDirectory + "/" + NodeName(aNode) + ".yaml";
  std::ofstream file(node.mSettings);
  file << "node_name: " << NodeName(aNode) << "\nzone: z\nip: " << node.mPeers.Ip()
       << "\nlisten:\n  frontend: " << node.mCallers.ToString()
       << "\n  ready: " << node.mReadiness.ToString() << "\ninternal_ports: [" << node.mPeers.Port()
       << ", " << node.mPeers.Port() << "]\nplatform:\n  address: " << StoreOf(aNode).ToString()
       << '\n'
       << mNodeSettings;
  Require(file.good(), "can't write " + node.mSettings);
  mNodes.push_back(std::move(node));
}

SocketAddress
EdgeSystem::StoreOf(int aNode) const
{
  return SocketAddress(mStore.Ip(), static_cast<std::uint16_t>(mStore.Port() + 1 + aNode));
}

void
EdgeSystem::Start(int aNode)
{
  auto& node = At(aNode);
  node.mProcess = std::make_unique<Process>(NodeName(aNode),
                                            std::string(LOVAGEROCK_PROGRAMS) + "/lovagerock-edge",
                                            std::vector<std::string>{ "--boot", node.mSettings },
                                            mDirectory + "/" + NodeName(aNode) + ".log");
  ReportDisruption();
}

void
EdgeSystem::Kill(int aNode)
{
  At(aNode).mProcess->Kill();
  mFrozen.erase(aNode);
  ReportDisruption();
}

void
EdgeSystem::Freeze(int aNode)
{
  At(aNode).mProcess->Signal(SIGSTOP);
  mFrozen.insert(aNode);
  ReportDisruption();
}

void
EdgeSystem::Resume(int aNode)
{
  At(aNode).mProcess->Signal(SIGCONT);
  mFrozen.erase(aNode);
  ReportDisruption();
}

void
EdgeSystem::Stop(int aNode)
{
  At(aNode).mProcess->Signal(SIGTERM);
  ReportDisruption();
}

void
EdgeSystem::AwaitStopped(int aNode)
{
  At(aNode).mProcess->AwaitExit();
  ReportDisruption();
}

void
EdgeSystem::AwaitReady(int aNode)
{
  AwaitTrue(NodeName(aNode) + " to be ready", [this, aNode] {
    return mCaller.Get(At(aNode).mReadiness, "/lovagerock/readyz").Is(200);
  });
}

std::string
EdgeSystem::Metrics(int aNode)
{
  const auto result = mCaller.Get(At(aNode).mReadiness, "/metrics");
  Require(result.Is(200), "no metrics of " + NodeName(aNode));
  return result.mResponse.mBody;
}

CallResult
EdgeSystem::Submit(int aNode, const std::string& aJob, const Json& aSteps,
                   std::chrono::milliseconds aTaskTime)
{
  return SubmitPayload(aNode, aJob, aSteps, aTaskTime.count());
}

CallResult
EdgeSystem::Submit(int aNode, const std::string& aJob, const Json& aSteps,
                   const std::vector<std::chrono::milliseconds>& aTaskTimes)
{
  Json times = Json::array();
  for (const auto it : aTaskTimes) {
    times.push_back(it.count());
  }
  return SubmitPayload(aNode, aJob, aSteps, times);
}

http::ClientRequest
EdgeSystem::SubmitCall(int aNode, const std::string& aJob, const Json& aSteps,
                       const Json& aPayload) const
{
  auto call =
    JobCall(http::Method::Post, mNodes.at(static_cast<std::size_t>(aNode)).mCallers, aJob);
  call.mHeaders.Add("Content-Type", "application/json");
  call.mBody = DumpJson({ { "spec", DumpJson(aPayload) }, { "steps", aSteps } });
  return call;
}

void
EdgeSystem::SubmitAndLeave(int aNode, const std::string& aJob, const Json& aSteps,
                           std::chrono::milliseconds aTaskTime, std::chrono::milliseconds aPatience)
{
  Announce(mCaller, aJob, aSteps);
  auto call = SubmitCall(aNode, aJob, aSteps, aTaskTime.count());
  call.mDeadline = aPatience;
  mCaller.Call(call);
}

CallResult
EdgeSystem::SubmitPayload(int aNode, const std::string& aJob, const Json& aSteps,
                          const Json& aPayload)
{
  Announce(mCaller, aJob, aSteps);
  return mCaller.Call(SubmitCall(aNode, aJob, aSteps, aPayload));
}

void
EdgeSystem::Announce(HttpCaller& aCaller, const std::string& aJob, const Json& aSteps) const
{
  const auto report =
    aCaller.Post(mControl, "/job-submitted", DumpJson({ { "job", aJob }, { "steps", aSteps } }));
  Require(report.Is(200), "the platform took no report of a job: " + report.Describe());
}

bool
EdgeSystem::SubmitChecked(HttpCaller& aCaller, int aNode, const std::string& aJob,
                          const Json& aSteps, std::chrono::milliseconds aTaskTime) const
{
  Announce(aCaller, aJob, aSteps);
  auto call = SubmitCall(aNode, aJob, aSteps, aTaskTime.count());
  call.mDeadline = kSubmitTimeout;
  if (!aCaller.Call(call).Is(200)) {
    return false;
  }
  const auto report =
    aCaller.Post(mControl, "/job-accepted", DumpJson({ { "job", aJob }, { "steps", aSteps } }));
  Require(report.Is(200), "the platform took no report of a job: " + report.Describe());
  return true;
}

CallResult
EdgeSystem::Cancel(int aNode, const std::string& aJob)
{
  return mCaller.Call(JobCall(http::Method::Delete, At(aNode).mCallers, aJob));
}

std::string
EdgeSystem::State(int aNode, const std::string& aJob)
{
  const auto result = mCaller.Call(JobCall(http::Method::Get, At(aNode).mCallers, aJob));
  auto state = result.Is(200) ? JsonValue(result.Body(), "state", std::string()) : "";
  if (state == "completed") {
    Command("/completion-shown", { { "job", aJob } });
  }
  return state;
}

void
EdgeSystem::AwaitState(int aNode, const std::string& aJob, const std::string& aState)
{
  AwaitTrue(aJob + " to be " + aState, [&] { return State(aNode, aJob) == aState; });
}

int
EdgeSystem::Leader()
{
  const auto result = mCaller.Get(mStore, "/lovagerock/kv-key?key=leader%2Fnode");
  const auto value = kv::DecodeBase64(JsonValue(result.Body(), "value", std::string()));
  const auto holder = value ? ParseJson(*value) : std::nullopt;
  const auto name = holder ? JsonValue(*holder, "node", std::string()) : std::string();
  for (int i = 0; i < static_cast<int>(mNodes.size()); ++i) {
    if (NodeName(i) == name) {
      return i;
    }
  }
  return -1;
}

int
EdgeSystem::AwaitLeaderExcept(const std::vector<int>& aNodes)
{
  int leader = -1;
  AwaitTrue(
    "another leader",
    [&] {
      leader = Leader();
      return leader >= 0 && std::find(aNodes.begin(), aNodes.end(), leader) == aNodes.end();
    },
    std::chrono::milliseconds(10));
  return leader;
}

void
EdgeSystem::AwaitNoLeader()
{
  AwaitTrue(
    "the leadership to end",
    [this] { return mCaller.Get(mStore, "/lovagerock/kv-key?key=leader%2Fnode").Is(404); },
    std::chrono::milliseconds(10));
}

void
EdgeSystem::AwaitNoRecordedWorker()
{
  AwaitTrue("no worker to be recorded", [this] {
    const auto result = mCaller.Get(mStore, "/lovagerock/kv-range?prefix=progress%2Frack%2F");
    return result.Is(200) && JsonValue(result.Body(), "items", Json::array()).empty();
  });
}

void
EdgeSystem::Command(const std::string& aPath, const Json& aBody)
{
  const auto result = mCaller.Post(mControl, aPath, DumpJson(aBody));
  Require(result.Is(200), aPath + " failed: " + result.Describe());
}

void
EdgeSystem::Configure(const Json& aConfiguration, const std::string& aNewPrefix)
{
  Command("/configuration", aConfiguration);
  for (auto& it : mNodes) {
    AwaitTrue("the configuration to be applied",
              [&] { return mCaller.Get(it.mCallers, aNewPrefix).Is(200); });
  }
}

void
EdgeSystem::SetFaults(const Json& aFaults)
{
  Command("/faults", aFaults);
}

void
EdgeSystem::CloseStoreTo(const std::vector<int>& aNodes)
{
  Json addresses = Json::array();
  for (const int it : aNodes) {
    addresses.push_back(StoreOf(it).Port() - mStore.Port());
  }
  SetFaults({ { "refusing_addresses", addresses } });
  mIsStoreClosed = !aNodes.empty();
  ReportDisruption();
}

void
EdgeSystem::Drain(const std::string& aWorker, std::chrono::milliseconds aRemaining)
{
  Command("/drain", { { "worker", aWorker }, { "remaining_ms", aRemaining.count() } });
}

void
EdgeSystem::Restart(const std::string& aWorker, std::chrono::milliseconds aRegistersAfter)
{
  Command("/restart", { { "worker", aWorker }, { "register_after_ms", aRegistersAfter.count() } });
}

Json
EdgeSystem::Ledger()
{
  const auto result = mCaller.Get(mControl, "/ledger");
  Require(result.Is(200), "no ledger: " + result.Describe());
  return result.Body();
}

Json
EdgeSystem::Usage(HttpCaller& aCaller) const
{
  const auto result = aCaller.Get(mControl, "/usage");
  Require(result.Is(200), "no use of workers: " + result.Describe());
  return result.Body();
}

std::map<std::string, std::chrono::milliseconds>
EdgeSystem::Waits()
{
  const auto result = mCaller.Get(mControl, "/waits");
  Require(result.Is(200), "no waits of jobs: " + result.Describe());
  std::map<std::string, std::chrono::milliseconds> waits;
  const auto body = result.Body();
  for (const auto& [job, wait] : body.items()) {
    waits[job] = std::chrono::milliseconds(wait.get<std::int64_t>());
  }
  return waits;
}

void
EdgeSystem::RequireNothingRanTwice()
{
  const auto violations = Ledger().at("violations");
  Require(violations.empty(), "broken promises: " + DumpJson(violations));
}

void
EdgeSystem::AwaitNotRunning(const std::string& aJob)
{
  AwaitTrue("no task of " + aJob + " to run", [&] {
    const auto running = Ledger().at("running");
    const auto& tasks = running.items();
    return std::none_of(tasks.begin(), tasks.end(),
                        [&aJob](const auto& aIt) { return aIt.key().starts_with(aJob + '.'); });
  });
}

void
EdgeSystem::RequireNoIdleJob()
{
  const auto idle = Ledger().at("idle_jobs");
  std::string text;
  for (const auto& it : idle) {
    text += '\n' + it.get<std::string>();
  }
  Require(idle.empty(), std::to_string(idle.size()) + " idle jobs:" + text);
}

void
EdgeSystem::ReportDisruption()
{
  Command("/disruption", { { "lasts", !mFrozen.empty() || mIsStoreClosed } });
}

std::string
EdgeSystem::LogTails() const
{
  std::string tails = mPlatform ? mPlatform->LogTail() : std::string();
  for (const auto& it : mNodes) {
    if (it.mProcess) {
      tails += "--- " + it.mProcess->Name() + '\n' + it.mProcess->LogTail();
    }
  }
  return tails;
}

void
RunWithEdges(int aNodes, const WorkerFleet& aWorkers, const std::function<void(EdgeSystem&)>& aTest,
             const std::string& aNodeSettings)
{
  std::string failure;
  try {
    EdgeSystem system(aNodes, aWorkers, aNodeSettings);
    try {
      aTest(system);
    } catch (const TestFailure& ex) {
      failure = ex.what();
      std::cerr << system.LogTails() << '\n';
    }
  } catch (const TestFailure& ex) {
    failure = ex.what();
  }
  cr_assert(failure.empty(), "%s", failure.c_str());
}

void
RunWithEdges(int aNodes, int aWorkers, const std::function<void(EdgeSystem&)>& aTest)
{
  WorkerFleet workers;
  workers.mCount = aWorkers;
  RunWithEdges(aNodes, workers, aTest);
}

} // namespace lovagerock::integration
