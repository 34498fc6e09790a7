#include "SchedulerFixture.h"

using namespace lovagerock;
using namespace lovagerock::scheduler;

Test(Scheduler, starts_all_members_of_a_gang_with_one_run_number)
{
  SchedulerFixture f;
  f.AddWorkers(4);
  f.Submit(f.Job("j", { f.Gang(4, 8) }));
  const auto orders = f.Plan();
  cr_assert_eq(orders.mStarts.size(), 4);
  for (const auto& it : orders.mStarts) {
    cr_assert_eq(it.mRun.mRun, 1);
    cr_assert_eq(it.mPayload, std::string("payload"));
  }
}

// Guards against gang members that occupy accelerators while they wait for the other members.
Test(Scheduler, starts_no_member_of_a_gang_that_does_not_fit)
{
  SchedulerFixture f;
  f.AddWorkers(4);
  f.Submit(f.Job("small", { f.Step(1, 1) }));
  f.Plan();
  f.Submit(f.Job("j", { f.Gang(4, 8) }));
  cr_assert(f.Plan().mStarts.empty());
}

Test(Scheduler, keeps_a_rack_local_gang_in_one_rack)
{
  SchedulerFixture f;
  f.AddWorkers(6);
  f.Submit(f.Job("small", { f.Step(1, 4) }));
  f.Plan();
  auto gang = f.Gang(2, 8);
  gang.mRackLocal = true;
  f.Submit(f.Job("j", { gang }));
  const auto orders = f.Plan();
  cr_assert_eq(orders.mStarts.size(), 2);
  cr_assert_eq(f.Racks(orders).size(), 1);
}

// Guards against a rack-local gang that waits forever because it is larger than any rack.
Test(Scheduler, spreads_a_rack_local_gang_that_no_rack_can_hold)
{
  SchedulerFixture f;
  f.AddWorkers(6);
  auto gang = f.Gang(3, 8);
  gang.mRackLocal = true;
  f.Submit(f.Job("j", { gang }));
  cr_assert_eq(f.Plan().mStarts.size(), 3);
}

Test(Scheduler, keeps_tasks_in_the_rack_of_their_data)
{
  SchedulerFixture f;
  f.AddWorkers(6);
  auto step = f.Step(3, 2);
  step.mPreferredRack = RackId("r2");
  f.Submit(f.Job("j", { step }));
  const auto orders = f.Plan();
  cr_assert_eq(f.Racks(orders), std::set{ RackId("r2") });
}

Test(Scheduler, starts_a_step_once_all_earlier_ones_are_done)
{
  SchedulerFixture f;
  f.AddWorkers(2);
  auto second = f.Step(1, 1);
  second.mAfter = { 0 };
  f.Submit(f.Job("j", { f.Step(2, 1), second }));
  const auto first = f.Plan();
  cr_assert_eq(first.mStarts.size(), 2);
  f.EndRun(first.mStarts[0].mRun, RunEnd::Done);
  f.RenewAllLeases();
  cr_assert(f.Plan().mStarts.empty());
  f.EndRun(first.mStarts[1].mRun, RunEnd::Done);
  f.RenewAllLeases();
  const auto then = f.Plan();
  cr_assert_eq(then.mStarts.size(), 1);
  f.EndRun(then.mStarts[0].mRun, RunEnd::Done);
  f.RenewAllLeases();
  cr_assert(f.State("j") == JobState::Completed);
}

Test(Scheduler, keeps_at_most_the_allowed_tasks_of_a_step_on_a_worker)
{
  SchedulerFixture f;
  f.AddWorkers(3);
  auto step = f.Step(8, 1);
  step.mMaxPerWorker = 2;
  f.Submit(f.Job("j", { step }));
  const auto orders = f.Plan();
  cr_assert_eq(orders.mStarts.size(), 6);
  std::map<WorkerId, int> perWorker;
  for (const auto& it : orders.mStarts) {
    cr_assert_leq(++perWorker[it.mWorker], 2);
  }
}

Test(Scheduler, starts_on_workers_with_the_required_label_only)
{
  SchedulerFixture f;
  f.AddWorkers(3);
  f.mWorkers.at(WorkerId("w1")).mEntry.mLabels = { "b", "r0" };
  f.mScheduler->OnWorkerEntry(f.mWorkers.at(WorkerId("w1")).mEntry, f.mNow);
  auto step = f.Step(12, 1);
  step.mRequiredLabel = "b";
  f.Submit(f.Job("j", { step }));
  const auto orders = f.Plan();
  cr_assert_eq(orders.mStarts.size(), 8);
  for (const auto& it : orders.mStarts) {
    cr_assert_eq(it.mWorker, WorkerId("w1"));
  }
}

Test(Scheduler, evicts_lower_priority_runs_for_urgent_work)
{
  SchedulerFixture f;
  f.AddWorkers(2);
  f.Submit(f.Job("batch", { f.Step(16, 1) }, 2));
  cr_assert_eq(f.Plan().mStarts.size(), 16);
  f.Submit(f.Job("urgent", { f.Gang(1, 8) }, 0));
  f.Plan();
  f.RenewAllLeases();
  const auto orders = f.Plan();
  cr_assert_eq(orders.mStarts.size(), 1);
  cr_assert_eq(orders.mStarts[0].mRun.mTask.mJob, JobId("urgent"));
  cr_assert_eq(f.mScheduler->Counts().mEvictions, 8);
}

