#include "JobFixture.h"

#include <algorithm>
#include <utility>

using namespace lovagerock;
using namespace lovagerock::jobs;

namespace {

// Reserves a gang's leases on one worker as another planner with an older fence would, and returns
// the record that the other planner would commit.
JobRecord
ReserveAsOtherPlanner(Cluster& aCluster, const JobRecord& aSubmitted)
{
  auto record = aSubmitted;
  record.mStartToken = "elsewhere";
  record.mAttempt = 1;
  int open = record.mSpec.mTasks;
  for (int i = 0; i < record.mSpec.mTasks; ++i) {
    record.mPlacements.push_back({ WorkerId("w0"), aCluster.mList[0].mAddress, false });
    workers::LeaseRequest request;
    request.mLease = TaskLeaseId(record, i);
    request.mFence = { 0, NodeId("n0") };
    request.mTtl = Duration(60000);
    request.mJob = record.mJob;
    request.mTask = i;
    request.mTasks = record.mSpec.mTasks;
    request.mAttempt = 1;
    request.mResources = record.mSpec.mPerTask;
    request.mPayload = record.mSpec.PayloadOf(i);
    aCluster.mApi.Reserve(aCluster.mList[0].mAddress, request,
                          [&](std::error_code aError, const workers::LeaseState&) {
                            cr_assert_not(aError);
                            --open;
                          });
  }
  aCluster.Until([&] { return open == 0; });
  record.mState = JobState::Started;
  record.mRan = Ran::Partly;
  return record;
}

// Submits a non-idempotent job that takes all slots of one worker.
JobRecord
SubmitWholeWorker(Cluster& aCluster)
{
  auto record = aCluster.Job("k", 8, kShortPayload);
  record.mSpec.mIdempotent = false;
  return aCluster.Submit(record);
}

// Before each start, makes the fence of a newer planner known to one worker.
struct FenceRaisingApi : workers::HttpWorkerApi
{
  using HttpWorkerApi::HttpWorkerApi;

  SocketAddress mFencedWorker;

  void Start(const SocketAddress& aWorker, const LeaseId& aLease, const workers::Fence& aFence,
             Duration aTtl, workers::DoneCallback aCallback)
  {
    const workers::Fence newer{ aFence.mEpoch + 1, NodeId("newer") };
    Renew(mFencedWorker, newer, Duration(1000), {},
          [this, aWorker, aLease, aFence, aTtl, aCallback](std::error_code aError,
                                                           const std::vector<LeaseId>&) {
            cr_assert_not(aError);
            HttpWorkerApi::Start(aWorker, aLease, aFence, aTtl, aCallback);
          });
  }
};

} // namespace

// Guards against losing or restarting a running gang when another node takes over as planner.
Test(JobCoordinator, takes_over_a_running_gang)
{
  Cluster cluster(1);
  Planner first(cluster, "n1");
  Planner second(cluster, "n2");
  first.mCoordinator.Activate();
  const auto job = cluster.Submit(cluster.Job("k", 4, R"({"run_ms":500,"answer":"42"})"));
  first.mCoordinator.OnJobChanged(job.mJob);
  cluster.Until([&] { return first.IsRunning(job.mJob); });
  second.mCoordinator.Activate();
  const auto done = cluster.UntilDone(job.mJob);
  cr_assert_eq(done.mState, JobState::Finished);
  cr_assert_eq(done.mAttempt, 1);
  cr_assert_eq(TotalStarts(cluster), 4);
  cluster.Until([&] { return !first.mCoordinator.IsActive(); });
}

// Guards against part of a gang running for as long as its planner is partitioned from the store
// and from some of the gang's workers.
Test(JobCoordinator, lets_a_partial_gang_expire_while_the_store_is_down)
{
  Cluster cluster(2);
  CoordinatorSettings times;
  times.mGang.mRunningTtl = Duration(1500);
  times.mRenewPeriod = Duration(200);
  const auto workers = cluster.mList;
  Planner first(cluster, "n1", times);
  first.mCoordinator.Activate();
  const auto job = cluster.Submit(cluster.Job("k", 16, kLongPayload));
  first.mCoordinator.OnJobChanged(job.mJob);
  cluster.Until([&] { return first.IsRunning(job.mJob); });
  first.mCoordinator.Deactivate("cut off");
  cluster.mStore.SetAvailable(false);
  cluster.mList = { workers[0] };
  Planner second(cluster, "n2", times);
  second.mCoordinator.Activate();
  const auto phases = [&](workers::LeasePhase aPhase) {
    const auto& leases = second.mCoordinator.Views().begin()->second.mState->mLeases;
    return std::count_if(leases.begin(), leases.end(),
                         [&](const auto& aLease) { return aLease.mPhase == aPhase; });
  };
  cluster.Until([&] { return phases(workers::LeasePhase::Running) == 0; });
  cr_assert_eq(phases(workers::LeasePhase::Finished), 0, "part of the gang ran to its end");
}

