#include "integration/Gangs.h"
#include "integration/RequestLoad.h"
#include "integration/TestFailure.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <csignal>

using namespace lovagerock;
using namespace lovagerock::integration;

namespace {

constexpr int kFaultAfter = 100;

// Runs a load during which all connections to the workers that are open go silent for good.
std::vector<LoadedRequest>
RunIntoSilence(LocalSystem& aSystem, bool aIdempotent)
{
  LoadOptions options;
  options.mIdempotent = aIdempotent;
  options.mRunMs = 200;
  bool silent = false;
  RequestLoad load(aSystem, options, [&](int aEnded) {
    if (!silent && aEnded >= kFaultAfter) {
      silent = true;
      aSystem.SetWorkerFaults({ { "silence", "existing" } });
    }
  });
  auto requests = load.Run();
  Require(silent, "the load ended before the silence");
  return requests;
}

SystemOptions
WithProxies()
{
  SystemOptions options;
  options.mProxyWorkers = true;
  return options;
}

// The first worker with a replica of the service, or nothing.
std::string
WorkerWithReplica(LocalSystem& aSystem)
{
  for (const auto& it : aSystem.DescribePlacements(0)) {
    if (JsonValue<std::string>(it, "service", "") == "echo") {
      return JsonValue<std::string>(it, "worker", "");
    }
  }
  return "";
}

// The zone of the first worker with a replica of the service.
int
ZoneWithReplica(LocalSystem& aSystem)
{
  const auto worker = WorkerWithReplica(aSystem);
  for (int zone = 0;; ++zone) {
    const auto ids = aSystem.WorkerIds(zone);
    if (std::find(ids.begin(), ids.end(), worker) != ids.end()) {
      return zone;
    }
  }
}

// Whether a node lists a replica on a worker of the zone, or lists none at all.
bool
ListsReplica(LocalSystem& aSystem, int aNode, int aZone)
{
  const auto ids = aSystem.WorkerIds(aZone);
  const auto all = aSystem.DescribePlacements(aNode);
  return all.empty() || std::any_of(all.begin(), all.end(), [&ids](const Json& aEntry) {
           return std::find(ids.begin(), ids.end(), JsonValue<std::string>(aEntry, "worker", "")) !=
                  ids.end();
         });
}

// Runs an idempotent load while a worker fails. The node passes the worker's failure on as its
// answer, and the caller sends such a request again until it is done.
void
RunAmongFailures(LocalSystem& aSystem)
{
  LoadOptions options;
  options.mIdempotent = true;
  RequestLoad load(aSystem, options, [](int) {});
  for (const auto& it : load.Run()) {
    if (!it.mResult.Is(500)) {
      RequireAnswered(it);
      continue;
    }
    Require(JsonValue<std::string>(it.mResult.Body(), "error", "") == "failed",
            it.mKey + ": " + it.mResult.Describe());
    AwaitTrue(it.mKey + " done", [&] {
      const auto result = aSystem.Caller().Post(
        aSystem.NodeAddress(it.mNode), "/v1/services/echo/requests",
        DumpJson({ { "answer", it.mKey } }),
        { { "Authorization", std::string("Bearer ") + kToken }, { "Idempotent", "true" } });
      return result.Is(200) && result.mResponse.mBody == it.mKey;
    });
  }
}

} // namespace

// Guards against idempotent requests that are lost, cut or answered with another's answer when
// their connection goes silent.
Test(SilentConnections, leave_every_idempotent_request_answered)
{
  RunWithSystem(WithProxies(), [](LocalSystem& aSystem) {
    for (const auto& it : RunIntoSilence(aSystem, true)) {
      RequireAnswered(it);
    }
  });
}

// Guards against a second run of a request whose connection went silent after it was sent. The
// worker can be asked over new connections, so each request is answered too.
Test(SilentConnections, run_no_keyed_request_twice)
{
  RunWithSystem(WithProxies(), [](LocalSystem& aSystem) {
    const auto requests = RunIntoSilence(aSystem, false);
    const auto trace = aSystem.ReadTrace();
    trace.RequireNoRequestTwice();
    // Each key runs under one request id, so more ids than keys would be a doubled key.
    Require(trace.RequestStarts().size() <= requests.size(), "a key was run twice");
    for (const auto& it : requests) {
      RequireAnswered(it);
    }
  });
}

