#include "JobFixture.h"
#include "base/WallClock.h"

using namespace lovagerock;
using namespace lovagerock::jobs;

Test(JobCoordinator, runs_a_gang_and_stores_its_answers)
{
  Cluster cluster(2);
  Planner planner(cluster, "n1");
  planner.mCoordinator.Activate();
  const auto job = cluster.Submit(cluster.Job("k", 12, kShortPayload));
  planner.mCoordinator.OnJobChanged(job.mJob);
  const auto done = cluster.UntilDone(job.mJob);
  cr_assert_eq(done.mState, JobState::Finished);
  cr_assert_eq(done.mAnswers.size(), 12);
  cr_assert_eq(done.mAttempt, 1, "a gang whose leases a worker had not reported yet was restarted");
  cr_assert_eq(TotalStarts(cluster), 12);
}

// Guards against tasks of a gang being started although one of them could not be reserved.
Test(JobCoordinator, starts_no_task_of_a_gang_that_cannot_be_fully_reserved)
{
  Cluster cluster(2);
  Planner planner(cluster, "n1");
  cluster.SetFaults(1, R"({"freeze":true})");
  planner.mCoordinator.Activate();
  const auto job = cluster.Submit(cluster.Job("k", 16, kShortPayload));
  planner.mCoordinator.OnJobChanged(job.mJob);
  // The frozen worker was reported live before, so the first plan uses it.
  cluster.Until([&] {
    const auto it = planner.mCoordinator.Jobs().find(job.mJob);
    return it != planner.mCoordinator.Jobs().end() && it->second.mNotBefore != TimePoint();
  });
  cr_assert_eq(TotalStarts(cluster), 0);
  cluster.SetFaults(1, R"({"freeze":false})");
  cr_assert_eq(cluster.UntilDone(job.mJob).mState, JobState::Finished);
}

// Guards against losing the answer of a job, or running it again, when the store is down as the job
// finishes.
Test(JobCoordinator, keeps_the_answer_during_an_outage_of_the_store)
{
  Cluster cluster(1);
  Planner planner(cluster, "n1");
  planner.mCoordinator.Activate();
  const auto job = cluster.Submit(cluster.Job("k", 1, R"({"run_ms":300,"answer":"42"})"));
  planner.mCoordinator.OnJobChanged(job.mJob);
  cluster.Until([&] { return planner.IsRunning(job.mJob); });
  cluster.mStore.SetAvailable(false);
  const auto calls = cluster.mStore.Calls();
  cluster.Until([&] { return cluster.mStore.Calls() > calls + 1; });
  cluster.mStore.SetAvailable(true);
  const auto done = cluster.UntilDone(job.mJob);
  cr_assert_eq(done.mState, JobState::Finished);
  cr_assert_eq(TotalStarts(cluster), 1);
}

// Guards against losing or mixing up answers of a batch, and against running tasks again, when the
// response to the write of a batch is lost or the store goes down after it.
Test(JobCoordinator, stores_answer_batches_despite_lost_responses_and_an_outage)
{
  for (const bool outage : { false, true }) {
    Cluster cluster(9);
    Planner planner(cluster, "n1");
    planner.mCoordinator.Activate();
    auto record = cluster.Job("k", 70, kShortPayload);
    record.mSpec.mPayloads.clear();
    for (int i = 0; i < 70; ++i) {
      record.mSpec.mPayloads.push_back(R"({"run_ms":300,"answer":"answer )" + std::to_string(i) +
                                       R"("})");
    }
    const auto job = cluster.Submit(record);
    planner.mCoordinator.OnJobChanged(job.mJob);
    cluster.Until([&] { return planner.IsRunning(job.mJob); });
    if (outage) {
      cluster.mStore.GoDownAfterWrite();
      const auto calls = cluster.mStore.Calls();
      cluster.Until([&] { return cluster.mStore.Calls() > calls + 2; });
      cluster.mStore.SetAvailable(true);
    } else {
      cluster.mStore.LoseAnswers(2);
    }
    const auto done = cluster.UntilDone(job.mJob);
    cr_assert_eq(done.mState, JobState::Finished);
    cr_assert_eq(done.mAnswers.size(), 70);
    cr_assert_eq(TotalStarts(cluster), 70);
    for (int i = 0; i < 70; ++i) {
      bool read = false;
      cluster.mAnswers.ReadPiece(
        job.mJob, done.mAttempt, i, 0, [&](std::error_code, const std::string& aPiece) {
          cr_assert_eq(HashText(aPiece), done.mAnswers[static_cast<std::size_t>(i)].mHash);
          cr_assert_neq(aPiece.find("answer " + std::to_string(i)), std::string::npos);
          read = true;
        });
      cluster.Until([&] { return read; });
    }
  }
}

