#include "workers/WorkerFixture.h"

#include <criterion/criterion.h>

using namespace lovagerock;
using namespace lovagerock::workers;

namespace {

// A monitor with short polls of the fixture's worker, whose state does not change and has a
// sequence above 0.
struct ShortPollFixture : WorkerFixture
{
  RecordingApi mRecording{ mClient };
  WorkerMonitor<RecordingApi> mShortPollMonitor{ mLoop,
                                                 mRecording,
                                                 mRandom,
                                                 mMailbox.GetAddress(),
                                                 { .mPollWait = Duration(10),
                                                   .mPollDelay = Duration(1) } };

  // Runs the loop until the monitor has sent aPolls polls.
  void RunPolls(std::size_t aPolls)
  {
    mShortPollMonitor.SetWorkers({ { mAddress, false } });
    const auto timer = mLoop.Every(Duration(1), [&] {
      if (mRecording.mSince.size() >= aPolls) {
        mLoop.Stop();
      }
    });
    mLoop.Run();
  }
};

} // namespace

// Guards against a version that is confused with another, and against one read from a malformed
// tag.
Test(WorkerState, reads_only_well_formed_state_tags)
{
  const StateVersion version{ "a.b", 7 };
  cr_assert(ReadStateTag(WriteStateTag(version)) == version);
  for (const auto* it : { "", "\"", "\"a\"", "a.7", "\"a.\"", "\"a.7x\"", "\"a.-7\"" }) {
    cr_assert_not(ReadStateTag(it), "%s", it);
  }
}

// Guards against polls that read the whole state repeatedly although it has not changed.
Test(WorkerMonitor, reads_an_unchanged_state_once)
{
  ShortPollFixture f;
  f.RunPolls(20);
  cr_assert_eq(f.mRecording.FullReads(), 1);
}

// Guards against a restart that goes unnoticed because the polls report no change.
Test(WorkerMonitor, reads_the_state_again_if_an_unchanged_poll_has_another_version)
{
  for (const auto& other : { StateVersion{ "second", 1 }, StateVersion{ "first", 0 } }) {
    ShortPollFixture f;
    f.mRecording.mModifyAnswer = [&](PollAnswer& aAnswer) { aAnswer.mVersion = other; };
    f.RunPolls(3);
    const std::vector<std::uint64_t> expected{ 0, 1, 0 };
    cr_assert(f.mRecording.mSince == expected);
  }
}

// Guards against a restart that is never noticed if the worker reports no version.
Test(WorkerMonitor, reads_the_state_again_after_unchanged_polls_without_a_version)
{
  ShortPollFixture f;
  f.mRecording.mModifyAnswer = [](PollAnswer& aAnswer) { aAnswer.mVersion.reset(); };
  f.RunPolls(20);
  cr_assert_gt(f.mRecording.FullReads(), 1);
}

Test(WorkerState, round_trips_through_json)
{
  WorkerState state;
  state.mWorker = WorkerId("w");
  state.mFence = { 3, NodeId("n") };
  state.mLeases.emplace_back();
  state.mLeases.back().mPhase = LeasePhase::Stopping;
  const auto read = ReadWorkerState(Json(state));
  cr_assert(read && read->mFence == state.mFence);
  cr_assert_eq(read->mLeases.at(0).mPhase, LeasePhase::Stopping);
  Json broken = state;
  broken["leases"][0].erase("phase");
  cr_assert_not(ReadWorkerState(broken));
}

// Guards against a worker's number that is cut to another one, or overflows a time.
Test(WorkerState, rejects_numbers_out_of_range)
{
  WorkerState state;
  state.mLeases.emplace_back();
  const Json good = state;
  cr_assert(ReadWorkerState(good));
  for (const Json& number : { Json(1e300), Json(-1e300), Json(std::uint64_t(-1)), Json("1") }) {
    for (const auto* const member : { "task", "tasks", "attempt", "expires_in_ms" }) {
      auto odd = good;
      odd["leases"][0][member] = number;
      cr_assert_not(ReadWorkerState(odd), "%s %s", member, DumpJson(number).c_str());
    }
    auto odd = good;
    odd["usage"]["lag_ms"] = number;
    cr_assert_not(ReadWorkerState(odd), "%s", DumpJson(number).c_str());
  }
}

Test(HttpWorkerApi, runs_a_task_and_reads_its_answer)
{
  WorkerFixture f;
  cr_assert_not(f.Reserve(f.Lease("a")));
  std::string result;
  f.mApi.Start(f.mAddress, LeaseId("a"), f.mFence, Duration(5000), [&](std::error_code aError) {
    cr_assert_not(aError);
    f.mApi.FetchAnswer(f.mAddress, LeaseId("a"), [&](std::error_code, std::string aAnswer) {
      result = std::move(aAnswer);
      f.mLoop.Stop();
    });
  });
  f.mLoop.Run();
  cr_assert_eq(result, std::string("42"));
}

// Guards against one refusal reported as another: callers react differently to each.
Test(HttpWorkerApi, distinguishes_refusals_and_unsent_calls)
{
  WorkerFixture f;
  cr_assert_not(f.Reserve(f.Lease("a")));
  cr_assert_eq(f.Reserve(f.Lease("b")), make_error_code(WorkerError::NoCapacity));
  f.mFence.mEpoch = 0;
  cr_assert_eq(f.Reserve(f.Lease("c")), make_error_code(WorkerError::Fenced));
  f.mAddress = SocketAddress("127.0.0.1", 1);
  cr_assert_eq(f.Reserve(f.Lease("d")), make_error_code(WorkerError::NotSent));
}

