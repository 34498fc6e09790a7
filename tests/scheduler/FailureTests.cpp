#include "SchedulerFixture.h"

using namespace lovagerock;
using namespace lovagerock::scheduler;

Test(Scheduler, fails_a_job_after_its_last_attempt)
{
  SchedulerFixture f;
  f.AddWorkers(4);
  f.Submit(f.Job("j", { f.Step(1, 1) }));
  for (int i = 0; i < 2; ++i) {
    const auto orders = f.Plan();
    cr_assert_eq(orders.mStarts.size(), 1);
    cr_assert_eq(orders.mStarts[0].mRun.mRun, i + 1);
    f.EndRun(orders.mStarts[0].mRun, RunEnd::Failed);
    f.RenewAllLeases();
  }
  cr_assert(f.Plan().mStarts.empty());
  cr_assert(f.State("j") == JobState::Failed);
}

// Guards against more attempts than a job has: a worker restarts after a run has failed there,
// carries out a start of that run late, and the run fails again with the same number.
Test(Scheduler, counts_a_run_that_fails_again_after_its_worker_has_restarted)
{
  SchedulerFixture f;
  f.AddWorkers(2);
  f.Submit(f.Job("j", { f.Step(1, 1) }));
  const auto first = f.Plan().mStarts.at(0);
  f.EndRun(first.mRun, RunEnd::Failed);
  f.RenewAllLeases();
  cr_assert(f.State("j") != JobState::Failed);
  f.RestartWorker(first.mWorker);
  f.mWorkers.at(first.mWorker).mRunning.push_back({ first.mRun, "", 0 });
  f.EndRun(first.mRun, RunEnd::Failed);
  f.RenewAllLeases();
  cr_assert(f.State("j") == JobState::Failed, "the second failure didn't count");
  cr_assert(f.Plan().mStarts.empty(), "a third run was started");
}

// Guards against a job that fails too early: several members of a gang may fail in one run, on
// workers with different incarnations.
Test(Scheduler, counts_a_run_of_a_gang_once_if_several_members_fail)
{
  SchedulerFixture f;
  f.AddWorkers(2);
  f.RestartWorker(WorkerId("w1"));
  f.RenewAllLeases();
  f.StoreProgress();
  f.Submit(f.Job("j", { f.Gang(2, 8) }));
  const auto starts = f.Plan().mStarts;
  cr_assert_eq(starts.size(), 2);
  for (const auto& it : starts) {
    f.EndRun(it.mRun, RunEnd::Failed);
  }
  f.RenewAllLeases();
  cr_assert(f.State("j") != JobState::Failed);
}

Test(Scheduler, retries_a_failed_task_on_another_worker)
{
  SchedulerFixture f;
  f.AddWorkers(2);
  f.Submit(f.Job("j", { f.Step(1, 1) }));
  const auto first = f.Plan();
  f.EndRun(first.mStarts[0].mRun, RunEnd::Failed);
  f.RenewAllLeases();
  cr_assert_neq(f.Plan().mStarts.at(0).mWorker, first.mStarts[0].mWorker);
}

namespace {

// Plans until the job runs again or the time is over; returns whether it runs.
bool
RunsWithin(SchedulerFixture& aFixture, Duration aTime)
{
  constexpr Duration kStep{ 100 };
  for (auto left = aTime; left > Duration(0) && aFixture.Running().empty(); left -= kStep) {
    aFixture.AdvanceTime(kStep);
    aFixture.Plan();
  }
  return !aFixture.Running().empty();
}

// The longest time for which a task may wait although there is room for it.
constexpr Duration kMaxWait{ 3000 };

} // namespace

// Guards against a task that is never started again because it has failed on each worker that it
// may use: of a job that lasts, which fails more often than there are workers, and is a gang or
// not.
Test(Scheduler, starts_a_lasting_task_again_however_often_it_has_failed)
{
  for (const int workers : { 1, 2, 3, 5, 9 }) {
    for (const bool isGang : { false, true }) {
      SchedulerFixture f;
      f.AddWorkers(workers);
      auto step = f.Step(workers > 1 ? 2 : 1, 8);
      step.mLongRunning = true;
      step.mGang = isGang;
      step.mMaxPerWorker = 1;
      f.Submit(f.Job("j", { step }));
      f.Plan();
      for (int i = 0; i < 3 * workers; ++i) {
        const auto running = f.Running();
        for (const auto& it : running) {
          f.EndRun(it, RunEnd::Failed);
        }
        f.RenewAllLeases();
        cr_assert(RunsWithin(f, kMaxWait), "%d workers, gang %d, failure %d", workers, isGang, i);
      }
    }
  }
}

