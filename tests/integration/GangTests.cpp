#include "integration/LocalSystem.h"
#include "integration/TestFailure.h"

#include <criterion/criterion.h>

#include <chrono>
#include <csignal>
#include <string>
#include <thread>

using namespace lovagerock;
using namespace lovagerock::integration;

namespace {

constexpr int kTasks = 8;

http::Headers
JobHeaders(const std::string& aKey = "")
{
  http::Headers headers{ { "Authorization", std::string("Bearer ") + kToken } };
  if (!aKey.empty()) {
    headers.Add("Idempotency-Key", aKey);
  }
  return headers;
}

std::string
PartOf(const std::string& aKey, int aTask)
{
  return aKey + " part " + std::to_string(aTask);
}

// Submits a gang of kTasks tasks with one accelerator each and gives the job's id.
std::string
SubmitGang(LocalSystem& aSystem, int aNode, const std::string& aKey, int aRunMs)
{
  Json payloads = Json::array();
  for (int i = 0; i < kTasks; ++i) {
    payloads.push_back({ { "run_ms", aRunMs }, { "answer", PartOf(aKey, i) } });
  }
  const Json body{
    { "tasks", kTasks },        { "resources", { { "slots", 1 }, { "accelerators", 1 } } },
    { "adjacency", "zone" },    { "idempotent", false },
    { "estimated_ms", aRunMs }, { "payloads", payloads }
  };
  const auto result =
    aSystem.Caller().Post(aSystem.NodeAddress(aNode), "/v1/jobs", DumpJson(body), JobHeaders(aKey));
  Require(result.Is(202), "submission: " + result.Describe());
  return result.Body().at("job").get<std::string>();
}

void
AwaitFinished(LocalSystem& aSystem, int aNode, const std::string& aJob)
{
  AwaitTrue("job " + aJob + " finished", [&] {
    const auto result =
      aSystem.Caller().Get(aSystem.NodeAddress(aNode), "/v1/jobs/" + aJob, JobHeaders());
    const auto state = JsonValue<std::string>(result.Body(), "state", "");
    Require(state != "failed" && state != "interrupted" && state != "cancelled",
            "job ended: " + result.Describe());
    return state == "finished";
  });
}

void
RequireAnswer(LocalSystem& aSystem, int aNode, const std::string& aJob, const std::string& aKey)
{
  for (int i = 0; i < kTasks; ++i) {
    const auto result =
      aSystem.Caller().Get(aSystem.NodeAddress(aNode),
                           "/v1/jobs/" + aJob + "/answer?task=" + std::to_string(i), JobHeaders());
    Require(result.Is(200) && result.mResponse.mBody == PartOf(aKey, i), result.Describe());
  }
}

// Ends the test unless the gang ran once and whole.
void
RequireRanOnce(const Trace& aTrace, const std::string& aJob)
{
  aTrace.RequireWholeGangs();
  Require(aTrace.TaskStarts(aJob) == kTasks, "job " + aJob + " started more than once");
  Require(aTrace.TaskEnds(aJob, "finished") == kTasks, "job " + aJob + " didn't run to its end");
}

void
AwaitRunning(LocalSystem& aSystem, const std::string& aJob)
{
  AwaitTrue("job " + aJob + " running",
            [&] { return aSystem.ReadTrace().TaskStarts(aJob) == kTasks; });
}

} // namespace

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
