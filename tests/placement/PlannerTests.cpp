#include "base/Random.h"
#include "placement/ClusterFake.h"
#include "placement/GuaranteeAssigner.h"

#include <criterion/criterion.h>

#include <cstdio>

using namespace lovagerock;
using namespace lovagerock::placement;
using lovagerock::placement::tests::ClusterFake;
using lovagerock::placement::tests::RackGuarantee;

// Guards against accepting a configuration whose guarantees can't all be met at once.
Test(Guarantees, names_the_guarantee_that_does_not_fit)
{
  ClusterFake fake(16);
  fake.AddAccount("a", { RackGuarantee(8) });
  fake.AddAccount("b", { RackGuarantee(5) });
  cr_assert_not(
    FindUnpackableGuarantee(fake.mSnapshot.mWorkers, fake.mSnapshot.mAccounts).has_value());
  fake.AddAccount("c", { RackGuarantee(4) });
  const auto error = FindUnpackableGuarantee(fake.mSnapshot.mWorkers, fake.mSnapshot.mAccounts);
  cr_assert(error.has_value());
  cr_assert_eq(error->mAccount, AccountId("c"));
}

// Guards against moving copies of a guarantee whose workers are all usable.
Test(Guarantees, reassigns_only_the_copy_on_a_lost_worker)
{
  ClusterFake fake(24);
  fake.AddAccount("a", { RackGuarantee(6, 2) });
  fake.Step();
  const auto before = fake.mState.mAssignment;
  auto lost =
    std::ranges::find(fake.mSnapshot.mWorkers, before[0].mWorkers[0], &WorkerView::mWorker);
  lost->mHealth = WorkerHealth::Leaving;
  fake.Step();
  const auto& after = fake.mState.mAssignment;
  cr_assert_eq(after.size(), 2U);
  cr_assert(after[1].mWorkers == before[1].mWorkers);
  cr_assert(std::ranges::find(after[0].mWorkers, lost->mWorker) == after[0].mWorkers.end());
  cr_assert_eq(after[0].mWorkers[0], before[0].mWorkers[1], "the other workers stay");
}

// Guards against a copy bound to its zone that stays without capacity after a worker is lost,
// because single-worker copies of other accounts took the zone's spare rack.
Test(Guarantees, leave_room_in_a_named_zone_for_a_lost_worker)
{
  ClusterFake fake(32);
  auto bound = RackGuarantee(8);
  bound.mZone = ZoneId("zone0");
  fake.AddAccount("bound", { bound });
  fake.AddAccount("free", { { "single", 4, 1, Accelerators(8), Adjacency::Worker, std::nullopt } });
  for (int i = 0; i < 4; ++i) {
    fake.Submit("free", 1, 8, Adjacency::Worker);
  }
  fake.Step();
  const auto copy = [&] {
    return std::ranges::find(fake.mState.mAssignment, AccountId("bound"), &AssignedCopy::mAccount);
  };
  std::ranges::find(fake.mSnapshot.mWorkers, copy()->mWorkers[0], &WorkerView::mWorker)->mHealth =
    WorkerHealth::Leaving;
  const auto plan = fake.Step();
  cr_assert(plan.mUnassigned.empty());
  cr_assert(copy() != fake.mState.mAssignment.end());
}

// Guards against a guaranteed gang that waits for borrowers to end, and against reclaiming part of
// a gang.
Test(Reclaim, stops_the_cheapest_whole_borrowers_for_guaranteed_work)
{
  ClusterFake fake(8);
  fake.AddAccount("owner", { RackGuarantee(4) });
  fake.AddAccount("other");
  fake.Submit("other", 8, 8);
  fake.Step();
  const auto job = fake.Submit("owner", 4, 8, Adjacency::Rack).mJob;
  const auto plan = fake.Step();
  cr_assert_eq(fake.FindWaiting(plan, job)->mReason, WaitReason::WaitingForReclaim);
  cr_assert_eq(plan.mReclaims.size(), 1U);
  cr_assert_eq(plan.mReclaims[0].mForJob, job);
  fake.Step();
  cr_assert(fake.Runs(job));
  cr_assert_eq(fake.mClass[job], CapacityClass::Guaranteed);
}

// Guards against lending assigned capacity to work that can't be reclaimed.
Test(Reclaim, keeps_uninterruptible_work_off_capacity_assigned_to_others)
{
  ClusterFake fake(8);
  fake.AddAccount("owner", { RackGuarantee(6) });
  fake.AddAccount("other");
  auto& job = fake.Submit("other", 3, 8);
  job.mIdempotent = false;
  const auto id = job.mJob;
  cr_assert_eq(fake.FindWaiting(fake.Step(), id)->mReason, WaitReason::NoCapacityNow);
  auto& small = fake.Submit("other", 2, 8);
  small.mIdempotent = false;
  const auto smallId = small.mJob;
  fake.Step();
  cr_assert(fake.Runs(smallId), "capacity that is assigned to nobody is used");
}