// A large and two small tasks share a worker, and an urgent task needs the resources of the large
// one. Guards against also stopping the small tasks, which cost less but free too little.
Test(Scheduler, evicts_no_run_whose_resources_do_not_help)
{
  SchedulerFixture f;
  f.AddWorkers(1);
  f.Submit(f.Job("large", { f.Step(1, 6) }, 2));
  f.Plan();
  f.AdvanceTime(Duration(1000));
  f.Submit(f.Job("small", { f.Step(2, 1) }, 2));
  cr_assert_eq(f.Plan().mStarts.size(), 2);
  f.Submit(f.Job("urgent", { f.Gang(1, 6) }, 0));
  const auto stops = f.Plan().mStops;
  cr_assert_eq(stops.size(), 1);
  cr_assert_eq(stops[0].mRun.mTask.mJob, JobId("large"));
}

Test(Scheduler, evicts_no_run_of_the_same_priority)
{
  SchedulerFixture f;
  f.AddWorkers(1);
  f.Submit(f.Job("first", { f.Step(8, 1) }, 0));
  f.Plan();
  f.Submit(f.Job("second", { f.Step(1, 8) }, 0));
  cr_assert(f.Plan().mStops.empty());
}

// Guards against an account that can't use its guaranteed accelerators because urgent work of
// another account, above that account's own guarantee, occupies them.
Test(Scheduler, reclaims_guaranteed_accelerators_from_urgent_work_above_its_share)
{
  SchedulerFixture f;
  f.AddWorkers(1);
  f.mScheduler->SetGuarantees({ { AccountId("account"), Accelerators(4) } });
  auto borrower = f.Job("borrower", { f.Step(8, 1) }, 0);
  borrower.mAccount = AccountId("other");
  f.Submit(borrower);
  f.Plan();
  f.Submit(f.Job("owner", { f.Gang(1, 4) }, 0));
  f.Plan();
  f.RenewAllLeases();
  const auto orders = f.Plan();
  cr_assert_geq(orders.mStarts.size(), 1);
  cr_assert_eq(orders.mStarts[0].mRun.mTask.mJob, JobId("owner"));
}

// Small tasks arrive as fast as others end, and a gang needs two whole workers. Guards against
// starvation of the gang by small tasks that take all resources as soon as they become free.
Test(Scheduler, gathers_capacity_for_a_gang_despite_a_stream_of_small_tasks)
{
  SchedulerFixture f;
  f.AddWorkers(4);
  f.Submit(f.Job("first", { f.Step(32, 1) }, 2));
  f.Plan();
  f.Submit(f.Job("gang", { f.Gang(2, 8) }, 1));
  f.Plan();
  f.AdvanceTime(f.mSettings.mGatherAfter);
  constexpr int kRounds = 32;
  for (int i = 0; i < kRounds && f.State("gang") == JobState::Queued; ++i) {
    f.Submit(f.Job("small" + std::to_string(i), { f.Step(1, 1) }, 2));
    f.EndRun(f.Running().front(), RunEnd::Done);
    f.RenewAllLeases();
    f.Plan();
    f.RenewAllLeases();
  }
  cr_assert(f.State("gang") == JobState::InProgress);
}

namespace {

// A job of one lasting task for each worker, on one accelerator.
AcceptedJob
OneLastingTaskPerWorker(SchedulerFixture& aFixture)
{
  auto lasting = aFixture.Step(static_cast<int>(aFixture.mWorkers.size()), 1);
  lasting.mLongRunning = true;
  lasting.mMaxPerWorker = 1;
  return aFixture.Job("lasting", { lasting }, 1);
}

} // namespace

// Guards against gangs that keep all free resources for good, because they only fit once tasks end
// that last, while small jobs that would fit never begin.
Test(Scheduler, gathers_nothing_for_gangs_that_do_not_fit_beside_lasting_tasks)
{
  SchedulerFixture f;
  f.AddWorkers(4);
  f.Submit(OneLastingTaskPerWorker(f));
  f.Plan();
  f.Submit(f.Job("gang1", { f.Gang(2, 8) }, 1));
  f.Submit(f.Job("gang2", { f.Gang(2, 8) }, 1));
  f.AdvanceTime(f.mSettings.mGatherAfter);
  f.Plan();
  f.Submit(f.Job("small", { f.Step(1, 1) }, 2));
  f.Plan();
  cr_assert(f.State("small") == JobState::InProgress);
}

// The same after a takeover: the next scheduler learns of the lasting runs from the workers.
Test(Scheduler, gathers_nothing_beside_lasting_tasks_that_it_adopted)
{
  SchedulerFixture f;
  f.AddWorkers(4);
  f.Submit(OneLastingTaskPerWorker(f));
  f.Plan();
  f.Submit(f.Job("gang", { f.Gang(4, 8) }, 1));
  f.TakeOver(f.StoreProgress());
  f.RenewAllLeases();
  f.Plan();
  f.AdvanceTime(f.mSettings.mGatherAfter);
  f.Plan();
  f.Submit(f.Job("small", { f.Step(1, 1) }, 2));
  f.Plan();
  cr_assert(f.State("small") == JobState::InProgress);
}

