#include "LeaderFixture.h"
#include "scheduler/Limits.h"

#include <algorithm>
#include <thread>

using namespace lovagerock;
using namespace lovagerock::control;
using scheduler::OrderOutcome;

Test(Leader, starts_a_stored_job_and_stores_its_progress)
{
  LeaderFixture f;
  f.RunUntil([&] { return f.mCalls.mRenewalCalls.size() > 2; });
  f.Submit("j");
  f.RunUntil([&] { return f.mCalls.mStarts.size() == 1; });
  f.RunUntil([&] { return f.mStore.mItems.contains("progress/job/j"); });
  cr_assert(f.mLeader->State(JobId("j"))->mState == scheduler::JobState::InProgress);
}

// Guards against renewing the lease of a worker that has failed: if the lease doesn't end, the
// worker's tasks are never started elsewhere.
Test(Leader, does_not_renew_the_lease_of_a_worker_that_does_not_answer)
{
  LeaderFixture f;
  f.RunUntil([&] { return f.mCalls.mRenewalCalls.size() > 2; });
  cr_assert(f.mCalls.mRenewalCalls.back().mLeaseDeadline.has_value());
  f.mCalls.mRenewalOutcome = OrderOutcome::NotSent;
  const auto failing = f.mCalls.mRenewalCalls.size() + 1;
  f.RunUntil([&] { return f.mCalls.mRenewalCalls.size() > failing + 2; });
  for (auto i = failing; i < f.mCalls.mRenewalCalls.size(); ++i) {
    cr_assert_not(f.mCalls.mRenewalCalls[i].mLeaseDeadline.has_value());
  }
  f.mCalls.mRenewalOutcome = OrderOutcome::Done;
  f.RunUntil([&] { return f.mCalls.mRenewalCalls.back().mLeaseDeadline.has_value(); });
}

// Guards against work that waits for ever for a worker whose reports can't be read in part: they
// count as no answer, so its lease has to end.
Test(Leader, does_not_renew_the_lease_of_a_worker_whose_reports_can_not_be_read)
{
  LeaderFixture f;
  f.RunUntil([&] { return f.mCalls.mRenewalCalls.size() > 2; });
  f.mCalls.mHasUnreadableRows = true;
  const auto unreadable = f.mCalls.mRenewalCalls.size() + 1;
  f.RunUntil([&] { return f.mCalls.mRenewalCalls.size() > unreadable + 2; });
  for (auto i = unreadable; i < f.mCalls.mRenewalCalls.size(); ++i) {
    cr_assert_not(f.mCalls.mRenewalCalls[i].mLeaseDeadline.has_value());
  }
}

// Guards against a second run of a task whose worker is cut off from the store and from the leader
// by a network that refuses connections: its entry expires and its address refuses calls, but its
// runs go on until its lease has expired.
Test(Leader, does_not_take_a_refused_connection_for_the_end_of_runs)
{
  LeaderFixture f;
  f.mStore.Put("workers/other", "r");
  f.Submit("j");
  f.RunUntil([&] { return f.mCalls.mStarts.size() == 1; });
  const auto worker = f.mCalls.mStarts[0].first;
  f.RunUntil([&] { return f.mStore.mItems.contains("progress/job/j"); });
  f.mCalls.mUnreachable.insert(worker);
  f.mStore.Remove("workers/" + worker.Value());
  const auto later = std::chrono::steady_clock::now() + 4 * kRenewalRetryDelay;
  f.RunUntil([&] { return std::chrono::steady_clock::now() > later; });
  cr_assert_eq(f.mCalls.mStarts.size(), 1, "the run was started a second time");
}

// Guards against two leaders that send orders to the same workers.
Test(Leader, resigns_when_a_worker_reports_a_newer_leader)
{
  LeaderFixture f;
  f.RunUntil([&] { return f.mCalls.mRenewalCalls.size() > 2; });
  f.mCalls.mRenewalOutcome = OrderOutcome::Fenced;
  f.RunUntil([&] { return f.mLost > 0; });
}

// Guards against orders of a leader that stood still until another one may have been elected, and
// that has not learned of it yet: a worker that has restarted meanwhile would obey them.
Test(Leader, sends_nothing_after_a_pause_until_its_leadership_is_checked)
{
  LeaderFixture f;
  f.RunUntil([&] { return f.mCalls.mRenewalCalls.size() > 2; });
  f.mStore.mHoldsRenewals = true;
  std::this_thread::sleep_for(kLeadershipLease);
  const auto calls = f.mCalls.mRenewalCalls.size();
  f.Submit("j");
  const auto later = std::chrono::steady_clock::now() + 4 * kPlanPeriod;
  f.RunUntil([&] { return std::chrono::steady_clock::now() > later; });
  cr_assert(f.mCalls.mStarts.empty(), "a run was started");
  cr_assert_leq(f.mCalls.mRenewalCalls.size(), calls, "a worker's lease was renewed");
  // A failure tells nothing of what happened in the pause.
  f.mStore.mHoldsRenewals = false;
  f.mStore.mIsDown = true;
  const auto failed = std::chrono::steady_clock::now() + 3 * kLeadershipRenewal;
  f.RunUntil([&] { return std::chrono::steady_clock::now() > failed; });
  cr_assert(f.mCalls.mStarts.empty(), "a run was started after a failed renewal");
  cr_assert_leq(f.mCalls.mRenewalCalls.size(), calls);
  f.mStore.mIsDown = false;
  f.RunUntil([&] { return f.mCalls.mStarts.size() == 1; });
}