// Guards against a command that took effect and is retried on another worker because its response
// was lost.
Test(HttpWorkerApi, reports_an_unknown_outcome_when_the_response_is_lost)
{
  WorkerFixture f;
  f.Post(R"({"lose_answers":1})");
  const auto delay = f.mLoop.After(Duration(50), [&] { f.mLoop.Stop(); });
  f.mLoop.Run();
  cr_assert_eq(f.Reserve(f.Lease("a")), make_error_code(WorkerError::OutcomeUnknown));
  cr_assert_not(f.Reserve(f.Lease("a")));
}

// Guards against work for a worker whose view is from before a pause of this process. The polls
// that were open then don't report what changed during the pause.
Test(WorkerMonitor, detects_a_change_with_a_recheck)
{
  WorkerFixture f;
  f.mMonitor.SetWorkers({ { f.mAddress, false } });
  f.Wait([&] { return f.HasHealth(WorkerHealth::Live); });
  // The open poll fails with its connection, and the next one comes later than the recheck.
  f.mWorker.reset();
  f.StartWorker("second");
  f.mClient.CloseIdle(f.mAddress);
  f.mMonitor.Recheck([&] {
    const auto* view = f.mMonitor.Find(f.mAddress);
    cr_assert_not(view->mSuspected);
    cr_assert_eq(view->mState->mIncarnation, std::string("second"));
    f.mLoop.Stop();
  });
  f.Wait(nullptr);
}

// Guards against work that waits forever for the recheck of a worker that does not respond, and
// against new work for that worker.
Test(WorkerMonitor, suspects_a_worker_that_does_not_answer_a_recheck)
{
  WorkerFixture f;
  f.mMonitor.SetWorkers({ { f.mAddress, false } });
  f.Wait([&] { return f.mMonitor.HaveAllStates(); });
  f.mWorker.reset();
  bool suspected = false;
  f.mMonitor.Recheck([&] { suspected = f.mMonitor.Find(f.mAddress)->mSuspected; });
  f.Wait([&] { return suspected; });
}

// Guards against new work for a leaving worker, reported by the worker itself or by the VM list.
Test(WorkerMonitor, reports_a_leaving_worker_from_either_source)
{
  WorkerFixture f;
  f.mMonitor.SetWorkers({ { f.mAddress, false } });
  f.Wait([&] { return f.HasHealth(WorkerHealth::Live); });
  f.mMonitor.SetWorkers({ { f.mAddress, true } });
  f.Wait([&] { return f.HasHealth(WorkerHealth::Leaving); });
  f.mMonitor.SetWorkers({ { f.mAddress, false } });
  f.Wait([&] { return f.HasHealth(WorkerHealth::Live); });
  f.mWorker->SetLeaving();
  f.Wait([&] { return f.HasHealth(WorkerHealth::Leaving); });
}

// Guards against a restart that is never noticed because the worker's new sequence is low.
Test(WorkerMonitor, notices_a_restart)
{
  WorkerFixture f;
  f.mMonitor.SetWorkers({ { f.mAddress, false } });
  f.Wait([&] { return f.HasHealth(WorkerHealth::Live); });
  f.mWorker.reset();
  f.StartWorker("second");
  f.Wait([&] {
    const auto& last = f.mChanges.back();
    return last.mKind == WorkerChange::Kind::Restarted &&
           last.mView.mState->mIncarnation == "second";
  });
}

// Guards against new work for a worker that accepts connections and never answers.
Test(WorkerMonitor, suspects_an_unresponsive_worker_until_it_answers)
{
  WorkerFixture f;
  f.mMonitor.SetWorkers({ { f.mAddress, false } });
  f.Wait([&] { return f.HasHealth(WorkerHealth::Live); });
  f.Post(R"({"freeze":true})");
  f.Wait([&] { return f.HasHealth(WorkerHealth::Suspected); });
  f.Post(R"({"freeze":false})");
  f.Wait([&] { return f.HasHealth(WorkerHealth::Live); });
}

// Guards against a count of workers with a state that counts a restart twice or keeps a removed
// worker: the planner would then treat the cluster as complete too early, or never.
Test(WorkerMonitor, counts_each_watched_worker_with_a_state_once)
{
  WorkerFixture f;
  cr_assert_not(f.mMonitor.HaveAllStates());
  const SocketAddress silent("127.0.0.1", 1);
  f.mMonitor.SetWorkers({ { f.mAddress, false }, { silent, false } });
  f.Wait([&] { return f.HasHealth(WorkerHealth::Live); });
  cr_assert_not(f.mMonitor.HaveAllStates());
  f.mWorker.reset();
  f.StartWorker("second");
  f.Wait([&] {
    const auto& last = f.mChanges.back();
    return last.mKind == WorkerChange::Kind::Restarted &&
           last.mView.mState->mIncarnation == "second";
  });
  cr_assert_eq(f.mMonitor.Watched(), 2U);
  cr_assert_not(f.mMonitor.HaveAllStates());
  // A suspected worker is removed at once, a live one when its polls fail.
  f.mMonitor.SetWorkers({ { f.mAddress, false } });
  cr_assert_eq(f.mMonitor.Watched(), 1U);
  cr_assert(f.mMonitor.HaveAllStates());
  f.mWorker.reset();
  f.mMonitor.SetWorkers({});
  f.Wait([&] { return f.mMonitor.Watched() == 0; });
  cr_assert_not(f.mMonitor.HaveAllStates());
}