// Guards against gangs that can't be completed in the place of one that can: only a few may gather
// at a time.
Test(Scheduler, gathers_for_a_gang_behind_others_that_do_not_fit)
{
  SchedulerFixture f;
  f.AddWorkers(4);
  f.Submit(OneLastingTaskPerWorker(f));
  f.Plan();
  f.Submit(f.Job("first", { f.Step(28, 1) }, 2));
  f.Plan();
  f.Submit(f.Job("gang1", { f.Gang(2, 8) }, 1));
  f.Submit(f.Job("gang2", { f.Gang(2, 8) }, 1));
  f.Submit(f.Job("gang3", { f.Gang(2, 7) }, 1));
  f.AdvanceTime(f.mSettings.mGatherAfter);
  f.Plan();
  constexpr int kRounds = 32;
  for (int i = 0; i < kRounds && f.State("gang3") == JobState::Queued; ++i) {
    f.Submit(f.Job("small" + std::to_string(i), { f.Step(1, 1) }, 2));
    const auto runs = f.Running();
    const auto it = std::find_if(runs.begin(), runs.end(), [](const auto& aRun) {
      return aRun.mTask.mJob != JobId("lasting");
    });
    cr_assert(it != runs.end());
    f.EndRun(*it, RunEnd::Done);
    f.RenewAllLeases();
    f.Plan();
    f.RenewAllLeases();
  }
  cr_assert(f.State("gang3") == JobState::InProgress);
}

// Guards against a small job that waits for as long as a gang waits for runs that go on and on.
Test(Scheduler, lets_small_jobs_pass_after_a_gang_has_gathered_in_vain)
{
  SchedulerFixture f;
  f.AddWorkers(4);
  auto runs = f.Step(4, 1);
  runs.mMaxPerWorker = 1;
  f.Submit(f.Job("first", { runs }, 1));
  f.Plan();
  f.Submit(f.Job("gang", { f.Gang(4, 8) }, 1));
  f.AdvanceTime(f.mSettings.mGatherAfter);
  f.Plan();
  f.Submit(f.Job("small", { f.Step(1, 1) }, 2));
  f.Plan();
  cr_assert(f.State("small") == JobState::Queued, "nothing was gathered");
  f.AdvanceTime(f.mSettings.mGatherTurn);
  f.Plan();
  cr_assert(f.State("small") == JobState::InProgress);
  // The gang gathers again.
  f.AdvanceTime(f.mSettings.mGatherPause);
  f.Plan();
  f.Submit(f.Job("next", { f.Step(1, 1) }, 2));
  f.Plan();
  cr_assert(f.State("next") == JobState::Queued);
}

// Guards against jobs that have nothing running for many seconds although most of their service is
// idle, because gangs keep the room that they fit into for themselves.
Test(Scheduler, lets_a_job_pass_gangs_that_gather_while_most_of_the_service_is_idle)
{
  SchedulerFixture f;
  f.AddWorkers(4);
  auto runs = f.Step(4, 1);
  runs.mMaxPerWorker = 1;
  f.Submit(f.Job("first", { runs }, 1));
  f.Plan();
  f.Submit(f.Job("gang", { f.Gang(4, 8) }, 1));
  f.AdvanceTime(f.mSettings.mGatherAfter);
  f.Plan();
  f.Submit(f.Job("small", { f.Step(5, 1) }, 2));
  f.Submit(f.Job("pair", { f.Gang(2, 7) }, 2));
  f.Plan();
  cr_assert(f.State("small") == JobState::Queued);
  cr_assert(f.State("pair") == JobState::Queued);
  f.AdvanceTime(f.mSettings.mMaxIdleBesideRoom);
  f.Plan();
  cr_assert(f.State("small") == JobState::InProgress);
  cr_assert(f.State("pair") == JobState::InProgress);
  cr_assert_eq(f.Running().size(), 4 + 1 + 2, "more than one task of a job has passed");
}

namespace {

// Two racks of two workers, of which runs occupy accelerators on one each; and a gang that fits
// into one rack, but not beside these.
struct BrokenRacksFixture : SchedulerFixture
{
  explicit BrokenRacksFixture(int aOccupied)
  {
    AddWorkers(4);
    for (const auto* rack : { "r0", "r1" }) {
      auto run = Step(1, aOccupied);
      run.mPreferredRack = RackId(rack);
      Submit(Job(std::string("run-") + rack, { run }));
      Plan();
    }
    auto gang = Gang(2, 8);
    gang.mRackLocal = true;
    Submit(Job("gang", { gang }));
    Plan();
    cr_assert(State("gang") == JobState::Queued);
    AdvanceTime(mSettings.mMaxIdleBesideRoom);
  }
};

} // namespace

// Guards against gangs that have nothing running for many seconds although most of their service is
// idle, because each rack has a run in the way.
Test(Scheduler, starts_a_gang_in_several_racks_while_most_of_the_service_is_idle)
{
  BrokenRacksFixture f(1);
  f.Plan();
  cr_assert(f.State("gang") == JobState::InProgress);
}

// Guards against racks of which each has a few tasks, so that a gang which prefers one rack fits
// into none.
Test(Scheduler, leaves_racks_free_for_gangs)
{
  SchedulerFixture f;
  f.AddWorkers(8);
  auto first = f.Step(1, 8);
  first.mPreferredRack = RackId("r2");
  f.Submit(f.Job("first", { first }));
  f.Plan();
  f.Submit(f.Job("second", { f.Step(1, 8) }));
  const auto orders = f.Plan();
  cr_assert_eq(orders.mStarts.size(), 1);
  cr_assert_eq(*f.Racks(orders).begin(), RackId("r2"));
}

// Guards against a gang that prefers one rack and waits for it for many seconds, while the other
// racks together have room for it twice over and half of the service or more is in use.
Test(Scheduler, starts_a_gang_in_several_racks_if_it_fits_there_twice_over)
{
  SchedulerFixture f;
  f.AddWorkers(8);
  for (const auto* rack : { "r0", "r1", "r2", "r3" }) {
    auto run = f.Step(1, 8);
    run.mPreferredRack = RackId(rack);
    f.Submit(f.Job(std::string("run-") + rack, { run }));
    f.Plan();
  }
  auto gang = f.Gang(2, 8);
  gang.mRackLocal = true;
  f.Submit(f.Job("gang", { gang }));
  f.Plan();
  f.AdvanceTime(f.mSettings.mMaxIdleBesideRoom - Duration(1));
  f.Plan();
  cr_assert(f.State("gang") == JobState::Queued, "the gang gave up its preference too early");
  f.AdvanceTime(Duration(1));
  f.Plan();
  cr_assert(f.State("gang") == JobState::InProgress);
}

