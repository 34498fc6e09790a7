#include "base/Hash.h"
#include "integration/Gangs.h"
#include "integration/TestFailure.h"

#include <criterion/criterion.h>

using namespace lovagerock;
using namespace lovagerock::integration;

namespace {

constexpr const char* kGuestToken = "token-guest";
constexpr int kAccelerators = 8;
constexpr int kBorrowed = 16;
// Together with kBorrowed more than the 72 accelerators of the system.
constexpr int kOwned = 64;

// All accelerators are guaranteed to the owner; the guest can only borrow.
std::string
OwnerAndGuest()
{
  return R"(format: 1
deployment: local
weights: {completion_time: 0.5, fragmentation: 0.5}
accounts:
  - name: tester
    token_sha256: ")" +
         Sha256Hex(kToken) + R"("
    weight: 1
    quota: {accelerators: 200, slots: 200}
    guarantees:
      - {name: main, count: 9, workers: 1, accelerators_per_worker: 8, adjacency: worker}
  - name: guest
    token_sha256: ")" +
         Sha256Hex(kGuestToken) + R"("
    weight: 1
    quota: {accelerators: 200, slots: 200}
    guarantees: []
services: []
)";
}

Json
Gang(int aTasks, bool aUrgent, const Json& aPayload)
{
  return { { "tasks", aTasks },       { "resources", { { "slots", 1 }, { "accelerators", 1 } } },
           { "adjacency", "region" }, { "idempotent", true },
           { "urgent", aUrgent },     { "estimated_ms", 8000 },
           { "payload", aPayload } };
}

} // namespace

// Guards against a borrower that keeps guaranteed capacity by ignoring the stop, against a gang
// that is reclaimed in part, and against starts on capacity that isn't free yet.
Test(Reclaim, takes_a_gang_that_ignores_the_stop_whole)
{
  SystemOptions options;
  options.mConfiguration = OwnerAndGuest();
  RunWithSystem(options, [](LocalSystem& aSystem) {
    const auto borrower = SubmitJob(
      aSystem, 0, "borrower",
      Gang(kBorrowed, false, { { "run_ms", 8000 }, { "ignore_stop", true } }), kGuestToken);
    aSystem.AwaitConfirmedStart(borrower, kBorrowed);
    const auto owner = SubmitJob(aSystem, 1, "owner", Gang(kOwned, true, { { "run_ms", 1000 } }));
    AwaitFinished(aSystem, 2, owner);
    AwaitFinished(aSystem, 2, borrower, kGuestToken);
    const auto trace = aSystem.ReadTrace();
    trace.RequireWholeGangs();
    trace.RequireWithinCapacity(kAccelerators);
    trace.RequireAttemptsInOrder(owner);
    trace.RequireAttemptsInOrder(borrower);
    Require(trace.TaskStarts(owner) == kOwned, "the owner's gang started more than once");
    Require(trace.TaskStarts(borrower) > kBorrowed, "nothing was reclaimed");
    Require(trace.TaskEnds(borrower, "finished") == kBorrowed,
            "parts of the borrower's gang went on");
  });
}
