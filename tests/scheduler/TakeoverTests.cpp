#include "SchedulerFixture.h"

using namespace lovagerock;
using namespace lovagerock::scheduler;

// Guards against a second run of a task that an earlier scheduler started on a worker that has not
// answered yet.
Test(Takeover, starts_no_inherited_work_before_every_worker_has_answered)
{
  SchedulerFixture f;
  f.AddWorkers(2);
  f.Submit(f.Job("j", { f.Step(1, 1) }));
  const auto first = f.Plan().mStarts.at(0);
  // The first scheduler stored nothing before it ended.
  f.TakeOver({});
  for (const auto& [id, worker] : f.mWorkers) {
    if (id != first.mWorker) {
      f.Hold(id);
    }
  }
  cr_assert(f.Plan().mStarts.empty());
  f.Hold(first.mWorker);
  cr_assert(f.Plan().mStarts.empty(), "the run was started a second time");
  f.End(first.mRun, RunEnd::Done);
  f.HoldAll();
  cr_assert(f.State("j") == JobState::Completed);
}

Test(Takeover, starts_new_work_at_once)
{
  SchedulerFixture f;
  f.AddWorkers(2);
  f.TakeOver({});
  f.Hold(WorkerId("w0"));
  f.Submit(f.Job("new", { f.Step(1, 1) }));
  cr_assert_eq(f.Plan().mStarts.size(), 1);
}

Test(Takeover, starts_inherited_work_when_a_silent_worker_can_hold_nothing_any_more)
{
  SchedulerFixture f;
  f.AddWorkers(2);
  f.Submit(f.Job("j", { f.Step(1, 1) }));
  const auto first = f.Plan().mStarts.at(0);
  f.mWorkers.at(first.mWorker).mIsReachable = false;
  f.TakeOver({});
  f.Pass(f.mSettings.mAutonomy + f.mSettings.mHold);
  cr_assert(f.Plan().mStarts.empty());
  f.Pass(Duration(500));
  cr_assert_eq(f.Plan().mStarts.size(), 1);
}

// Guards against a worker that is missing from the list while the store's entries come back.
Test(Takeover, waits_for_an_unlisted_worker_that_stored_progress_names)
{
  SchedulerFixture f;
  f.AddWorkers(2);
  f.Submit(f.Job("j", { f.Step(1, 1) }));
  const auto first = f.Plan().mStarts.at(0);
  const auto progress = f.StoreProgress();
  const auto worker = f.mWorkers.at(first.mWorker);
  f.mWorkers.erase(first.mWorker);
  f.TakeOver(progress);
  f.HoldAll();
  cr_assert(f.Plan().mStarts.empty());
  f.mWorkers[first.mWorker] = worker;
  f.mScheduler->OnWorkerEntry(worker.mEntry, f.mNow);
  f.HoldAll();
  cr_assert(f.Plan().mStarts.empty());
  f.End(first.mRun, RunEnd::Done);
  f.HoldAll();
  cr_assert(f.State("j") == JobState::Completed);
}

// Guards against an attempt that is counted twice because its end was stored and not yet forgotten.
Test(Takeover, counts_a_failure_once)
{
  SchedulerFixture f;
  f.AddWorkers(4);
  f.Submit(f.Job("j", { f.Step(1, 1) }));
  const auto first = f.Plan().mStarts.at(0);
  f.End(first.mRun, RunEnd::Failed);
  f.HoldAll();
  f.TakeOver(f.StoreProgress());
  f.HoldAll();
  const auto second = f.Plan();
  cr_assert_eq(second.mStarts.size(), 1);
  cr_assert_eq(second.mStarts[0].mRun.mRun, 2);
}

// Guards against an attempt that isn't counted because the worker of a later run answered first.
Test(Takeover, counts_failures_in_whatever_order_workers_list_them)
{
  SchedulerFixture f;
  f.AddWorkers(3);
  f.Submit(f.Job("j", { f.Step(1, 1) }));
  std::vector<WorkerId> workers;
  for (int i = 0; i < 2; ++i) {
    const auto start = f.Plan().mStarts.at(0);
    workers.push_back(start.mWorker);
    f.End(start.mRun, RunEnd::Failed);
    if (i == 0) {
      f.HoldAll();
    }
  }
  // None of it was stored.
  f.TakeOver({});
  f.Hold(workers[1]);
  f.HoldAll();
  cr_assert(f.Plan().mStarts.empty());
  cr_assert(f.State("j") == JobState::Failed);
}

Test(Takeover, does_not_run_again_what_is_done)
{
  SchedulerFixture f;
  f.AddWorkers(2);
  f.Submit(f.Job("j", { f.Step(2, 1) }));
  const auto first = f.Plan();
  f.End(first.mStarts[0].mRun, RunEnd::Done);
  // The worker still lists the end, and the record doesn't have it.
  f.TakeOver({});
  f.HoldAll();
  cr_assert(f.Plan().mStarts.empty());
}