// Guards against the same with an attempt left, if the only workers with the required label have
// failed the task.
Test(Scheduler, makes_the_last_attempt_where_all_others_have_failed)
{
  for (const int workers : { 1, 2, 3 }) {
    SchedulerFixture f;
    f.AddWorkers(workers + 2);
    for (int i = 0; i < workers; ++i) {
      auto& entry = f.mWorkers.at(WorkerId("w" + std::to_string(i))).mEntry;
      entry.mLabels.emplace_back("b");
      f.mScheduler->OnWorkerEntry(entry, f.mNow);
    }
    f.StoreProgress();
    auto step = f.Step(1, 1);
    step.mRequiredLabel = "b";
    auto job = f.Job("j", { step });
    job.mPolicy.mMaxAttempts = workers + 1;
    f.Submit(job);
    f.Plan();
    for (int i = 0; i < workers; ++i) {
      f.EndRun(f.Running().at(0), RunEnd::Failed);
      f.RenewAllLeases();
      cr_assert(RunsWithin(f, kMaxWait), "%d workers, failure %d", workers, i);
    }
    f.EndRun(f.Running().at(0), RunEnd::Done);
    f.RenewAllLeases();
    cr_assert(f.State("j") == JobState::Completed);
  }
}

// Guards against a task that waits for ever for a worker that is full of lasting work, because it
// has failed on the one that has room; and against one that doesn't wait for others at all.
Test(Scheduler, starts_a_task_again_where_it_failed_if_the_others_stay_full)
{
  for (const int attempts : { 2, 3 }) {
    SchedulerFixture f;
    f.AddWorkers(2);
    auto lasting = f.Step(1, 8);
    lasting.mLongRunning = true;
    f.Submit(f.Job("lasting", { lasting }));
    const auto full = f.Plan().mStarts.at(0).mWorker;
    auto job = f.Job("j", { f.Step(1, 1) });
    job.mPolicy.mMaxAttempts = attempts;
    f.Submit(job);
    const auto first = f.Plan().mStarts.at(0);
    cr_assert_neq(first.mWorker, full);
    f.EndRun(first.mRun, RunEnd::Failed);
    f.RenewAllLeases();
    cr_assert(f.Plan().mStarts.empty(), "the task didn't wait for another worker");
    f.AdvanceTime(kMaxWait);
    cr_assert_eq(f.Plan().mStarts.size(), 1, "%d attempts", attempts);
  }
}

// Guards against tasks that wait for as long as another one of their step, or of another job, goes
// on to fail.
Test(Scheduler, starts_a_waiting_task_although_another_one_fails_again_and_again)
{
  for (const bool isOneJob : { true, false }) {
    SchedulerFixture f;
    f.AddWorkers(2);
    auto full = f.Step(1, 8);
    full.mLongRunning = true;
    f.Submit(f.Job("full", { full }));
    f.Plan();
    auto step = f.Step(isOneJob ? 2 : 1, 4);
    step.mLongRunning = true;
    const TaskRef failing{ JobId("i"), 0, 0, 0 };
    f.Submit(f.Job("i", { step }));
    if (!isOneJob) {
      f.Submit(f.Job("j", { step }));
    }
    f.Plan();
    std::set<TaskRef> startedAgain;
    for (int i = 0; i < 60; ++i) {
      for (const auto& it : f.Running()) {
        const bool failsAgain = it.mTask == failing;
        if (it.mTask.mJob != JobId("full") && (failsAgain || i == 0)) {
          f.EndRun(it, RunEnd::Failed);
        }
      }
      f.AdvanceTime(Duration(100));
      for (const auto& it : f.Plan().mStarts) {
        startedAgain.insert(it.mRun.mTask);
      }
    }
    cr_assert_eq(startedAgain.size(), 2, "one job: %d", isOneJob);
  }
}