// Guards against two leaders that start the same task: the store answers this leader's watch of the
// requests, but neither its renewals nor its watch of the leadership, and another node is elected.
// A worker that the other leader hasn't reached yet would obey both.
Test(Leader, starts_nothing_while_the_store_does_not_confirm_its_leadership)
{
  LeaderFixture f;
  f.RunUntil([&] { return f.mCalls.mRenewalCalls.size() > 2; });
  f.mStore.mFailsRenewals = true;
  const auto lapsed = std::chrono::steady_clock::now() + kLeadershipLease;
  f.RunUntil([&] { return std::chrono::steady_clock::now() > lapsed; });
  f.Submit("j");
  f.RunUntil([&] { return f.mLeader->State(JobId("j")).has_value(); });
  const auto calls = f.mCalls.mRenewalCalls.size();
  const auto later = std::chrono::steady_clock::now() + 4 * kPlanPeriod;
  f.RunUntil([&] { return std::chrono::steady_clock::now() > later; });
  cr_assert(f.mCalls.mStarts.empty(), "a run was started");
  cr_assert_gt(f.mCalls.mRenewalCalls.size(), calls, "the workers' leases aren't renewed");
  f.mStore.mFailsRenewals = false;
  f.RunUntil([&] { return f.mCalls.mStarts.size() == 1; });
}

// Guards against running a job again because a late listing still contains its deleted record.
Test(Leader, ignores_job_records_older_than_the_retention_time)
{
  LeaderFixture f;
  f.RunUntil([&] { return f.mCalls.mRenewalCalls.size() > 2; });
  f.Submit("old", WallClockMs() - 2 * f.mSettings.mScheduler.mFinishedRetention.count());
  f.Submit("new");
  f.RunUntil([&] { return !f.mCalls.mStarts.empty(); });
  cr_assert_eq(f.mCalls.mStarts.size(), 1);
  cr_assert_eq(f.mCalls.mStarts[0].second.mRun.mTask.mJob, JobId("new"));
  cr_assert_not(f.mLeader->State(JobId("old")).has_value());
}

// Guards against losing track of work that a former leader started on a worker whose registry entry
// has expired: the next leader must find the worker through the rack record.
Test(Leader, renews_leases_of_recorded_workers_that_are_not_registered)
{
  LeaderFixture f;
  f.mStore.Put("progress/rack/r", R"([["w","10.0.0.1:1"],["gone","10.0.0.2:1"]])");
  f.RunUntil([&] { return f.mCalls.mContacted.contains(WorkerId("gone")); });
}

// Guards against started work that the next leader can't find, because no record names its worker.
Test(Leader, records_a_worker_before_it_starts_work_there)
{
  LeaderFixture f;
  f.Submit("j");
  f.RunUntil([&] { return !f.mCalls.mStarts.empty(); });
  cr_assert(f.mStore.mItems.at("progress/rack/r").mValue.find("\"w\"") != std::string::npos);
}

namespace {

// The progress of a job that is completed.
constexpr const char* kDone = R"({"state":"completed","next":1,"done":1,"finishedMs":1})";

} // namespace

// Guards against running a task again when only the former leader knows that it ended, because that
// leader couldn't reach the store and the worker has left.
Test(Leader, applies_unstored_progress_of_the_former_leader)
{
  LeaderFixture f;
  f.mHandOver = { FencingToken(5), true, Duration(0), { { JobId("j"), kDone } }, Duration(0), {} };
  f.Submit("j");
  f.RunUntil([&] {
    const auto state = f.mLeader ? f.mLeader->State(JobId("j")) : std::nullopt;
    return state && state->mState == scheduler::JobState::Completed;
  });
  f.RunUntil([&] { return f.mStore.mItems.contains("progress/job/j"); });
  cr_assert(f.mCalls.mStarts.empty());
}