// Guards against starving a large gang that waits for the limit of concurrent starts: later small
// gangs must not overtake it.
Test(JobCoordinator, starts_no_gang_before_one_that_waits_for_the_limit)
{
  Cluster cluster(2);
  CoordinatorSettings times;
  times.mMaxStartingTasks = 4;
  Planner planner(cluster, "n1", times);
  // At frozen workers the reservation calls of the first gang stay open for a while.
  cluster.SetFaults(0, R"({"freeze":true})");
  cluster.SetFaults(1, R"({"freeze":true})");
  const auto now = WallClockMs();
  const auto submit = [&](const char* aKey, int aTasks, std::int64_t aSubmittedMs) {
    auto job = cluster.Job(aKey, aTasks, kShortPayload);
    job.mSubmittedMs = aSubmittedMs;
    return cluster.Submit(job).mJob;
  };
  // The order of the jobs is that of their submission times.
  const auto first = submit("k1", 2, now - 300);
  const auto large = submit("k2", 5, now - 200);
  const auto small = submit("k3", 2, now - 100);
  planner.mCoordinator.Activate();
  const auto phase = [&](const JobId& aJob) { return planner.mCoordinator.Jobs().at(aJob).mPhase; };
  cluster.Until([&] { return planner.mCoordinator.Jobs().size() == 3; });
  cluster.Until([&] {
    const bool together = phase(first) == JobPhase::Starting && phase(small) == JobPhase::Starting;
    cr_assert_not(together);
    return phase(large) != JobPhase::Queued;
  });
  cluster.SetFaults(0, R"({"freeze":false})");
  cluster.SetFaults(1, R"({"freeze":false})");
  for (const auto& it : { first, large, small }) {
    cr_assert_eq(cluster.UntilDone(it).mState, JobState::Finished);
  }
}

// Guards against starting many gangs at once. Without a limit their open calls took more memory
// than the rest of the planner's state.
Test(JobCoordinator, limits_the_tasks_of_starts_in_progress)
{
  Cluster cluster(2);
  CoordinatorSettings times;
  times.mMaxStartingTasks = 4;
  Planner planner(cluster, "n1", times);
  // Reservation calls to the frozen workers, which were reported live before, stay open for a
  // while.
  cluster.SetFaults(0, R"({"freeze":true})");
  cluster.SetFaults(1, R"({"freeze":true})");
  planner.mCoordinator.Activate();
  std::vector<JobId> jobs;
  for (const char* it : { "k1", "k2", "k3" }) {
    jobs.push_back(cluster.Submit(cluster.Job(it, 4, kShortPayload)).mJob);
    planner.mCoordinator.OnJobChanged(jobs.back());
  }
  // This gang is larger than the limit and starts alone.
  jobs.push_back(cluster.Submit(cluster.Job("k4", 5, kShortPayload)).mJob);
  planner.mCoordinator.OnJobChanged(jobs.back());
  std::size_t refused = 0;
  cluster.Until([&] {
    std::size_t starting = 0;
    refused = 0;
    for (const auto& [id, job] : planner.mCoordinator.Jobs()) {
      starting += job.mPhase == JobPhase::Starting ? 1 : 0;
      refused += job.mNotBefore != TimePoint() ? 1 : 0;
    }
    cr_assert_leq(starting, 1);
    return refused > 0;
  });
  cluster.SetFaults(0, R"({"freeze":false})");
  cluster.SetFaults(1, R"({"freeze":false})");
  for (const auto& it : jobs) {
    cr_assert_eq(cluster.UntilDone(it).mState, JobState::Finished);
  }
}

