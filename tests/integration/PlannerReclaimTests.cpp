#include "integration/Borrowing.h"
#include "integration/Gangs.h"
#include "integration/TestFailure.h"

#include <criterion/criterion.h>

#include <chrono>
#include <csignal>
#include <string>

using namespace lovagerock;
using namespace lovagerock::integration;

namespace {

enum class Moment
{
  // Right after the owner's demand was accepted.
  Demand,
  // When a worker has the command to stop the borrower's task.
  Stops
};

// Waits until all nodes see the same planner.
int
AwaitPlanner(LocalSystem& aSystem)
{
  int planner = -1;
  AwaitTrue("one planner", [&] {
    planner = aSystem.PlannerSeenBy(0);
    bool same = planner >= 0;
    for (int i = 1; same && i < aSystem.NodeCount(); ++i) {
      same = aSystem.PlannerSeenBy(i) == planner;
    }
    return same;
  });
  return planner;
}

void
StopNode(LocalSystem& aSystem, int aNode, int aSignal)
{
  aSystem.NodeProcess(aNode).Signal(aSignal);
  if (aSignal == SIGKILL) {
    Require(aSystem.NodeProcess(aNode).AwaitExit() == -SIGKILL, "the planner ended by itself");
  }
}

// Brings back the node that StopNode() stopped.
void
ResumeNode(LocalSystem& aSystem, int aNode, int aSignal)
{
  if (aSignal == SIGKILL) {
    aSystem.RestartNode(aNode);
  } else {
    aSystem.NodeProcess(aNode).Signal(SIGCONT);
  }
}

// The owner demands its shape while the guest holds part of it, and the signal stops the planner
// at the moment. Another planner must start the owner's gang. The old one comes back while that
// gang runs, and may neither stop it nor start anything twice.
void
Reclaim(LocalSystem& aSystem, const std::string& aName, Moment aMoment, int aSignal)
{
  const int planner = AwaitPlanner(aSystem);
  const int other = (planner + 1) % aSystem.NodeCount();
  const auto borrower = SubmitJob(
    aSystem, other, "borrower " + aName,
    GangOf(kBorrowed, false, { { "run_ms", 100000 }, { "ignore_stop", true } }), kGuestToken);
  aSystem.AwaitConfirmedStart(borrower, kBorrowed);
  const auto owner =
    SubmitJob(aSystem, other, "owner " + aName, GangOf(kOwned, true, { { "run_ms", 3000 } }));
  if (aMoment == Moment::Stops) {
    AwaitTrue(
      "stop commands", [&] { return aSystem.CountLeases(borrower, "stopping") > 0; },
      std::chrono::milliseconds(1));
  }
  StopNode(aSystem, planner, aSignal);
  // On a busy machine the planner may have started the owner's gang in part before the signal. Then
  // a second attempt is allowed.
  const bool startedBefore = aSystem.ReadTrace().TaskStarts(owner) > 0;
  AwaitTrue("another planner", [&] {
    const int now = aSystem.PlannerSeenBy(other);
    return now >= 0 && now != planner;
  });
  AwaitTrue("owner's gang running",
            [&] { return aSystem.ReadTrace().TaskStarts(owner) >= kOwned; });
  ResumeNode(aSystem, planner, aSignal);
  AwaitFinished(aSystem, other, owner);
  aSystem.AwaitReady(planner);
  // The guest gets its capacity back, also from the planner that came back.
  aSystem.AwaitConfirmedStart(borrower, kBorrowed);
  CancelJob(aSystem, other, borrower, kGuestToken);
  const auto trace = aSystem.ReadTrace();
  trace.RequireWithinCapacity(kAccelerators);
  trace.RequireAttemptsInOrder(owner);
  trace.RequireAttemptsApart(borrower);
  Require(trace.TaskStarts(borrower) > kBorrowed, "nothing was reclaimed");
  if (!startedBefore) {
    trace.RequireWholeGangs();
    Require(trace.TaskStarts(owner) == kOwned, "the owner's gang started more than once");
  }
}

void
RunReclaims(int aSignal)
{
  SystemOptions options;
  options.mConfiguration = OwnerAndGuest();
  RunWithSystem(options, [aSignal](LocalSystem& aSystem) {
    Reclaim(aSystem, "at the demand", Moment::Demand, aSignal);
    Reclaim(aSystem, "after the stops", Moment::Stops, aSignal);
  });
}

} // namespace

// Guards against a guaranteed shape that stays with its borrower, or is given to a part of the
// owner's gang, because the planner that reclaims it is killed.
Test(PlannerReclaim, gives_the_owner_its_shape_when_the_planner_is_killed)
{
  RunReclaims(SIGKILL);
}

// The same with a planner that is frozen and goes on with its reclaim while the owner's gang, which
// another planner started, runs.
Test(PlannerReclaim, gives_the_owner_its_shape_when_the_planner_is_frozen)
{
  RunReclaims(SIGSTOP);
}