// Guards against running a job again after a caller was told that it is completed: the store is
// down to the leader, and the worker that could report the end again leaves before the next leader.
Test(Leader, shows_no_end_that_is_not_stored)
{
  LeaderFixture f;
  f.RunUntil([&] { return f.mLeader && f.mLeader->IsLoaded(); });
  f.Submit("j");
  f.RunUntil([&] { return f.mStore.mItems.contains("progress/job/j"); });
  f.RunUntil([&] { return f.mLeader->UnstoredState().mProgress.empty(); });
  f.mStore.mIsDown = true;
  f.mCalls.mRunning.begin()->second.clear();
  f.mCalls.mFinished = { { 1, { { JobId("j"), 0, 0, 0 }, 1 }, scheduler::RunEnd::Done, "" } };
  f.RunUntil([&] { return !f.mLeader->UnstoredState().mProgress.empty(); });
  // Several writes fail meanwhile.
  const auto later = std::chrono::steady_clock::now() + 3 * kStoreRetryDelay;
  f.RunUntil([&] { return std::chrono::steady_clock::now() > later; });
  cr_assert(f.mLeader->State(JobId("j"))->mState == scheduler::JobState::InProgress);
  f.mStore.mIsDown = false;
  f.RunUntil(
    [&] { return f.mLeader->State(JobId("j"))->mState == scheduler::JobState::Completed; });
  cr_assert_eq(scheduler::ReadState(f.mStore.mItems.at("progress/job/j").mValue),
               scheduler::JobState::Completed);
}

// Guards against losing what a former leader handed over, when the leadership ends before the jobs
// are loaded.
Test(Leader, passes_on_a_hand_over_that_it_has_not_applied)
{
  LeaderFixture f;
  f.mStore.mHeldPrefix = kRequestPrefix;
  f.mHandOver = { FencingToken(5), true, Duration(0), { { JobId("j"), kDone } }, Duration(0), {} };
  f.RunUntil([&] { return f.mLeader && f.mStore.mLists >= 3; });
  const auto state = f.mLeader->UnstoredState();
  cr_assert_not(f.mLeader->IsLoaded());
  cr_assert_not(state.mIsComplete);
  cr_assert_eq(state.mProgress.size(), 1);
  cr_assert_eq(state.mProgress[0].mText, std::string(kDone));
}

// Guards against a restarted worker that drops ends which the leader hasn't seen, because a renewal
// that was meant for its earlier incarnation is carried out late: few renewals may name ends.
Test(Leader, names_ended_runs_only_while_the_worker_lists_them)
{
  LeaderFixture f;
  f.RunUntil([&] { return f.mLeader && f.mLeader->IsLoaded(); });
  f.Submit("j");
  f.RunUntil([&] { return f.mCalls.mStarts.size() == 1; });
  f.mCalls.mRunning.begin()->second.clear();
  f.mCalls.mFinished = { { 1, { { JobId("j"), 0, 0, 0 }, 1 }, scheduler::RunEnd::Done, "" } };
  f.RunUntil([&] { return f.mCalls.mRenewalCalls.back().mLastStoredEnd == 1; });
  f.mCalls.mFinished.clear();
  f.RunUntil([&] { return f.mCalls.mRenewalCalls.back().mLastStoredEnd == 0; });
}

// Guards against a worker that has restarted and forgets ends that nobody has seen: the call after
// a failed one may be the first that the new incarnation gets.
Test(Leader, names_no_ended_runs_after_a_call_without_an_answer)
{
  LeaderFixture f;
  f.RunUntil([&] { return f.mLeader && f.mLeader->IsLoaded(); });
  f.Submit("j");
  f.RunUntil([&] { return f.mCalls.mStarts.size() == 1; });
  f.mCalls.mRunning.begin()->second.clear();
  f.mCalls.mFinished = { { 1, { { JobId("j"), 0, 0, 0 }, 1 }, scheduler::RunEnd::Done, "" } };
  f.RunUntil([&] { return f.mCalls.mRenewalCalls.back().mLastStoredEnd == 1; });
  f.mCalls.mRenewalOutcome = OrderOutcome::Unknown;
  const auto failing = f.mCalls.mRenewalCalls.size() + 1;
  f.RunUntil([&] { return f.mCalls.mRenewalCalls.size() > failing + 2; });
  for (auto i = failing; i < f.mCalls.mRenewalCalls.size(); ++i) {
    cr_assert_eq(f.mCalls.mRenewalCalls[i].mLastStoredEnd, 0);
  }
  f.mCalls.mRenewalOutcome = OrderOutcome::Done;
  f.RunUntil([&] { return f.mCalls.mRenewalCalls.back().mLastStoredEnd == 1; });
}

// Guards against a worker that lists its ends for ever, and in the end lacks new ones in its
// reports, because it closes its connections and so may never drop them.
Test(Leader, lets_a_worker_drop_ends_over_any_connection_if_it_goes_on_to_list_them)
{
  LeaderFixture f;
  f.RunUntil([&] { return f.mLeader && f.mLeader->IsLoaded(); });
  f.Submit("j");
  f.RunUntil([&] { return f.mCalls.mStarts.size() == 1; });
  f.mCalls.mRunning.begin()->second.clear();
  f.mCalls.mFinished = { { 1, { { JobId("j"), 0, 0, 0 }, 1 }, scheduler::RunEnd::Done, "" } };
  f.RunUntil([&] { return f.mCalls.mRenewalCalls.back().mLastStoredEnd == 1; });
  cr_assert_not(f.mCalls.mRenewalCalls.back().mDropsOnAnyConnection);
  f.RunUntil([&] { return f.mCalls.mRenewalCalls.back().mDropsOnAnyConnection; });
  f.mCalls.mFinished.clear();
  f.RunUntil([&] { return !f.mCalls.mRenewalCalls.back().mDropsOnAnyConnection; });
}

