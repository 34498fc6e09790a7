#include "SchedulerFixture.h"

using namespace lovagerock;
using namespace lovagerock::scheduler;

// Guards against a second run of a task that an earlier scheduler started, without storing
// progress, on a worker that has not answered the new scheduler yet.
Test(Takeover, starts_no_inherited_work_before_every_worker_has_answered)
{
  SchedulerFixture f;
  f.AddWorkers(2);
  f.Submit(f.Job("j", { f.Step(1, 1) }));
  const auto first = f.Plan().mStarts.at(0);
  // The first scheduler stored no progress before it ended.
  f.TakeOver({});
  for (const auto& [id, worker] : f.mWorkers) {
    if (id != first.mWorker) {
      f.RenewLease(id);
    }
  }
  cr_assert(f.Plan().mStarts.empty());
  f.RenewLease(first.mWorker);
  cr_assert(f.Plan().mStarts.empty(), "the run was started a second time");
  f.EndRun(first.mRun, RunEnd::Done);
  f.RenewAllLeases();
  cr_assert(f.State("j") == JobState::Completed);
}

Test(Takeover, starts_new_work_at_once)
{
  SchedulerFixture f;
  f.AddWorkers(2);
  f.TakeOver({});
  f.RenewLease(WorkerId("w0"));
  f.Submit(f.Job("new", { f.Step(1, 1) }));
  cr_assert_eq(f.Plan().mStarts.size(), 1);
}

Test(Takeover, starts_inherited_work_when_the_lease_of_a_silent_worker_has_expired)
{
  SchedulerFixture f;
  f.AddWorkers(2);
  f.Submit(f.Job("j", { f.Step(1, 1) }));
  const auto first = f.Plan().mStarts.at(0);
  f.mWorkers.at(first.mWorker).mIsReachable = false;
  f.TakeOver({});
  f.AdvanceTime(f.mSettings.mStoreOutageTolerance + f.mSettings.mLeaseDuration);
  cr_assert(f.Plan().mStarts.empty());
  f.AdvanceTime(Duration(500));
  cr_assert_eq(f.Plan().mStarts.size(), 1);
}

// Guards against a second run of a task whose worker is missing from the registry for a while, for
// instance while workers register again after an outage of the store.
Test(Takeover, waits_for_an_unregistered_worker_that_stored_progress_names)
{
  SchedulerFixture f;
  f.AddWorkers(2);
  f.Submit(f.Job("j", { f.Step(1, 1) }));
  const auto first = f.Plan().mStarts.at(0);
  const auto progress = f.StoreProgress();
  const auto worker = f.mWorkers.at(first.mWorker);
  f.mWorkers.erase(first.mWorker);
  f.TakeOver(progress);
  f.RenewAllLeases();
  cr_assert(f.Plan().mStarts.empty());
  f.mWorkers[first.mWorker] = worker;
  f.mScheduler->OnWorkerEntry(worker.mEntry, f.mNow);
  f.RenewAllLeases();
  cr_assert(f.Plan().mStarts.empty());
  f.EndRun(first.mRun, RunEnd::Done);
  f.RenewAllLeases();
  cr_assert(f.State("j") == JobState::Completed);
}

// Guards against a failed attempt that is counted twice: the stored progress contains it, and the
// worker still reports the end because it has not been told to forget it.
Test(Takeover, counts_a_failure_once)
{
  SchedulerFixture f;
  f.AddWorkers(4);
  f.Submit(f.Job("j", { f.Step(1, 1) }));
  const auto first = f.Plan().mStarts.at(0);
  f.EndRun(first.mRun, RunEnd::Failed);
  f.RenewAllLeases();
  f.TakeOver(f.StoreProgress());
  f.RenewAllLeases();
  const auto second = f.Plan();
  cr_assert_eq(second.mStarts.size(), 1);
  cr_assert_eq(second.mStarts[0].mRun.mRun, 2);
}

// Guards against a failed attempt that isn't counted because the worker of a later run reports
// first.
Test(Takeover, counts_failures_in_whatever_order_workers_report_them)
{
  SchedulerFixture f;
  f.AddWorkers(3);
  f.Submit(f.Job("j", { f.Step(1, 1) }));
  std::vector<WorkerId> workers;
  for (int i = 0; i < 2; ++i) {
    const auto start = f.Plan().mStarts.at(0);
    workers.push_back(start.mWorker);
    f.EndRun(start.mRun, RunEnd::Failed);
    if (i == 0) {
      f.RenewAllLeases();
    }
  }
  // No progress was stored.
  f.TakeOver({});
  f.RenewLease(workers[1]);
  f.RenewAllLeases();
  cr_assert(f.Plan().mStarts.empty());
  cr_assert(f.State("j") == JobState::Failed);
}

