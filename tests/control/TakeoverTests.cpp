#include "LeaderFixture.h"

#include <algorithm>
#include <set>

using namespace lovagerock;
using namespace lovagerock::control;

namespace {

// A leader with two workers. The leadership can change hands, and a worker that doesn't answer can
// be waited for only as long as it is silent: leases of earlier leaders outlast each test.
struct TakeoverFixture : LeaderFixture
{
  TakeoverFixture()
  {
    mSettings.mScheduler.mStoreOutageTolerance = Duration(600000);
    mStore.Put("workers/silent", "r");
  }

  bool IsLoaded() const { return mLeader && mLeader->IsLoaded(); }

  void AwaitLoaded()
  {
    RunUntil([this] { return IsLoaded(); });
  }

  // Runs a job, so that the first leader's takeover is settled and its workers are recorded.
  void RunFirstJob()
  {
    AwaitLoaded();
    Submit("first");
    RunUntil([this] { return HasStarted("first"); });
    RunUntil([this] { return mLeader->UnstoredState().mProgress.empty(); });
    RunUntil([this] { return mStore.mItems.contains(std::string(kSettledKey)); });
  }

  bool HasStarted(const std::string& aJob) const { return !StartsOf(aJob).empty(); }

  std::vector<WorkerId> StartsOf(const std::string& aJob) const
  {
    std::vector<WorkerId> workers;
    for (const auto& [worker, call] : mCalls.mStarts) {
      if (call.mRun.mTask.mJob == JobId(aJob)) {
        workers.push_back(worker);
      }
    }
    return workers;
  }

  void Silence(const std::string& aWorker) { mCalls.mUnreachable.insert(WorkerId(aWorker)); }

  // Ends the leadership without a hand-over. The same node is elected again.
  void EndLeadership() { mElection->Resign("test"); }

  // Ends it as if the leader was killed: its lease in the store runs out.
  void LoseLeader()
  {
    const auto token = mElection->Token();
    mStore.ExpireLease(kv::StoreLease(1));
    RunUntil([&] { return mElection->Token() > token; });
    AwaitLoaded();
  }

  // Lets time pass in which the leader plans several times.
  void RunForSomePlans()
  {
    const auto later = std::chrono::steady_clock::now() + 8 * kPlanPeriod;
    RunUntil([&] { return std::chrono::steady_clock::now() > later; });
  }
};

} // namespace

// Guards against accepted jobs that wait for a worker which is silent or gone, although no leader
// has ever ordered a run of theirs there.
Test(Takeover, starts_jobs_without_runs_while_a_worker_does_not_answer)
{
  TakeoverFixture f;
  f.RunFirstJob();
  f.Silence("silent");
  f.EndLeadership();
  f.Submit("j");
  f.RunUntil([&] { return f.HasStarted("j"); });
  cr_assert_eq(f.StartsOf("j"), std::vector{ WorkerId("w") });
}

// Guards against the same when the leadership changes again before the next leader has loaded the
// jobs.
Test(Takeover, starts_jobs_without_runs_after_several_changes_of_leader)
{
  TakeoverFixture f;
  f.RunFirstJob();
  f.Silence("silent");
  for (int i = 0; i < 2; ++i) {
    f.mStore.mHeldPrefix = kRecordPrefix;
    const auto token = f.mElection->Token();
    f.EndLeadership();
    f.RunUntil([&] { return f.mElection->Token() > token; });
    cr_assert_not(f.IsLoaded());
  }
  f.mStore.mHeldPrefix.clear();
  f.EndLeadership();
  f.Submit("j");
  f.RunUntil([&] { return f.HasStarted("j"); });
}

// Guards against a second run of a task whose worker doesn't answer: the record of the run is all
// that the next leader knows of it.
Test(Takeover, starts_no_task_whose_recorded_worker_does_not_answer)
{
  TakeoverFixture f;
  f.mStore.Remove("workers/w");
  f.AwaitLoaded();
  f.Submit("j");
  f.RunUntil([&] { return f.HasStarted("j"); });
  f.Silence("silent");
  f.mStore.Put("workers/w", "r");
  f.EndLeadership();
  f.Submit("k");
  f.RunUntil([&] { return f.HasStarted("k"); });
  f.RunForSomePlans();
  cr_assert_eq(f.StartsOf("j").size(), 1, "the run was started a second time");
}

// Guards against an order that the next leader can't know of, because it was sent before the store
// had the record of the run.
Test(Takeover, finds_each_ordered_run_in_the_store)
{
  TakeoverFixture f;
  f.RunFirstJob();
  f.mStore.mWritesToDelay = 1000000;
  f.Submit("j");
  f.RunForSomePlans();
  cr_assert_not(f.HasStarted("j"), "the run was ordered before it was recorded");
  f.mStore.mWritesToDelay = 0;
  f.RunUntil([&] { return f.HasStarted("j"); });
  cr_assert(f.mStore.mItems.contains("progress/job/j"));
}

