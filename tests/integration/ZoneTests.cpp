#include "integration/Gangs.h"
#include "integration/TestFailure.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

using namespace lovagerock;
using namespace lovagerock::integration;

namespace {

constexpr int kZone = 0;

// Sends idempotent requests through the nodes outside the zone; each must be answered.
void
RequireServed(LocalSystem& aSystem)
{
  constexpr int kRequests = 24;
  std::vector<http::ClientRequest> calls;
  calls.reserve(kRequests);
  for (int i = 0; i < kRequests; ++i) {
    auto headers = JobHeaders();
    headers.Add("Idempotent", "true");
    calls.push_back(HttpCaller::MakePost(aSystem.NodeAddress(1 + i % 2),
                                         "/v1/services/echo/requests",
                                         DumpJson({ { "answer", std::to_string(i) } }), headers));
  }
  const auto results = aSystem.Caller().CallAll(calls);
  for (std::size_t i = 0; i < results.size(); ++i) {
    Require(results[i].Is(200) && results[i].mResponse.mBody == std::to_string(i),
            "request " + std::to_string(i) + ": " + results[i].Describe());
  }
}

} // namespace

// Guards against gangs of a zone that are run again or told as interrupted while their leases live,
// and against a cut zone that stops the work of the others.
Test(CutOffZone, keeps_its_gangs_and_does_not_stop_the_others)
{
  SystemOptions options;
  options.mProxyKv = true;
  options.mProxyPeers = true;
  options.mProxyWorkers = true;
  RunWithSystem(options, [](LocalSystem& aSystem) {
    constexpr int kGangs = 6;
    std::vector<std::string> inside;
    std::vector<std::string> outside;
    for (int i = 0; i < kGangs; ++i) {
      const auto job = SubmitGang(aSystem, 1, "gang-" + std::to_string(i), 10000);
      aSystem.AwaitConfirmedStart(job, kTasks);
      int zone = -1;
      AwaitTrue("placement", [&] { return (zone = aSystem.ZoneOfJob(1, job)) >= 0; });
      (zone == kZone ? inside : outside).push_back(job);
    }
    Require(!inside.empty() && !outside.empty(), "the gangs don't spread over the zones");
    aSystem.SetZoneFaults(kZone, { { "silence", "all" } });
    aSystem.CutOffNode(kZone);
    RequireServed(aSystem);
    outside.push_back(SubmitGang(aSystem, 2, "during", 500));
    for (const auto& it : outside) {
      AwaitFinished(aSystem, 1, it);
    }
    for (const auto& it : inside) {
      AwaitTrue("gang ended in the cut zone",
                [&] { return aSystem.ReadTrace().TaskEnds(it, "finished") == kTasks; });
    }
    aSystem.HealNode(kZone);
    aSystem.SetZoneFaults(kZone, { { "silence", "none" } });
    for (const auto& it : inside) {
      AwaitFinished(aSystem, 2, it);
    }
    aSystem.AwaitReady(kZone);
    const auto trace = aSystem.ReadTrace();
    for (const auto* jobs : { &inside, &outside }) {
      for (const auto& it : *jobs) {
        RequireRanOnce(trace, it);
      }
    }
    trace.RequireNoRequestTwice();
  });
}