Test(Takeover, does_not_rerun_completed_tasks)
{
  SchedulerFixture f;
  f.AddWorkers(2);
  f.Submit(f.Job("j", { f.Step(2, 1) }));
  const auto first = f.Plan();
  f.EndRun(first.mStarts[0].mRun, RunEnd::Done);
  // The worker still reports the end, but no progress was stored.
  f.TakeOver({});
  f.RenewAllLeases();
  cr_assert(f.Plan().mStarts.empty());
}

Test(Takeover, lets_workers_forget_an_ended_run_only_when_it_is_stored)
{
  SchedulerFixture f;
  f.AddWorkers(1);
  f.Submit(f.Job("j", { f.Step(1, 1) }));
  f.EndRun(f.Plan().mStarts.at(0).mRun, RunEnd::Done);
  f.RenewAllLeases();
  const auto& worker = f.mScheduler->Workers().at(WorkerId("w0"));
  cr_assert_eq(worker.mLastProcessedEnd, 1);
  const auto batch = f.mScheduler->TakeProgress();
  f.mScheduler->OnNotStored(batch);
  cr_assert_eq(worker.mLastStoredEnd, 0);
  cr_assert(f.mScheduler->HasProgress());
  f.StoreProgress();
  cr_assert_eq(worker.mLastStoredEnd, 1);
}

// Guards against an end of a run that is ignored because this scheduler's clock is behind the clock
// of the scheduler that started the run.
Test(Takeover, applies_the_end_of_an_occurrence_that_is_not_due_by_its_own_clock)
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
  f.EndRun(first.mRun, RunEnd::Done);
  f.RenewAllLeases();
  cr_assert(f.State("j") == JobState::Completed);
}

// Guards against a job that the scheduler removes while the store still has its record, so that the
// job is loaded and run a second time.
Test(Scheduler, keeps_an_ended_job_until_its_record_is_deleted)
{
  SchedulerFixture f;
  f.AddWorkers(1);
  f.Submit(f.Job("j", { f.Step(1, 1) }));
  f.EndRun(f.Plan().mStarts.at(0).mRun, RunEnd::Done);
  f.RenewAllLeases();
  f.StoreProgress();
  cr_assert(f.mScheduler->ExpiredJobs(f.mNow).empty());
  f.mNow.mWallMs += f.mSettings.mFinishedRetention.count() + 1;
  const auto expired = f.mScheduler->ExpiredJobs(f.mNow);
  cr_assert_eq(expired, std::vector{ JobId("j") });
  cr_assert_not_null(f.mScheduler->FindJob(JobId("j")));
  f.mScheduler->RemoveJobs(expired);
  cr_assert_null(f.mScheduler->FindJob(JobId("j")));
}

// Guards against a restarted worker that forgets ended runs which the scheduler hasn't processed: a
// batch with end numbers of its earlier incarnation is stored after the restart.
Test(Scheduler, lets_a_restarted_worker_forget_no_ended_run_of_its_new_incarnation)
{
  SchedulerFixture f;
  f.AddWorkers(1);
  f.Submit(f.Job("j", { f.Step(1, 1) }));
  f.EndRun(f.Plan().mStarts.at(0).mRun, RunEnd::Done);
  f.RenewAllLeases();
  const auto batch = f.mScheduler->TakeProgress();
  f.mScheduler->OnWorkerReplaced(WorkerId("w0"), f.mNow);
  f.mScheduler->OnStored(batch);
  cr_assert_eq(f.mScheduler->Workers().at(WorkerId("w0")).mLastStoredEnd, 0);
}

Test(JobRecord, round_trips_a_job_and_its_progress)
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
  f.EndRun(f.Plan().mStarts.at(1).mRun, RunEnd::Done);
  f.RenewAllLeases();
  const auto progress = f.StoreProgress().at(JobId("j"));
  Job copy(job, f.mNow.mSteady);
  cr_assert(ReadProgress(progress, copy));
  cr_assert_eq(copy.OpenOccurrences().at(0).mSteps[0].mDone, 1);
  cr_assert_eq(copy.OpenOccurrences().at(0).mSteps[0].mTasks[0].mRun, 1);
  cr_assert_not(ReadProgress("[]", copy));
}

// Guards against a second run of a task that an earlier scheduler started during an outage of the
// store, on a worker whose registry entry expired in the outage. Then neither the stored progress
// nor the registry names the worker, only the rack record.
Test(Takeover, waits_for_a_recorded_worker_that_is_not_registered)
{
  SchedulerFixture f;
  f.AddWorkers(2);
  f.Submit(f.Job("j", { f.Step(1, 1) }));
  const auto first = f.Plan().mStarts.at(0);
  const auto worker = f.mWorkers.at(first.mWorker);
  f.mWorkers.erase(first.mWorker);
  f.TakeOver({});
  f.RenewAllLeases();
  cr_assert(f.Plan().mStarts.empty(), "the run was started a second time");
  f.mWorkers[first.mWorker] = worker;
  f.RenewLease(first.mWorker);
  cr_assert(f.Plan().mStarts.empty());
  f.EndRun(first.mRun, RunEnd::Done);
  f.RenewAllLeases();
  cr_assert(f.State("j") == JobState::Completed);
}

