#include "integration/Gangs.h"
#include "integration/RequestLoad.h"
#include "integration/TestFailure.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <chrono>
#include <thread>

using namespace lovagerock;
using namespace lovagerock::integration;

namespace {

// Ends the test unless the answer says that the work was not run.
void
RequireNotRun(const CallResult& aResult)
{
  Require(aResult.Is(503) && JsonValue<std::string>(aResult.Body(), "ran", "") == "no",
          "not refused as not run: " + aResult.Describe());
}

CallResult
SendKeyed(LocalSystem& aSystem, int aNode, const std::string& aKey)
{
  auto headers = JobHeaders(aKey);
  headers.Add("Idempotent", "false");
  return aSystem.Caller().Post(aSystem.NodeAddress(aNode), "/v1/services/echo/requests",
                               DumpJson({ { "answer", aKey }, { "token", aKey } }), headers);
}

std::string
KeyOf(int aNode)
{
  return "refused-" + std::to_string(aNode);
}

void
RunIdempotentLoad(LocalSystem& aSystem)
{
  LoadOptions options;
  options.mIdempotent = true;
  options.mKeyed = false;
  options.mRequests = 100;
  RequestLoad load(aSystem, options, [](int) {});
  for (const auto& it : load.Run()) {
    Require(it.mResult.Is(200) && it.mResult.mResponse.mBody == it.mKey,
            it.mKey + ": " + it.mResult.Describe());
  }
}

// Waits until no node counts itself as confirmed, so that all are in the state "service down".
void
AwaitUnconfirmed(LocalSystem& aSystem)
{
  for (int i = 0; i < aSystem.NodeCount(); ++i) {
    AwaitTrue("outage noticed", [&] {
      const auto nodes = aSystem.DescribeNodes(i);
      return !nodes.empty() && std::none_of(nodes.begin(), nodes.end(), [](const Json& aNode) {
        return JsonValue(aNode, "confirmed", true);
      });
    });
  }
}

// Waits until each node knows that all are settled: others don't go on without the service.
void
AwaitSettled(LocalSystem& aSystem)
{
  for (int i = 0; i < aSystem.NodeCount(); ++i) {
    AwaitTrue("nodes settled", [&] {
      const auto nodes = aSystem.DescribeNodes(i);
      return !nodes.empty() && std::all_of(nodes.begin(), nodes.end(), [](const Json& aNode) {
        return JsonValue(aNode, "settled", false);
      });
    });
  }
}

// Sends work that needs the service to each node and checks that it is refused and not run.
void
RequireRefusals(LocalSystem& aSystem)
{
  for (int i = 0; i < aSystem.NodeCount(); ++i) {
    const auto starts = aSystem.ReadTrace().RequestStarts().size();
    const auto result = SendKeyed(aSystem, i, KeyOf(i));
    RequireNotRun(result);
    RequireNotRun(TrySubmitGang(aSystem, i, KeyOf(i), 100));
    const auto trace = aSystem.ReadTrace();
    Require(trace.RequestStarts().size() == starts, "a refused request was run");
    Require(trace.JobCount() == 1, "a refused job was run");
  }
}

// The refused work is new to the system, so it runs once when it is sent again.
void
RequireRunsAfterwards(LocalSystem& aSystem)
{
  for (int i = 0; i < aSystem.NodeCount(); ++i) {
    CallResult result;
    AwaitTrue("request accepted again", [&] {
      result = SendKeyed(aSystem, i, KeyOf(i));
      return !result.Is(503);
    });
    Require(result.Is(200) && result.mResponse.mBody == KeyOf(i), result.Describe());
    AwaitTrue("job accepted again", [&] {
      result = TrySubmitGang(aSystem, i, KeyOf(i), 100);
      return !result.Is(503);
    });
    Require(result.Is(202), result.Describe());
    const auto job = result.Body().at("job").get<std::string>();
    AwaitFinished(aSystem, i, job);
    RequireRanOnce(aSystem.ReadTrace(), job);
  }
  aSystem.ReadTrace().RequireNoRequestTwice();
}

void
RunOutage(LocalSystem& aSystem, const std::string& aFault)
{
  AwaitSettled(aSystem);
  const auto job = SubmitGang(aSystem, 0, "before", 6000);
  aSystem.AwaitConfirmedStart(job, kTasks);
  aSystem.SetKvServiceFaults({ { aFault, true } });
  RunIdempotentLoad(aSystem);
  RequireRefusals(aSystem);
  AwaitUnconfirmed(aSystem);
  RunIdempotentLoad(aSystem);
  RequireRefusals(aSystem);
  AwaitTrue("gang ended in the outage",
            [&] { return aSystem.ReadTrace().TaskEnds(job, "finished") == kTasks; });
  aSystem.SetKvServiceFaults({ { aFault, false } });
  AwaitFinished(aSystem, 1, job);
  for (int i = 0; i < aSystem.NodeCount(); ++i) {
    RequireAnswer(aSystem, i, job, "before");
  }
  RequireRanOnce(aSystem.ReadTrace(), job);
  RequireRunsAfterwards(aSystem);
}

} // namespace

// Guards against a system that stops with the key-value service, against work that is run although
// it was refused, and against answers that are lost because the gang ends in the outage.
Test(KvOutage, stops_only_what_needs_the_service_when_it_is_down)
{
  RunWithSystem({}, [](LocalSystem& aSystem) { RunOutage(aSystem, "down"); });
}

// The same with a service that accepts calls and never answers, so that only time-outs show it.
Test(KvOutage, stops_only_what_needs_the_service_when_it_hangs)
{
  RunWithSystem({}, [](LocalSystem& aSystem) { RunOutage(aSystem, "hang"); });
}
