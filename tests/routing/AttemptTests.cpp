#include "routing/RoutingFixture.h"

using namespace lovagerock;
using namespace lovagerock::routing;
using namespace lovagerock::routing::test;

namespace {

void
SendNotRun(const http::Request&, const http::Responder& aResponder)
{
  aResponder.Send({ 503, { { "Not-Run", "true" } }, "" });
}

// Aborts the connection without a response.
void
AbortConnection(const http::Request&, const http::Responder& aResponder)
{
  aResponder.Abort();
}

} // namespace

Test(Attempt, forwards_the_response_of_the_worker)
{
  Fixture f;
  const auto outcome = f.Call({});
  cr_assert_eq(outcome.mResponse.mStatus, 200);
  cr_assert_eq(outcome.mResponse.mBody, std::string("answer to x"));
  cr_assert(outcome.mResponse.mHeaders.Has("Request-Id"));
  cr_assert_eq(f.Router().ActiveRequests(), 0);
}

// Guards against a request that fails on a refused connection although it was never sent.
Test(Attempt, retries_on_another_worker_after_a_refused_connection)
{
  Fixture f(2);
  f.Worker(0).mServer.StopListening();
  // The retry budget of a new node is 3.
  for (int i = 0; i < 3; ++i) {
    cr_assert_eq(f.Call(kNonIdempotent).mResponse.mStatus, 200);
  }
  cr_assert_eq(f.Worker(1).mRequests.size(), 3);
}

// Guards against failing a request that the worker refused without running it, and against running
// it twice.
Test(Attempt, retries_a_non_idempotent_request_that_was_not_run)
{
  Fixture f(2);
  f.Worker(0).mOnRequest = SendNotRun;
  for (int i = 0; i < 3; ++i) {
    cr_assert_eq(f.Call(kNonIdempotent).mResponse.mStatus, 200);
  }
  cr_assert_eq(f.Worker(1).mRequests.size(), 3);
}

// Guards against reporting "not run" for a request that the worker cancelled while running it.
Test(Attempt, reports_partly_run_when_the_worker_cancelled_the_request)
{
  Fixture f;
  f.Worker().mOnRequest = [](const http::Request&, const http::Responder& aResponder) {
    aResponder.Send({ 503, { { "Not-Run", "false" } }, "" });
  };
  const auto outcome = f.Call(kNonIdempotent);
  cr_assert_eq(outcome.mResponse.mStatus, 503);
  cr_assert_eq(outcome.Ran(), std::string("partly"));
}

// Guards against losing the response to a request that ran when the connection to the worker is
// lost.
Test(Attempt, fetches_the_response_after_a_lost_connection)
{
  Fixture f;
  f.Worker().mOnRequest = AbortConnection;
  f.Worker().mPhase = workers::RequestPhase::Done;
  const auto outcome = f.Call(kNonIdempotent);
  cr_assert_eq(outcome.mResponse.mBody, std::string("kept"));
  cr_assert_eq(f.Worker().mRequests.size(), 1);
}

Test(Attempt, retries_an_idempotent_request_after_a_lost_connection)
{
  Fixture f(2);
  f.Worker(0).mOnRequest = AbortConnection;
  f.Worker(0).mPhase = f.Worker(1).mPhase = workers::RequestPhase::Running;
  for (int i = 0; i < 3; ++i) {
    cr_assert_eq(f.Call({}).mResponse.mBody, std::string("answer to x"));
  }
}

// Guards against a truncated response that looks complete to the caller, with and without a
// Content-Length.
Test(Attempt, aborts_the_callers_connection_when_a_streamed_response_is_truncated)
{
  for (const bool sized : { true, false }) {
    Fixture f;
    f.Worker().mOnRequest = [sized](const http::Request&, const http::Responder& aResponder) {
      aResponder.Start(200,
                       sized ? http::Headers{ { "Content-Length", "100000" } } : http::Headers{});
      aResponder.Write("part", [aResponder] { aResponder.Abort(); });
    };
    const auto outcome = f.Call({});
    cr_assert(outcome.mError);
    cr_assert_eq(f.Worker().mRequests.size(), 1);
  }
}

// Guards against unbounded memory use, and against lost data when reading from the worker is
// paused, while the caller is slower than the worker.
Test(Attempt, streams_a_large_response_completely)
{
  Fixture f;
  const std::string piece(512 * 1024, 'p');
  f.Worker().mOnRequest = [&piece](const http::Request&, const http::Responder& aResponder) {
    aResponder.Start(200, {});
    for (int i = 0; i < 32; ++i) {
      aResponder.Write(piece);
    }
    aResponder.End();
  };
  const auto outcome = f.Call({});
  cr_assert_not(outcome.mError);
  cr_assert_eq(outcome.mResponse.mBody.size(), 32 * piece.size());
}

// Guards against timing out a request that is slow but still running, and against waiting on a
// connection that delivers no response although the worker has finished.
Test(Attempt, waits_while_running_and_fetches_when_done)
{
  Fixture f;
  f.Worker().HoldRequests();
  f.Worker().mPhase = workers::RequestPhase::Running;
  const auto outcome = f.Start(kNonIdempotent);
  const auto later =
    f.mLoop.After(Duration(300), [&] { f.Worker().mPhase = workers::RequestPhase::Done; });
  cr_assert_eq(f.Finish(outcome).mResponse.mBody, std::string("kept"));
  cr_assert_eq(f.Worker().mRequests.size(), 1);
}