// Guards against a takeover that is delayed by a worker which left long before.
Test(Takeover, does_not_wait_for_a_worker_that_left_before_the_takeover)
{
  SchedulerFixture f;
  f.AddWorkers(2);
  f.mScheduler->OnWorkerUnregistered(WorkerId("w0"));
  f.mWorkers.erase(WorkerId("w0"));
  f.StoreProgress();
  f.Submit(f.Job("j", { f.Step(1, 1) }));
  f.TakeOver({});
  f.RenewAllLeases();
  cr_assert_eq(f.Plan().mStarts.size(), 1);
}

// Guards against a run that the next scheduler could not learn of, because no rack record names its
// worker.
Test(Scheduler, starts_nothing_on_a_worker_that_is_not_recorded)
{
  SchedulerFixture f;
  f.AddWorkers(1);
  f.mScheduler->OnWorkerUnregistered(WorkerId("w0"));
  f.StoreProgress();
  f.mScheduler->OnWorkerEntry(f.mWorkers.at(WorkerId("w0")).mEntry, f.mNow);
  f.Submit(f.Job("j", { f.Step(1, 1) }));
  const auto batch = f.mScheduler->TakeProgress();
  cr_assert(f.Plan().mStarts.empty());
  f.mScheduler->OnStored(batch);
  cr_assert_eq(f.Plan().mStarts.size(), 1);
}

// Guards against a second run of a task whose worker has been silent since before the last
// takeover: a scheduler that stores the job's progress for another reason must keep naming that
// worker for the next one.
Test(Takeover, names_a_silent_worker_to_the_next_scheduler)
{
  SchedulerFixture f;
  f.AddWorkers(3);
  f.Submit(f.Job("j", { f.Step(2, 8) }));
  const auto first = f.Plan().mStarts;
  const auto& silent = first.at(0);
  auto progress = f.StoreProgress();
  f.mWorkers.at(silent.mWorker).mIsReachable = false;
  // Each scheduler resigns with all its progress stored, and learns something new of the other
  // task.
  for (int i = 0; i < 2; ++i) {
    f.TakeOver(progress);
    f.mScheduler->OnHandedOver(f.mScheduler->MaxLeaseDuration(), true, f.mNow);
    f.RenewAllLeases();
    cr_assert(f.Plan().mStarts.empty(), "the run on the silent worker was started a second time");
    progress = f.StoreProgress();
    cr_assert(progress.contains(JobId("j")));
  }
  f.mWorkers.at(silent.mWorker).mIsReachable = true;
  f.EndRun(silent.mRun, RunEnd::Done);
  f.EndRun(first.at(1).mRun, RunEnd::Done);
  f.RenewAllLeases();
  cr_assert(f.State("j") == JobState::Completed);
}

// Guards against a takeover that waits for a worker whose run is known to have ended: once the
// worker has answered without the run, the progress must name it no more.
Test(Takeover, names_no_worker_that_has_answered_without_the_run)
{
  SchedulerFixture f;
  f.AddWorkers(2);
  f.Submit(f.Job("j", { f.Step(1, 1) }));
  const auto first = f.Plan().mStarts.at(0);
  const auto progress = f.StoreProgress();
  f.mWorkers.at(first.mWorker).mRunning.clear();
  for (auto& [id, worker] : f.mWorkers) {
    worker.mEntry.mCapacity = {};
  }
  f.TakeOver(progress);
  f.RenewAllLeases();
  cr_assert(f.Plan().mStarts.empty());
  const auto later = f.StoreProgress();
  cr_assert(later.contains(JobId("j")));
  cr_assert_eq(later.at(JobId("j")).find(first.mWorker.Value()), std::string::npos);
}

// Guards against a worker that left with a run and delays the work of all others after a takeover.
Test(Takeover, delays_only_the_tasks_of_a_worker_that_left)
{
  SchedulerFixture f;
  f.AddWorkers(2);
  f.Submit(f.Job("j", { f.Step(1, 1) }));
  const auto first = f.Plan().mStarts.at(0);
  f.Submit(f.Job("other", { f.Step(1, 1) }));
  f.mScheduler->OnWorkerUnregistered(first.mWorker);
  const auto progress = f.StoreProgress();
  f.mWorkers.erase(first.mWorker);
  f.TakeOver(progress);
  f.RenewAllLeases();
  const auto starts = f.Plan().mStarts;
  cr_assert_eq(starts.size(), 1);
  cr_assert(starts[0].mRun.mTask.mJob == JobId("other"));
  f.AdvanceTime(f.mSettings.mStoreOutageTolerance + f.mSettings.mLeaseDuration + Duration(500));
  cr_assert_eq(f.Plan().mStarts.size(), 1);
}

// Guards against a draining worker that leaves around the time of a takeover and delays all
// inherited work. No runs are started on a draining worker, so stored progress names all that it
// runs.
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
  f.RenewAllLeases();
  cr_assert_eq(f.Plan().mStarts.size(), 1);
}