// Guards against failed runs that don't count as attempts: failures are told apart by the number of
// the run, so leaders in a row must not use a number twice, whether or not the last one could
// record its run.
Test(Takeover, orders_no_two_runs_of_a_task_with_one_number)
{
  TakeoverFixture f;
  f.RunFirstJob();
  f.mCalls.mHoldsOrders = true;
  f.Submit("j");
  for (int i = 0; i < 4; ++i) {
    f.mStore.mWritesToDelay = i % 2 == 0 ? 1000000 : 0;
    f.RunForSomePlans();
    f.mStore.mWritesToDelay = 0;
    const auto token = f.mElection->Token();
    f.EndLeadership();
    f.RunUntil([&] { return f.mElection->Token() > token && f.IsLoaded(); });
  }
  f.RunForSomePlans();
  std::set<int> numbers;
  for (const auto& [worker, call] : f.mCalls.mStarts) {
    if (call.mRun.mTask.mJob == JobId("j")) {
      cr_assert(numbers.insert(call.mRun.mRun).second, "run %d was ordered twice", call.mRun.mRun);
    }
  }
  cr_assert_geq(numbers.size(), 2);
}

// Guards against an order for a job that was cancelled while its run was being recorded, and
// against resources that stay occupied by the run.
Test(Takeover, sends_no_order_for_a_job_that_was_cancelled_meanwhile)
{
  TakeoverFixture f;
  f.RunFirstJob();
  f.mStore.mWritesToDelay = 1000000;
  f.Submit("j");
  f.RunForSomePlans();
  f.mStore.Put("requests/cancel/j", "");
  f.RunUntil(
    [&] { return f.mLeader->State(JobId("j"))->mState == scheduler::JobState::Cancelled; });
  f.mStore.mWritesToDelay = 0;
  f.RunForSomePlans();
  cr_assert_not(f.HasStarted("j"));
  // All resources of both workers but those of the first job.
  for (int i = 0; i < 15; ++i) {
    f.Submit("k" + std::to_string(i));
  }
  f.RunUntil([&] { return f.mCalls.mStarts.size() == 16; });
}

// Guards against a second run of a task that a node of an earlier version has ordered without a
// record.
Test(Takeover, waits_for_every_worker_after_a_leader_of_an_earlier_version)
{
  TakeoverFixture f;
  f.RunFirstJob();
  f.Silence("silent");
  f.EndLeadership();
  f.mStore.Put(std::string(kLastLeaderKey), "earlier-version");
  f.Submit("j");
  f.AwaitLoaded();
  f.RunForSomePlans();
  cr_assert_not(f.HasStarted("j"));
  f.mCalls.mUnreachable.clear();
  f.RunUntil([&] { return f.HasStarted("j"); });
}

// Guards against the same when no leader since then has heard of all workers.
Test(Takeover, waits_for_every_worker_if_no_takeover_was_settled_since_an_earlier_version)
{
  TakeoverFixture f;
  f.Silence("silent");
  f.AwaitLoaded();
  f.Submit("j");
  f.RunUntil([&] { return f.HasStarted("j"); });
  f.EndLeadership();
  f.Submit("k");
  f.RunUntil([&] { return !f.IsLoaded() || f.mLost > 0; });
  f.AwaitLoaded();
  f.RunForSomePlans();
  cr_assert_not(f.HasStarted("k"));
  f.mCalls.mUnreachable.clear();
  f.RunUntil([&] { return f.HasStarted("k"); });
}

namespace {

// A leader whose three workers are the witnesses, and a task that runs on one of them.
struct WitnessFixture : TakeoverFixture
{
  WitnessFixture()
  {
    // No leader of an earlier version, which may renew leases for longer.
    mStore.Remove(std::string(kLastLeaderKey));
    mCalls.mIncarnation = scheduler::WorkerIncarnation(5);
    mSettings.mScheduler.mLeaseDuration = Duration(300);
    mSettings.mScheduler.mWitnessedLease = Duration(100);
    mStore.Put("workers/v", "r");
  }

  // Returns the worker on which the job "first" runs.
  WorkerId RunOnWitnesses()
  {
    RunFirstJob();
    RunUntil([this] {
      const auto it = mStore.mItems.find(std::string(kWitnessKey));
      return it != mStore.mItems.end() && ReadWitnesses(it->second.mValue)->size() == 3;
    });
    // The job doesn't end, so the leader keeps what it has stored.
    return StartsOf("first").at(0);
  }

