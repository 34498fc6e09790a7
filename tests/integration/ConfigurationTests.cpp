#include "integration/LocalSystem.h"
#include "integration/TestFailure.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <thread>

using namespace lovagerock;
using namespace lovagerock::integration;

namespace {

http::ClientRequest
ApplyRequest(LocalSystem& aSystem, int aNode, int aBase, const std::string& aChange, int aWeight)
{
  return HttpCaller::MakePost(aSystem.AdminAddress(aNode),
                              "/v1/config/apply?base=" + std::to_string(aBase) +
                                "&change=" + aChange + "&operator=test",
                              Configuration(aWeight));
}

// The versions in force, by node.
std::vector<int>
Versions(LocalSystem& aSystem)
{
  std::vector<int> versions;
  versions.reserve(static_cast<std::size_t>(aSystem.NodeCount()));
  for (int i = 0; i < aSystem.NodeCount(); ++i) {
    versions.push_back(JsonValue(aSystem.ConfigInForce(i), "version", -1));
  }
  return versions;
}

// Applies the change while the service loses the answer of the write and goes down after it.
CallResult
ApplyIntoOutage(LocalSystem& aSystem, const std::string& aChange)
{
  const auto dropped = [&aSystem] {
    return JsonValue(aSystem.Caller().Get(aSystem.KvAddress(), "/v1/stats").Body(), "dropped", 0);
  };
  const int before = dropped();
  aSystem.SetKvServiceFaults({ { "snapshot", true }, { "lose_answers", 1 } });
  const auto request = ApplyRequest(aSystem, 0, 1, aChange, 2);
  CallResult result;
  std::jthread apply([&result, &request] { result = HttpCaller().Call(request); });
  AwaitTrue(
    "answer lost", [&] { return dropped() > before; }, std::chrono::milliseconds(1));
  aSystem.SetKvServiceFaults({ { "down", true } });
  apply.join();
  return result;
}

// Applies a change on the base as soon as the nodes accept changes. Meanwhile no node may show a
// lower version than the base.
void
ApplyWithoutReverts(LocalSystem& aSystem, int aNode, int aBase, const std::string& aChange)
{
  AwaitTrue(aChange + " accepted", [&] {
    const auto result = aSystem.Caller().Call(ApplyRequest(aSystem, aNode, aBase, aChange, 3));
    for (const int it : Versions(aSystem)) {
      Require(it < 0 || it >= aBase, "version " + std::to_string(it) + " came back");
    }
    return result.Is(200);
  });
}

} // namespace

// Guards against a change that is in force on some nodes only or is taken back, when the service
// fails right after the write and is restored to an older state later.
Test(Configuration, never_goes_back_when_the_service_fails_after_the_write)
{
  RunWithSystem({}, [](LocalSystem& aSystem) {
    const auto result = ApplyIntoOutage(aSystem, "second");
    const bool unknown = JsonValue<std::string>(result.Body(), "error", "") == "outcome_unknown";
    const bool refused = JsonValue<std::string>(result.Body(), "applied", "") == "no";
    Require(result.Is(200) || (result.Is(504) && unknown) || (result.Is(503) && refused),
            "apply: " + result.Describe());
    if (result.Is(200)) {
      aSystem.AwaitInForce(2, "second");
    } else {
      for (const int it : Versions(aSystem)) {
        Require(it == 1 || it == -1, "in force on a node: " + result.Describe());
      }
    }
    aSystem.SetKvServiceFaults({ { "down", false } });
    if (refused) {
      // The promise "not applied" holds after the outage too.
      ApplyWithoutReverts(aSystem, 1, 1, "instead");
      aSystem.AwaitInForce(2, "instead");
    } else {
      aSystem.AwaitInForce(2, "second");
    }
    aSystem.SetKvServiceFaults({ { "restore", true } });
    ApplyWithoutReverts(aSystem, 2, 2, "third");
    aSystem.AwaitInForce(3, "third");
  });
}

// Guards against two changes that both count as accepted, and against nodes that follow the one
// that lost.
Test(Configuration, has_one_winner_when_operators_race)
{
  RunWithSystem({}, [](LocalSystem& aSystem) {
    constexpr int kRounds = 6;
    for (int base = 1; base <= kRounds; ++base) {
      const auto left = "left-" + std::to_string(base);
      const auto right = "right-" + std::to_string(base);
      const int node = base % aSystem.NodeCount();
      const int other = (base + 1) % aSystem.NodeCount();
      const auto results =
        aSystem.Caller().CallAll({ ApplyRequest(aSystem, node, base, left, 2 * base),
                                   ApplyRequest(aSystem, other, base, right, 2 * base + 1) });
      const bool leftWon = results[0].Is(200);
      const auto& winner = leftWon ? left : right;
      const auto& won = results[leftWon ? 0 : 1];
      const auto& lost = results[leftWon ? 1 : 0];
      Require(won.Is(200), "no winner: " + results[0].Describe() + ", " + results[1].Describe());
      Require(lost.Is(409) && JsonValue<std::string>(lost.Body(), "change", "") == winner,
              winner + " won, the other got " + lost.Describe());
      aSystem.AwaitInForce(base + 1, winner);
    }
  });
}