// Guards against inherited work that waits for a worker which has gone, although the progress that
// the former scheduler handed over names all runs that it had started.
Test(Takeover, does_not_delay_inherited_work_after_a_complete_hand_over)
{
  SchedulerFixture f;
  f.AddWorkers(2);
  f.Submit(f.Job("running", { f.Step(1, 1) }));
  const auto first = f.Plan().mStarts.at(0);
  f.Submit(f.Job("waiting", { f.Step(1, 1) }));
  const auto progress = f.StoreProgress();
  f.mWorkers.erase(first.mWorker);
  f.TakeOver(progress);
  f.mScheduler->OnHandedOver(f.mScheduler->MaxLeaseDuration(), true, f.mNow);
  f.RenewAllLeases();
  const auto starts = f.Plan().mStarts;
  cr_assert_eq(starts.size(), 1);
  cr_assert_eq(starts[0].mRun.mTask.mJob, JobId("waiting"));
  f.AdvanceTime(f.mSettings.mLeaseDuration - Duration(500));
  cr_assert(f.Plan().mStarts.empty());
  f.AdvanceTime(Duration(1000));
  cr_assert_eq(f.Plan().mStarts.size(), 1);
}

// Guards against a second run of a task on a worker that only a leader before the former one still
// reaches. That leader is cut off from the store and may renew the worker's lease for some time;
// the former leader settled its takeover without the worker, because it had left the registry.
Test(Takeover, waits_for_leases_that_a_leader_before_the_former_one_may_renew)
{
  SchedulerFixture f;
  f.AddWorkers(2);
  f.Submit(f.Job("j", { f.Step(1, 1) }));
  const auto first = f.Plan().mStarts.at(0);
  f.mScheduler->OnWorkerUnregistered(first.mWorker);
  const auto progress = f.StoreProgress();
  f.mWorkers.erase(first.mWorker);
  f.TakeOver(progress);
  f.RenewAllLeases();
  cr_assert(f.Plan().mStarts.empty());
  cr_assert(f.mScheduler->IsTakeoverSettled());
  const auto earlierLeases = f.mScheduler->EarlierLeases(f.mNow);
  f.TakeOver(progress);
  f.mScheduler->OnHandedOver(earlierLeases, true, f.mNow);
  f.AdvanceTime(f.mSettings.mStoreOutageTolerance + f.mSettings.mLeaseDuration);
  cr_assert(f.Plan().mStarts.empty(), "the run was started a second time");
  f.AdvanceTime(Duration(500));
  cr_assert_eq(f.Plan().mStarts.size(), 1);
}

// Guards against a takeover that waits anew for all leases of earlier leaders, although the former
// leader knows when they end.
Test(Takeover, waits_no_longer_than_the_former_leader_would_have_waited)
{
  SchedulerFixture f;
  f.AddWorkers(2);
  f.Submit(f.Job("j", { f.Step(1, 1) }));
  const auto first = f.Plan().mStarts.at(0);
  // No progress was stored, so the former leader waits for all recorded workers.
  f.mWorkers.at(first.mWorker).mIsReachable = false;
  f.TakeOver({});
  f.AdvanceTime(f.mSettings.mStoreOutageTolerance);
  cr_assert_not(f.mScheduler->IsTakeoverSettled());
  const auto earlierLeases = f.mScheduler->EarlierLeases(f.mNow);
  f.TakeOver({});
  f.mScheduler->OnHandedOver(earlierLeases, false, f.mNow);
  f.AdvanceTime(f.mSettings.mLeaseDuration);
  cr_assert(f.Plan().mStarts.empty(), "the lease may not have expired");
  f.AdvanceTime(Duration(500));
  cr_assert_eq(f.Plan().mStarts.size(), 1);
}

// Guards against a second run of a task because a former leader replies late: the bound on its
// leases must not shorten one that this scheduler has renewed itself.
Test(Takeover, keeps_its_own_leases_when_a_former_leader_replies_late)
{
  SchedulerFixture f;
  f.AddWorkers(2);
  f.TakeOver({});
  f.mScheduler->OnHandedOver(f.mScheduler->MaxLeaseDuration(), true, f.mNow);
  f.RenewAllLeases();
  f.AdvanceTime(f.mSettings.mLeaseDuration - Duration(500));
  f.StoreProgress();
  f.Submit(f.Job("j", { f.Step(1, 1) }));
  const auto first = f.Plan().mStarts.at(0);
  f.mWorkers.at(first.mWorker).mIsReachable = false;
  f.mScheduler->OnHandedOver(f.mScheduler->MaxLeaseDuration(), false, f.mNow);
  f.AdvanceTime(f.mSettings.mLeaseDuration);
  cr_assert(f.Plan().mStarts.empty(), "the run was started a second time");
  f.AdvanceTime(Duration(500));
  cr_assert_eq(f.Plan().mStarts.size(), 1);
}