// Guards against a second run of a done task: a start that had no answer is carried out by a worker
// that has restarted. The new incarnation refuses it once it has seen a higher token.
Test(Leader, calls_a_restarted_worker_with_a_higher_token_before_it_starts_work_there)
{
  LeaderFixture f;
  f.mCalls.mIncarnation = scheduler::WorkerIncarnation(1);
  f.RunUntil([&] { return f.mCalls.mRenewalCalls.size() > 2; });
  const auto token = f.mElection->Token();
  cr_assert_eq(f.mCalls.mRenewalTokens.back(), token);
  f.mCalls.mIncarnation = scheduler::WorkerIncarnation(2);
  const auto before = f.mCalls.mRenewalCalls.size();
  f.RunUntil([&] { return f.mCalls.mRenewalCalls.size() > before + 1; });
  f.Submit("j");
  f.RunUntil([&] { return f.mCalls.mStarts.size() == 1; });
  cr_assert_gt(f.mCalls.mStartTokens[0], token);
  cr_assert_eq(f.mCalls.mStartTokens[0], f.mCalls.mRenewalTokens.back());
  cr_assert_eq(f.mElection->Token(), token);
}

// Guards against a second run of a done task: a start that had no answer is carried out by a worker
// that has restarted, between the first call that the worker answers and the next one.
Test(Leader, calls_a_worker_that_may_have_restarted_with_a_token_that_no_order_has_carried)
{
  LeaderFixture f;
  f.mCalls.mIncarnation = scheduler::WorkerIncarnation(1);
  f.RunUntil([&] { return f.mCalls.mRenewalCalls.size() > 2; });
  f.Submit("j");
  f.RunUntil([&] { return f.mCalls.mStarts.size() == 1; });
  f.RunUntil([&] { return f.mLeader->UnstoredState().mProgress.empty(); });
  const auto token = f.mElection->Token();
  f.mCalls.mUnreachable.insert(WorkerId("w"));
  f.RunUntil([&] { return f.mCalls.mRenewalTokens.back() > token; });
  const auto& call = f.mCalls.mRenewalCalls.back();
  cr_assert_not(call.mLeaseDeadline.has_value());
  cr_assert_eq(call.mLastStoredEnd, 0);
  f.Submit("k");
  f.RunUntil([&] { return f.mCalls.mStarts.size() == 2; });
  cr_assert_eq(f.mCalls.mStartTokens[1], token, "an order carried the token of the calls");
  f.mCalls.mRunning.clear();
  f.mCalls.mIncarnation = scheduler::WorkerIncarnation(2);
  const auto before = f.mCalls.mRenewalCalls.size();
  f.mCalls.mUnreachable.clear();
  f.RunUntil([&] { return f.mCalls.mRenewalCalls.size() > before; });
  const auto first = f.mCalls.mRenewalTokens[before];
  cr_assert_gt(first, token);
  f.RunUntil([&] { return f.mCalls.mStarts.size() > 2; });
  cr_assert_geq(f.mCalls.mStartTokens[2], first);
  cr_assert_eq(f.mElection->Token(), token);
}

// Guards against the same if the worker restarts again: orders carry the token of the calls once
// the worker has answered one, so only a later token fences them.
Test(Leader, calls_a_worker_that_restarts_again_with_a_higher_token_than_its_orders_had)
{
  LeaderFixture f;
  f.mCalls.mIncarnation = scheduler::WorkerIncarnation(1);
  f.RunUntil([&] { return f.mCalls.mRenewalCalls.size() > 2; });
  for (int i = 0; i < 3; ++i) {
    const auto starts = f.mCalls.mStarts.size();
    f.Submit("j" + std::to_string(i));
    f.RunUntil([&] { return f.mCalls.mStarts.size() > starts; });
    f.RunUntil([&] { return f.mLeader->UnstoredState().mProgress.empty(); });
    f.mCalls.mUnreachable.insert(WorkerId("w"));
    const auto failed = f.mCalls.mRenewalTokens.size() + 2;
    f.RunUntil([&] { return f.mCalls.mRenewalTokens.size() > failed; });
    f.mCalls.mRunning.clear();
    f.mCalls.mIncarnation = scheduler::WorkerIncarnation(2 + i);
    f.mCalls.mUnreachable.clear();
    const auto first = f.mCalls.mRenewalTokens.size();
    f.RunUntil([&] { return f.mCalls.mRenewalTokens.size() > first; });
    const auto& orders = f.mCalls.mStartTokens;
    cr_assert_gt(f.mCalls.mRenewalTokens[first], *std::max_element(orders.begin(), orders.end()));
  }
  cr_assert_eq(f.mLost, 0);
}