// Guards against reclaims that are needed only because work borrowed assigned capacity while other
// capacity was free.
Test(Borrowing, uses_capacity_assigned_to_nobody_first)
{
  ClusterFake fake(16);
  fake.AddAccount("owner", { RackGuarantee(8) });
  fake.AddAccount("other");
  fake.Submit("other", 8, 8);
  fake.Step();
  const auto job = fake.Submit("owner", 8, 8, Adjacency::Rack).mJob;
  const auto plan = fake.Step();
  cr_assert(plan.mReclaims.empty());
  cr_assert(fake.Runs(job));
}

// Guards against one account taking all free capacity, and against a job at the head of its queue
// that keeps other accounts from starting.
Test(FairShare, divides_free_capacity_by_weight_past_blocked_queue_heads)
{
  ClusterFake fake(8);
  fake.AddAccount("a").mWeight = 3;
  fake.AddAccount("b");
  fake.Submit("a", 1, 8).mIdempotent = true;
  for (int i = 0; i < 20; ++i) {
    fake.Submit("a", 1, 4);
    fake.Submit("b", 1, 4);
  }
  fake.Step();
  const auto ofB = std::ranges::count_if(
    fake.mRunning, [](const auto& aJob) { return aJob.second.mAccount == AccountId("b"); });
  cr_assert(ofB >= 3 && ofB <= 5, "b is due a quarter of 16 places, got %d", static_cast<int>(ofB));
}

Test(FairShare, applies_quotas_and_refuses_what_exceeds_them_alone)
{
  ClusterFake fake(8);
  fake.AddAccount("a").mQuota = { Slots(0), Accelerators(16), Cores(0), MemoryMiB(0) };
  const auto first = fake.Submit("a", 1, 8).mJob;
  const auto second = fake.Submit("a", 2, 8).mJob;
  fake.Submit("a", 3, 8);
  const auto plan = fake.Step();
  cr_assert(fake.Runs(first));
  cr_assert_eq(fake.FindWaiting(plan, second)->mReason, WaitReason::OverQuota);
  cr_assert_eq(plan.mRefused.size(), 1U);
  cr_assert_eq(plan.mRefused[0].mReason, RefusalReason::LargerThanQuota);
}

// Guards against small jobs that starve a large job, and against backfill that overruns its
// estimate and delays the large job.
Test(Reservation, starts_the_large_job_and_reclaims_backfill_that_overruns)
{
  ClusterFake fake(8);
  fake.AddAccount("a");
  fake.AddAccount("b");
  std::vector<JobId> running;
  for (int i = 0; i < 8; ++i) {
    auto& job = fake.Submit("a", 1, 8);
    job.mEstimate = std::chrono::minutes(5);
    running.push_back(job.mJob);
  }
  fake.Step();
  const auto large = fake.Submit("b", 8, 8, Adjacency::Rack).mJob;
  fake.Step();
  fake.Finish(running[0]);
  auto& tooLong = fake.Submit("a", 1, 8);
  tooLong.mEstimate = std::chrono::hours(1);
  const auto tooLongId = tooLong.mJob;
  auto& backfill = fake.Submit("a", 1, 8);
  backfill.mEstimate = std::chrono::minutes(1);
  const auto backfillId = backfill.mJob;
  const auto plan = fake.Step();
  cr_assert_eq(fake.FindWaiting(plan, tooLongId)->mReason, WaitReason::ReservedForLargerJob);
  cr_assert(fake.Runs(backfillId));
  for (int i = 1; i < 8; ++i) {
    fake.Finish(running[i]);
  }
  fake.Step();
  fake.Step();
  cr_assert(fake.Runs(large));
}

// Guards against idle reserved capacity: a job that would end before the reservation starts was
// rejected for backfill because of another reservation whose workers it doesn't use.
Test(Reservation, backfill_counts_against_the_workers_it_uses)
{
  ClusterFake fake(8, 4);
  fake.AddAccount("a");
  fake.Submit("a", 3, 8, Adjacency::Rack).mEstimate = std::chrono::hours(10);
  fake.Step();
  fake.Submit("a", 3, 8, Adjacency::Rack).mEstimate = std::chrono::minutes(10);
  fake.Submit("a", 4, 8, Adjacency::Rack);
  fake.Submit("a", 4, 8, Adjacency::Rack);
  fake.Step();
  cr_assert_eq(fake.mState.mReservations.size(), 2U);
  auto& small = fake.Submit("a", 1, 8);
  small.mEstimate = std::chrono::minutes(30);
  const auto job = small.mJob;
  fake.Step();
  cr_assert(fake.Runs(job));
}