// The other side: guards against slow runs in several racks where waiting for one is worth it.
Test(Scheduler, starts_a_gang_in_one_rack_while_most_of_the_service_is_in_use)
{
  BrokenRacksFixture f(8);
  f.Plan();
  cr_assert(f.State("gang") == JobState::Queued);
  const auto run = f.Running().front();
  f.EndRun(run, RunEnd::Done);
  f.RenewAllLeases();
  const auto orders = f.Plan();
  cr_assert(f.State("gang") == JobState::InProgress);
  cr_assert_eq(f.Racks(orders).size(), 1);
}

namespace {

// Four workers with four free accelerators each, and more than half of the cores in use. A gang
// that needs all workers has begun to gather these.
struct GatheringFixture : SchedulerFixture
{
  explicit GatheringFixture(int aPriority = 1)
  {
    mSettings.mGuaranteedGatherTime = 2 * mSettings.mGuaranteedGatherTime;
    Restart();
    if (aPriority == 0) {
      mScheduler->SetGuarantees({ { AccountId("account"), Accelerators(48) } });
    }
    AddWorkers(4);
    auto runs = Step(4, 4);
    runs.mMaxPerWorker = 1;
    runs.mDemand.mCpu = MilliCores(100000);
    Submit(Job("first", { runs }, aPriority));
    Plan();
    Submit(Job("gang", { Gang(4, 8) }, aPriority));
    mGangSubmitted = mNow.mSteady;
    AdvanceTime(mSettings.mGatherAfter);
    Plan();
  }

  TimePoint mGangSubmitted;
};

} // namespace

// Guards against jobs that wait for as long as gangs gather, beside room for them many times over,
// because half of the service or more is in use.
Test(Scheduler, lets_a_job_pass_gangs_that_gather_beside_room_for_it_twice_over)
{
  GatheringFixture f;
  f.Submit(f.Job("small", { f.Step(3, 1) }, 2));
  f.Submit(f.Job("pair", { f.Gang(2, 3) }, 2));
  f.Plan();
  cr_assert(f.State("small") == JobState::Queued);
  cr_assert(f.State("pair") == JobState::Queued);
  f.AdvanceTime(f.mSettings.mMaxIdleBesideRoom);
  f.Plan();
  cr_assert(f.State("small") == JobState::InProgress);
  cr_assert(f.State("pair") == JobState::InProgress);
  cr_assert_eq(f.Running().size(), 4 + 1 + 2, "more than one task of a job has passed");
}

// Guards against a job that waits anew each time that a worker refuses a start, so that nothing of
// it runs for as long as workers do so.
Test(Scheduler, counts_a_refused_start_as_idle_time)
{
  GatheringFixture f;
  f.Submit(f.Job("small", { f.Step(1, 1) }, 2));
  f.AdvanceTime(f.mSettings.mMaxIdleBesideRoom);
  const auto refused = f.mScheduler->Plan(f.mNow).mStarts.at(0);
  f.mScheduler->OnStartOutcome(refused.mWorker, refused.mRun, OrderOutcome::TooLate, WorkerClock(),
                               f.mNow);
  cr_assert_eq(f.Plan().mStarts.size(), 1);
}

// Guards against a task that waits beside room for many, because only one of its step may run on
// the only worker with its label.
Test(Scheduler, counts_room_twice_over_on_a_worker_that_takes_one_task_of_a_step)
{
  GatheringFixture f;
  auto& worker = f.mWorkers.at(WorkerId("w1"));
  worker.mEntry.mLabels.emplace_back("single");
  f.mScheduler->OnWorkerEntry(worker.mEntry, f.mNow);
  auto step = f.Step(1, 1);
  step.mMaxPerWorker = 1;
  step.mRequiredLabel = "single";
  f.Submit(f.Job("small", { step }, 2));
  f.AdvanceTime(f.mSettings.mMaxIdleBesideRoom);
  f.Plan();
  cr_assert(f.State("small") == JobState::InProgress);
}

// Guards against a job that passes gangs right after a run that failed before its start was
// answered.
Test(Scheduler, counts_idle_time_from_the_end_of_a_run_whose_start_was_not_answered)
{
  GatheringFixture f;
  f.Submit(f.Job("small", { f.Step(1, 1) }, 2));
  f.AdvanceTime(f.mSettings.mMaxIdleBesideRoom);
  const auto start = f.mScheduler->Plan(f.mNow).mStarts.at(0);
  f.mWorkers.at(start.mWorker).mRunning.push_back({ start.mRun, "", 0 });
  f.EndRun(start.mRun, RunEnd::Failed);
  f.RenewLease(start.mWorker);
  cr_assert(f.Plan().mStarts.empty(), "the job has passed a gang");
}

// Guards against tasks that last and wait for as long as gangs gather, because another task of
// their step runs.
Test(Scheduler, lets_each_task_that_lasts_pass_gangs_beside_room_for_it_twice_over)
{
  GatheringFixture f;
  // The gang still fits beside them, so it goes on gathering.
  auto step = f.Step(2, 0);
  step.mLongRunning = true;
  f.Submit(f.Job("lasting", { step }, 2));
  f.AdvanceTime(f.mSettings.mMaxIdleBesideRoom);
  cr_assert_eq(f.Plan().mStarts.size(), 1);
  cr_assert_eq(f.Plan().mStarts.size(), 1);
}