// Guards against a leader that resigns because a worker refuses an order for the higher token of a
// call whose answer hasn't arrived yet.
Test(Leader, goes_on_when_a_worker_refuses_an_order_for_the_token_of_an_unanswered_call)
{
  LeaderFixture f;
  f.mCalls.mIncarnation = scheduler::WorkerIncarnation(1);
  f.RunUntil([&] { return f.mCalls.mRenewalCalls.size() > 2; });
  f.mCalls.mHoldsOrders = true;
  f.Submit("j");
  f.RunUntil([&] { return f.mCalls.mHeldOrders.size() == 1; });
  f.RunUntil([&] { return f.mLeader->UnstoredState().mProgress.empty(); });
  const auto token = f.mElection->Token();
  f.mCalls.mRenewalOutcome = OrderOutcome::Unknown;
  f.RunUntil([&] { return f.mCalls.mRenewalTokens.back() > token; });
  f.mCalls.mHoldsOrders = false;
  for (const auto& it : std::exchange(f.mCalls.mHeldOrders, {})) {
    it({ OrderOutcome::Fenced, std::nullopt });
  }
  f.mCalls.mRenewalOutcome = OrderOutcome::Done;
  f.RunUntil([&] { return f.mCalls.mStarts.size() > 1; });
  cr_assert_eq(f.mLost, 0);
  cr_assert_eq(f.mElection->Token(), token);
}

// Guards against the same if the store takes no writes when the worker restarts, and against work
// that waits for ever for the higher token.
Test(Leader, starts_work_on_a_restarted_worker_once_the_store_has_given_a_higher_token)
{
  LeaderFixture f;
  f.mCalls.mIncarnation = scheduler::WorkerIncarnation(1);
  f.RunUntil([&] { return f.mCalls.mRenewalCalls.size() > 2; });
  f.Submit("j");
  f.RunUntil([&] { return f.mCalls.mStarts.size() == 1; });
  f.RunUntil([&] { return f.mLeader->UnstoredState().mProgress.empty(); });
  f.mStore.mIsDown = true;
  f.mCalls.mRunning.begin()->second.clear();
  f.mCalls.mIncarnation = scheduler::WorkerIncarnation(2);
  const auto later = std::chrono::steady_clock::now() + 4 * kRenewalRetryDelay;
  f.RunUntil([&] { return std::chrono::steady_clock::now() > later; });
  cr_assert_eq(f.mCalls.mStarts.size(), 1, "started without a higher token");
  f.mStore.mIsDown = false;
  f.RunUntil([&] { return f.mCalls.mStarts.size() == 2; });
  cr_assert_gt(f.mCalls.mStartTokens[1], f.mCalls.mStartTokens[0]);
}

// Guards against a leader that resigns because of its own raised token, which a worker had seen
// before an order with the token of the leadership arrived.
Test(Leader, goes_on_when_a_worker_refuses_an_order_for_its_own_raised_token)
{
  LeaderFixture f;
  f.mCalls.mIncarnation = scheduler::WorkerIncarnation(1);
  f.RunUntil([&] { return f.mCalls.mRenewalCalls.size() > 2; });
  f.mCalls.mHoldsOrders = true;
  f.Submit("j");
  f.RunUntil([&] { return f.mCalls.mHeldOrders.size() == 1; });
  const auto token = f.mElection->Token();
  f.mCalls.mIncarnation = scheduler::WorkerIncarnation(2);
  f.RunUntil([&] { return f.mCalls.mRenewalTokens.back() > token; });
  f.mCalls.mHoldsOrders = false;
  for (const auto& it : std::exchange(f.mCalls.mHeldOrders, {})) {
    it({ OrderOutcome::Fenced, std::nullopt });
  }
  f.RunUntil([&] { return f.mCalls.mStarts.size() > 1; });
  cr_assert_eq(f.mLost, 0);
  cr_assert_eq(f.mElection->Token(), token);
}

// Guards against two runs of one task: a start that is held up reaches a worker that has left, and
// has come back under its id after its lease was over. The worker refuses it once it has seen a
// token that no order to its id has carried, also when it comes back a second time.
Test(Leader, calls_a_worker_that_comes_back_in_a_new_life_with_a_token_that_no_order_has_carried)
{
  LeaderFixture f;
  f.UseShortLeases();
  f.mCalls.mIncarnation = scheduler::WorkerIncarnation(1);
  f.RunUntil([&] { return f.mCalls.mRenewalCalls.size() > 2; });
  for (int life = 2; life <= 4; ++life) {
    const auto starts = f.mCalls.mStarts.size();
    f.Submit("j" + std::to_string(life));
    f.RunUntil([&] { return f.mCalls.mStarts.size() > starts; });
    const auto carried =
      *std::max_element(f.mCalls.mStartTokens.begin(), f.mCalls.mStartTokens.end());
    f.LoseWorker();
    f.mCalls.mIncarnation = scheduler::WorkerIncarnation(life);
    f.mCalls.mUnreachable.clear();
    f.mStore.Put("workers/w", "r");
    // The task starts there once more.
    f.RunUntil([&] { return f.mCalls.mStarts.size() > starts + 1; });
    cr_assert_gt(f.mCalls.mStartTokens.back(), carried);
    cr_assert_geq(f.mCalls.mRenewalTokens.back(), f.mCalls.mStartTokens.back());
    f.mCalls.EndAllRuns();
    f.RunUntil([&] { return f.mLeader->PendingJobs("queue").mJobs == 0; });
  }
  cr_assert_eq(f.mLost, 0);
}

