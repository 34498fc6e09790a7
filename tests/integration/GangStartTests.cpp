#include "integration/Gangs.h"
#include "integration/TestFailure.h"

#include <criterion/criterion.h>

#include <csignal>
#include <functional>
#include <string>
#include <vector>

using namespace lovagerock;
using namespace lovagerock::integration;

namespace {

// A start that isn't confirmed ends with its time to live of 5 s and the 2 s that a task has to
// stop.
constexpr int kPartLimitMs = 7000;

// The job's state once it is in one of its last ones.
std::string
AwaitEnded(LocalSystem& aSystem, int aNode, const std::string& aJob)
{
  std::string state;
  AwaitTrue("job " + aJob + " ended", [&] {
    const auto result =
      aSystem.Caller().Get(aSystem.NodeAddress(aNode), "/v1/jobs/" + aJob, JobHeaders());
    state = JsonValue<std::string>(result.Body(), "state", "");
    return state == "finished" || state == "interrupted" || state == "failed";
  });
  return state;
}

// Ends the test unless the gang's state is what its tasks have done, and none of them ran twice.
void
RequireTruthfulEnd(LocalSystem& aSystem, const std::string& aJob, const std::string& aKey)
{
  const auto state = AwaitEnded(aSystem, 0, aJob);
  const auto trace = aSystem.ReadTrace();
  Require(trace.AttemptsStarted(aJob) == 1, "job " + aJob + " " + state + " after " +
                                              std::to_string(trace.AttemptsStarted(aJob)) +
                                              " attempts");
  if (state == "finished") {
    RequireAnswer(aSystem, 1, aJob, aKey);
    Require(trace.TaskEnds(aJob, "finished") == kTasks, "job " + aJob + " isn't finished");
  } else {
    Require(state == "interrupted" && trace.TaskEnds(aJob, "finished") < kTasks,
            "job " + aJob + " is " + state);
  }
}

// Submits gangs, and cuts when some of them hold reservations, which the commit follows. The heal
// comes when no reservation is left.
void
CutInStarts(LocalSystem& aSystem, const std::string& aName, const std::function<void()>& aCut,
            const std::function<void()>& aHeal)
{
  constexpr int kGangs = 3;
  // Wide enough to see reservations before the commit takes effect.
  aSystem.SetKvServiceFaults({ { "slow_ms", 200 } });
  std::vector<http::ClientRequest> calls;
  calls.reserve(kGangs);
  for (int i = 0; i < kGangs; ++i) {
    calls.push_back(GangRequest(aSystem, i % aSystem.NodeCount(), aName + std::to_string(i), 1000));
  }
  const auto results = aSystem.Caller().CallAll(calls);
  AwaitTrue("reservations", [&] { return aSystem.CountLeases("", "reserved") > 0; });
  aCut();
  AwaitTrue("reservations ended", [&] { return aSystem.CountLeases("", "reserved") == 0; });
  aHeal();
  aSystem.SetKvServiceFaults({ { "slow_ms", 0 } });
  for (int i = 0; i < kGangs; ++i) {
    const auto& result = results[static_cast<std::size_t>(i)];
    Require(result.Is(202), "submission: " + result.Describe());
    RequireTruthfulEnd(aSystem, result.Body().at("job").get<std::string>(),
                       aName + std::to_string(i));
  }
  aSystem.ReadTrace().RequireNoPartBeyond(kPartLimitMs);
}

} // namespace

// Guards against parts of gangs that run alone, against second runs and against wrong states, when
// the commit of a start is held up beyond the reservations, takes effect with its answer lost, or
// never arrives.
Test(GangStarts, run_whole_and_once_when_the_service_is_cut_off_in_the_commit)
{
  SystemOptions options;
  options.mProxyKv = true;
  RunWithSystem(options, [](LocalSystem& aSystem) {
    CutInStarts(
      aSystem, "frozen", [&] { aSystem.KvProcess().Signal(SIGSTOP); },
      [&] { aSystem.KvProcess().Signal(SIGCONT); });
    CutInStarts(
      aSystem, "silent",
      [&] {
        aSystem.SetKvFaults({ { "silence", "all" } });
      },
      [&] {
        aSystem.SetKvFaults({ { "silence", "none" } });
      });
    CutInStarts(
      aSystem, "down",
      [&] {
        aSystem.SetKvServiceFaults({ { "down", true } });
      },
      [&] {
        aSystem.SetKvServiceFaults({ { "down", false } });
      });
  });
}