// Guards against a job that passes gangs as soon as its only run is told to stop, because the time
// counts from when the step was ready.
Test(Scheduler, counts_no_idle_time_while_a_run_is_being_stopped)
{
  GatheringFixture f;
  f.Submit(f.Job("small", { f.Step(2, 1) }, 2));
  f.AdvanceTime(f.mSettings.mMaxIdleBesideRoom);
  const auto passed = f.Plan();
  cr_assert_eq(passed.mStarts.size(), 1);
  auto urgent = f.Step(2, 4);
  urgent.mMaxPerWorker = 1;
  urgent.mRequiredLabel = f.Racks(passed).begin()->Value();
  f.Submit(f.Job("urgent", { urgent }, 0));
  const auto orders = f.mScheduler->Plan(f.mNow);
  cr_assert_eq(orders.mStops.size(), 1);
  cr_assert_eq(orders.mStops.front().mRun.mTask.mJob, JobId("small"));
  const bool hasPassed =
    std::any_of(orders.mStarts.begin(), orders.mStarts.end(),
                [](const auto& aIt) { return aIt.mRun.mTask.mJob == JobId("small"); });
  cr_assert_not(hasPassed, "the other task has passed a gang");
}

// The other side: guards against gangs that never get the room that small jobs take again and
// again.
Test(Scheduler, lets_no_job_pass_gangs_that_gather_if_it_fits_only_once)
{
  GatheringFixture f;
  f.Submit(f.Job("small", { f.Gang(3, 4) }, 2));
  f.AdvanceTime(f.mSettings.mMaxIdleBesideRoom);
  f.Plan();
  cr_assert(f.State("small") == JobState::Queued);
}

// Guards against jobs that wait for as long as a guaranteed gang gathers, and, on the other side,
// against guaranteed gangs that small jobs keep waiting from the start.
Test(Scheduler, lets_a_job_pass_a_guaranteed_gang_only_after_a_while)
{
  GatheringFixture f(0);
  f.Submit(f.Job("small", { f.Step(1, 1) }, 2));
  constexpr Duration kStep{ 500 };
  while (f.mNow.mSteady - f.mGangSubmitted < f.mSettings.mGuaranteedGatherTime) {
    f.Plan();
    cr_assert(f.State("small") == JobState::Queued, "the guaranteed gang was passed too early");
    f.AdvanceTime(kStep);
  }
  f.Plan();
  cr_assert(f.State("small") == JobState::InProgress);
}

// Guards against a gang that never starts because its turns are shorter than the runs that it waits
// for. These take all slots, end one after the other, and others wait for each slot.
Test(Scheduler, gathers_longer_each_time_until_a_gang_fits)
{
  SchedulerFixture f;
  f.AddWorkers(4);
  constexpr Duration kStep{ 500 };
  const auto runTime = 3 * f.mSettings.mGatherTurn / 2;
  f.Submit(f.Job("first", { f.Step(32, 1) }, 2));
  f.Plan();
  std::map<RunRef, TimePoint> ends;
  // Each worker has eight runs, which follow one another in the list.
  int number = 0;
  for (const auto& it : f.Running()) {
    ends[it] = f.mNow.mSteady + runTime * (number++ % 8 + 1) / 8;
  }
  f.Submit(f.Job("gang", { f.Gang(2, 8) }, 1));
  constexpr int kRounds = 200;
  for (int i = 0; i < kRounds && f.State("gang") == JobState::Queued; ++i) {
    f.Submit(f.Job("next" + std::to_string(i), { f.Step(4, 1) }, 2));
    for (const auto& it : f.Running()) {
      const auto end = ends.try_emplace(it, f.mNow.mSteady + runTime).first->second;
      if (f.mNow.mSteady >= end) {
        f.EndRun(it, RunEnd::Done);
      }
    }
    f.AdvanceTime(kStep);
    f.Plan();
  }
  cr_assert(f.State("gang") == JobState::InProgress);
}

// Guards against resources that were freed by evictions for one job and are taken by another one.
Test(Scheduler, reserves_evicted_resources_for_the_urgent_job)
{
  SchedulerFixture f;
  f.AddWorkers(1);
  f.Submit(f.Job("batch", { f.Step(8, 1) }, 2));
  f.Plan();
  f.Submit(f.Job("urgent", { f.Gang(1, 8) }, 0));
  const auto stops = f.mScheduler->Plan(f.mNow).mStops;
  cr_assert_eq(stops.size(), 8);
  f.EndRun(stops[0].mRun, RunEnd::Stopped);
  f.RenewAllLeases();
  cr_assert(f.mScheduler->Plan(f.mNow).mStarts.empty(),
            "an evicted task was restarted on the resources freed for the urgent job");
}

Test(Scheduler, opens_each_repetition_when_it_is_due)
{
  SchedulerFixture f;
  f.AddWorkers(1);
  auto job = f.Job("j", { f.Step(1, 1) });
  job.mSpec.mRepetitions = 2;
  job.mSpec.mFirstRunMs = f.mNow.mWallMs + 1000;
  job.mSpec.mInterval = Duration(2000);
  f.Submit(job);
  cr_assert(f.Plan().mStarts.empty());
  f.AdvanceTime(Duration(1000));
  const auto first = f.Plan();
  cr_assert_eq(first.mStarts.size(), 1);
  cr_assert_eq(first.mStarts[0].mRun.mTask.mOccurrence, 0);
  f.EndRun(first.mStarts[0].mRun, RunEnd::Done);
  f.AdvanceTime(Duration(2000));
  const auto second = f.Plan();
  cr_assert_eq(second.mStarts.size(), 1);
  cr_assert_eq(second.mStarts[0].mRun.mTask.mOccurrence, 1);
  f.EndRun(second.mStarts[0].mRun, RunEnd::Done);
  f.RenewAllLeases();
  cr_assert(f.State("j") == JobState::Completed);
}