// Guards against a leader that resigns because of its own raised token when a worker comes back
// that it had given up. The calls that failed meanwhile may have had higher ones.
Test(Leader, calls_a_worker_that_comes_back_with_the_raised_token)
{
  LeaderFixture f;
  f.UseShortLeases();
  f.mCalls.mIncarnation = scheduler::WorkerIncarnation(1);
  f.RunUntil([&] { return f.mCalls.mRenewalCalls.size() > 2; });
  f.mCalls.mIncarnation = scheduler::WorkerIncarnation(2);
  f.RunUntil([&] { return f.mCalls.mRenewalTokens.back() > f.mElection->Token(); });
  const auto raised = f.mCalls.mRenewalTokens.back();
  f.LoseWorker();
  f.mCalls.mUnreachable.clear();
  const auto before = f.mCalls.mRenewalCalls.size();
  f.mStore.Put("workers/w", "r");
  f.RunUntil([&] { return f.mCalls.mRenewalCalls.size() > before; });
  cr_assert_geq(f.mCalls.mRenewalTokens[before], raised);
  cr_assert_eq(f.mLost, 0);
}

// Guards against a hand-over that omits unstored progress.
Test(Leader, hands_over_unstored_progress)
{
  LeaderFixture f;
  f.RunUntil([&] { return f.mLeader && f.mLeader->IsLoaded(); });
  f.Submit("j");
  f.RunUntil([&] { return f.mStore.mItems.contains("progress/job/j"); });
  f.RunUntil([&] { return f.mLeader->UnstoredState().mProgress.empty(); });
  f.mStore.mIsDown = true;
  f.mCalls.mRunning.begin()->second.clear();
  f.mCalls.mFinished = { { 1, { { JobId("j"), 0, 0, 0 }, 1 }, scheduler::RunEnd::Done, "" } };
  f.RunUntil([&] { return !f.mLeader->UnstoredState().mProgress.empty(); });
  auto handOver = f.mLeader->UnstoredState();
  handOver.mEarlierLeases = Duration(70);
  const auto read = ReadHandOver(WriteHandOver(handOver));
  cr_assert_eq(read.mEarlierLeases, Duration(70));
  cr_assert_eq(read.mProgress.size(), 1);
  cr_assert_eq(scheduler::ReadState(read.mProgress[0].mText), scheduler::JobState::Completed);
}

// Guards against a bound on earlier leases that a former leader of an earlier version doesn't tell.
Test(HandOver, takes_a_missing_bound_on_earlier_leases_for_the_longest)
{
  auto json = WriteHandOver({ FencingToken(5), true, Duration(70), {}, Duration(0), {} });
  json.erase("earlierLeases");
  cr_assert_eq(ReadHandOver(json).mEarlierLeases, scheduler::kMaxDuration);
}

namespace {

// The progress of a job whose task was started on a worker that has left.
constexpr const char* kOnGoneWorker =
  R"({"state":"in_progress","next":1,"done":0,"open":[{"number":0,"steps":[[)"
  R"([1,0,[],"gone",""]]]}]})";

} // namespace

// Guards against a task that waits for the longest lease of an earlier leader although the former
// one is known to have ended: it didn't reply when it was asked first, and replies later.
Test(Leader, starts_the_task_of_a_gone_worker_one_lease_after_the_former_leader_has_ended)
{
  LeaderFixture f;
  // Lets the other node be elected first.
  f.mSettings.mCores = 0.01;
  f.mSettings.mScheduler.mLeaseDuration = Duration(300);
  // Longer than RunUntil() waits.
  f.mSettings.mScheduler.mStoreOutageTolerance = Duration(600000);
  Random random{ 3 };
  ControlSettings settings = f.mSettings;
  settings.mNode = NodeId("former");
  settings.mCores = 1;
  ElectionCallbacks callbacks;
  FencingToken token;
  callbacks.mOnElected = [&token](FencingToken aToken) { token = aToken; };
  callbacks.mOnLost = [](const char*) {};
  Election<FakeStore> former(f.mLoop, f.mStore, random, settings, std::move(callbacks));
  f.RunUntil([&] { return f.mElection->LeaderAddress().has_value(); });
  cr_assert(former.IsLeader());
  f.Submit("j");
  f.mStore.Put("progress/job/j", kOnGoneWorker);
  former.Withdraw();
  f.RunUntil([&] { return f.mLeader && f.mLeader->IsLoaded(); });
  // The former leader knows of no leases that leaders before it may have renewed.
  f.mHandOver = { token, false, Duration(0), {}, Duration(0), {} };
  const auto handedOver = std::chrono::steady_clock::now();
  f.RunUntil([&] { return !f.mCalls.mStarts.empty(); });
  cr_assert_gt(std::chrono::steady_clock::now() - handedOver,
               f.mSettings.mScheduler.mLeaseDuration);
}