// Guards against lasting tasks that wait for ever for room in the rack of the others of their step,
// although other racks have room.
Test(Scheduler, starts_a_lasting_task_in_another_rack_if_its_own_one_stays_full)
{
  for (const bool isWorkerGone : { false, true }) {
    SchedulerFixture f;
    f.AddWorkers(4);
    auto step = f.Step(2, 8);
    step.mLongRunning = true;
    step.mRackLocal = true;
    f.Submit(f.Job("j", { step }));
    const auto first = f.Plan();
    cr_assert_eq(f.Racks(first).size(), 1);
    const auto worker = first.mStarts.at(1).mWorker;
    f.EndRun(first.mStarts.at(1).mRun, RunEnd::Stopped);
    f.RenewAllLeases();
    if (isWorkerGone) {
      f.mScheduler->OnWorkerUnregistered(worker);
    } else {
      auto other = f.Job("other", { f.Step(1, 8) }, 0);
      other.mSpec.mSteps[0].mLongRunning = true;
      other.mSpec.mSteps[0].mRequiredLabel = f.mWorkers.at(worker).mEntry.mRack.Value();
      f.Submit(other);
    }
    f.Plan();
    f.AdvanceTime(kMaxWait);
    f.Plan();
    const auto running = f.Running();
    const auto count = std::count_if(running.begin(), running.end(),
                                     [](const auto& aIt) { return aIt.mTask.mJob == JobId("j"); });
    cr_assert_eq(count, 2, "worker gone: %d", isWorkerGone);
  }
}

Test(Scheduler, restarts_the_whole_gang_when_a_member_fails)
{
  SchedulerFixture f;
  f.AddWorkers(4);
  f.Submit(f.Job("j", { f.Gang(3, 8) }));
  const auto first = f.Plan();
  f.EndRun(first.mStarts[0].mRun, RunEnd::Failed);
  f.EndRun(first.mStarts[1].mRun, RunEnd::GangMemberEnded);
  f.RenewAllLeases();
  cr_assert(f.Plan().mStarts.empty(),
            "the gang was started while a member of its first run was still running");
  f.RenewAllLeases();
  const auto second = f.Plan();
  cr_assert_eq(second.mStarts.size(), 3);
  for (const auto& it : second.mStarts) {
    cr_assert_eq(it.mRun.mRun, 2);
  }
}

Test(Scheduler, resumes_a_stopped_task_from_its_checkpoint)
{
  SchedulerFixture f;
  f.AddWorkers(1);
  auto step = f.Step(1, 8);
  step.mCheckpointing = true;
  f.Submit(f.Job("batch", { step }, 2));
  f.Plan();
  f.Submit(f.Job("urgent", { f.Step(1, 8) }, 0));
  f.Plan();
  f.RenewAllLeases();
  const auto urgent = f.Plan();
  f.EndRun(urgent.mStarts.at(0).mRun, RunEnd::Done);
  f.RenewAllLeases();
  const auto again = f.Plan();
  cr_assert_eq(again.mStarts.at(0).mCheckpoint, std::string("saved"));
  cr_assert_eq(again.mStarts.at(0).mRun.mRun, 2);
}

// Guards against two concurrent runs of a task: a worker carries out a start order but its answer
// is lost, and the scheduler starts the task on another worker.
Test(Scheduler, resends_an_unanswered_start_to_the_same_worker)
{
  SchedulerFixture f;
  f.AddWorkers(2);
  f.Submit(f.Job("j", { f.Step(1, 1) }));
  const auto first = f.mScheduler->Plan(f.mNow).mStarts.at(0);
  f.mScheduler->OnStartOutcome(first.mWorker, first.mRun, OrderOutcome::Unknown, WorkerClock(),
                               f.mNow);
  f.AdvanceTime(Duration(200));
  const auto again = f.Plan();
  cr_assert_eq(again.mStarts.size(), 1);
  cr_assert_eq(again.mStarts[0].mWorker, first.mWorker);
  cr_assert_eq(again.mStarts[0].mRun, first.mRun);
}

