#include "integration/Borrowing.h"
#include "integration/Gangs.h"
#include "integration/TestFailure.h"

#include <criterion/criterion.h>

using namespace lovagerock;
using namespace lovagerock::integration;

// Guards against a borrower that keeps guaranteed capacity by ignoring the stop, against a gang
// that is reclaimed in part, and against starts on capacity that isn't free yet.
Test(Reclaim, takes_a_gang_that_ignores_the_stop_whole)
{
  SystemOptions options;
  options.mConfiguration = OwnerAndGuest();
  RunWithSystem(options, [](LocalSystem& aSystem) {
    const auto borrower = SubmitJob(
      aSystem, 0, "borrower",
      GangOf(kBorrowed, false, { { "run_ms", 8000 }, { "ignore_stop", true } }), kGuestToken);
    aSystem.AwaitConfirmedStart(borrower, kBorrowed);
    const auto owner = SubmitJob(aSystem, 1, "owner", GangOf(kOwned, true, { { "run_ms", 1000 } }));
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