// Guards against missing worker changes because WorkerJobs lacks an attempt that was started,
// restarted or adopted. The long periods keep the plan and relist timers from checking the gangs.
Test(JobCoordinator, detects_the_end_of_each_attempt_from_worker_changes_alone)
{
  Cluster cluster(2);
  CoordinatorSettings times;
  times.mPlanPeriod = Duration(3600000);
  times.mRelistPeriod = Duration(3600000);
  Planner first(cluster, "n1", times);
  Planner second(cluster, "n2", times);
  cluster.SetFaults(0, R"({"fail_all":true})");
  first.mCoordinator.Activate();
  const auto again = cluster.Submit(cluster.Job("again", 8, kShortPayload));
  first.mCoordinator.OnJobChanged(again.mJob);
  cr_assert_eq(cluster.UntilDone(again.mJob).mState, JobState::Finished);
  cluster.SetFaults(0, R"({"fail_all":false})");
  const auto adopted = cluster.Submit(cluster.Job("k", 4, R"({"run_ms":500,"answer":"42"})"));
  first.mCoordinator.OnJobChanged(adopted.mJob);
  cluster.Until([&] { return first.IsRunning(adopted.mJob); });
  second.mCoordinator.Activate();
  cr_assert_eq(cluster.UntilDone(adopted.mJob).mState, JobState::Finished);
}

// Guards against predictions from run times that are too short: those of attempts that resumed from
// a checkpoint or were started by another planner.
Test(JobCoordinator, learns_run_times_of_first_attempts_that_it_started)
{
  Cluster cluster(2);
  Planner first(cluster, "n1");
  Planner second(cluster, "n2");
  first.mCoordinator.Activate();
  std::uint64_t firstAttempts = 0;
  for (const bool fails : { false, true }) {
    cluster.SetFaults(0, fails ? R"({"fail_all":true})" : R"({"fail_all":false})");
    const auto job = cluster.Submit(cluster.Job(fails ? "fails" : "whole", 8, kShortPayload));
    first.mCoordinator.OnJobChanged(job.mJob);
    const auto done = cluster.UntilDone(job.mJob);
    cr_assert_eq(done.mState, JobState::Finished);
    firstAttempts += done.mAttempt == 1 ? 1 : 0;
    cr_assert_eq(first.mCoordinator.LearnedRunTimes(), firstAttempts);
  }
  cluster.SetFaults(0, R"({"fail_all":false})");
  const auto adopted = cluster.Submit(cluster.Job("k", 4, R"({"run_ms":500,"answer":"42"})"));
  first.mCoordinator.OnJobChanged(adopted.mJob);
  cluster.Until([&] { return first.IsRunning(adopted.mJob); });
  second.mCoordinator.Activate();
  cr_assert_eq(cluster.UntilDone(adopted.mJob).mState, JobState::Finished);
  cr_assert_eq(second.mCoordinator.LearnedRunTimes(), 0);
}

// Guards against failing a job for a task error although it may succeed on another worker.
Test(JobCoordinator, runs_a_failed_idempotent_job_on_another_worker)
{
  Cluster cluster(2);
  Planner planner(cluster, "n1");
  cluster.SetFaults(0, R"({"fail_all":true})");
  planner.mCoordinator.Activate();
  const auto job = cluster.Submit(cluster.Job("k", 8, kShortPayload));
  planner.mCoordinator.OnJobChanged(job.mJob);
  const auto done = cluster.UntilDone(job.mJob);
  cr_assert_eq(done.mState, JobState::Finished);
}

// Guards against running a job again that must run at most once.
Test(JobCoordinator, does_not_run_an_interrupted_non_idempotent_job_again)
{
  Cluster cluster(1);
  Planner planner(cluster, "n1");
  planner.mCoordinator.Activate();
  auto record = cluster.Job("k", 2, kLongPayload);
  record.mSpec.mIdempotent = false;
  const auto job = cluster.Submit(record);
  planner.mCoordinator.OnJobChanged(job.mJob);
  cluster.Until([&] { return planner.IsRunning(job.mJob); });
  // The worker restarts without its former leases.
  const auto address = cluster.mWorkers[0]->Address();
  cluster.mWorkers[0].reset();
  standin::WorkerSettings settings;
  settings.mWorker = WorkerId("w0");
  settings.mRegion = RegionId("r");
  settings.mIncarnation = "second";
  settings.mCapacity = { Slots(8), Accelerators(8), Cores(64), MemoryMiB(1024) };
  cluster.mWorkers[0] = std::make_unique<standin::WorkerServer>(cluster.mLoop, settings,
                                                                cluster.mCounters, cluster.mTrace);
  cr_assert_not(cluster.mWorkers[0]->Listen(address));
  const auto done = cluster.UntilDone(job.mJob);
  cr_assert_eq(done.mState, JobState::Interrupted);
  cr_assert_eq(done.mRan, Ran::Partly);
  cr_assert_eq(TotalStarts(cluster), 2);
}