// Guards against a delay of urgent work that fits into no rack: the resources that are freed for it
// in several racks must be used as soon as they are free.
Test(Scheduler, starts_a_spread_gang_as_soon_as_its_resources_are_free)
{
  SchedulerFixture f;
  f.AddWorkers(4);
  f.Submit(f.Job("borrowing", { f.Step(4, 8) }, 2));
  cr_assert_eq(f.Plan().mStarts.size(), 4);
  auto gang = f.Gang(3, 8);
  gang.mRackLocal = true;
  f.Submit(f.Job("urgent", { gang }, 0));
  cr_assert_eq(f.Plan().mStops.size(), 3);
  f.RenewAllLeases();
  std::size_t started = 0;
  for (const auto& it : f.Plan().mStarts) {
    started += it.mRun.mTask.mJob == JobId("urgent") ? 1 : 0;
  }
  cr_assert_eq(started, 3);
}

namespace {

// Renews all leases after each of aTimes steps of 500 ms, in which the runs on the slow workers
// progress by 5 percent and the others by 20.
void
Progress(SchedulerFixture& aFixture, const std::set<WorkerId>& aSlow, int aTimes)
{
  constexpr Duration kStep{ 500 };
  for (int i = 0; i < aTimes; ++i) {
    for (auto& [id, worker] : aFixture.mWorkers) {
      worker.mClock += kStep.count();
      for (auto& run : worker.mRunning) {
        run.mPercent += aSlow.contains(id) ? 5 : 20;
      }
    }
    aFixture.AdvanceTime(kStep);
  }
}

} // namespace

// Answers the load of a burst of gangs while some workers run several times slower: a gang lasts as
// long as its slowest member, so one slow worker among its five delays it as much as five.
Test(Scheduler, prefers_workers_whose_runs_progress_as_fast_as_others)
{
  SchedulerFixture f;
  f.AddWorkers(6);
  const std::set<WorkerId> slow{ WorkerId("w0"), WorkerId("w1") };
  auto batch = f.Step(6, 4);
  batch.mMaxPerWorker = 1;
  f.Submit(f.Job("batch", { batch }, 2));
  cr_assert_eq(f.Plan().mStarts.size(), 6);
  Progress(f, slow, 4);
  f.Submit(f.Job("urgent", { f.Gang(4, 4) }, 0));
  const auto starts = f.Plan().mStarts;
  cr_assert_eq(starts.size(), 4);
  for (const auto& it : starts) {
    cr_assert_not(slow.contains(it.mWorker), "a slow worker was chosen");
  }
}

// Guards against sound workers that are left idle for ever because they were slow once.
Test(Scheduler, uses_a_worker_again_some_time_after_it_was_slow)
{
  SchedulerFixture f;
  f.AddWorkers(4);
  f.Submit(f.Job("batch", { f.Step(4, 8) }, 2));
  f.Plan();
  Progress(f, { WorkerId("w0") }, 4);
  const auto& condition = f.mScheduler->Workers().at(WorkerId("w0")).mCondition;
  cr_assert(condition.IsSlow(f.mNow.mSteady));
  f.mNow.mSteady += f.mSettings.mDoubtTime;
  cr_assert_not(condition.IsSlow(f.mNow.mSteady));
}

// Guards against taking all workers for slow because a job's tasks last longer than estimated.
Test(Scheduler, does_not_take_a_worker_for_slow_because_of_a_rough_estimate)
{
  SchedulerFixture f;
  f.AddWorkers(4);
  auto step = f.Step(4, 8);
  step.mEstimate = Duration(200);
  f.Submit(f.Job("batch", { step }, 2));
  f.Plan();
  Progress(f, {}, 4);
  for (const auto& [id, worker] : f.mScheduler->Workers()) {
    cr_assert_not(worker.mCondition.IsSlow(f.mNow.mSteady));
  }
}

// Answers the load of failing workers that still count as healthy: they end their runs early, so
// they have room before others have, and a job's last attempt fails where its first one did.
Test(Scheduler, makes_the_last_attempt_of_a_job_where_no_run_has_failed)
{
  SchedulerFixture f;
  f.AddWorkers(3);
  const WorkerId failing("w0");
  f.Submit(f.Job("other", { f.Step(3, 6) }));
  for (const auto& it : f.Plan().mStarts) {
    if (it.mWorker == failing) {
      f.EndRun(it.mRun, RunEnd::Failed);
    }
  }
  f.RenewAllLeases();
  f.mScheduler->CancelJob(JobId("other"), f.mNow);
  f.Plan();
  f.RenewAllLeases();
  auto job = f.Job("j", { f.Step(1, 8) });
  f.Submit(job);
  const auto first = f.Plan().mStarts.at(0);
  cr_assert_neq(first.mWorker, failing, "a sound worker is free");
  f.EndRun(first.mRun, RunEnd::Failed);
  f.RenewAllLeases();
  // Only the failing worker has room.
  const auto last = *std::find_if(f.mWorkers.begin(), f.mWorkers.end(), [&](const auto& aIt) {
    return aIt.first != failing && aIt.first != first.mWorker;
  });
  auto block = f.Step(1, 8);
  block.mPreferredRack = last.second.mEntry.mRack;
  block.mRequiredLabel = last.second.mEntry.mRack.Value();
  f.Submit(f.Job("a", { block }, 0));
  const auto starts = f.Plan().mStarts;
  for (const auto& it : starts) {
    cr_assert(it.mRun.mTask.mJob != JobId("j") || it.mWorker == last.first,
              "the last attempt was made on a failing worker");
  }
}

