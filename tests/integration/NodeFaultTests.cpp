#include "base/Hash.h"
#include "integration/Gangs.h"
#include "integration/LocalSystem.h"
#include "integration/TestFailure.h"
#include "integration/VersionWatch.h"

#include <criterion/criterion.h>

#include <chrono>
#include <future>
#include <thread>

using namespace lovagerock;
using namespace lovagerock::integration;

namespace {

constexpr const char* kGuestToken = "token-guest";

SystemOptions
WithPeerProxies()
{
  SystemOptions options;
  options.mProxyKv = true;
  options.mProxyPeers = true;
  return options;
}

// The configuration of Configuration() and an account "guest" that may use the service.
std::string
ConfigurationWithGuest()
{
  auto text = Configuration();
  const auto replace = [&text](const std::string& aOld, const std::string& aNew) {
    text.replace(text.find(aOld), aOld.size(), aNew);
  };
  replace("services:", "  - name: guest\n    token_sha256: \"" + Sha256Hex(kGuestToken) +
                         "\"\n    weight: 1\n    quota: {accelerators: 8, slots: 8}\n" +
                         "    guarantees: []\nservices:");
  replace("callers: [tester]", "callers: [tester, guest]");
  return text;
}

CallResult
SendAs(LocalSystem& aSystem, int aNode, const std::string& aToken)
{
  return aSystem.Caller().Post(aSystem.NodeAddress(aNode), "/v1/services/echo/requests",
                               DumpJson({ { "answer", "done" } }),
                               { { "Authorization", "Bearer " + aToken } });
}

bool
IsNotRun(const CallResult& aResult)
{
  return aResult.Is(503) && JsonValue<std::string>(aResult.Body(), "ran", "") == "no";
}

// Sends the guest's requests to the node until the change is 11 s old, and then until one is
// refused. A request that is sent after the 11 s must not be run.
void
RequireGuestRefused(LocalSystem& aSystem, int aNode)
{
  const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(11);
  bool late = false;
  while (!late) {
    late = std::chrono::steady_clock::now() >= limit;
    const auto starts = aSystem.ReadTrace().RequestStarts().size();
    const auto result = SendAs(aSystem, aNode, kGuestToken);
    Require(result.Is(200) || result.Is(401) || IsNotRun(result), result.Describe());
    Require(!late || !result.Is(200), "ran under the old configuration: " + result.Describe());
    Require(result.Is(200) || aSystem.ReadTrace().RequestStarts().size() == starts,
            "a refused request was run");
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
}

std::string
AnswerOf(int aKey)
{
  // Longer than a frame between nodes, so that an answer can be cut.
  constexpr std::size_t kBytes = 40000;
  std::string answer = "answer " + std::to_string(aKey) + " ";
  while (answer.size() < kBytes) {
    answer += answer;
  }
  return answer;
}

// The calls of kKeys non-idempotent requests, each through two nodes.
std::vector<http::ClientRequest>
KeyedCalls(LocalSystem& aSystem, int aKeys, int aRunMs)
{
  std::vector<http::ClientRequest> calls;
  for (int i = 0; i < 2 * aKeys; ++i) {
    const int key = i / 2;
    const int node = (key + i % 2) % aSystem.NodeCount();
    auto headers = JobHeaders("key-" + std::to_string(key));
    headers.Add("Idempotent", "false");
    calls.push_back(HttpCaller::MakePost(
      aSystem.NodeAddress(node), "/v1/services/echo/requests",
      DumpJson({ { "run_ms", aRunMs }, { "answer", AnswerOf(key) } }), headers));
  }
  return calls;
}

// Makes the calls, and again those that were refused as not run.
std::vector<CallResult>
CallUntilRun(const std::vector<http::ClientRequest>& aCalls)
{
  HttpCaller caller;
  auto results = caller.CallAll(aCalls);
  AwaitTrue("no call refused as not run", [&] {
    std::vector<std::size_t> refused;
    std::vector<http::ClientRequest> again;
    for (std::size_t i = 0; i < aCalls.size(); ++i) {
      if (IsNotRun(results[i])) {
        refused.push_back(i);
        again.push_back(aCalls[i]);
      }
    }
    const auto answers = again.empty() ? std::vector<CallResult>() : caller.CallAll(again);
    for (std::size_t i = 0; i < refused.size(); ++i) {
      results[refused[i]] = answers[i];
    }
    return refused.empty();
  });
  return results;
}

} // namespace

// Guards against nodes that wait for ever on a silent connection to another node, against a second
// run when the holder of a key can't be heard for a while, and against cut or foreign answers.
Test(SilentPeers, run_no_keyed_request_twice_and_lose_no_answer)
{
  auto options = WithPeerProxies();
  RunWithSystem(options, [](LocalSystem& aSystem) {
    constexpr int kKeys = 36;
    constexpr int kSilences = 3;
    constexpr std::size_t kStartsBetween = 9;
    const auto calls = KeyedCalls(aSystem, kKeys, 1000);
    auto load = std::async(std::launch::async, [&] { return CallUntilRun(calls); });
    for (int i = 1; i <= kSilences; ++i) {
      AwaitTrue("requests started", [&] {
        return aSystem.ReadTrace().RequestStarts().size() >=
               kStartsBetween * static_cast<std::size_t>(i);
      });
      aSystem.SetPeerFaults({ { "silence", "existing" } });
    }
    const auto results = load.get();
    for (std::size_t i = 0; i < results.size(); ++i) {
      Require(results[i].Is(200) && results[i].mResponse.mBody == AnswerOf(static_cast<int>(i) / 2),
              "call " + std::to_string(i) + ": " + results[i].Describe());
    }
    const auto trace = aSystem.ReadTrace();
    trace.RequireNoRequestTwice();
    // Each key runs under one request id, so more ids than keys would be a doubled key.
    Require(trace.RequestStarts().size() == kKeys, "starts don't match the keys");
  });
}

// Guards against a node that goes on under an old configuration when it hears neither the other
// nodes nor the key-value service, and against one that comes back with it.
Test(CutOffNode, runs_nothing_under_an_old_configuration)
{
  auto options = WithPeerProxies();
  options.mConfiguration = ConfigurationWithGuest();
  RunWithSystem(options, [](LocalSystem& aSystem) {
    constexpr int kCutOff = 2;
    VersionWatch watch(aSystem);
    AwaitTrue("guest served", [&] { return SendAs(aSystem, kCutOff, kGuestToken).Is(200); });
    aSystem.CutOffNode(kCutOff);
    AwaitTrue("change accepted", [&] {
      const auto result = aSystem.Caller().Post(
        aSystem.AdminAddress(0), "/v1/config/apply?base=1&change=second&operator=test",
        Configuration());
      return result.Is(200) || (result.Is(409) && result.Body().value("change", "") == "second");
    });
    RequireGuestRefused(aSystem, kCutOff);
    Require(IsNotRun(SendAs(aSystem, kCutOff, kToken)), "the cut-off node takes new work");
    for (int i = 0; i < kCutOff; ++i) {
      Require(SendAs(aSystem, i, kToken).Is(200), "the other nodes take no work");
      Require(SendAs(aSystem, i, kGuestToken).Is(401), "the change isn't in force");
    }
    Require(JsonValue(aSystem.ConfigInForce(kCutOff), "version", 0) == 1,
            "the node wasn't cut off");
    aSystem.HealNode(kCutOff);
    aSystem.AwaitInForce(2, "second");
    aSystem.AwaitReady(kCutOff);
    Require(SendAs(aSystem, kCutOff, kGuestToken).Is(401), "the guest came back");
    Require(SendAs(aSystem, kCutOff, kToken).Is(200), "the healed node takes no work");
    watch.Stop().RequireNeverFell();
  });
}