// Guards against a reservation that holds capacity for ever although it can't complete.
Test(Reservation, ends_when_its_capacity_can_not_be_freed)
{
  ClusterFake fake(8);
  fake.AddAccount("a");
  fake.AddAccount("b");
  const auto blocker = fake.Submit("b", 8, 4, Adjacency::Rack).mJob;
  fake.Step();
  fake.Submit("b", 8, 8, Adjacency::Rack);
  fake.Step();
  cr_assert_eq(fake.mState.mReservations.size(), 1U);
  const auto small = fake.Submit("a", 1, 4).mJob;
  fake.Step();
  cr_assert_not(fake.Runs(small));
  fake.mSnapshot.mNow += std::chrono::minutes(16);
  fake.Step();
  fake.Step();
  cr_assert(fake.Runs(small));
  cr_assert(fake.Runs(blocker));
}

// Guards against urgent work that waits while borrowers use all capacity.
Test(Urgent, goes_first_and_reclaims_from_accounts_with_a_higher_share)
{
  ClusterFake fake(4);
  fake.AddAccount("a");
  fake.AddAccount("b");
  for (int i = 0; i < 4; ++i) {
    fake.Submit("a", 1, 8);
  }
  fake.Step();
  fake.Submit("b", 1, 8);
  auto& job = fake.Submit("b", 1, 8);
  job.mUrgent = true;
  const auto id = job.mJob;
  const auto plan = fake.Step();
  cr_assert_eq(plan.mReclaims.size(), 1U);
  cr_assert_eq(plan.mReclaims[0].mReason, ReclaimReason::Urgent);
  fake.Step();
  cr_assert(fake.Runs(id));
}

// Guards against impossible jobs that wait forever, and against a planner that has just started and
// refuses jobs because it does not know all workers yet.
Test(Refusal, covers_impossible_shapes_only_when_all_workers_are_known)
{
  ClusterFake fake(8, 4);
  fake.AddAccount("a");
  const auto id = fake.Submit("a", 5, 8, Adjacency::Rack).mJob;
  fake.mSnapshot.mComplete = false;
  cr_assert_eq(fake.FindWaiting(fake.Step(), id)->mReason, WaitReason::NoCapacityNow);
  fake.mSnapshot.mComplete = true;
  const auto plan = fake.Step();
  cr_assert_eq(plan.mRefused.size(), 1U);
  cr_assert_eq(plan.mRefused[0].mReason, RefusalReason::CanNeverRun);
}

// Guards against a worker that fails every task and still gets work, and against a job that fails
// on every worker and is retried forever.
Test(Quarantine, doubles_and_ends_jobs_after_three_workers)
{
  PlannerState state;
  const WorkerId worker("w0");
  const TimePoint start;
  const auto fail = [&](int aRound, TimePoint aAt) {
    for (int i = 0; i < 3; ++i) {
      state.RecordFailure(worker, JobId(std::to_string(aRound * 3 + i)), Duration(100), aAt);
    }
  };
  state.RecordFailure(worker, JobId("same"), Duration(100), start);
  state.RecordFailure(worker, JobId("same"), Duration(100), start);
  cr_assert_eq(state.ConsecutiveFailures(worker), 1);
  state.RecordSuccess(worker);
  fail(0, start);
  cr_assert(state.IsQuarantined(worker, start + std::chrono::seconds(59)));
  cr_assert_not(state.IsQuarantined(worker, start + std::chrono::seconds(60)));
  fail(1, start);
  cr_assert(state.IsQuarantined(worker, start + std::chrono::seconds(119)));
  for (int i = 2; i < 12; ++i) {
    fail(i, start);
  }
  cr_assert_not(state.IsQuarantined(worker, start + std::chrono::hours(1)));

  ClusterFake fake(8);
  fake.AddAccount("a");
  fake.Submit("a", 1, 8).mFailedWorkers = { WorkerId("w0"), WorkerId("w1"), WorkerId("w2") };
  cr_assert_eq(fake.Step().mRefused[0].mReason, RefusalReason::FailedRepeatedly);
}

