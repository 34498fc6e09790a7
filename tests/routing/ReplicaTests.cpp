#include "routing/RoutingFixture.h"

using namespace lovagerock;
using namespace lovagerock::routing;

namespace {

struct ReplicaFixture
{
  RoutingTable mTable;
  Random mRandom{ 1 };
  ReplicaPicker mPicker{ mTable, ZoneId("z1"), mRandom };
  ServiceId mService{ "s" };
  TimePoint mNow{ std::chrono::seconds(100) };

  static workers::WorkerState State(int aWorker, int aSlots, const char* aZone = "z1")
  {
    workers::WorkerState state;
    state.mWorker = WorkerId("w" + std::to_string(aWorker));
    state.mIncarnation = "1";
    state.mZone = ZoneId(aZone);
    state.mConnections = 8;
    workers::LeaseState lease;
    lease.mLease = LeaseId("l" + std::to_string(aWorker));
    lease.mKind = workers::LeaseKind::Service;
    lease.mPhase = workers::LeasePhase::Running;
    lease.mResources.mSlots = Slots(aSlots);
    lease.mService = ServiceId("s");
    state.mLeases.push_back(lease);
    return state;
  }
  void Add(const workers::WorkerState& aState) { mTable.Update(aState, {}, false); }
  ReplicaPtr Pick(bool aIdempotent = true) { return mPicker.Pick(mService, aIdempotent, {}, mNow); }
  int CountPicks()
  {
    int n = 0;
    while (const auto replica = Pick()) {
      ReplicaPicker::Reserve(*replica);
      ++n;
    }
    return n;
  }
};

} // namespace

Test(Replica, stays_within_slots_and_the_share_of_connections)
{
  ReplicaFixture r;
  r.Add(ReplicaFixture::State(1, 4));
  cr_assert_eq(r.CountPicks(), 4);
  r.Add(ReplicaFixture::State(2, 20));
  r.mTable.SetLiveNodes(4);
  cr_assert_eq(r.CountPicks(), 2);
}

// Guards against losing the count of requests in progress when a worker reports its state again.
Test(Replica, keeps_its_request_count_across_an_update)
{
  ReplicaFixture r;
  r.Add(ReplicaFixture::State(1, 4));
  r.CountPicks();
  r.Add(ReplicaFixture::State(1, 4));
  cr_assert_not(r.Pick());
  auto restarted = ReplicaFixture::State(1, 4);
  restarted.mIncarnation = "2";
  r.Add(restarted);
  cr_assert_eq(r.CountPicks(), 4);
}

// Guards against a reclaimed lease that stops a request which can't be run again.
Test(Replica, is_not_used_for_non_idempotent_requests_if_reclaimable)
{
  ReplicaFixture r;
  r.Add(ReplicaFixture::State(1, 4));
  cr_assert_not(r.Pick(false));
  cr_assert(r.Pick(true));
}

Test(Replica, is_picked_from_the_own_zone_on_a_tie)
{
  ReplicaFixture r;
  r.Add(ReplicaFixture::State(1, 4, "z2"));
  r.Add(ReplicaFixture::State(2, 4, "z1"));
  for (int i = 0; i < 20; ++i) {
    cr_assert_eq(r.Pick()->mHost->mWorker, WorkerId("w2"));
  }
}

// Guards against ejecting all workers when the cause of the failures isn't the workers.
Test(Replica, is_ejected_after_failures_up_to_half_of_the_workers)
{
  ReplicaFixture r;
  for (int i = 1; i <= 3; ++i) {
    r.Add(ReplicaFixture::State(i, 4));
  }
  int ejected = 0;
  for (const auto& it : r.mTable.Replicas(r.mService)) {
    for (int i = 0; i < 5; ++i) {
      ejected += r.mPicker.RecordOutcome(*it->mHost, false, r.mNow) ? 1 : 0;
    }
  }
  cr_assert_eq(ejected, 1);
  cr_assert_eq(r.CountPicks(), 8);
  r.mNow += Duration(5001);
  cr_assert_eq(r.CountPicks(), 4);
}