// Guards against a second run of a task whose first run ended before its start order was answered.
// The worker then rejects the repeated order as superseded.
Test(Scheduler, waits_for_the_end_of_a_run_whose_repeated_start_is_superseded)
{
  SchedulerFixture f;
  f.AddWorkers(2);
  f.Submit(f.Job("j", { f.Step(1, 1) }));
  const auto first = f.mScheduler->Plan(f.mNow).mStarts.at(0);
  const auto outcome = [&](OrderOutcome aOutcome) {
    f.mScheduler->OnStartOutcome(first.mWorker, first.mRun, aOutcome,
                                 WorkerClock(f.mWorkers.at(first.mWorker).mClock), f.mNow);
  };
  outcome(OrderOutcome::Unknown);
  f.mNow.mSteady += f.mSettings.mResendStartAfter;
  cr_assert_eq(f.mScheduler->Plan(f.mNow).mStarts.size(), 1);
  outcome(OrderOutcome::Superseded);
  cr_assert(f.mScheduler->Plan(f.mNow).mStarts.empty(), "the task was started a second time");
  f.mWorkers.at(first.mWorker).mRunning.push_back({ first.mRun, "", 0 });
  f.EndRun(first.mRun, RunEnd::Done);
  f.RenewAllLeases();
  cr_assert(f.State("j") == JobState::Completed);
}

// Guards against two concurrent runs of a task: an unanswered start order is carried out late, when
// the task already runs on another worker.
Test(Scheduler, stops_an_unanswered_run_before_its_task_moves)
{
  SchedulerFixture f;
  f.AddWorkers(2);
  f.Submit(f.Job("j", { f.Step(1, 1) }));
  const auto first = f.mScheduler->Plan(f.mNow).mStarts.at(0);
  f.mScheduler->OnStartOutcome(first.mWorker, first.mRun, OrderOutcome::Unknown, WorkerClock(),
                               f.mNow);
  f.mNow.mSteady += f.mSettings.mResendStartAfter;
  cr_assert_eq(f.mScheduler->Plan(f.mNow).mStarts.size(), 1);
  f.mScheduler->OnStartOutcome(first.mWorker, first.mRun, OrderOutcome::InsufficientResources,
                               WorkerClock(), f.mNow);
  const auto orders = f.Plan();
  cr_assert(orders.mStarts.empty());
  cr_assert_eq(orders.mStops.size(), 1);
  f.RenewAllLeases();
  const auto second = f.Plan();
  cr_assert_eq(second.mStarts.size(), 1);
  cr_assert_eq(second.mStarts[0].mRun.mRun, 2);
}

Test(Scheduler, restarts_the_tasks_of_a_silent_worker_only_after_its_lease_has_expired)
{
  SchedulerFixture f;
  f.AddWorkers(2);
  f.Submit(f.Job("j", { f.Step(1, 1) }));
  const auto first = f.Plan().mStarts.at(0);
  f.mWorkers.at(first.mWorker).mIsReachable = false;
  f.AdvanceTime(f.mSettings.mLeaseDuration);
  cr_assert(f.Plan().mStarts.empty(),
            "the task was restarted although the worker's lease may not have expired");
  f.AdvanceTime(Duration(500));
  const auto second = f.Plan();
  cr_assert_eq(second.mStarts.size(), 1);
  cr_assert_neq(second.mStarts[0].mWorker, first.mWorker);
  cr_assert_eq(second.mStarts[0].mRun.mRun, 2);
}

Test(Scheduler, restarts_the_tasks_of_a_restarted_worker_at_once)
{
  SchedulerFixture f;
  f.AddWorkers(2);
  f.Submit(f.Job("j", { f.Step(1, 1) }));
  const auto first = f.Plan().mStarts.at(0);
  f.RenewAllLeases();
  auto& worker = f.mWorkers.at(first.mWorker);
  worker.mRunning.clear();
  worker.mEntry.mIncarnation = WorkerIncarnation(200);
  worker.mNumber = 0;
  f.RenewLease(first.mWorker);
  const auto second = f.Plan();
  cr_assert_eq(second.mStarts.size(), 1);
  cr_assert_eq(second.mStarts[0].mRun.mRun, 2);
}