// Guards against new work on a leaving worker, and against a service that has fewer slots while its
// leases are moved.
Test(Leaving, moves_gangs_and_service_replicas)
{
  ClusterFake fake(4);
  fake.AddAccount("a");
  fake.mSnapshot.mServices.push_back({ ServiceId("s"), AccountId("a"), 8, Accelerators(1), true });
  const auto job = fake.Submit("a", 2, 4).mJob;
  fake.Step();
  for (auto& worker : fake.mSnapshot.mWorkers) {
    if (!worker.mLeases.empty()) {
      worker.mHealth = WorkerHealth::Leaving;
    }
  }
  for (int i = 0; i < 4; ++i) {
    fake.Step();
  }
  cr_assert(fake.Runs(job));
  std::int64_t slots = 0;
  for (const auto& worker : fake.mSnapshot.mWorkers) {
    cr_assert(worker.mHealth == WorkerHealth::Live || worker.mLeases.empty());
    for (const auto& it : worker.mLeases) {
      slots += it.mService.IsEmpty() ? 0 : it.mResources.mSlots.Value();
    }
  }
  cr_assert_eq(slots, 8);
}

// Guards against further reclaims for a job while the leases reclaimed for it are still stopping.
Test(Reclaim, does_not_repeat_while_leases_are_stopping)
{
  ClusterFake fake(8);
  fake.AddAccount("owner", { RackGuarantee(4) });
  fake.AddAccount("other");
  for (int i = 0; i < 8; ++i) {
    fake.Submit("other", 1, 8);
  }
  fake.Step();
  const auto job = fake.Submit("owner", 4, 8, Adjacency::Rack).mJob;
  const auto plan = ComputePlan(fake.mSnapshot, fake.mState);
  cr_assert_eq(plan.mReclaims.size(), 4U);
  for (auto& worker : fake.mSnapshot.mWorkers) {
    for (auto& lease : worker.mLeases) {
      if (std::ranges::find(plan.mReclaims, lease.mJob, &Reclaim::mJob) != plan.mReclaims.end()) {
        lease.mPhase = LeasePhase::Stopping;
      }
    }
  }
  for (int i = 0; i < 3; ++i) {
    const auto next = fake.Step();
    cr_assert(next.mReclaims.empty(), "neither the same borrower nor another one");
    cr_assert_eq(fake.FindWaiting(next, job)->mReason, WaitReason::WaitingForReclaim);
  }
}

// Guards against the reservation of a smaller job that reclaims a gang as if it were its backfill.
Test(Reservation, does_not_reclaim_a_gang_that_started_after_it)
{
  ClusterFake fake(16);
  fake.AddAccount("a");
  fake.AddAccount("b");
  const auto first = fake.Submit("a", 8, 8, Adjacency::Rack).mJob;
  const auto second = fake.Submit("a", 8, 8, Adjacency::Rack).mJob;
  fake.Step();
  fake.Submit("b", 1, 8);
  fake.Step();
  cr_assert_eq(fake.mState.mReservations.size(), 1U);
  const auto gang = fake.Submit("a", 8, 8, Adjacency::Rack).mJob;
  fake.Finish(first);
  fake.Finish(second);
  fake.Step();
  cr_assert(fake.Runs(gang));
  for (int i = 0; i < 20; ++i) {
    fake.mSnapshot.mNow += std::chrono::minutes(2);
    fake.Submit("b", 1, 8);
    fake.Step();
    cr_assert(fake.Runs(gang));
  }
}

// Guards against new work on a suspected worker, and against reclaiming its leases before their
// TTL.
Test(Suspected, workers_get_no_new_work_and_keep_their_leases)
{
  ClusterFake fake(2);
  fake.AddAccount("a");
  const auto running = fake.Submit("a", 1, 4).mJob;
  fake.Step();
  auto& workers = fake.mSnapshot.mWorkers;
  const auto used =
    std::ranges::find_if(workers, [](const auto& aWorker) { return !aWorker.mLeases.empty(); });
  used->mHealth = WorkerHealth::Suspected;
  const auto small = fake.Submit("a", 1, 4).mJob;
  const auto plan = fake.Step();
  cr_assert(plan.mReclaims.empty());
  cr_assert(fake.Runs(running) && fake.Runs(small));
  cr_assert_eq(used->mLeases.size(), 1U);
}

// Guards against losing or running a job whose account is not in the configuration.
Test(Refusal, job_of_an_unknown_account_waits)
{
  ClusterFake fake(2);
  const auto job = fake.Submit("nobody", 1, 4).mJob;
  const auto plan = fake.Step();
  cr_assert_eq(fake.FindWaiting(plan, job)->mReason, WaitReason::UnknownAccount);
  fake.AddAccount("nobody");
  fake.Step();
  cr_assert(fake.Runs(job));
}