// Guards against a planner that starts tasks without knowing whether its commit took effect, and
// against reporting a job as interrupted although no start was sent to a worker.
Test(JobCoordinator, does_not_start_while_the_commit_is_uncertain)
{
  Cluster cluster(1);
  Planner planner(cluster, "n1");
  planner.mCoordinator.Activate();
  auto record = cluster.Job("k", 2, kShortPayload);
  record.mSpec.mIdempotent = false;
  const auto job = cluster.Submit(record);
  cluster.mStore.GoDownAfterWrite();
  planner.mCoordinator.OnJobChanged(job.mJob);
  // The store goes down with the commit, so the record cannot be read back.
  const auto isUncertain = [&] {
    const auto it = planner.mCoordinator.Jobs().find(job.mJob);
    return it != planner.mCoordinator.Jobs().end() && it->second.mPhase == JobPhase::Writing;
  };
  cluster.Until(isUncertain);
  cr_assert_eq(TotalStarts(cluster), 0);
  cluster.mStore.SetAvailable(true);
  const auto done = cluster.UntilDone(job.mJob);
  cr_assert_eq(done.mState, JobState::Finished);
  cr_assert_eq(done.mAttempt, 2);
  cr_assert_eq(TotalStarts(cluster), 2);
}

// Guards against abandoning a commit whose response was lost, although the record read back has
// this planner's write token.
Test(JobCoordinator, starts_when_a_lost_commit_is_read_back)
{
  Cluster cluster(1);
  Planner planner(cluster, "n1");
  planner.mCoordinator.Activate();
  const auto job = cluster.Submit(cluster.Job("k", 2, kShortPayload));
  cluster.mStore.LoseAnswers(1);
  planner.mCoordinator.OnJobChanged(job.mJob);
  const auto done = cluster.UntilDone(job.mJob);
  cr_assert_eq(done.mState, JobState::Finished);
  cr_assert_eq(TotalStarts(cluster), 2);
}

Test(JobCoordinator, cancels_queued_and_running_jobs)
{
  Cluster cluster(1);
  Planner planner(cluster, "n1");
  planner.mCoordinator.Activate();
  const auto running = cluster.Submit(cluster.Job("k1", 8, kLongPayload));
  planner.mCoordinator.OnJobChanged(running.mJob);
  cluster.Until([&] { return planner.IsRunning(running.mJob); });
  const auto queued = cluster.Submit(cluster.Job("k2", 8, kLongPayload));
  planner.mCoordinator.OnJobChanged(queued.mJob);
  cluster.Until([&] { return planner.mCoordinator.Jobs().contains(queued.mJob); });
  for (const auto& id : { queued.mJob, running.mJob }) {
    auto record = cluster.Load(id);
    record.mCancelRequested = true;
    bool done = false;
    cluster.mJobStore.Update(record, [&](std::error_code aError, const JobRecord&) {
      cr_assert_not(aError);
      done = true;
    });
    cluster.Until([&] { return done; });
    planner.mCoordinator.OnJobChanged(id);
    cr_assert_eq(cluster.UntilDone(id).mState, JobState::Cancelled);
  }
  cr_assert_eq(cluster.Load(queued.mJob).mRan, Ran::No);
  cr_assert_eq(cluster.Load(running.mJob).mRan, Ran::Partly);
}

// Guards against capacity being held by orphaned leases, which belong to no job.
Test(JobCoordinator, releases_leases_without_a_job)
{
  Cluster cluster(1);
  Planner planner(cluster, "n1");
  workers::LeaseRequest request;
  request.mLease = LeaseId("j-lost.token.0");
  request.mFence = { 1, NodeId("n0") };
  request.mTtl = Duration(60000);
  request.mJob = JobId("j-lost");
  request.mResources = { Slots(1), Accelerators(1), Cores(0), MemoryMiB(0) };
  bool reserved = false;
  cluster.mApi.Reserve(cluster.mList[0].mAddress, request,
                       [&](std::error_code aError, const workers::LeaseState&) {
                         cr_assert_not(aError);
                         reserved = true;
                       });
  cluster.Until([&] { return reserved; });
  planner.mCoordinator.Activate();
  cluster.Until([&] {
    const auto& state = *planner.mCoordinator.Views().begin()->second.mState;
    return state.mFence == planner.mCoordinator.GetFence() && state.mLeases.empty();
  });
}