Test(Takeover, lets_workers_forget_an_end_only_when_it_is_stored)
{
  SchedulerFixture f;
  f.AddWorkers(1);
  f.Submit(f.Job("j", { f.Step(1, 1) }));
  f.End(f.Plan().mStarts.at(0).mRun, RunEnd::Done);
  f.HoldAll();
  const auto& worker = f.mScheduler->Workers().at(WorkerId("w0"));
  cr_assert_eq(worker.mSeen, 1);
  const auto batch = f.mScheduler->TakeProgress();
  f.mScheduler->OnNotStored(batch);
  cr_assert_eq(worker.mStored, 0);
  cr_assert(f.mScheduler->HasProgress());
  f.StoreProgress();
  cr_assert_eq(worker.mStored, 1);
}

// Guards against an end that is lost because this scheduler's clock is behind that of the one that
// started the run.
Test(Takeover, takes_the_end_of_an_occurrence_that_is_not_due_by_its_own_clock)
{
  SchedulerFixture f;
  f.AddWorkers(1);
  auto job = f.Job("j", { f.Step(1, 1) });
  job.mSpec.mRepetitions = 1;
  job.mSpec.mFirstRunMs = f.mNow.mWallMs;
  f.Submit(job);
  const auto first = f.Plan().mStarts.at(0);
  f.mNow.mWallMs -= 500;
  f.TakeOver({});
  f.End(first.mRun, RunEnd::Done);
  f.HoldAll();
  cr_assert(f.State("j") == JobState::Completed);
}

// Guards against a job that is forgotten while it is still listed, and so run a second time.
Test(Scheduler, keeps_an_ended_job_until_its_record_is_deleted)
{
  SchedulerFixture f;
  f.AddWorkers(1);
  f.Submit(f.Job("j", { f.Step(1, 1) }));
  f.End(f.Plan().mStarts.at(0).mRun, RunEnd::Done);
  f.HoldAll();
  f.StoreProgress();
  cr_assert(f.mScheduler->ExpiredJobs(f.mNow).empty());
  f.mNow.mWallMs += f.mSettings.mKeepFinished.count() + 1;
  const auto expired = f.mScheduler->ExpiredJobs(f.mNow);
  cr_assert_eq(expired, std::vector{ JobId("j") });
  cr_assert_not_null(f.mScheduler->FindJob(JobId("j")));
  f.mScheduler->Forget(expired);
  cr_assert_null(f.mScheduler->FindJob(JobId("j")));
}

// Guards against ends of a restarted worker that it forgets unread, because a batch of its earlier
// life is stored late.
Test(Scheduler, lets_a_replaced_worker_forget_nothing_of_its_new_life)
{
  SchedulerFixture f;
  f.AddWorkers(1);
  f.Submit(f.Job("j", { f.Step(1, 1) }));
  f.End(f.Plan().mStarts.at(0).mRun, RunEnd::Done);
  f.HoldAll();
  const auto batch = f.mScheduler->TakeProgress();
  f.mScheduler->OnWorkerReplaced(WorkerId("w0"), f.mNow);
  f.mScheduler->OnStored(batch);
  cr_assert_eq(f.mScheduler->Workers().at(WorkerId("w0")).mStored, 0);
}

Test(JobRecord, keeps_a_job_and_its_progress)
{
  SchedulerFixture f;
  f.AddWorkers(2);
  auto step = f.Gang(2, 1);
  step.mAfter = { 0 };
  step.mPreferredRack = RackId("r1");
  step.mRequiredLabel = "a";
  step.mMaxPerWorker = 1;
  const auto job = f.Job("j", { f.Step(3, 1), step });
  const auto read = ReadAcceptedJob(WriteAcceptedJob(job));
  cr_assert(read.has_value());
  cr_assert_eq(WriteAcceptedJob(*read), WriteAcceptedJob(job));
  cr_assert_eq(read->mSpec.mSteps[1].mPreferredRack, RackId("r1"));
  cr_assert_not(ReadAcceptedJob("{}").has_value());
  f.Submit(job);
  f.End(f.Plan().mStarts.at(1).mRun, RunEnd::Done);
  f.HoldAll();
  const auto progress = f.StoreProgress().at(JobId("j"));
  Job copy(job, f.mNow.mSteady);
  cr_assert(ReadProgress(progress, copy));
  cr_assert_eq(copy.Open().at(0).mSteps[0].mDone, 1);
  cr_assert_eq(copy.Open().at(0).mSteps[0].mTasks[0].mRun, 1);
  cr_assert_not(ReadProgress("[]", copy));
}