// Guards against a second run of a task beside one that its numbers don't tell: two earlier leaders
// used the same number without storing it, and the end of the other run is reported first.
Test(Takeover, starts_no_run_beside_one_that_has_the_number_of_an_ended_run)
{
  SchedulerFixture f;
  f.AddWorkers(2);
  f.Submit(f.Job("j", { f.Step(1, 1) }));
  const auto start = f.Plan().mStarts.at(0);
  auto& other = f.mWorkers.at(WorkerId(start.mWorker == WorkerId("w0") ? "w1" : "w0"));
  other.mFinished = { { ++other.mNumber, start.mRun, RunEnd::LeaseExpired, "" } };
  // No progress was stored.
  f.TakeOver({});
  f.RenewLease(other.mEntry.mId);
  f.RenewLease(start.mWorker);
  const auto orders = f.Plan();
  cr_assert(orders.mStarts.empty(), "another run was started");
  cr_assert_eq(orders.mStops.size(), 1);
  f.RenewAllLeases();
  cr_assert_eq(f.Plan().mStarts.size(), 1);
}

// Guards against a former leader that counts as having no inherited leases before it has read the
// records of its predecessors.
Test(Takeover, hands_over_the_longest_wait_before_the_records_are_read)
{
  SchedulerFixture f;
  const auto wait = f.mSettings.mStoreOutageTolerance + f.mSettings.mLeaseDuration;
  cr_assert_geq(f.mScheduler->EarlierLeases(f.mNow), wait);
}

// Guards against a second run of a task whose end a worker lists only after earlier ends, because
// it lists long ones in parts: the first part contains neither the run nor its end.
Test(Takeover, waits_for_the_ends_that_a_worker_has_not_listed_yet)
{
  SchedulerFixture f;
  f.AddWorkers(2);
  f.Submit(f.Job("j", { f.Step(1, 1) }));
  const auto first = f.Plan().mStarts.at(0);
  auto progress = f.StoreProgress();
  f.EndRun(first.mRun, RunEnd::Done);
  f.TakeOver(progress);
  for (int i = 0; i < 5; ++i) {
    for (const auto& [id, worker] : f.mWorkers) {
      LeaseReport report;
      report.mClock = WorkerClock(2000 + i);
      report.mIncarnation = worker.mEntry.mIncarnation;
      report.mIsPartial = id == first.mWorker;
      f.mScheduler->OnLeaseReport(id, report, f.mNow);
    }
    cr_assert(f.Plan().mStarts.empty(), "the run was started a second time");
  }
  f.mWorkers.at(first.mWorker).mClock = 3000;
  f.RenewAllLeases();
  cr_assert(f.Plan().mStarts.empty());
  cr_assert(f.State("j") == JobState::Completed);
}

// Guards against the same without a takeover.
Test(Scheduler, gives_up_no_run_because_a_partial_list_of_ends_lacks_it)
{
  SchedulerFixture f;
  f.AddWorkers(2);
  f.Submit(f.Job("j", { f.Step(1, 1) }));
  const auto first = f.Plan().mStarts.at(0);
  f.RenewAllLeases();
  for (int i = 0; i < 5; ++i) {
    LeaseReport report;
    report.mClock = WorkerClock(2000 + i);
    report.mIncarnation = f.mWorkers.at(first.mWorker).mEntry.mIncarnation;
    report.mIsPartial = true;
    f.mScheduler->OnLeaseReport(first.mWorker, report, f.mNow);
    cr_assert(f.Plan().mStarts.empty(), "the run was started a second time");
  }
}

// Guards against a second run of a task on a silent worker that had restarted before the takeover:
// its lease may be longer than one renewal, which only the former scheduler saw.
Test(Takeover, expects_the_longest_lease_of_a_worker_that_restarted_before_it)
{
  SchedulerFixture f;
  f.AddWorkers(2);
  const WorkerId restarted("w0");
  f.RestartWorker(restarted);
  f.RenewLease(restarted);
  f.StoreProgress();
  f.mWorkers.at(WorkerId("w1")).mEntry.mCapacity = {};
  f.mScheduler->OnWorkerEntry(f.mWorkers.at(WorkerId("w1")).mEntry, f.mNow);
  f.Submit(f.Job("j", { f.Step(1, 1) }));
  cr_assert_eq(f.Plan().mStarts.at(0).mWorker, restarted);
  f.mWorkers.at(WorkerId("w1")).mEntry.mCapacity = f.mWorkers.at(restarted).mEntry.mCapacity;
  f.mWorkers.at(restarted).mIsReachable = false;
  // The start isn't in the stored progress.
  f.TakeOver({});
  f.AdvanceTime(f.mSettings.mStoreOutageTolerance + f.mSettings.mLongestLease);
  cr_assert(f.Plan().mStarts.empty(), "the lease may not have expired");
  f.AdvanceTime(Duration(500));
  cr_assert_eq(f.Plan().mStarts.size(), 1);
}