// Guards against a second run of a task on a worker whose clock runs as slow as is allowed: its
// lease lasts 1 / (1 - drift) times as long, which is more than 1 + drift.
Test(Scheduler, expects_a_lease_to_last_as_long_as_on_the_slowest_clock)
{
  SchedulerFixture f;
  f.AddWorkers(2);
  f.Submit(f.Job("j", { f.Step(1, 1) }));
  const auto first = f.Plan().mStarts.at(0);
  f.mWorkers.at(first.mWorker).mIsReachable = false;
  const auto percent = 100 - f.mSettings.mClockDriftPercent;
  f.AdvanceTime(f.mSettings.mLeaseDuration * 100 / percent);
  cr_assert(f.Plan().mStarts.empty(), "the lease may not have expired");
  f.AdvanceTime(Duration(2));
  cr_assert_eq(f.Plan().mStarts.size(), 1);
}

// Guards against a second run of a task whose start order had no answer before its worker
// restarted: the new incarnation may still carry the order out.
Test(Scheduler, stops_a_start_without_an_answer_on_a_restarted_worker_before_it_starts_another_run)
{
  SchedulerFixture f;
  f.AddWorkers(2);
  f.Submit(f.Job("j", { f.Step(1, 1) }));
  for (auto& [id, worker] : f.mWorkers) {
    worker.mAnswersOrders = false;
  }
  const auto first = f.Plan().mStarts.at(0);
  f.RestartWorker(first.mWorker);
  for (auto& [id, worker] : f.mWorkers) {
    worker.mAnswersOrders = true;
  }
  f.RenewAllLeases();
  const auto orders = f.Plan();
  cr_assert(orders.mStarts.empty(), "another run was started before the first was stopped");
  cr_assert_eq(orders.mStops.size(), 1);
  cr_assert_eq(orders.mStops[0].mRun, first.mRun);
  f.RenewAllLeases();
  cr_assert_eq(f.Plan().mStarts.size(), 1);
}

// Guards against a second run of a task: a start of before is carried out late by a restarted
// worker, which refuses it only once it has seen a higher token; a second restart forgets that
// again.
Test(Scheduler, starts_nothing_on_a_restarted_worker_before_its_token_is_raised)
{
  SchedulerFixture f;
  f.AddWorkers(1);
  const WorkerId id("w0");
  for (int i = 0; i < 2; ++i) {
    f.RestartWorker(id);
    f.RenewLease(id);
    f.Submit(f.Job("j" + std::to_string(i), { f.Step(1, 1) }));
    cr_assert(f.Plan().mStarts.empty(), "restart %d", i);
    f.StoreProgress();
    cr_assert_not(f.Plan().mStarts.empty(), "restart %d", i);
  }
}

// Guards against work that waits for a store write in each takeover: the first call of a scheduler
// fences the orders of earlier ones.
Test(Scheduler, needs_no_higher_token_for_a_worker_that_restarted_before_its_first_call)
{
  SchedulerFixture f;
  f.AddWorkers(1);
  f.TakeOver({});
  f.RestartWorker(WorkerId("w0"));
  const auto& worker = f.mWorkers.at(WorkerId("w0"));
  f.mScheduler->OnLeaseReport(WorkerId("w0"),
                              { WorkerClock(1), worker.mEntry.mIncarnation, {}, {} }, f.mNow);
  cr_assert(f.mScheduler->Workers().at(WorkerId("w0")).mHasRestarted);
  cr_assert_not(f.mScheduler->Workers().at(WorkerId("w0")).mNeedsHigherToken);
}

// Guards against a second run of a task that a restarted worker began before the scheduler learned
// of the restart: the run is one of the new incarnation.
Test(Scheduler, stops_a_run_that_a_restarted_worker_confirmed_before_it_starts_another_run)
{
  SchedulerFixture f;
  f.AddWorkers(2);
  for (const auto& [id, worker] : f.mWorkers) {
    f.RestartWorker(id);
  }
  f.Submit(f.Job("j", { f.Step(1, 1) }));
  const auto first = f.Plan().mStarts.at(0);
  f.mScheduler->OnWorkerEntry(f.mWorkers.at(first.mWorker).mEntry, f.mNow);
  f.RenewAllLeases();
  const auto orders = f.Plan();
  cr_assert(orders.mStarts.empty(), "another run was started before the first was stopped");
  cr_assert_eq(orders.mStops.size(), 1);
  f.StoreProgress();
  f.RenewAllLeases();
  cr_assert_eq(f.Plan().mStarts.size(), 1);
}

