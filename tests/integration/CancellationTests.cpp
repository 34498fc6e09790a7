#include "base/Random.h"
#include "integration/Gangs.h"
#include "integration/TestFailure.h"

#include <criterion/criterion.h>

#include <chrono>
#include <iostream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace lovagerock;
using namespace lovagerock::integration;

namespace {

// A start that isn't confirmed ends with its time to live of 5 s and the 2 s that a task has to
// stop.
constexpr int kPartLimitMs = 7000;

// The answer of the cancellation: 202 for a live job, 200 for one that had ended and is deleted.
int
Cancel(LocalSystem& aSystem, int aNode, const std::string& aJob)
{
  auto request =
    HttpCaller::MakePost(aSystem.NodeAddress(aNode), "/v1/jobs/" + aJob, "", JobHeaders());
  request.mMethod = http::Method::Delete;
  int status = 0;
  AwaitTrue("job " + aJob + " cancelled", [&] {
    const auto result = aSystem.Caller().Call(request);
    status = result.mResponse.mStatus;
    // The planner may change the record at the same time.
    Require(result.Is(202) || result.Is(200) || result.Is(409) || result.Is(503),
            "cancellation: " + result.Describe());
    return result.Is(202) || result.Is(200);
  });
  return status;
}

// Ends the test unless a cancelled job has ended one way, and its tasks did what its state says.
void
RequireSettled(LocalSystem& aSystem, int aNode, const std::string& aJob)
{
  CallResult result;
  std::string state;
  AwaitTrue("job " + aJob + " ended", [&] {
    result = aSystem.Caller().Get(aSystem.NodeAddress(aNode), "/v1/jobs/" + aJob, JobHeaders());
    state = JsonValue<std::string>(result.Body(), "state", "");
    return state == "cancelled" || state == "finished" || state == "interrupted" ||
           state == "failed";
  });
  const auto trace = aSystem.ReadTrace();
  const auto ran = JsonValue<std::string>(result.Body(), "ran", "");
  const int starts = trace.TaskStarts(aJob);
  Require(state == "cancelled" || state == "finished", "job ended: " + result.Describe());
  Require(state != "finished" || trace.TaskEnds(aJob, "finished") == kTasks,
          "not all tasks finished: " + result.Describe());
  Require(state != "cancelled" || ran != "no" || starts == 0,
          std::to_string(starts) + " tasks ran: " + result.Describe());
}

// Submits more gangs than run at once, and cancels them in a random order at random times, so that
// some wait, some start and some end at that moment.
void
RunWave(LocalSystem& aSystem, Random& aRandom, const std::string& aName)
{
  constexpr int kGangs = 16;
  constexpr int kMostRunMs = 1500;
  constexpr int kMostPauseMs = 100;
  std::vector<http::ClientRequest> calls;
  calls.reserve(kGangs);
  for (int i = 0; i < kGangs; ++i) {
    calls.push_back(GangRequest(aSystem, i % aSystem.NodeCount(), aName + std::to_string(i),
                                1 + static_cast<int>(aRandom.Below(kMostRunMs))));
  }
  std::vector<std::string> jobs;
  jobs.reserve(kGangs);
  for (const auto& it : aSystem.Caller().CallAll(calls)) {
    Require(it.Is(202), "submission: " + it.Describe());
    jobs.push_back(it.Body().at("job").get<std::string>());
  }
  std::vector<std::string> live;
  for (std::size_t i = jobs.size(); i > 0; --i) {
    std::swap(jobs[i - 1], jobs[aRandom.Below(i)]);
    const auto& job = jobs[i - 1];
    const int node = static_cast<int>(i) % aSystem.NodeCount();
    std::this_thread::sleep_for(std::chrono::milliseconds(aRandom.Below(kMostPauseMs)));
    if (Cancel(aSystem, node, job) == 202) {
      live.push_back(job);
    } else {
      Require(aSystem.ReadTrace().TaskEnds(job, "finished") == kTasks,
              "deleted before its end: " + job);
    }
  }
  for (const auto& it : live) {
    RequireSettled(aSystem, 0, it);
  }
  for (const auto& it : jobs) {
    AwaitTrue("tasks of " + it + " ended", [&] { return aSystem.CountLeases(it, "running") == 0; });
    Require(aSystem.ReadTrace().AttemptsStarted(it) <= 1, "job " + it + " ran again");
  }
}

} // namespace

// Guards against cancelled gangs that run on in part, that run again, or that end as cancelled
// without a run although they ran.
Test(Cancellations, settle_each_gang_one_way_when_they_race_with_starts_and_ends)
{
  constexpr std::uint64_t kSeed = 41;
  constexpr int kWaves = 3;
  std::cerr << "seed " << kSeed << "\n";
  RunWithSystem({}, [](LocalSystem& aSystem) {
    Random random(kSeed);
    for (int i = 0; i < kWaves; ++i) {
      RunWave(aSystem, random, "wave " + std::to_string(i) + " gang ");
    }
    aSystem.ReadTrace().RequireNoPartBeyond(kPartLimitMs);
  });
}