// Guards against the same if the former scheduler noticed the restart and ended before it was
// recorded. Without the hand-over the lease would be expected to end up to 4 s early.
Test(Takeover, expects_the_longest_lease_of_a_worker_whose_restart_is_handed_over)
{
  SchedulerFixture f;
  f.AddWorkers(1);
  const WorkerId restarted("w0");
  auto& worker = f.mWorkers.at(restarted);
  const auto outdated = worker.mEntry;
  f.Submit(f.Job("j", { f.Step(1, 1) }));
  const auto run = f.Plan().mStarts.at(0).mRun;
  const auto progress = f.StoreProgress();
  f.RestartWorker(restarted);
  // An order of before is carried out late. Its deadline is one of the earlier clock.
  worker.mRunning.push_back({ run, "", 0 });
  f.RenewLease(restarted);
  const auto handedOver = f.mScheduler->RestartedWorkers();
  cr_assert_eq(handedOver, std::vector{ restarted });
  worker.mIsReachable = false;
  worker.mEntry = outdated;
  f.TakeOver(progress);
  f.AddWorkers(1);
  f.mScheduler->OnRestartsHandedOver(handedOver);
  f.mScheduler->OnHandedOver(f.mScheduler->MaxLeaseDuration(), true, f.mNow);
  f.AdvanceTime(f.mSettings.mLongestLease);
  cr_assert(f.Plan().mStarts.empty(), "the lease may not have expired");
  f.AdvanceTime(Duration(500));
  cr_assert_eq(f.Plan().mStarts.size(), 1);
}

// Guards against the same if the former scheduler ended without having noticed the restart: neither
// the stored records nor the worker, which is silent, tell of it.
Test(Takeover, expects_the_longest_lease_of_a_worker_whose_restart_nobody_noticed)
{
  SchedulerFixture f;
  f.AddWorkers(1);
  const WorkerId restarted("w0");
  auto& worker = f.mWorkers.at(restarted);
  worker.mAnswersOrders = false;
  f.Submit(f.Job("j", { f.Step(1, 1) }));
  // The start has no answer and is carried out by the next incarnation.
  cr_assert_eq(f.Plan().mStarts.size(), 1);
  const auto progress = f.StoreProgress();
  worker.mIsReachable = false;
  f.TakeOver(progress);
  f.AddWorkers(1);
  f.mScheduler->OnHandedOver(f.mScheduler->MaxLeaseDuration(), true, f.mNow);
  f.AdvanceTime(f.mSettings.mLongestLease);
  cr_assert(f.Plan().mStarts.empty(), "the lease may not have expired");
  f.AdvanceTime(Duration(500));
  cr_assert_eq(f.Plan().mStarts.size(), 1);
}

// Guards against the same if the worker restarts around the takeover: the incarnation that answers
// isn't the recorded one.
Test(Takeover, notices_that_a_worker_is_not_the_recorded_incarnation)
{
  SchedulerFixture f;
  f.AddWorkers(1);
  f.RestartWorker(WorkerId("w0"));
  f.TakeOver({});
  f.RenewAllLeases();
  cr_assert(f.mScheduler->Workers().at(WorkerId("w0")).mHasRestarted);
  f.StoreProgress();
  f.TakeOver({});
  cr_assert(f.mScheduler->Workers().at(WorkerId("w0")).mHasRestarted);
}

// Guards against a second run of a task after a takeover: a scheduler that didn't know of a run
// gave its number to a run on another worker. The first run's lease expired, and the worker
// reported its end while the other run was in progress.
Test(Takeover, keeps_a_run_whose_number_an_earlier_scheduler_used_on_another_worker)
{
  SchedulerFixture f;
  f.AddWorkers(2);
  f.Submit(f.Job("j", { f.Step(1, 1) }));
  const auto first = f.Plan().mStarts.at(0);
  auto& worker = f.mWorkers.at(first.mWorker);
  worker.mIsReachable = false;
  // The start isn't in the stored progress.
  f.TakeOver({});
  f.AdvanceTime(f.mSettings.mStoreOutageTolerance + f.mSettings.mLeaseDuration + Duration(500));
  const auto second = f.Plan().mStarts.at(0);
  cr_assert_eq(second.mRun, first.mRun);
  cr_assert_neq(second.mWorker, first.mWorker);
  f.RenewAllLeases();
  worker.mRunning.clear();
  worker.mFinished = { { ++worker.mNumber, first.mRun, RunEnd::LeaseExpired, "" } };
  worker.mIsReachable = true;
  f.RenewAllLeases();
  f.Plan();
  f.TakeOver(f.StoreProgress());
  f.RenewAllLeases();
  const auto orders = f.Plan();
  cr_assert(orders.mStarts.empty(), "another run was started");
  cr_assert(orders.mStops.empty(), "the run was stopped");
}