// Guards against a second run of a task whose start order had no answer and is carried out late:
// that the worker doesn't report the run tells nothing until a stop is confirmed.
Test(Scheduler, starts_no_other_run_before_a_start_without_an_answer_is_stopped)
{
  SchedulerFixture f;
  f.AddWorkers(2);
  f.Submit(f.Job("j", { f.Step(1, 1) }));
  for (auto& [id, worker] : f.mWorkers) {
    worker.mAnswersOrders = false;
  }
  const auto first = f.Plan().mStarts.at(0);
  for (int i = 0; i < 20; ++i) {
    f.AdvanceTime(Duration(500));
    for (const auto& it : f.Plan().mStarts) {
      cr_assert_eq(it.mRun, first.mRun, "another run was started");
    }
  }
  for (auto& [id, worker] : f.mWorkers) {
    worker.mAnswersOrders = true;
  }
  f.AdvanceTime(Duration(500));
  f.Plan();
  f.RenewAllLeases();
  cr_assert_eq(f.Plan().mStarts.size(), 1);
}

// Guards against a second run of a task on a worker whose lease is longer than expected: after a
// restart, orders carried deadlines of the earlier incarnation's clock.
Test(Scheduler, expects_the_longest_lease_of_a_worker_that_has_restarted)
{
  SchedulerFixture f;
  f.AddWorkers(2);
  f.Submit(f.Job("j", { f.Step(1, 1) }));
  for (auto& [id, worker] : f.mWorkers) {
    worker.mAnswersOrders = false;
  }
  const auto first = f.Plan().mStarts.at(0);
  f.RestartWorker(first.mWorker);
  auto& worker = f.mWorkers.at(first.mWorker);
  worker.mRunning.push_back({ first.mRun, "", 0 });
  f.RenewLease(first.mWorker);
  worker.mIsReachable = false;
  f.AdvanceTime(f.mSettings.mLongestLease);
  cr_assert(f.Plan().mStarts.empty(), "the lease may not have expired");
  f.AdvanceTime(Duration(500));
  cr_assert_eq(f.Plan().mStarts.size(), 1);
}

// Guards against the same if the restarted worker has answered since: a late order of the earlier
// incarnation's clock may have been carried out at any time before the worker fell silent.
Test(Scheduler, expects_the_longest_lease_after_each_renewal_of_a_worker_that_has_restarted)
{
  SchedulerFixture f;
  f.AddWorkers(2);
  const WorkerId restarted("w0");
  f.mWorkers.at(WorkerId("w1")).mEntry.mDraining = true;
  f.mScheduler->OnWorkerEntry(f.mWorkers.at(WorkerId("w1")).mEntry, f.mNow);
  f.RestartWorker(restarted);
  f.RenewLease(restarted);
  f.StoreProgress();
  f.AdvanceTime(f.mSettings.mLeaseDuration);
  f.Submit(f.Job("j", { f.Step(1, 1) }));
  cr_assert_eq(f.Plan().mStarts.at(0).mWorker, restarted);
  f.RenewLease(restarted);
  f.mWorkers.at(restarted).mIsReachable = false;
  f.mWorkers.at(WorkerId("w1")).mEntry.mDraining = false;
  f.mScheduler->OnWorkerEntry(f.mWorkers.at(WorkerId("w1")).mEntry, f.mNow);
  f.StoreProgress();
  f.AdvanceTime(f.mSettings.mLongestLease);
  cr_assert(f.Plan().mStarts.empty(), "the lease may not have expired");
  f.AdvanceTime(Duration(500));
  cr_assert_eq(f.Plan().mStarts.size(), 1);
}