// Guards against a late job of which a single run was lost, and which waits for that one task
// behind all newer work although the results of the other tasks are there.
Test(Scheduler, finishes_a_step_that_is_mostly_done_before_it_starts_newer_jobs)
{
  SchedulerFixture f;
  f.AddWorkers(1);
  f.Submit(f.Job("late", { f.Step(4, 1) }));
  const auto runs = f.Plan().mStarts;
  cr_assert_eq(runs.size(), 4);
  f.AdvanceTime(Duration(6000));
  for (int i = 0; i < 3; ++i) {
    f.EndRun(runs[i].mRun, RunEnd::Done);
  }
  f.EndRun(runs[3].mRun, RunEnd::LeaseExpired);
  f.RenewAllLeases();
  f.Submit(f.Job("new", { f.Step(1, 8) }));
  const auto starts = f.Plan().mStarts;
  cr_assert_eq(starts.size(), 1);
  cr_assert(starts[0].mRun.mTask.mJob == JobId("late"));
}

// Guards against late jobs that take the place of those that can still meet their objectives.
Test(Scheduler, starts_jobs_that_can_meet_their_objectives_before_late_ones)
{
  SchedulerFixture f;
  f.AddWorkers(1);
  f.Submit(f.Job("late", { f.Step(4, 1) }));
  const auto runs = f.Plan().mStarts;
  f.AdvanceTime(Duration(6000));
  f.EndRun(runs[0].mRun, RunEnd::Done);
  for (int i = 1; i < 4; ++i) {
    f.EndRun(runs[i].mRun, RunEnd::LeaseExpired);
  }
  f.RenewAllLeases();
  f.Submit(f.Job("new", { f.Step(1, 8) }));
  const auto starts = f.Plan().mStarts;
  cr_assert_eq(starts.size(), 1);
  cr_assert(starts[0].mRun.mTask.mJob == JobId("new"));
}

namespace {

// Guaranteed jobs on two racks of two workers with 8 accelerators each.
class TwoRacksFixture : public SchedulerFixture
{
public:
  TwoRacksFixture()
  {
    AddWorkers(4);
    mScheduler->SetGuarantees({ { AccountId("account"), Accelerators(32) } });
  }

  // Starts a guaranteed task in the rack.
  void Occupy(const std::string& aJob, int aAccelerators, const RackId& aRack)
  {
    auto step = Step(1, aAccelerators);
    step.mPreferredRack = aRack;
    Submit(Job(aJob, { step }, 0));
    cr_assert_eq(Plan().mStarts.size(), 1);
    RenewAllLeases();
  }

  void SubmitGang()
  {
    auto gang = Gang(2, 8);
    gang.mRackLocal = true;
    Submit(Job("gang", { gang }, 0));
  }
};

} // namespace

// Guards against a guaranteed gang that waits although enough accelerators are free, because
// guaranteed runs of other jobs occupy a part of each rack.
Test(Scheduler, moves_a_guaranteed_run_so_that_a_guaranteed_gang_finds_a_rack)
{
  TwoRacksFixture f;
  f.Occupy("a", 4, RackId("r0"));
  f.Occupy("b", 4, RackId("r1"));
  f.SubmitGang();
  cr_assert(f.Plan().mStops.empty(), "a run may end soon");
  f.AdvanceTime(f.mSettings.mGatherAfter);
  cr_assert_eq(f.Plan().mStops.size(), 1);
  f.RenewAllLeases();
  f.Plan();
  cr_assert(f.State("gang") == JobState::InProgress);
  cr_assert_eq(f.Running().size(), 4, "the moved run wasn't started again");
}

// Guards against a guaranteed gang that gives up its room: its account has been promised it.
Test(Scheduler, gathers_for_a_guaranteed_gang_without_pauses)
{
  TwoRacksFixture f;
  f.mScheduler->SetGuarantees({ { AccountId("account"), Accelerators(64) } });
  f.Occupy("a", 4, RackId("r0"));
  f.Occupy("b", 8, RackId("r0"));
  f.Occupy("c", 8, RackId("r1"));
  f.Occupy("d", 8, RackId("r1"));
  f.SubmitGang();
  f.AdvanceTime(f.mSettings.mGatherAfter);
  f.Plan();
  f.AdvanceTime(f.mSettings.mGatherTurn);
  f.Submit(f.Job("small", { f.Step(1, 1) }, 2));
  f.Plan();
  cr_assert(f.State("gang") == JobState::Queued);
  cr_assert(f.State("small") == JobState::Queued);
}

// Guards against taking the room of a guaranteed job for that of another one.
Test(Scheduler, moves_no_guaranteed_run_that_fits_nowhere_else)
{
  TwoRacksFixture f;
  f.Occupy("a", 4, RackId("r0"));
  f.Occupy("b", 8, RackId("r1"));
  f.Occupy("c", 8, RackId("r1"));
  f.SubmitGang();
  f.AdvanceTime(f.mSettings.mGatherAfter);
  cr_assert(f.Plan().mStops.empty());
}