// Guards against the same if the worker of the first run reports its end to the new scheduler,
// before the worker of the other run has answered.
Test(Takeover, takes_an_end_for_that_of_the_recorded_run_only_from_its_worker)
{
  SchedulerFixture f;
  f.AddWorkers(2);
  f.Submit(f.Job("j", { f.Step(1, 1) }));
  const auto start = f.Plan().mStarts.at(0);
  f.RenewAllLeases();
  const auto progress = f.StoreProgress();
  auto& other = f.mWorkers.at(WorkerId(start.mWorker == WorkerId("w0") ? "w1" : "w0"));
  other.mFinished = { { ++other.mNumber, start.mRun, RunEnd::LeaseExpired, "" } };
  f.TakeOver(progress);
  f.RenewLease(other.mEntry.mId);
  f.RenewAllLeases();
  const auto orders = f.Plan();
  cr_assert(orders.mStarts.empty(), "another run was started");
  cr_assert(orders.mStops.empty(), "the run was stopped");
}

// Guards against a task that waits forever because an earlier scheduler's run of it, with a higher
// number, ended on another worker while the current run was in progress.
Test(Takeover, keeps_a_run_with_a_lower_number_than_an_ended_one_on_another_worker)
{
  SchedulerFixture f;
  f.AddWorkers(2);
  f.Submit(f.Job("j", { f.Step(1, 1) }));
  const auto start = f.Plan().mStarts.at(0);
  f.RenewAllLeases();
  auto& other = f.mWorkers.at(WorkerId(start.mWorker == WorkerId("w0") ? "w1" : "w0"));
  other.mFinished = { { ++other.mNumber, { start.mRun.mTask, 2 }, RunEnd::Failed, "" } };
  f.RenewAllLeases();
  cr_assert(f.Plan().mStops.empty(), "the run was stopped");
  f.EndRun(start.mRun, RunEnd::Stopped);
  f.RenewAllLeases();
  const auto next = f.Plan().mStarts;
  cr_assert_eq(next.size(), 1);
  // The number of a failed run isn't used again, since another failure with it wouldn't count.
  cr_assert_eq(next[0].mRun.mRun, 3);
}

// Guards against a second run of a task that a restarted worker begins late: the former scheduler
// may have sent the start of an inherited run twice, and the new incarnation knows no fencing token
// by which it would refuse the second order.
Test(Takeover, stops_an_inherited_run_on_a_restarted_worker_before_it_starts_another_run)
{
  SchedulerFixture f;
  f.AddWorkers(2);
  f.Submit(f.Job("j", { f.Step(1, 1) }));
  const auto first = f.Plan().mStarts.at(0);
  f.TakeOver(f.StoreProgress());
  f.RenewAllLeases();
  cr_assert(f.Plan().mStarts.empty());
  f.RestartWorker(first.mWorker);
  f.mScheduler->OnWorkerEntry(f.mWorkers.at(first.mWorker).mEntry, f.mNow);
  cr_assert(f.Plan().mStarts.empty(), "another run was started before the worker answered");
  f.mWorkers.at(first.mWorker).mRunning.push_back({ first.mRun, "", 0 });
  f.RenewAllLeases();
  const auto orders = f.Plan();
  cr_assert(orders.mStarts.empty(), "another run was started before the first was stopped");
  cr_assert_eq(orders.mStops.size(), 1);
  cr_assert_eq(orders.mStops[0].mRun, first.mRun);
  f.RenewAllLeases();
  cr_assert_eq(f.Plan().mStarts.size(), 1);
}

// Guards against runs that are given up because the first registry entry that a scheduler reads is
// older than the worker's report: a worker whose wall clock was set back before it restarted has an
// earlier incarnation with a higher number.
Test(Takeover, keeps_the_runs_of_a_worker_whose_registry_entry_is_older_than_its_report)
{
  SchedulerFixture f;
  f.AddWorkers(1);
  const WorkerId id("w0");
  auto& worker = f.mWorkers.at(id);
  const auto outdated = worker.mEntry;
  worker.mEntry.mIncarnation = WorkerIncarnation(50);
  worker.mClock = 1;
  f.RenewLease(id);
  f.StoreProgress();
  f.Submit(f.Job("j", { f.Step(1, 1) }));
  cr_assert_eq(f.Plan().mStarts.size(), 1);
  const auto progress = f.StoreProgress();
  f.Restart();
  f.mScheduler->AddRecordedWorkers(worker.mEntry.mRack, f.mRacks.at(worker.mEntry.mRack));
  cr_assert(f.mScheduler->AddJob(f.mJobs.at(0), progress.at(JobId("j")), true, f.mNow));
  f.RenewLease(id);
  f.mScheduler->OnWorkerEntry(outdated, f.mNow);
  f.RenewLease(id);
  const auto orders = f.Plan();
  cr_assert(orders.mStarts.empty(), "another run was started");
  cr_assert(orders.mStops.empty(), "the run was stopped");
}