// Guards against running a request twice when the first attempt reaches the worker late. The first
// attempt gets a tombstone, and the next one has a different id.
Test(Attempt, sets_a_tombstone_for_an_unknown_request_before_the_retry)
{
  Fixture f;
  f.Worker().mOnRequest = [&](const http::Request&, const http::Responder& aResponder) {
    if (f.Worker().mRequests.size() == 1) {
      f.Worker().mHeldResponders.push_back(aResponder);
      f.Worker().mPhase = f.Worker().mDropPhase = workers::RequestPhase::Unknown;
    } else {
      f.Worker().mPhase = workers::RequestPhase::Running;
      aResponder.Send({ 200, {}, "second" });
    }
  };
  cr_assert_eq(f.Call(kNonIdempotent).mResponse.mBody, std::string("second"));
  cr_assert_eq(f.Worker().mDropped, std::vector{ f.Worker().mRequests[0] });
  cr_assert(f.Worker().mRequests[0].ends_with(".1"));
  cr_assert(f.Worker().mRequests[1].ends_with(".2"));
}

// Guards against running a non-idempotent request twice when the worker reports it as unknown only
// because a restart lost its record.
Test(Attempt, does_not_retry_when_a_restarted_worker_reports_unknown)
{
  Fixture f;
  f.Worker().HoldRequests();
  f.Worker().mIncarnation = "2";
  f.Worker().mPhase = f.Worker().mDropPhase = workers::RequestPhase::Unknown;
  const auto outcome = f.Call(kNonIdempotent);
  cr_assert_eq(outcome.Ran(), std::string("unknown"));
  cr_assert_eq(f.Worker().mRequests.size(), 1);
}

// Guards against reporting "not run" for an idempotent request whose record the worker lost in a
// restart.
Test(Attempt, does_not_report_not_run_for_an_idempotent_request_of_a_restarted_worker)
{
  Fixture f;
  f.Worker().HoldRequests();
  f.Worker().mIncarnation = "2";
  f.Worker().mPhase = f.Worker().mDropPhase = workers::RequestPhase::Unknown;
  // Ends when the retry budget is used up, or at the deadline.
  cr_assert_eq(f.Call({ { "Deadline-Ms", "5000" } }).Ran(), std::string("unknown"));
  cr_assert_gt(f.Worker().mRequests.size(), 1);
}

// Guards against a retry whose response can't be sent, because part of the first response has gone
// to the caller already. The worker reports the request as unknown while its response is streaming,
// and in one case more data arrives during the probe.
Test(Attempt, aborts_the_callers_connection_when_the_worker_forgets_a_streamed_response)
{
  for (const bool arrivesLate : { true, false }) {
    Fixture f;
    auto& worker = f.Worker();
    std::optional<http::Responder> held;
    worker.mOnRequest = [&](const http::Request&, const http::Responder& aResponder) {
      aResponder.Start(200, {});
      aResponder.Write("part");
      held = aResponder;
      worker.mPhase = workers::RequestPhase::Unknown;
    };
    worker.mDropPhase = workers::RequestPhase::Unknown;
    worker.mProbeDelay = Duration(30);
    worker.mOnProbe = [&] {
      if (arrivesLate && held) {
        held->Write("more");
      }
    };
    const auto outcome = f.Call({});
    cr_assert(outcome.mError);
    cr_assert_eq(worker.mRequests.size(), 1);
    cr_assert_eq(f.Router().ActiveRequests(), 0);
  }
}

// Guards against reporting "not run" for a request that started between the probe and its
// tombstone.
Test(Attempt, reports_partly_run_when_the_request_started_before_its_tombstone)
{
  Fixture f;
  f.Worker().HoldRequests();
  f.Worker().mPhase = workers::RequestPhase::Unknown;
  f.Worker().mDropPhase = workers::RequestPhase::Running;
  cr_assert_eq(f.Call(kNonIdempotent).Ran(), std::string("partly"));
}

// Guards against cancelling a request because its probe overtook it: on a busy machine the request
// arrives after the probe was answered, and is running when its tombstone is to be set.
Test(Attempt, lets_a_request_go_on_that_arrived_after_its_probe)
{
  for (const auto* idempotent : { "false", "true" }) {
    Fixture f;
    f.Worker().HoldRequests();
    f.Worker().mOnProbe = [&f] {
      const bool isFirst = !f.Worker().mPhase;
      f.Worker().mPhase = isFirst ? workers::RequestPhase::Unknown : workers::RequestPhase::Running;
    };
    const auto outcome = f.Start({ { "Idempotent", idempotent } });
    const auto later = f.mLoop.After(Duration(300), [&f] {
      for (const auto& it : f.Worker().mHeldResponders) {
        it.Send({ 200, {}, "done" });
      }
    });
    cr_assert_eq(f.Finish(outcome).mResponse.mBody, std::string("done"));
    cr_assert(f.Worker().mDropped.empty(), "the request was cancelled");
    cr_assert_eq(f.Worker().mRequests.size(), 1);
  }
}

Test(Attempt, retries_on_another_worker_when_a_worker_does_not_respond)
{
  Fixture f(2);
  f.Worker(0).HoldRequests();
  f.Worker(0).mReachable = false;
  for (int i = 0; i < 2; ++i) {
    cr_assert_eq(f.Call({}).mResponse.mStatus, 200);
  }
}

Test(Attempt, reports_unknown_for_a_non_idempotent_request_at_its_deadline)
{
  Fixture f;
  f.Worker().HoldRequests();
  f.Worker().mReachable = false;
  const auto outcome = f.Call({ { "Idempotent", "false" }, { "Deadline-Ms", "400" } });
  cr_assert_eq(outcome.mResponse.mStatus, 504);
  cr_assert_eq(outcome.Ran(), std::string("unknown"));
  cr_assert_eq(f.Worker().mDropped.size(), 1);
}
