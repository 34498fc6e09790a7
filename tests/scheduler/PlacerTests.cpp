#include "scheduler/Placer.h"

#include <criterion/criterion.h>

#include <string>

using namespace lovagerock;
using namespace lovagerock::scheduler;

namespace {

const TimePoint kNow(Duration(10000));

// A worker with 8 accelerators on which tasks may be started.
Worker
UsableWorker(const std::string& aId)
{
  Worker worker;
  worker.mEntry.mId = WorkerId(aId);
  worker.mEntry.mService = ServiceId("service");
  worker.mEntry.mRack = RackId("r0");
  worker.mEntry.mCapacity = { MilliCores(64000), MemoryMiB(131072), Accelerators(8) };
  worker.mRecorded = true;
  worker.mHasAnswered = true;
  worker.mLeaseExpiry = kNow + Duration(1000);
  return worker;
}

RoomReport
RoomForOneTask(const Fleet& aFleet)
{
  StepSpec step;
  step.mCount = 1;
  step.mDemand = { MilliCores(1000), MemoryMiB(1000), Accelerators(8) };
  PlacementRequest request;
  request.mService = ServiceId("service");
  request.mStep = &step;
  return Placer(aFleet, kNow).Room(request);
}

} // namespace

// Guards against a log line that can't tell work that waits because no worker is left from work
// that waits because the workers don't answer or are avoided.
Test(Placer, counts_registered_workers_that_may_not_be_chosen)
{
  Fleet fleet;
  for (const auto* id : { "usable", "silent", "avoided", "draining", "left", "other" }) {
    fleet[WorkerId(id)] = UsableWorker(id);
  }
  fleet[WorkerId("silent")].mHasAnswered = false;
  fleet[WorkerId("avoided")].mAvoidUntil = kNow + Duration(1);
  fleet[WorkerId("draining")].mEntry.mDraining = true;
  fleet[WorkerId("left")].mRegistered = false;
  fleet[WorkerId("other")].mEntry.mService = ServiceId("other");
  const auto room = RoomForOneTask(fleet);
  cr_assert_eq(room.mRegistered, 3);
  cr_assert_eq(room.mWorkers, 1);
}

Test(Placer, counts_no_registered_workers_when_all_have_left)
{
  Fleet fleet;
  fleet[WorkerId("left")] = UsableWorker("left");
  fleet[WorkerId("left")].mRegistered = false;
  cr_assert_eq(RoomForOneTask(fleet).mRegistered, 0);
}

namespace {

// A worker with a run that occupies some of its 8 accelerators.
struct PlacerFixture
{
  explicit PlacerFixture(int aUsed)
  {
    auto& worker = mFleet[mWorkerId] = UsableWorker(mWorkerId.Value());
    PlacedRun run;
    run.mRun = { { JobId("job"), 0, 0, 0 }, 1 };
    run.mDemand = Demand(aUsed);
    worker.Add(run);
  }

  static Capacity Demand(int aAccelerators)
  {
    return { MilliCores(1000), MemoryMiB(1000), Accelerators(aAccelerators) };
  }

  // A request for one task.
  PlacementRequest Request(int aAccelerators)
  {
    mStep.mCount = 1;
    mStep.mDemand = Demand(aAccelerators);
    PlacementRequest request;
    request.mService = ServiceId("service");
    request.mStep = &mStep;
    return request;
  }

  static int Gather(Placer& aPlacer, const PlacementRequest& aRequest)
  {
    return aPlacer.Gather(
      aRequest, [](const PlacedRun&) { return true; }, true);
  }

  const WorkerId mWorkerId{ "w" };
  Fleet mFleet;
  StepSpec mStep;
};

} // namespace

// Guards against a start on a worker that is still occupied by the run that is evicted for it,
// because a gang has gathered there in the meantime.
Test(Placer, keeps_count_of_occupied_room_that_is_reserved_when_a_gang_gathers)
{
  PlacerFixture f(8);
  f.mFleet[WorkerId("idle")] = UsableWorker("idle");
  Placer placer(f.mFleet, kNow);
  placer.Reserve(f.mWorkerId, f.Demand(8));
  auto gang = f.Request(8);
  gang.mCount = 2;
  cr_assert_neq(f.Gather(placer, gang), 0);
  placer.Release(f.mWorkerId, f.Demand(8));
  cr_assert_not(placer.Place(f.Request(8)).has_value());
}

// Guards against two steps for which the same run is evicted, so that neither finds room when it
// has ended.
Test(Placer, reserves_evicted_room_once_where_a_gang_has_gathered)
{
  PlacerFixture f(4);
  Placer placer(f.mFleet, kNow);
  cr_assert_neq(f.Gather(placer, f.Request(8)), 0);
  placer.Reserve(f.mWorkerId, f.Demand(4));
  f.mFleet.at(f.mWorkerId).mRuns.front().mPhase = RunPhase::Stopping;
  const auto plan = placer.Evict(f.Request(4), [](const PlacedRun&) { return std::nullopt; });
  cr_assert_not(plan.has_value());
}

// The same if a step has passed the gang since.
Test(Placer, reserves_evicted_room_once_where_a_gang_was_passed)
{
  PlacerFixture f(2);
  Placer placer(f.mFleet, kNow);
  cr_assert_neq(f.Gather(placer, f.Request(8)), 0);
  placer.Reserve(f.mWorkerId, f.Demand(2));
  placer.Occupy(f.mWorkerId, f.Demand(4));
  auto passing = f.Request(1);
  passing.mMayPassGangs = true;
  cr_assert_not(placer.Place(passing).has_value(), "the gathered room is used up");
  f.mFleet.at(f.mWorkerId).mRuns.front().mPhase = RunPhase::Stopping;
  const auto plan = placer.Evict(f.Request(2), [](const PlacedRun&) { return std::nullopt; });
  cr_assert_not(plan.has_value());
}