// Guards against a second run of a task on a worker whose wall clock was set back before it
// restarted: its registry entry still names the earlier incarnation, whose number is higher.
Test(Scheduler, keeps_the_runs_of_an_incarnation_that_is_lower_than_the_registered_one)
{
  SchedulerFixture f;
  f.AddWorkers(2);
  const WorkerId id("w0");
  const auto outdated = f.mWorkers.at(id).mEntry;
  f.mWorkers.at(id).mEntry.mIncarnation = WorkerIncarnation(50);
  f.mWorkers.at(id).mClock = 1;
  f.RenewLease(id);
  f.mWorkers.at(WorkerId("w1")).mEntry.mDraining = true;
  f.mScheduler->OnWorkerEntry(f.mWorkers.at(WorkerId("w1")).mEntry, f.mNow);
  f.StoreProgress();
  f.Submit(f.Job("j", { f.Step(1, 1) }));
  cr_assert_eq(f.Plan().mStarts.at(0).mWorker, id);
  f.RenewLease(id);
  f.mScheduler->OnWorkerEntry(outdated, f.mNow);
  f.RenewLease(id);
  const auto orders = f.Plan();
  cr_assert(orders.mStarts.empty(), "the run was started a second time");
  cr_assert(orders.mStops.empty(), "the run was stopped");
}

// Guards against the same if the worker has restarted twice before the registry's entries arrive:
// the first of them names an incarnation that has ended.
Test(Scheduler, keeps_the_runs_of_an_incarnation_that_the_registry_does_not_name_yet)
{
  SchedulerFixture f;
  f.AddWorkers(1);
  const WorkerId id("w0");
  auto& worker = f.mWorkers.at(id);
  f.RestartWorker(id);
  const auto ended = worker.mEntry;
  f.RestartWorker(id);
  worker.mEntry.mIncarnation = WorkerIncarnation(150);
  f.RenewLease(id);
  f.StoreProgress();
  f.Submit(f.Job("j", { f.Step(1, 1) }));
  cr_assert_eq(f.Plan().mStarts.size(), 1);
  f.RenewLease(id);
  f.mScheduler->OnWorkerEntry(ended, f.mNow);
  f.RenewLease(id);
  const auto orders = f.Plan();
  cr_assert(orders.mStarts.empty(), "another run was started");
  cr_assert(orders.mStops.empty(), "the run was stopped");
}

Test(Scheduler, starts_nothing_on_a_draining_worker_and_moves_runs_that_would_not_finish)
{
  SchedulerFixture f;
  f.AddWorkers(2);
  auto step = f.Step(1, 8);
  step.mEstimate = Duration(60000);
  f.Submit(f.Job("j", { step }));
  const auto first = f.Plan().mStarts.at(0);
  auto& worker = f.mWorkers.at(first.mWorker);
  worker.mEntry.mDraining = true;
  f.mScheduler->OnWorkerEntry(worker.mEntry, f.mNow);
  const auto stop = f.Plan();
  cr_assert_eq(stop.mStops.size(), 1);
  f.RenewAllLeases();
  const auto second = f.Plan();
  cr_assert_eq(second.mStarts.size(), 1);
  cr_assert_neq(second.mStarts[0].mWorker, first.mWorker);
}

Test(Scheduler, lets_runs_finish_on_a_draining_worker_that_stays_long_enough)
{
  SchedulerFixture f;
  f.AddWorkers(2);
  f.Submit(f.Job("j", { f.Step(1, 8) }));
  const auto first = f.Plan().mStarts.at(0);
  auto& worker = f.mWorkers.at(first.mWorker);
  worker.mEntry.mDraining = true;
  worker.mEntry.mRemainingTime = Duration(9000);
  f.mScheduler->OnWorkerEntry(worker.mEntry, f.mNow);
  cr_assert(f.Plan().mStops.empty());
}

namespace {

// The only run of a job, on a worker that may leave.
class DrainFixture : public SchedulerFixture
{
public:
  explicit DrainFixture(Duration aEstimate)
  {
    AddWorkers(2);
    auto step = Step(1, 8);
    step.mEstimate = aEstimate;
    Submit(Job("j", { step }));
    mWorker = Plan().mStarts.at(0).mWorker;
    RenewAllLeases();
  }

  FakeWorker& Worker() { return mWorkers.at(mWorker); }

