#include "integration/LocalSystem.h"
#include "integration/RequestLoad.h"
#include "integration/TestFailure.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <csignal>

using namespace lovagerock;
using namespace lovagerock::integration;

namespace {

constexpr int kKillAfter = 100;

// Runs a load and kills node 0 once kKillAfter requests have ended.
std::vector<LoadedRequest>
RunWithKilledNode(LocalSystem& aSystem, const LoadOptions& aOptions)
{
  bool killed = false;
  RequestLoad load(aSystem, aOptions, [&](int aEnded) {
    if (!killed && aEnded >= kKillAfter) {
      killed = true;
      aSystem.NodeProcess(0).Kill();
    }
  });
  auto requests = load.Run();
  Require(killed, "the load ended before the kill");
  return requests;
}

} // namespace

// Guards against nodes that accept requests without a way to the workers.
Test(Requests, are_answered_through_each_node)
{
  RunWithSystem({}, [](LocalSystem& aSystem) {
    for (int i = 0; i < aSystem.NodeCount(); ++i) {
      const auto answer = "answer through node " + std::to_string(i);
      const auto result = aSystem.Caller().Post(
        aSystem.NodeAddress(i), "/v1/services/echo/requests", DumpJson({ { "answer", answer } }),
        { { "Authorization", std::string("Bearer ") + kToken } });
      Require(result.Is(200) && result.mResponse.mBody == answer, result.Describe());
      Require(result.mResponse.mHeaders.Has("Request-Id"), "no Request-Id");
    }
    aSystem.ReadTrace().RequireNoRequestTwice();
  });
}

// Guards against request ids that a restarted node gives again: a worker answers an id that it
// knows with the answer that it kept for it.
Test(Requests, get_their_own_answers_from_a_restarted_node)
{
  RunWithSystem({}, [](LocalSystem& aSystem) {
    const auto send = [&](const std::string& aAnswer) {
      const auto result = aSystem.Caller().Post(
        aSystem.NodeAddress(0), "/v1/services/echo/requests", DumpJson({ { "answer", aAnswer } }),
        { { "Authorization", std::string("Bearer ") + kToken } });
      Require(result.Is(200) && result.mResponse.mBody == aAnswer, result.Describe());
    };
    constexpr int kRequests = 40;
    for (int i = 0; i < kRequests; ++i) {
      send("before " + std::to_string(i));
    }
    aSystem.NodeProcess(0).Kill();
    aSystem.RestartNode(0);
    aSystem.AwaitReady(0);
    for (int i = 0; i < kRequests; ++i) {
      send("after " + std::to_string(i));
    }
  });
}

// As the first test, with fault proxies before the workers and the key-value service.
Test(Requests, are_answered_through_proxies)
{
  SystemOptions options;
  options.mProxyWorkers = true;
  options.mProxyKv = true;
  RunWithSystem(options, [](LocalSystem& aSystem) {
    LoadOptions load;
    load.mRequests = 60;
    RequestLoad requests(aSystem, load, [](int) {});
    for (const auto& it : requests.Run()) {
      RequireAnswered(it);
    }
    const auto trace = aSystem.ReadTrace();
    trace.RequireNoRequestTwice();
    Require(trace.RequestStarts().size() == 60, "starts don't match the requests");
  });
}

// Guards against lost or doubled non-idempotent requests when their node dies. A request whose
// call was lost with the node may end as "outcome_unknown"; any other must be answered.
Test(Requests, keyed_ones_run_at_most_once_when_a_node_is_killed)
{
  RunWithSystem({}, [](LocalSystem& aSystem) {
    const auto requests = RunWithKilledNode(aSystem, {});
    int unknown = 0;
    for (const auto& it : requests) {
      if (it.mLost > 0 && it.mResult.Is(409)) {
        Require(JsonValue<std::string>(it.mResult.Body(), "ran", "") == "unknown",
                it.mResult.Describe());
        ++unknown;
      } else {
        RequireAnswered(it);
      }
    }
    const auto trace = aSystem.ReadTrace();
    trace.RequireNoRequestTwice();
    const auto starts =
      static_cast<int>(std::count_if(trace.RequestStarts().begin(), trace.RequestStarts().end(),
                                     [](const auto& aEntry) { return aEntry.second > 0; }));
    const auto all = static_cast<int>(requests.size());
    // Each key runs under one request id, so more ids than keys would be a doubled key.
    Require(starts <= all && starts >= all - unknown, std::to_string(starts) + " starts for " +
                                                        std::to_string(all) + " keys, " +
                                                        std::to_string(unknown) + " unknown");
  });
}

// Guards against lost idempotent requests when their node dies: all are answered.
Test(Requests, idempotent_ones_are_all_answered_when_a_node_is_killed)
{
  RunWithSystem({}, [](LocalSystem& aSystem) {
    LoadOptions options;
    options.mIdempotent = true;
    for (const auto& it : RunWithKilledNode(aSystem, options)) {
      RequireAnswered(it);
    }
  });
}

// Guards against a planned stop that cuts requests in progress. The requests have no keys and are
// sent once: a lost call fails the test.
Test(Requests, none_is_cut_when_a_node_is_stopped)
{
  RunWithSystem({}, [](LocalSystem& aSystem) {
    LoadOptions options;
    options.mKeyed = false;
    options.mRunMs = 300;
    bool stopped = false;
    RequestLoad load(aSystem, options, [&](int aEnded) {
      if (!stopped && aEnded >= kKillAfter) {
        stopped = true;
        aSystem.NodeProcess(0).Signal(SIGTERM);
      }
    });
    for (const auto& it : load.Run()) {
      RequireAnswered(it);
    }
    Require(stopped, "the load ended before the stop");
    const int status = aSystem.NodeProcess(0).AwaitExit();
    Require(status == 0, "exit status " + std::to_string(status));
    const auto trace = aSystem.ReadTrace();
    trace.RequireNoRequestTwice();
    Require(static_cast<int>(trace.RequestStarts().size()) == options.mRequests,
            "starts don't match the requests");
  });
}
