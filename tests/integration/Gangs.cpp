#include "integration/Gangs.h"

#include "integration/TestFailure.h"

namespace lovagerock::integration {

namespace detail {
namespace {

std::string
PartOf(const std::string& aKey, int aTask)
{
  return aKey + " part " + std::to_string(aTask);
}

} // namespace
} // namespace detail

http::Headers
JobHeaders(const std::string& aKey, const std::string& aToken)
{
  http::Headers headers{ { "Authorization", "Bearer " + aToken } };
  if (!aKey.empty()) {
    headers.Add("Idempotency-Key", aKey);
  }
  return headers;
}

http::ClientRequest
GangRequest(LocalSystem& aSystem, int aNode, const std::string& aKey, int aRunMs)
{
  Json payloads = Json::array();
  for (int i = 0; i < kTasks; ++i) {
    payloads.push_back({ { "run_ms", aRunMs }, { "answer", detail::PartOf(aKey, i) } });
  }
  const Json body{
    { "tasks", kTasks },        { "resources", { { "slots", 1 }, { "accelerators", 1 } } },
    { "adjacency", "zone" },    { "idempotent", false },
    { "estimated_ms", aRunMs }, { "payloads", payloads }
  };
  return HttpCaller::MakePost(aSystem.NodeAddress(aNode), "/v1/jobs", DumpJson(body),
                              JobHeaders(aKey));
}

CallResult
TrySubmitGang(LocalSystem& aSystem, int aNode, const std::string& aKey, int aRunMs)
{
  return aSystem.Caller().Call(GangRequest(aSystem, aNode, aKey, aRunMs));
}

std::string
SubmitGang(LocalSystem& aSystem, int aNode, const std::string& aKey, int aRunMs)
{
  const auto result = TrySubmitGang(aSystem, aNode, aKey, aRunMs);
  Require(result.Is(202), "submission: " + result.Describe());
  return result.Body().at("job").get<std::string>();
}

std::string
SubmitJob(LocalSystem& aSystem, int aNode, const std::string& aKey, const Json& aBody,
          const std::string& aToken)
{
  const auto result = aSystem.Caller().Post(aSystem.NodeAddress(aNode), "/v1/jobs", DumpJson(aBody),
                                            JobHeaders(aKey, aToken));
  Require(result.Is(202), "submission: " + result.Describe());
  return result.Body().at("job").get<std::string>();
}

void
AwaitFinished(LocalSystem& aSystem, int aNode, const std::string& aJob, const std::string& aToken)
{
  AwaitTrue("job " + aJob + " finished", [&] {
    const auto result =
      aSystem.Caller().Get(aSystem.NodeAddress(aNode), "/v1/jobs/" + aJob, JobHeaders("", aToken));
    const auto state = JsonValue<std::string>(result.Body(), "state", "");
    Require(state != "failed" && state != "interrupted" && state != "cancelled",
            "job ended: " + result.Describe());
    return state == "finished";
  });
}

void
CancelJob(LocalSystem& aSystem, int aNode, const std::string& aJob, const std::string& aToken)
{
  auto request = HttpCaller::MakePost(aSystem.NodeAddress(aNode), "/v1/jobs/" + aJob, "",
                                      JobHeaders("", aToken));
  request.mMethod = http::Method::Delete;
  // A change of the record at the same time refuses the call.
  AwaitTrue("job " + aJob + " cancelled", [&] { return aSystem.Caller().Call(request).Is(202); });
  AwaitTrue("job " + aJob + " ended", [&] {
    const auto result =
      aSystem.Caller().Get(aSystem.NodeAddress(aNode), "/v1/jobs/" + aJob, JobHeaders("", aToken));
    return JsonValue<std::string>(result.Body(), "state", "") == "cancelled";
  });
}

void
RequireAnswer(LocalSystem& aSystem, int aNode, const std::string& aJob, const std::string& aKey)
{
  for (int i = 0; i < kTasks; ++i) {
    const auto result =
      aSystem.Caller().Get(aSystem.NodeAddress(aNode),
                           "/v1/jobs/" + aJob + "/answer?task=" + std::to_string(i), JobHeaders());
    Require(result.Is(200) && result.mResponse.mBody == detail::PartOf(aKey, i), result.Describe());
  }
}

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

} // namespace lovagerock::integration