  // Lets the run advance at the same pace, up to the given percent.
  void AdvanceRun(Duration aTime, int aPercent)
  {
    constexpr int kReports = 5;
    for (int i = 0; i < kReports; ++i) {
      Worker().mRunning.at(0).mPercent += aPercent / kReports;
      AdvanceTime(aTime / kReports);
    }
  }

  // The worker announces that it leaves after this time.
  void Drain(Duration aRemaining)
  {
    Worker().mEntry.mDraining = true;
    Worker().mEntry.mRemainingTime = aRemaining;
    mScheduler->OnWorkerEntry(Worker().mEntry, mNow);
  }

private:
  WorkerId mWorker;
};

} // namespace

// Guards against losing nearly all work of a run that is about to end: without reports its progress
// seems to stand still while the time until the worker leaves passes.
Test(Scheduler, lets_a_run_finish_on_a_draining_worker_whose_reports_are_missing)
{
  DrainFixture f(Duration(10000));
  f.AdvanceRun(Duration(5000), 50);
  f.Drain(Duration(7000));
  f.Worker().mIsReachable = false;
  f.AdvanceTime(Duration(4000));
  cr_assert(f.Plan().mStops.empty());
}

// Guards against trusting an estimate that the run has disproved, in both directions.
Test(Scheduler, expects_a_run_to_end_by_its_pace_instead_of_its_estimate)
{
  DrainFixture faster(Duration(60000));
  faster.AdvanceRun(Duration(5000), 50);
  faster.Drain(Duration(7000));
  cr_assert(faster.Plan().mStops.empty());
  DrainFixture slower(Duration(2000));
  slower.AdvanceRun(Duration(5000), 50);
  slower.Drain(Duration(3000));
  cr_assert_eq(slower.Plan().mStops.size(), 1);
}

Test(Scheduler, stops_the_runs_of_a_cancelled_job)
{
  SchedulerFixture f;
  f.AddWorkers(2);
  f.Submit(f.Job("j", { f.Step(4, 1) }));
  f.Plan();
  f.mScheduler->CancelJob(JobId("j"), f.mNow);
  cr_assert_eq(f.Plan().mStops.size(), 4);
  f.RenewAllLeases();
  f.Plan();
  cr_assert(f.Running().empty());
  cr_assert(f.State("j") == JobState::Cancelled);
}

// Guards against jobs that wait for as long as sound workers are held for failing, because jobs
// fail on them by their own fault.
Test(Scheduler, starts_a_gang_on_workers_on_which_others_failed_beside_room)
{
  SchedulerFixture f;
  f.AddWorkers(4);
  for (const auto* id : { "a", "b" }) {
    auto step = f.Step(4, 1);
    step.mMaxPerWorker = 1;
    auto job = f.Job(id, { step });
    job.mPolicy.mMaxAttempts = 1;
    f.Submit(job);
    for (const auto& it : f.Plan().mStarts) {
      f.EndRun(it.mRun, RunEnd::Failed);
    }
    f.RenewAllLeases();
  }
  f.Submit(f.Job("gang", { f.Gang(4, 4) }));
  f.Plan();
  cr_assert(f.State("gang") == JobState::Queued);
  f.AdvanceTime(f.mSettings.mMaxIdleBesideRoom);
  f.Plan();
  cr_assert(f.State("gang") == JobState::InProgress);
}

Test(Scheduler, pauses_a_worker_on_which_runs_of_several_jobs_fail)
{
  SchedulerFixture f;
  f.AddWorkers(1);
  for (const auto* id : { "a", "b" }) {
    auto job = f.Job(id, { f.Step(1, 1) });
    // The first job is not tried again before the second one.
    job.mPolicy.mMaxAttempts = 1;
    f.Submit(job);
    const auto orders = f.Plan();
    f.EndRun(orders.mStarts.at(0).mRun, RunEnd::Failed);
    f.RenewAllLeases();
  }
  f.Submit(f.Job("c", { f.Step(1, 1) }));
  cr_assert(f.Plan().mStarts.empty());
  f.AdvanceTime(f.mSettings.mFailingPause + Duration(500));
  cr_assert_geq(f.Plan().mStarts.size(), 1);
}
