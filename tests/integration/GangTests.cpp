#include "integration/Gangs.h"
#include "integration/LocalSystem.h"
#include "integration/TestFailure.h"

#include <criterion/criterion.h>

#include <chrono>
#include <csignal>
#include <string>
#include <thread>

using namespace lovagerock;
using namespace lovagerock::integration;

// Guards against gangs that run in part, and against answers kept in a node's memory.
Test(Gangs, run_whole_and_keep_their_answer_over_a_restart_of_all_nodes)
{
  RunWithSystem({}, [](LocalSystem& aSystem) {
    const auto job = SubmitGang(aSystem, 0, "restart", 500);
    AwaitFinished(aSystem, 1, job);
    RequireRanOnce(aSystem.ReadTrace(), job);
    for (int i = 0; i < aSystem.NodeCount(); ++i) {
      aSystem.NodeProcess(i).Kill();
    }
    for (int i = 0; i < aSystem.NodeCount(); ++i) {
      aSystem.RestartNode(i);
    }
    for (int i = 0; i < aSystem.NodeCount(); ++i) {
      aSystem.AwaitReady(i);
      RequireAnswer(aSystem, i, job, "restart");
    }
    RequireRanOnce(aSystem.ReadTrace(), job);
  });
}

// Guards against two planners at once: the frozen planner comes back with commands of its own, and
// neither it nor the one that took over may stop or start parts of a gang.
Test(Gangs, go_on_when_the_planner_is_frozen_and_resumed)
{
  RunWithSystem({}, [](LocalSystem& aSystem) {
    constexpr std::chrono::seconds kFrozen{ 6 };
    const int planner = aSystem.PlannerSeenBy(0);
    Require(planner >= 0, "no planner");
    const int other = (planner + 1) % aSystem.NodeCount();
    const auto before = SubmitGang(aSystem, other, "before", 15000);
    AwaitRunning(aSystem, before);

    aSystem.NodeProcess(planner).Signal(SIGSTOP);
    const auto resume = std::chrono::steady_clock::now() + kFrozen;
    AwaitTrue("another planner", [&] {
      const int now = aSystem.PlannerSeenBy(other);
      return now >= 0 && now != planner;
    });
    const auto during = SubmitGang(aSystem, other, "during", 8000);
    AwaitRunning(aSystem, during);
    std::this_thread::sleep_until(resume);
    aSystem.NodeProcess(planner).Signal(SIGCONT);

    const auto after = SubmitGang(aSystem, other, "after", 500);
    for (const auto& it : { before, during, after }) {
      AwaitFinished(aSystem, other, it);
    }
    const auto trace = aSystem.ReadTrace();
    for (const auto& it : { before, during, after }) {
      RequireRanOnce(trace, it);
    }
    aSystem.AwaitReady(planner);
    RequireAnswer(aSystem, planner, before, "before");
    RequireAnswer(aSystem, planner, during, "during");
  });
}

// Guards against gangs that are started again, and against lost answers, when all nodes fail at the
// same time: the workers go on under their leases, and the new nodes find the job's record.
Test(Gangs, run_once_when_all_nodes_are_killed_and_started_again)
{
  RunWithSystem({}, [](LocalSystem& aSystem) {
    const auto job = SubmitGang(aSystem, 0, "all killed", 8000);
    aSystem.AwaitConfirmedStart(job, kTasks);
    for (int i = 0; i < aSystem.NodeCount(); ++i) {
      aSystem.NodeProcess(i).Kill();
    }
    for (int i = 0; i < aSystem.NodeCount(); ++i) {
      aSystem.RestartNode(i);
    }
    AwaitFinished(aSystem, 1, job);
    RequireRanOnce(aSystem.ReadTrace(), job);
    for (int i = 0; i < aSystem.NodeCount(); ++i) {
      aSystem.AwaitReady(i);
      RequireAnswer(aSystem, i, job, "all killed");
    }
    RequireRanOnce(aSystem.ReadTrace(), job);
  });
}