// Guards against a job that fails too early, or makes too many attempts: workers go on to list the
// ends of failed runs, which the former scheduler has counted.
Test(Takeover, counts_no_failed_run_again_that_the_former_scheduler_counted)
{
  SchedulerFixture f;
  f.AddWorkers(2);
  auto job = f.Job("j", { f.Step(1, 1) });
  job.mPolicy.mMaxAttempts = 3;
  f.Submit(job);
  const auto first = f.Plan().mStarts.at(0);
  f.EndRun(first.mRun, RunEnd::Failed);
  f.RenewAllLeases();
  f.RestartWorker(first.mWorker);
  f.mWorkers.at(first.mWorker).mRunning.push_back({ first.mRun, "", 0 });
  f.EndRun(first.mRun, RunEnd::Failed);
  f.RenewAllLeases();
  f.TakeOver(f.StoreProgress());
  f.RenewAllLeases();
  cr_assert(f.State("j") != JobState::Failed, "a failed run was counted again");
  const auto third = f.Plan().mStarts.at(0);
  f.EndRun(third.mRun, RunEnd::Failed);
  f.RenewAllLeases();
  cr_assert(f.State("j") == JobState::Failed, "a failed run wasn't counted any more");
}

// Guards against the same after an update: the progress of an earlier version doesn't tell on which
// incarnations the runs have failed.
Test(Takeover, counts_no_failed_run_again_that_an_earlier_version_counted)
{
  SchedulerFixture f;
  f.AddWorkers(2);
  f.Submit(f.Job("j", { f.Step(1, 1) }));
  const auto first = f.Plan().mStarts.at(0);
  f.EndRun(first.mRun, RunEnd::Failed);
  f.TakeOver({ { JobId("j"), R"({"state":"in_progress","next":1,"done":0,"open":[)"
                             R"({"number":0,"steps":[[[1,1,[1],"",""]]]}]})" } });
  f.RenewAllLeases();
  cr_assert(f.State("j") != JobState::Failed, "the failed run was counted again");
}

Test(RackRecord, reads_the_rows_of_earlier_versions)
{
  const auto workers = ReadRackRecord(R"([["a","10.0.0.1:1"],["b","10.0.0.2:1",7,true]])");
  cr_assert(workers.has_value());
  cr_assert_eq(workers->size(), 2);
  cr_assert_eq(workers->at(0).mIncarnation, WorkerIncarnation(0));
  cr_assert_eq(workers->at(1).mIncarnation, WorkerIncarnation(7));
  cr_assert(workers->at(1).mHasRestarted);
  cr_assert_eq(WriteRackRecord({ workers->at(1) }), std::string(R"([["b","10.0.0.2:1",7,true]])"));
}

// Guards against a start order for a job that was cancelled between the plan and the answer of the
// store, before the next plan has marked the run as unwanted.
Test(ReleaseStart, sends_no_order_for_a_job_that_was_cancelled_since_the_plan)
{
  SchedulerFixture f;
  f.AddWorkers(1);
  f.Submit(f.Job("j", { f.Step(1, 1) }));
  const auto held = f.mScheduler->Plan(f.mNow).mStarts.at(0);
  f.mScheduler->CancelJob(JobId("j"), f.mNow);
  cr_assert_not(f.mScheduler->ReleaseStart(held.mWorker, held.mRun, f.mNow));
}

// Guards against a start of a task whose end is known: a worker that was silent until its lease
// ended reports an earlier run as done while the record of the next run is being stored.
Test(ReleaseStart, sends_no_order_for_a_task_that_was_reported_as_done_since_the_plan)
{
  SchedulerFixture f;
  f.AddWorkers(2);
  f.Submit(f.Job("j", { f.Step(1, 1) }));
  const auto first = f.Plan().mStarts.at(0);
  f.RenewAllLeases();
  f.EndRun(first.mRun, RunEnd::Done);
  f.mWorkers.at(first.mWorker).mIsReachable = false;
  f.AdvanceTime(f.mScheduler->MaxLeaseDuration() + Duration(500));
  const auto held = f.mScheduler->Plan(f.mNow).mStarts.at(0);
  cr_assert_neq(held.mWorker, first.mWorker);
  f.mWorkers.at(first.mWorker).mIsReachable = true;
  f.RenewLease(first.mWorker);
  cr_assert(f.State("j") == JobState::Completed);
  cr_assert_not(f.mScheduler->ReleaseStart(held.mWorker, held.mRun, f.mNow));
}

// Guards against a part of a gang that is started although another part can't be.
Test(ReleaseStart, sends_no_order_for_a_gang_of_which_a_part_was_withdrawn)
{
  SchedulerFixture f;
  f.AddWorkers(2);
  f.Submit(f.Job("j", { f.Gang(2, 8) }));
  const auto held = f.mScheduler->Plan(f.mNow).mStarts;
  cr_assert_eq(held.size(), 2);
  f.mScheduler->OnWorkerUnregistered(held[0].mWorker);
  cr_assert_not(f.mScheduler->ReleaseStart(held[0].mWorker, held[0].mRun, f.mNow));
  cr_assert_not(f.mScheduler->ReleaseStart(held[1].mWorker, held[1].mRun, f.mNow));
}