  // Lets the time pass after which leases end if the witnesses have answered.
  void RunUntilLeasesWouldEnd()
  {
    const auto later = std::chrono::steady_clock::now() + kWitnessAnswerAge + Duration(500);
    RunUntil([&] { return std::chrono::steady_clock::now() > later; });
  }
};

} // namespace

// Guards against tasks that are idle for many seconds after their leader was killed and their
// worker has fallen silent: the next leader took the former one for one that still renews leases.
Test(Takeover, restarts_the_task_of_a_silent_worker_once_the_witnesses_have_answered)
{
  WitnessFixture f;
  const auto worker = f.RunOnWitnesses();
  f.Silence(worker.Value());
  f.LoseLeader();
  // The outage tolerance is longer than this waits.
  f.RunUntil([&] { return f.StartsOf("first").size() == 2; });
  cr_assert_neq(f.StartsOf("first").at(1), worker);
}

// Guards against a second run of a task on a worker that only the former leader reaches: that one
// renews leases as long as most witnesses answer it.
Test(Takeover, restarts_no_task_of_a_silent_worker_before_the_witnesses_have_answered)
{
  WitnessFixture f;
  const auto worker = f.RunOnWitnesses();
  f.Silence(worker.Value());
  const std::string other = worker == WorkerId("v") ? "w" : "v";
  f.Silence(other);
  f.LoseLeader();
  f.RunUntilLeasesWouldEnd();
  cr_assert_eq(f.StartsOf("first").size(), 1, "the run was started a second time");
  f.mCalls.mUnreachable.erase(WorkerId(other));
  f.RunUntil([&] { return f.StartsOf("first").size() == 2; });
}

// Guards against a second run because the record of witnesses can't be read: the former leader may
// have witnesses all the same.
Test(Takeover, restarts_no_task_of_a_silent_worker_if_the_witnesses_are_unknown)
{
  WitnessFixture f;
  const auto worker = f.RunOnWitnesses();
  f.mStore.Put(std::string(kWitnessKey), "malformed");
  f.Silence(worker.Value());
  f.LoseLeader();
  f.RunUntilLeasesWouldEnd();
  cr_assert_eq(f.StartsOf("first").size(), 1, "the run was started a second time");
}

// Guards against leases that outlast the wait of a successor: without the store, a leader may renew
// them only while most witnesses answer.
Test(Leader, renews_no_leases_without_the_store_and_the_witnesses)
{
  WitnessFixture f;
  const auto worker = f.RunOnWitnesses();
  f.mStore.mIsDown = true;
  const auto runFor = [&f](Duration aTime) {
    const auto later = std::chrono::steady_clock::now() + aTime;
    f.RunUntil([&] { return std::chrono::steady_clock::now() > later; });
  };
  runFor(kLeadershipLease);
  f.mCalls.mRenewalCalls.clear();
  runFor(Duration(200));
  cr_assert(std::any_of(f.mCalls.mRenewalCalls.begin(), f.mCalls.mRenewalCalls.end(),
                        [](const auto& aIt) { return aIt.mLeaseDeadline.has_value(); }),
            "the witnesses answer, but no lease is renewed");
  f.Silence(worker.Value());
  f.Silence(worker == WorkerId("v") ? "w" : "v");
  runFor(kWitnessAnswerAge + Duration(100));
  f.mCalls.mRenewalCalls.clear();
  runFor(Duration(200));
  cr_assert_not(f.mCalls.mRenewalCalls.empty());
  cr_assert(std::none_of(f.mCalls.mRenewalCalls.begin(), f.mCalls.mRenewalCalls.end(),
                         [](const auto& aIt) { return aIt.mLeaseDeadline.has_value(); }),
            "a lease is renewed although most witnesses are silent");
}

Test(ClaimRecord, tells_since_when_leaders_record_runs_before_they_order_them)
{
  const kv::Revision revision(70);
  const auto first = ReadClaimRecord(WriteClaimRecord(NodeId("n"), {}, Duration(1000)), revision);
  cr_assert_eq(first.mToken, FencingToken(70));
  cr_assert_eq(first.mNamesRunsSince, FencingToken(70));
  cr_assert_eq(first.mBoundsLeasesSince, FencingToken(70));
  cr_assert_eq(first.mLeaseTime, Duration(1000));
  const ClaimRecord last{ FencingToken(60), FencingToken(40), FencingToken(50), Duration(1000) };
  const auto later = ReadClaimRecord(WriteClaimRecord(NodeId("n"), last, Duration(3000)), revision);
  cr_assert_eq(later.mLeaseTime, Duration(3000));
  cr_assert_eq(later.mNamesRunsSince, FencingToken(40));
  cr_assert_eq(later.mBoundsLeasesSince, FencingToken(50));
}