// Guards against a task that waits for a lease of which the former leader tells that it has ended.
Test(Leader, starts_the_task_of_a_gone_worker_at_once_if_the_former_leader_ended_long_ago)
{
  LeaderFixture f;
  // Longer than RunUntil() waits.
  f.mSettings.mScheduler.mLeaseDuration = Duration(600000);
  f.mSettings.mScheduler.mStoreOutageTolerance = Duration(600000);
  f.RunUntil([&] { return f.mLeader && f.mLeader->IsLoaded(); });
  const auto token = f.mElection->Token();
  f.mElection->Resign("test");
  f.Submit("j");
  f.mStore.Put("progress/job/j", kOnGoneWorker);
  const auto endedAgo = f.mSettings.mScheduler.mLeaseDuration * 2;
  f.mHandOver = { token, true, Duration(0), {}, endedAgo, {} };
  f.RunUntil([&] { return !f.mCalls.mStarts.empty(); });
}

// Guards against taking a node that knows nothing of a leadership for one that knows all its runs.
Test(HandOver, names_no_runs_and_no_leases_of_an_unknown_leadership)
{
  const auto read = ReadHandOver(WriteHandOver(UnknownHandOver(FencingToken(5), Duration(0))));
  cr_assert_eq(read.mToken, FencingToken(5));
  cr_assert_not(read.mIsComplete);
  cr_assert_eq(read.mEarlierLeases, scheduler::kMaxDuration);
  cr_assert_eq(read.mEndedAgo, Duration(0));
}

// Guards against a lease that is taken for longer than it may last, or for shorter, because the
// time since the end of the leadership is lost.
Test(HandOver, tells_how_long_ago_the_leadership_ended)
{
  const auto json = WriteHandOver(UnknownHandOver(FencingToken(5), Duration(40)));
  cr_assert_eq(ReadHandOver(json).mEndedAgo, Duration(40));
  auto earlier = json;
  earlier.erase("endedAgo");
  cr_assert_eq(ReadHandOver(earlier).mEndedAgo, Duration(0));
}

namespace {

// A registry whose workers have addresses, so that the next leader can read their records.
struct AddressRegistry : FakeRegistry
{
  static std::optional<scheduler::WorkerEntry>
  Read(const std::string& aKey, const std::string& aValue)
  {
    auto entry = FakeRegistry::Read(aKey, aValue);
    entry->mAddress = SocketAddress("127.0.0.1", 7100);
    return entry;
  }
};

} // namespace

// Guards against a lease that is expected to end too early by the next leader, since the store
// doesn't tell it of a restart, and by the one after it.
Test(Leader, hands_over_a_restart_that_is_not_recorded)
{
  BasicLeaderFixture<AddressRegistry> f;
  f.mCalls.mIncarnation = scheduler::WorkerIncarnation(1);
  f.RunUntil([&] { return f.mCalls.mRenewalCalls.size() > 2; });
  f.RunUntil([&] { return f.mStore.mItems.contains("progress/rack/r"); });
  const auto recorded = f.mStore.mItems.at("progress/rack/r").mValue;
  f.mStore.mIsDown = true;
  f.mCalls.mIncarnation = scheduler::WorkerIncarnation(2);
  const std::vector restarted{ WorkerId("w") };
  f.RunUntil([&] { return f.mLeader->UnstoredState().mRestarted == restarted; });
  f.mHandOver = ReadHandOver(WriteHandOver(f.mLeader->UnstoredState()));
  cr_assert_eq(f.mHandOver.mRestarted, restarted);
  cr_assert_eq(f.mStore.mItems.at("progress/rack/r").mValue, recorded);
  f.mCalls.mUnreachable.insert(WorkerId("w"));
  f.mStore.mIsDown = false;
  f.mElection->Resign("test");
  f.RunUntil([&] { return f.mLeader && f.mLeader->IsLoaded() && f.mElection->IsLeader(); });
  cr_assert_eq(f.mLeader->UnstoredState().mRestarted, restarted);
  f.RunUntil([&] { return f.mStore.mItems.at("progress/rack/r").mValue != recorded; });
}

Test(HandOver, names_no_restarted_workers_if_an_earlier_version_wrote_it)
{
  auto json = WriteHandOver(UnknownHandOver(FencingToken(5), Duration(40)));
  json.erase("restarted");
  const auto read = ReadHandOver(json);
  cr_assert_eq(read.mToken, FencingToken(5));
  cr_assert(read.mRestarted.empty());
}

// Guards against a leader that keeps a leadership which it can't carry out: the store confirms its
// lease but answers none of its listings, so every node refuses requests.
Test(Leader, lets_another_node_lead_if_its_takeover_fails)
{
  for (const auto prefix : { kRecordPrefix, kRequestPrefix }) {
    LeaderFixture f;
    f.mStore.mFailingPrefix = prefix;
    f.RunUntil([&] { return f.mLost == 1; });
    cr_assert_not(f.mElection->IsLeader());
    f.mStore.mFailingPrefix.clear();
    // There is no other node.
    f.RunUntil([&] { return f.mElection->IsLeader(); });
  }
}

