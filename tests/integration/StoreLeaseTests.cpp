#include "integration/EdgeSystem.h"
#include "integration/TestFailure.h"

#include <criterion/criterion.h>

#include <chrono>
#include <string>
#include <thread>

using namespace lovagerock;
using namespace lovagerock::integration;
using namespace std::chrono_literals;

namespace {

constexpr const char* kJob = "00000000000000aa";
constexpr int kNodes = 3;
constexpr int kWorkers = 6;
// What the store applies to leases, which nodes ask for a longer time. It is the shortest that the
// platform may choose.
constexpr int kLeaseMs = 1000;
// The shortest time for which another store grants leases.
constexpr int kMinLeaseMs = 2500;
// The longest time for which workers are cut off.
constexpr auto kCutOff = 5500ms;

// Starts a task, kills the leader at once and cuts the task's worker off. The next leader must not
// start the task elsewhere while the worker keeps it, which it does for as long as its lease lasts.
void
LoseLeaderAndWorker(EdgeSystem& aSystem)
{
  const int leader = aSystem.AwaitLeaderExcept({});
  // Renewed under the time that applies.
  std::this_thread::sleep_for(3s);
  const Json step{
    { "count", 1 }, { "cpu", 100 }, { "mem_mb", 100 }, { "gpu", 1 }, { "estimate_ms", 20000 }
  };
  Require(aSystem.Submit((leader + 1) % kNodes, kJob, Json::array({ step }), 20s).Is(200),
          "the job was not accepted");
  std::string worker;
  AwaitTrue(
    "the task to be started",
    [&] {
      const auto running = aSystem.Ledger().at("running");
      const auto it = running.find(std::string(kJob) + ".0.0.0");
      worker = it == running.end() ? "" : it->get<std::string>();
      return !worker.empty();
    },
    10ms);
  aSystem.Kill(leader);
  aSystem.SetFaults({ { "silent_workers", { worker } } });
  std::this_thread::sleep_for(kCutOff);
  aSystem.SetFaults({ { "silent_workers", Json::array() } });
  std::this_thread::sleep_for(3s);
  aSystem.RequireNothingRanTwice();
}

} // namespace

// Guards against a second run of a task whose first run still has its lease: the store applies a
// shorter time to the leader's lease than was asked for, and says so.
Test(StoreLeases, of_a_shorter_time_than_asked_for_let_nothing_run_twice)
{
  RunWithEdges(kNodes, kWorkers, [](EdgeSystem& aSystem) {
    aSystem.SetFaults({ { "lease_ms", kLeaseMs } });
    const int first = aSystem.AwaitLeaderExcept({});
    aSystem.Stop(first);
    aSystem.AwaitLeaderExcept({ first });
    aSystem.AwaitStopped(first);
    aSystem.Start(first);
    aSystem.AwaitReady(first);
    LoseLeaderAndWorker(aSystem);
  });
}

// Guards against the same if the store applies the shorter time from a renewal on.
Test(StoreLeases, that_become_shorter_let_nothing_run_twice)
{
  RunWithEdges(kNodes, kWorkers, [](EdgeSystem& aSystem) {
    aSystem.AwaitLeaderExcept({});
    aSystem.SetFaults({ { "lease_ms", kLeaseMs } });
    LoseLeaderAndWorker(aSystem);
  });
}

// Guards against nodes of which none can lead, since the store refuses leases as short as they ask
// for.
Test(StoreLeases, are_asked_for_at_least_the_shortest_time_that_the_store_grants)
{
  WorkerFleet workers;
  workers.mCount = kWorkers;
  RunWithEdges(
    kNodes, workers,
    [](EdgeSystem& aSystem) {
      aSystem.SetFaults({ { "min_lease_ms", kMinLeaseMs } });
      const int first = aSystem.AwaitLeaderExcept({});
      aSystem.Stop(first);
      aSystem.AwaitLeaderExcept({ first });
    },
    "  ttl_min_ms: " + std::to_string(kMinLeaseMs) + "\n");
}