// Guards against a second run of a task that an earlier scheduler started in an outage of the
// store, on a worker whose entry expired meanwhile: neither the progress nor the registry tells.
Test(Takeover, waits_for_a_recorded_worker_that_is_not_registered)
{
  SchedulerFixture f;
  f.AddWorkers(2);
  f.Submit(f.Job("j", { f.Step(1, 1) }));
  const auto first = f.Plan().mStarts.at(0);
  const auto worker = f.mWorkers.at(first.mWorker);
  f.mWorkers.erase(first.mWorker);
  f.TakeOver({});
  f.HoldAll();
  cr_assert(f.Plan().mStarts.empty(), "the run was started a second time");
  f.mWorkers[first.mWorker] = worker;
  f.Hold(first.mWorker);
  cr_assert(f.Plan().mStarts.empty());
  f.End(first.mRun, RunEnd::Done);
  f.HoldAll();
  cr_assert(f.State("j") == JobState::Completed);
}

// Guards against a worker that left long ago and holds up each takeover.
Test(Takeover, does_not_wait_for_a_worker_that_left_before)
{
  SchedulerFixture f;
  f.AddWorkers(2);
  f.mScheduler->OnWorkerUnlisted(WorkerId("w0"));
  f.mWorkers.erase(WorkerId("w0"));
  f.StoreProgress();
  f.Submit(f.Job("j", { f.Step(1, 1) }));
  f.TakeOver({});
  f.HoldAll();
  cr_assert_eq(f.Plan().mStarts.size(), 1);
}

// Guards against a start that the next scheduler could learn of from nobody.
Test(Scheduler, starts_nothing_on_a_worker_that_is_not_recorded)
{
  SchedulerFixture f;
  f.AddWorkers(1);
  f.mScheduler->OnWorkerUnlisted(WorkerId("w0"));
  f.StoreProgress();
  f.mScheduler->OnWorkerEntry(f.mWorkers.at(WorkerId("w0")).mEntry, f.mNow);
  f.Submit(f.Job("j", { f.Step(1, 1) }));
  const auto batch = f.mScheduler->TakeProgress();
  cr_assert(f.Plan().mStarts.empty());
  f.mScheduler->OnStored(batch);
  cr_assert_eq(f.Plan().mStarts.size(), 1);
}

// Guards against one silent worker that holds up the work of all others after a takeover.
Test(Takeover, keeps_only_the_tasks_of_a_worker_that_left_with_them)
{
  SchedulerFixture f;
  f.AddWorkers(2);
  f.Submit(f.Job("j", { f.Step(1, 1) }));
  const auto first = f.Plan().mStarts.at(0);
  f.Submit(f.Job("other", { f.Step(1, 1) }));
  f.mScheduler->OnWorkerUnlisted(first.mWorker);
  const auto progress = f.StoreProgress();
  f.mWorkers.erase(first.mWorker);
  f.TakeOver(progress);
  f.HoldAll();
  const auto starts = f.Plan().mStarts;
  cr_assert_eq(starts.size(), 1);
  cr_assert(starts[0].mRun.mTask.mJob == JobId("other"));
  f.Pass(f.mSettings.mAutonomy + f.mSettings.mHold + Duration(500));
  cr_assert_eq(f.Plan().mStarts.size(), 1);
}

// Guards against a draining worker that leaves beside a takeover and holds up all inherited work:
// nothing is started on it, so that stored progress names all that it runs.
Test(Takeover, does_not_wait_for_a_drained_worker_that_has_left)
{
  SchedulerFixture f;
  f.AddWorkers(2);
  auto entry = f.mWorkers.at(WorkerId("w0")).mEntry;
  entry.mDraining = true;
  f.mScheduler->OnWorkerEntry(entry, f.mNow);
  f.StoreProgress();
  f.mWorkers.erase(WorkerId("w0"));
  f.Submit(f.Job("j", { f.Step(1, 1) }));
  f.TakeOver({});
  f.HoldAll();
  cr_assert_eq(f.Plan().mStarts.size(), 1);
}

// Guards against inherited work that waits for a worker which has gone, although the former
// scheduler has told of all that it had started.
Test(Takeover, waits_for_no_worker_after_a_complete_hand_over)
{
  SchedulerFixture f;
  f.AddWorkers(2);
  f.Submit(f.Job("running", { f.Step(1, 1) }));
  const auto first = f.Plan().mStarts.at(0);
  f.Submit(f.Job("waiting", { f.Step(1, 1) }));
  const auto progress = f.StoreProgress();
  f.mWorkers.erase(first.mWorker);
  f.TakeOver(progress);
  f.mScheduler->OnHandedOver(f.mNow);
  f.HoldAll();
  const auto starts = f.Plan().mStarts;
  cr_assert_eq(starts.size(), 1);
  cr_assert_eq(starts[0].mRun.mTask.mJob, JobId("waiting"));
  f.Pass(f.mSettings.mHold - Duration(500));
  cr_assert(f.Plan().mStarts.empty());
  f.Pass(Duration(1000));
  cr_assert_eq(f.Plan().mStarts.size(), 1);
}