// Guards against trust in the bounds of a leader of the version that recorded runs, and renewed
// leases for longer.
Test(ClaimRecord, does_not_take_a_claim_for_one_that_bounds_leases)
{
  const auto claim = ReadClaimRecord(R"({"node":"n","namesRunsSince":40})", kv::Revision(70));
  cr_assert_eq(claim.mNamesRunsSince, FencingToken(40));
  cr_assert_eq(claim.mBoundsLeasesSince, FencingToken());
}

// Guards against a time that a successor supposes although the claim names none that can be read.
Test(ClaimRecord, names_no_time_of_the_lease_if_it_cannot_be_read)
{
  for (const auto* text :
       { R"({"boundsLeasesSince":40})", R"({"leaseMs":"x"})", R"({"leaseMs":-5})",
         R"({"leaseMs":9000000000000000000})", R"({"leaseMs":1e300})", R"({"leaseMs":null})" }) {
    cr_assert_eq(ReadClaimRecord(text, kv::Revision(70)).mLeaseTime, Duration(0), "%s", text);
  }
}

// Guards against trust in the records of a leader that doesn't write them: claims of earlier
// versions hold the name of the node.
Test(ClaimRecord, takes_other_texts_for_claims_of_earlier_versions)
{
  for (const auto* text : { "edge-1", "12", "", "{}", R"({"namesRunsSince":"x"})", "[1]" }) {
    const auto claim = ReadClaimRecord(text, kv::Revision(70));
    cr_assert_eq(claim.mToken, FencingToken(70));
    cr_assert_eq(claim.mNamesRunsSince, FencingToken());
    cr_assert_eq(claim.mBoundsLeasesSince, FencingToken());
  }
}

// Guards against a lease that is expected to end too early: a former leader that answers only after
// the jobs are loaded shortens the expected leases, and names a restarted worker whose lease may
// last longer.
Test(Takeover, learns_of_restarted_workers_from_a_late_hand_over)
{
  TakeoverFixture f;
  const FencingToken former(f.mStore.mItems.at(std::string(kLastLeaderKey)).mRevision.Value());
  f.Silence("silent");
  f.AwaitLoaded();
  f.mHandOver = { former, false, Duration(0), {}, Duration(0), { WorkerId("silent") } };
  f.RunUntil([&] { return f.mLeader->UnstoredState().mEarlierLeases < Duration(10000); });
  cr_assert_eq(f.mLeader->UnstoredState().mRestarted, std::vector{ WorkerId("silent") });
}

// Guards against a start that waits for records of other jobs: after a takeover, or a cancellation
// of many jobs, a batch takes many transactions, and with a slow store each takes long.
Test(Takeover, records_a_run_before_the_rest_of_a_long_batch)
{
  constexpr int kJobs = 400;
  TakeoverFixture f;
  f.RunFirstJob();
  for (int i = 0; i < kJobs; ++i) {
    // Fits on no worker.
    scheduler::AcceptedJob job;
    job.mId = JobId("large" + std::to_string(i));
    job.mQueue = "queue";
    job.mAcceptedMs = WallClockMs();
    job.mPolicy = f.mPolicy;
    job.mSpec.mSteps.emplace_back().mDemand.mAccelerators = Accelerators(100);
    f.mStore.Put(KeyOf(kJobPrefix, job.mId), scheduler::WriteAcceptedJob(job));
  }
  f.RunUntil([&] { return f.mLeader->State(JobId("large" + std::to_string(kJobs - 1))); });
  f.RunUntil([&] { return f.mLeader->UnstoredState().mProgress.empty(); });
  f.mStore.mWriteTime = Duration(50);
  for (int i = 0; i < kJobs; ++i) {
    f.mStore.Put(KeyOf(kCancelPrefix, JobId("large" + std::to_string(i))), "");
  }
  const auto isStored = [&f](int aJob) {
    return f.mStore.mItems.contains(KeyOf(kProgressPrefix, JobId("large" + std::to_string(aJob))));
  };
  f.RunUntil([&] {
    for (int i = 0; i < kJobs; ++i) {
      if (isStored(i)) {
        return true;
      }
    }
    return false;
  });
  const int writes = f.mStore.mWrites;
  f.Submit("j");
  f.RunUntil([&] { return f.HasStarted("j"); });
  // The transactions that were under way when the job arrived and when it was planned, that of the
  // record, and one that may have been sent since.
  cr_assert_leq(f.mStore.mWrites - writes, 4);
}