// The same with a gang that occupies a part of the only rack that is large enough.
Test(Scheduler, moves_a_whole_guaranteed_gang_so_that_another_finds_a_rack)
{
  TwoRacksFixture f;
  f.AddWorkers(1);
  auto& single = f.mWorkers.at(WorkerId("w4")).mEntry;
  cr_assert_eq(single.mRack, RackId("r2"));
  auto pair = f.Gang(2, 4);
  pair.mPreferredRack = RackId("r0");
  f.Submit(f.Job("pair", { pair }, 0));
  f.Plan();
  f.RenewAllLeases();
  auto fixed = f.Step(1, 4);
  fixed.mPreferredRack = RackId("r1");
  fixed.mLongRunning = true;
  f.Submit(f.Job("fixed", { fixed }, 0));
  f.Plan();
  f.RenewAllLeases();
  f.SubmitGang();
  f.AdvanceTime(f.mSettings.mGatherAfter);
  cr_assert_eq(f.Plan().mStops.size(), 2);
  f.RenewAllLeases();
  f.Plan();
  cr_assert(f.State("gang") == JobState::InProgress);
  cr_assert_eq(f.Running().size(), 5, "the moved gang wasn't started again");
}

// Guards against two guaranteed steps that move each other again and again.
Test(Scheduler, moves_no_guaranteed_run_for_a_step_that_has_begun)
{
  TwoRacksFixture f;
  f.Occupy("a", 4, RackId("r0"));
  f.SubmitGang();
  const auto gang = f.Plan().mStarts;
  cr_assert_eq(gang.size(), 2);
  f.RenewAllLeases();
  f.Occupy("b", 8, RackId("r0"));
  f.EndRun(gang[0].mRun, RunEnd::LeaseExpired);
  f.RenewAllLeases();
  f.Occupy("c", 4, f.mWorkers.at(gang[0].mWorker).mEntry.mRack);
  f.AdvanceTime(f.mSettings.mGatherAfter);
  f.Plan();
  const auto isRunning = [&f](const std::string& aJob) {
    return f.State(aJob) == JobState::InProgress;
  };
  cr_assert(isRunning("a") && isRunning("b") && isRunning("c"));
  cr_assert_eq(f.mScheduler->Counts().mEvictions, 0);
}

// Answers the load of failing workers in a burst of work: since they end their runs at once, they
// are the only ones with room, and each job that comes there loses an attempt for all its tasks.
Test(Scheduler, tries_a_worker_that_failed_a_run_with_one_run_at_a_time)
{
  SchedulerFixture f;
  f.AddWorkers(1);
  f.Submit(f.Job("first", { f.Step(1, 1) }));
  f.EndRun(f.Plan().mStarts.at(0).mRun, RunEnd::Failed);
  f.RenewAllLeases();
  f.mScheduler->CancelJob(JobId("first"), f.mNow);
  f.Submit(f.Job("second", { f.Step(4, 1) }));
  f.Submit(f.Job("third", { f.Step(4, 1) }));
  const auto trial = f.Plan().mStarts;
  cr_assert_eq(trial.size(), 1);
  f.RenewAllLeases();
  cr_assert(f.Plan().mStarts.empty(), "a second run was started before the first one ended");
  f.EndRun(trial[0].mRun, RunEnd::Done);
  f.RenewAllLeases();
  cr_assert_eq(f.Plan().mStarts.size(), 7);
}

// Guards against a worker that is left with a single run for ever, since none of its runs has
// ended.
Test(Scheduler, ends_the_trial_of_a_worker_after_some_time)
{
  SchedulerFixture f;
  f.AddWorkers(1);
  f.Submit(f.Job("first", { f.Step(1, 1) }));
  f.EndRun(f.Plan().mStarts.at(0).mRun, RunEnd::Failed);
  f.RenewAllLeases();
  f.mScheduler->CancelJob(JobId("first"), f.mNow);
  f.Submit(f.Job("second", { f.Step(4, 1) }));
  cr_assert_eq(f.Plan().mStarts.size(), 1);
  f.AdvanceTime(f.mSettings.mDoubtTime);
  cr_assert_eq(f.Plan().mStarts.size(), 3);
}

// Guards against a client account whose failing jobs put all workers on trial, and so delay work
// that is guaranteed to another account.
Test(Scheduler, delays_no_guaranteed_work_because_of_runs_that_failed)
{
  SchedulerFixture f;
  f.AddWorkers(2);
  f.mScheduler->SetGuarantees({ { AccountId("account"), Accelerators(16) } });
  auto failing = f.Job("failing", { f.Step(2, 8) });
  failing.mAccount = AccountId("other");
  f.Submit(failing);
  for (const auto& it : f.Plan().mStarts) {
    f.EndRun(it.mRun, RunEnd::Failed);
  }
  f.RenewAllLeases();
  f.mScheduler->CancelJob(JobId("failing"), f.mNow);
  f.Submit(f.Job("guaranteed", { f.Gang(16, 1) }, 0));
  cr_assert_eq(f.Plan().mStarts.size(), 16);
}

// Guards against guaranteed work that stays behind when all workers are replaced at once.
Test(Scheduler, starts_guaranteed_work_when_workers_register_after_all_have_left)
{
  SchedulerFixture f;
  f.AddWorkers(2);
  f.mScheduler->SetGuarantees({ { AccountId("account"), Accelerators(16) } });
  for (const auto* it : { "w0", "w1" }) {
    f.mScheduler->OnWorkerUnregistered(WorkerId(it));
  }
  f.Submit(f.Job("guaranteed", { f.Gang(2, 8) }, 0));
  cr_assert(f.Plan().mStarts.empty());
  f.AddWorkers(2);
  cr_assert_eq(f.Plan().mStarts.size(), 2);
}