// Guards against giving up the leadership in an outage of the whole store, in which no other node
// could do better.
Test(Leader, keeps_the_leadership_while_the_store_answers_nothing)
{
  LeaderFixture f;
  f.mStore.mFailingPrefix = kRequestPrefix;
  f.RunUntil([&] { return f.mElection->IsLeader(); });
  f.mStore.mIsDown = true;
  const auto later = std::chrono::steady_clock::now() + kMaxListOutage + 2 * kLeadershipLease;
  f.RunUntil([&] { return std::chrono::steady_clock::now() > later; });
  cr_assert_eq(f.mLost, 0);
}

// Guards against counting too few pending jobs: a leader on a slow machine learns of accepted jobs
// seconds late, while the nodes that ask it for the count are sound.
Test(Leader, gives_no_usable_count_while_its_view_of_the_jobs_is_outdated)
{
  LeaderFixture f;
  // Without a worker, submitted jobs stay pending.
  f.mStore.Remove("workers/w");
  f.Submit("known");
  f.RunUntil([&] { return f.mLeader && f.mLeader->IsLoaded(); });
  cr_assert_eq(f.mLeader->PendingJobs("queue").mJobs, 1);
  f.mStore.mFailingWatchPrefix = kRequestPrefix;
  // Ends the open watch call, so that the leader calls again.
  f.Submit("last");
  f.RunUntil([&] { return f.mLeader->PendingJobs("queue").mJobs == 2; });
  for (const auto* id : { "unknown-1", "unknown-2", "unknown-3" }) {
    f.Submit(id);
  }
  const auto outdated = std::chrono::steady_clock::now() + kMaxPendingCountAge;
  f.RunUntil([&] { return std::chrono::steady_clock::now() > outdated; });
  // While the asking node reaches the store, jobs may be accepted.
  cr_assert_not(f.mLeader->PendingJobs("queue").IsUsable(true));
  cr_assert(f.mLeader->PendingJobs("queue").IsUsable(false));
  f.mStore.mFailingWatchPrefix.clear();
  f.RunUntil([&] { return f.mLeader->PendingJobs("queue").mJobs == 5; });
  cr_assert(f.mLeader->PendingJobs("queue").IsUsable(true));
}

// Guards against refusing the count while nothing changes: watch calls without events confirm the
// view only up to the time at which they were sent.
Test(Leader, gives_a_current_count_between_watch_answers_without_events)
{
  LeaderFixture f;
  f.RunUntil([&] { return f.mLeader && f.mLeader->IsLoaded(); });
  // A pause of this process makes the view older than the watch does.
  constexpr Duration kPause{ 200 };
  auto lastCheck = std::chrono::steady_clock::now();
  const auto end = lastCheck + 3 * kWatchWait;
  f.RunUntil([&] {
    const auto now = std::chrono::steady_clock::now();
    const bool hasPaused = now - std::exchange(lastCheck, now) > kPause;
    cr_assert(hasPaused || f.mLeader->PendingJobs("queue").mIsCurrent);
    return now > end;
  });
}

namespace {

// A leader that finds a former one's record of the speed of its worker.
struct SpeedRecordFixture : LeaderFixture
{
  explicit SpeedRecordFixture(const std::string& aWorkers)
  {
    const auto at = std::to_string(WallClockMs());
    mStore.Put(std::string(kSpeedsKey), R"({"at":)" + at + R"(,"workers":)" + aWorkers + "}");
    mCalls.mIncarnation = scheduler::WorkerIncarnation(8);
  }

  int WorkersOf(scheduler::SpeedClass aClass) const
  {
    return mLeader ? mLeader->Status().mSpeeds.mWorkers[static_cast<std::size_t>(aClass)] : 0;
  }
};

} // namespace

// Guards against a new leader that has to learn anew which workers are slow.
Test(Leader, knows_the_slow_workers_of_the_former_one)
{
  SpeedRecordFixture f(R"([["w",8,0.4,0.1,32,0]])");
  f.RunUntil([&] { return f.WorkersOf(scheduler::SpeedClass::Slow) == 1; });
}

// Guards against a leader that can't take over because the record is malformed.
Test(Leader, takes_all_workers_for_equally_fast_if_the_record_is_malformed)
{
  SpeedRecordFixture f(R"([["w",8,"fast",0.1,32,0]])");
  f.Submit("j");
  f.RunUntil([&] { return f.mCalls.mStarts.size() == 1; });
  f.RunUntil([&] { return f.WorkersOf(scheduler::SpeedClass::Normal) == 1; });
}

// Guards against a record that tells the next leader of a worker's earlier incarnation.
Test(Leader, rewrites_the_record_when_a_slow_worker_has_restarted)
{
  SpeedRecordFixture f(R"([["w",7,0.4,0.1,32,0]])");
  f.RunUntil([&] {
    const auto& record = f.mStore.mItems.at(std::string(kSpeedsKey)).mValue;
    return record.find(R"("workers":[])") != std::string::npos;
  });
}
