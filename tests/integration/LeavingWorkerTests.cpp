#include "integration/Gangs.h"
#include "integration/TestFailure.h"

#include <criterion/criterion.h>

#include <chrono>
#include <csignal>
#include <string>
#include <thread>
#include <vector>

using namespace lovagerock;
using namespace lovagerock::integration;

namespace {

// A job that takes a whole worker, so that the load needs more workers than are left.
Json
WorkerJob()
{
  return { { "tasks", 1 },
           { "resources", { { "slots", 1 }, { "accelerators", 8 } } },
           { "idempotent", true },
           { "estimated_ms", 500 },
           { "payload", { { "run_ms", 500 }, { "answer", "done" } } } };
}

} // namespace

// Guards against reservations and starts that are still sent to leaving workers and that only the
// workers' refusals keep from running. The gang keeps the workers' process alive meanwhile.
Test(LeavingWorkers, get_no_commands_for_jobs)
{
  RunWithSystem({}, [](LocalSystem& aSystem) {
    constexpr int kG6LimitMs = 3000;
    constexpr std::chrono::seconds kLoad{ 6 };
    const auto gang = SubmitGang(aSystem, 0, "long", 8000);
    aSystem.AwaitConfirmedStart(gang, kTasks);
    int zone = -1;
    AwaitTrue("placement", [&] { return (zone = aSystem.ZoneOfJob(0, gang)) >= 0; });
    aSystem.WorkerProcess(zone).Signal(SIGTERM);
    std::vector<std::string> jobs;
    const auto end = std::chrono::steady_clock::now() + kLoad;
    while (std::chrono::steady_clock::now() < end) {
      const auto n = static_cast<int>(jobs.size());
      jobs.push_back(SubmitJob(aSystem, n % aSystem.NodeCount(), std::to_string(n), WorkerJob()));
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    for (const auto& it : jobs) {
      AwaitFinished(aSystem, 0, it);
    }
    const auto trace = aSystem.ReadTrace();
    Require(trace.LeavingWorkers() == 3, "the workers didn't say that they leave");
    const int late = trace.CommandsAfterLeaving(kG6LimitMs);
    Require(late == 0, std::to_string(late) + " commands to leaving workers");
  });
}