// Guards against workers that nobody watches because the node that watched them for the others is
// frozen: the nodes that are left must notice that each worker of a zone is silent.
Test(SilentWorkers, are_noticed_by_each_node_when_their_watchers_are_frozen_too)
{
  RunWithSystem({}, [](LocalSystem& aSystem) {
    const SystemOptions defaults;
    const int all = defaults.mZones * defaults.mWorkersPerZone;
    AwaitTrue("a planner", [&] { return aSystem.PlannerSeenBy(0) >= 0; });
    const int frozen = (aSystem.PlannerSeenBy(0) + 1) % aSystem.NodeCount();
    const int third = 3 - frozen - aSystem.PlannerSeenBy(0);
    const auto awaitLive = [&](int aLive, bool aAlsoFrozen) {
      for (int i = 0; i < aSystem.NodeCount(); ++i) {
        if (i != frozen || aAlsoFrozen) {
          AwaitTrue("node " + std::to_string(i) + " sees " + std::to_string(aLive) + " live",
                    [&] { return aSystem.Metric(i, "lovagerock_workers_live") == aLive; });
        }
      }
    };
    for (int zone = 0; zone < defaults.mZones; ++zone) {
      awaitLive(all, true);
      // Otherwise its own polls would notice the silence.
      AwaitTrue("the third node relies on the others", [&] {
        const auto owned = aSystem.Metric(third, "lovagerock_workers_owned");
        return owned >= 0 && owned + aSystem.Metric(third, "lovagerock_workers_relayed") == all;
      });
      aSystem.NodeProcess(frozen).Signal(SIGSTOP);
      aSystem.WorkerProcess(zone).Signal(SIGSTOP);
      awaitLive(all - defaults.mWorkersPerZone, false);
      aSystem.WorkerProcess(zone).Signal(SIGCONT);
      aSystem.NodeProcess(frozen).Signal(SIGCONT);
    }
  });
}

// Guards against work that is sent to a leaving worker, and against requests that its end cuts. The
// requests are non-idempotent without keys, so each lost answer fails the test.
Test(LeavingWorkers, get_no_new_requests_and_end_their_running_ones)
{
  RunWithSystem({}, [](LocalSystem& aSystem) {
    AwaitTrue("replicas", [&] { return !WorkerWithReplica(aSystem).empty(); });
    const int zone = ZoneWithReplica(aSystem);
    const auto prefix = "zone-" + std::to_string(zone + 1) + "-";
    LoadOptions options;
    options.mKeyed = false;
    options.mRunMs = 300;
    options.mRequests = 600;
    bool leaving = false;
    int startsWhenGone = -1;
    RequestLoad load(aSystem, options, [&](int aEnded) {
      if (!leaving && aEnded >= kFaultAfter) {
        leaving = true;
        Require(aSystem.ReadTrace().RequestStartsAt(prefix) > 0, "no request at the worker");
        aSystem.WorkerProcess(zone).Signal(SIGTERM);
      } else if (leaving && startsWhenGone < 0) {
        bool gone = true;
        for (int i = 0; gone && i < aSystem.NodeCount(); ++i) {
          gone = !ListsReplica(aSystem, i, zone);
        }
        if (gone || !aSystem.WorkerProcess(zone).IsRunning()) {
          startsWhenGone = aSystem.ReadTrace().RequestStartsAt(prefix);
        }
      }
    });
    for (const auto& it : load.Run()) {
      RequireAnswered(it);
    }
    Require(startsWhenGone >= 0, "the load ended before the worker was gone");
    const auto trace = aSystem.ReadTrace();
    Require(trace.RequestStartsAt(prefix) == startsWhenGone, "starts after the worker was gone");
    trace.RequireNoRequestTwice();
    const int status = aSystem.WorkerProcess(zone).AwaitExit();
    Require(status == 0, "exit status " + std::to_string(status));
  });
}

// Guards against a worker that attracts work by failing at once: others must get the work.
Test(FailingWorkers, stop_neither_requests_nor_jobs)
{
  RunWithSystem({}, [](LocalSystem& aSystem) {
    constexpr int kJobs = 12;
    AwaitTrue("replicas", [&] { return !WorkerWithReplica(aSystem).empty(); });
    aSystem.SetWorkerServiceFaults(WorkerWithReplica(aSystem), { { "fail_all", true } });
    std::vector<std::string> jobs;
    jobs.reserve(kJobs);
    for (int i = 0; i < kJobs; ++i) {
      jobs.push_back(
        SubmitJob(aSystem, i % aSystem.NodeCount(), "job " + std::to_string(i),
                  { { "tasks", 1 },
                    { "resources", { { "slots", 1 }, { "accelerators", 1 } } },
                    { "idempotent", true },
                    { "estimated_ms", 200 },
                    { "payload", { { "run_ms", 200 }, { "answer", std::to_string(i) } } } }));
    }
    RunAmongFailures(aSystem);
    for (std::size_t i = 0; i < jobs.size(); ++i) {
      AwaitFinished(aSystem, 0, jobs[i]);
      const auto result = aSystem.Caller().Get(aSystem.NodeAddress(1),
                                               "/v1/jobs/" + jobs[i] + "/answer", JobHeaders());
      Require(result.Is(200) && result.mResponse.mBody == std::to_string(i), result.Describe());
    }
  });
}
