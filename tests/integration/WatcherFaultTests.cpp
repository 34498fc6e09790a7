#include "integration/Gangs.h"
#include "integration/TestFailure.h"

#include <criterion/criterion.h>

#include <chrono>
#include <csignal>
#include <future>
#include <string>
#include <vector>

using namespace lovagerock;
using namespace lovagerock::integration;

namespace {

using Clock = std::chrono::steady_clock;

// The bound of G6.
constexpr std::chrono::milliseconds kG6Limit{ 3000 };

http::ClientRequest
Request(LocalSystem& aSystem, int aNode, int aRunMs, int aDeadlineMs)
{
  auto headers = JobHeaders();
  headers.Add("Idempotent", "true");
  headers.Add("Deadline-Ms", std::to_string(aDeadlineMs));
  return HttpCaller::MakePost(aSystem.NodeAddress(aNode), "/v1/services/echo/requests",
                              DumpJson({ { "run_ms", aRunMs }, { "answer", "done" } }), headers);
}

// Requests that run until the end of the test, so that the workers that get requests don't end.
std::vector<http::ClientRequest>
LongRequests(LocalSystem& aSystem, int aNode)
{
  constexpr int kLong = 8;
  constexpr int kLongMs = 9000;
  return { kLong, Request(aSystem, aNode, kLongMs, 30000) };
}

// Waits until the node relies on another one for each worker that it doesn't own. Otherwise its own
// polls would show it what the worker says.
void
AwaitReliance(LocalSystem& aSystem, int aNode)
{
  const SystemOptions defaults;
  AwaitTrue("the node relies on the others", [&] {
    const auto owned = aSystem.Metric(aNode, "lovagerock_workers_owned");
    const auto relayed = aSystem.Metric(aNode, "lovagerock_workers_relayed");
    return relayed > 0 && owned + relayed == defaults.mZones * defaults.mWorkersPerZone;
  });
}

// The signal stops a watcher, and all workers start to leave at that moment. The other nodes go on
// getting requests until well after the bound. aLate: requests that a frozen watcher finds when it
// goes on.
void
LeaveUnwatched(LocalSystem& aSystem, int aSignal, std::size_t aLate = 0)
{
  AwaitTrue("a planner", [&] { return aSystem.PlannerSeenBy(0) >= 0; });
  const int planner = aSystem.PlannerSeenBy(0);
  const int watcher = (planner + 1) % aSystem.NodeCount();
  const int third = 3 - watcher - planner;
  AwaitTrue("served",
            [&] { return aSystem.Caller().Call(Request(aSystem, third, 0, 5000)).Is(200); });
  const auto before = aSystem.ReadTrace().RequestStarts().size();
  const auto running = LongRequests(aSystem, planner);
  auto load = std::async(std::launch::async, [&] { return HttpCaller().CallAll(running); });
  AwaitTrue("requests running",
            [&] { return aSystem.ReadTrace().RequestStarts().size() >= before + running.size(); });
  AwaitReliance(aSystem, third);
  aSystem.NodeProcess(watcher).Signal(aSignal);
  for (int zone = 0; zone < SystemOptions().mZones; ++zone) {
    aSystem.WorkerProcess(zone).Signal(SIGTERM);
  }
  const auto limit = Clock::now() + kG6Limit;
  const std::vector<http::ClientRequest> late(aLate, Request(aSystem, watcher, 0, 8000));
  const auto waiting = std::async(std::launch::async, [&] {
    if (!late.empty()) {
      HttpCaller().CallAll(late);
    }
  });
  while (Clock::now() < limit + std::chrono::seconds(2)) {
    aSystem.Caller().CallAll(
      { Request(aSystem, third, 0, 200), Request(aSystem, planner, 0, 200) });
  }
  if (aSignal == SIGSTOP) {
    aSystem.NodeProcess(watcher).Signal(SIGCONT);
  }
  waiting.wait();
  for (const auto& it : load.get()) {
    Require(it.Is(200), "a running request was cut: " + it.Describe());
  }
  const auto trace = aSystem.ReadTrace();
  Require(trace.LeavingWorkers() == 9, "the workers didn't say that they leave");
  const int commands = trace.CommandsAfterLeaving(kG6Limit.count());
  Require(commands == 0, std::to_string(commands) + " commands to leaving workers");
}

} // namespace

// Guards against work for leaving workers that nobody watches, because the node that watched them
// for the others is killed when they start to leave.
Test(LeavingWorkers, get_no_new_work_when_their_watcher_is_killed)
{
  RunWithSystem({}, [](LocalSystem& aSystem) { LeaveUnwatched(aSystem, SIGKILL); });
}

// The same with a frozen watcher, which keeps its connections and says nothing more.
Test(LeavingWorkers, get_no_new_work_when_their_watcher_is_frozen)
{
  RunWithSystem({}, [](LocalSystem& aSystem) { LeaveUnwatched(aSystem, SIGSTOP); });
}

// Guards against a node that sends what it finds after a pause by the views from before it.
Test(LeavingWorkers, get_no_new_work_from_a_node_that_was_frozen)
{
  RunWithSystem({}, [](LocalSystem& aSystem) { LeaveUnwatched(aSystem, SIGSTOP, 3); });
}