// Guards against ending a complete gang because another node took over as planner while the store
// was down.
Test(JobCoordinator, keeps_a_complete_gang_running_while_the_store_is_down)
{
  Cluster cluster(2);
  CoordinatorSettings times;
  // Long enough that renewals are in time on a busy machine, and shorter than the run time of the
  // tasks, so that they depend on renewals.
  times.mGang.mRunningTtl = Duration(5000);
  times.mRenewPeriod = Duration(200);
  Planner first(cluster, "n1", times);
  first.mCoordinator.Activate();
  const auto job = cluster.Submit(cluster.Job("k", 16, R"({"run_ms":7000,"answer":"42"})"));
  first.mCoordinator.OnJobChanged(job.mJob);
  cluster.Until([&] { return first.IsRunning(job.mJob); });
  first.mCoordinator.Deactivate("cut off");
  cluster.mStore.SetAvailable(false);
  Planner second(cluster, "n2", times);
  second.mCoordinator.Activate();
  cluster.Until([&] {
    int finished = 0;
    for (const auto& [id, view] : second.mCoordinator.Views()) {
      for (const auto& it : view.mState->mLeases) {
        cr_assert_neq(it.mPhase, workers::LeasePhase::Stopped);
        finished += it.mPhase == workers::LeasePhase::Finished ? 1 : 0;
      }
    }
    return finished == 16;
  });
  cluster.mStore.SetAvailable(true);
  cr_assert_eq(cluster.UntilDone(job.mJob).mState, JobState::Finished);
  cr_assert_eq(TotalStarts(cluster), 16);
}

// Guards against a former planner that resumes after a pause and sends commands to workers.
Test(JobCoordinator, steps_down_when_a_worker_refuses_its_fence)
{
  Cluster cluster(1);
  Planner first(cluster, "n1");
  Planner second(cluster, "n2");
  first.mCoordinator.Activate();
  cluster.Until(
    [&] { return second.mCoordinator.Views().begin()->second.mState->mFence.mEpoch == 1; });
  second.mCoordinator.Activate();
  cluster.Until([&] { return !first.mCoordinator.IsActive(); });
  cr_assert(second.mCoordinator.IsActive());
  cr_assert_gt(second.mCoordinator.GetFence(), first.mCoordinator.GetFence());
}

// Guards against reporting a job as interrupted although it never ran: the former planner commits a
// start after the new one has read the record, and cannot send the start to the workers.
Test(JobCoordinator, completes_a_start_that_was_committed_after_it_read_the_record)
{
  Cluster cluster(1);
  const auto workers = std::exchange(cluster.mList, {});
  Planner planner(cluster, "n1");
  // No worker is listed yet, and the planner must not refuse the job for that.
  planner.mCoordinator.SetAllWorkersKnown(false);
  const auto job = SubmitWholeWorker(cluster);
  planner.mCoordinator.Activate();
  cluster.Until([&] { return planner.mCoordinator.Jobs().contains(job.mJob); });
  cluster.mList = workers;
  cr_assert_not(Update(cluster, ReserveAsOtherPlanner(cluster, job)));
  planner.mMonitor.SetWorkers(cluster.mList);
  const auto done = cluster.UntilDone(job.mJob);
  cr_assert_eq(done.mState, JobState::Finished);
  cr_assert_eq(done.mAttempt, 1);
  cr_assert_eq(TotalStarts(cluster), 8);
}

// Guards against a former planner's commit taking effect after its reservations were released: the
// record would be Started without any tasks.
Test(JobCoordinator, makes_a_commit_fail_before_it_releases_the_reservations)
{
  Cluster cluster(1);
  const auto job = SubmitWholeWorker(cluster);
  const auto record = ReserveAsOtherPlanner(cluster, job);
  Planner planner(cluster, "n1");
  // Without the account this planner cannot place the job, so its own commit does not interfere.
  planner.mCoordinator.SetPolicy({});
  planner.mCoordinator.Activate();
  cluster.Until(
    [&] { return planner.mCoordinator.Views().begin()->second.mState->mLeases.empty(); });
  cr_assert_eq(Update(cluster, record), make_error_code(JobError::Conflict));
  PolicyInput policy;
  policy.mAccounts.push_back({ AccountId("a"), 1, {}, {} });
  planner.mCoordinator.SetPolicy(policy);
  cr_assert_eq(cluster.UntilDone(job.mJob).mState, JobState::Finished);
  cr_assert_eq(TotalStarts(cluster), 8);
}

// Guards against a former planner stopping the tasks that it started, while a newer planner
// completes the start of the gang.
Test(JobCoordinator, completes_a_gang_that_a_former_planner_started_in_part)
{
  Cluster cluster(2);
  const auto job = cluster.Submit(cluster.Job("k", 16, kShortPayload));
  auto record = job;
  record.mStartToken = "former";
  for (int i = 0; i < 16; ++i) {
    const auto worker = static_cast<std::size_t>(i / 8);
    record.mPlacements.push_back(
      { WorkerId("w" + std::to_string(worker)), cluster.mList[worker].mAddress, false });
  }
  FenceRaisingApi api(cluster.mClient);
  api.mFencedWorker = cluster.mList[1].mAddress;
  bool ended = false;
  const auto start = std::make_shared<GangStart<kv::MemoryStore, FenceRaisingApi>>(
    cluster.mLoop, api, cluster.mJobStore, record, workers::Fence{ 1, NodeId("n0") }, GangTimes(),
    [&](GangOutcome aOutcome, const JobRecord&, const std::vector<WorkerId>&) {
      cr_assert_eq(aOutcome, GangOutcome::Fenced);
      ended = true;
    });
  start->Run();
  cluster.Until([&] { return ended; });
  Planner planner(cluster, "n1");
  planner.mCoordinator.Activate();
  const auto done = cluster.UntilDone(job.mJob);
  cr_assert_eq(done.mState, JobState::Finished);
  cr_assert_eq(done.mAttempt, 1);
  cr_assert_eq(TotalStarts(cluster), 16);
}
