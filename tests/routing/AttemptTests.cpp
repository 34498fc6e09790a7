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

// Closes the connection before an answer.
void
Cut(const http::Request&, const http::Responder& aResponder)
{
  aResponder.Abort();
}

} // namespace

Test(Attempt, passes_the_answer_of_the_worker_on)
{
  Fixture f;
  const auto outcome = f.Call({});
  cr_assert_eq(outcome.mResponse.mStatus, 200);
  cr_assert_eq(outcome.mResponse.mBody, std::string("answer to x"));
  cr_assert(outcome.mResponse.mHeaders.Has("Request-Id"));
  cr_assert_eq(f.Router().ActiveRequests(), 0);
}

// Guards against a refused connection that ends a request which was never sent.
Test(Attempt, goes_to_another_worker_after_a_refused_connection)
{
  Fixture f(2);
  f.Worker(0).mServer.StopListening();
  // The retry budget of a new node is 3.
  for (int i = 0; i < 3; ++i) {
    cr_assert_eq(f.Call(kOnce).mResponse.mStatus, 200);
  }
  cr_assert_eq(f.Worker(1).mRequests.size(), 3);
}

// Guards against giving up, and against a second run, when the worker refused without running.
Test(Attempt, retries_a_non_idempotent_request_that_was_not_run)
{
  Fixture f(2);
  f.Worker(0).mOnRequest = SendNotRun;
  for (int i = 0; i < 3; ++i) {
    cr_assert_eq(f.Call(kOnce).mResponse.mStatus, 200);
  }
  cr_assert_eq(f.Worker(1).mRequests.size(), 3);
}

// Guards against "not run" for a request that was cancelled while it ran.
Test(Attempt, says_partly_when_the_worker_cancelled_the_request)
{
  Fixture f;
  f.Worker().mOnRequest = [](const http::Request&, const http::Responder& aResponder) {
    aResponder.Send({ 503, { { "Not-Run", "false" } }, "" });
  };
  const auto outcome = f.Call(kOnce);
  cr_assert_eq(outcome.mResponse.mStatus, 503);
  cr_assert_eq(outcome.Ran(), std::string("partly"));
}

// Guards against a lost answer of a request that ran.
Test(Attempt, fetches_the_answer_after_a_cut_connection)
{
  Fixture f;
  f.Worker().mOnRequest = Cut;
  f.Worker().mPhase = workers::RequestPhase::Done;
  const auto outcome = f.Call(kOnce);
  cr_assert_eq(outcome.mResponse.mBody, std::string("kept"));
  cr_assert_eq(f.Worker().mRequests.size(), 1);
}

Test(Attempt, retries_an_idempotent_request_after_a_cut_connection)
{
  Fixture f(2);
  f.Worker(0).mOnRequest = Cut;
  f.Worker(0).mPhase = f.Worker(1).mPhase = workers::RequestPhase::Running;
  for (int i = 0; i < 3; ++i) {
    cr_assert_eq(f.Call({}).mResponse.mBody, std::string("answer to x"));
  }
}

// Guards against a truncated answer that looks complete, with and without a known size.
Test(Attempt, cuts_the_caller_when_a_streamed_answer_is_cut)
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

// Guards against unbounded memory and against lost pieces when the caller is slower.
Test(Attempt, streams_a_large_answer_whole)
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

// Guards against a time-out of a slow live request, and against waiting on a dead connection.
Test(Attempt, waits_while_running_and_fetches_when_done)
{
  Fixture f;
  f.Worker().BeSilent();
  f.Worker().mPhase = workers::RequestPhase::Running;
  const auto outcome = f.Start(kOnce);
  const auto later =
    f.mLoop.After(Duration(300), [&] { f.Worker().mPhase = workers::RequestPhase::Done; });
  cr_assert_eq(f.Finish(outcome).mResponse.mBody, std::string("kept"));
  cr_assert_eq(f.Worker().mRequests.size(), 1);
}

// Guards against a second run of a request that arrives late: the attempt gets a tombstone, and
// the next attempt another id.
Test(Attempt, drops_an_unknown_request_before_it_is_sent_again)
{
  Fixture f;
  f.Worker().mOnRequest = [&](const http::Request&, const http::Responder& aResponder) {
    if (f.Worker().mRequests.size() == 1) {
      f.Worker().mHeld.push_back(aResponder);
      f.Worker().mPhase = f.Worker().mDropPhase = workers::RequestPhase::Unknown;
    } else {
      f.Worker().mPhase = workers::RequestPhase::Running;
      aResponder.Send({ 200, {}, "second" });
    }
  };
  cr_assert_eq(f.Call(kOnce).mResponse.mBody, std::string("second"));
  cr_assert_eq(f.Worker().mDropped, std::vector{ f.Worker().mRequests[0] });
  cr_assert(f.Worker().mRequests[0].ends_with(".1"));
  cr_assert(f.Worker().mRequests[1].ends_with(".2"));
}

// Guards against a second run after a restart, which makes the worker forget what it ran.
Test(Attempt, does_not_trust_unknown_of_a_restarted_worker)
{
  Fixture f;
  f.Worker().BeSilent();
  f.Worker().mIncarnation = "2";
  f.Worker().mPhase = f.Worker().mDropPhase = workers::RequestPhase::Unknown;
  const auto outcome = f.Call(kOnce);
  cr_assert_eq(outcome.Ran(), std::string("unknown"));
  cr_assert_eq(f.Worker().mRequests.size(), 1);
}

// Guards against "not run" for an idempotent request that a worker forgot when it was restarted.
Test(Attempt, does_not_say_not_run_for_an_idempotent_request_of_a_restarted_worker)
{
  Fixture f;
  f.Worker().BeSilent();
  f.Worker().mIncarnation = "2";
  f.Worker().mPhase = f.Worker().mDropPhase = workers::RequestPhase::Unknown;
  // Ends when the retry budget is used up, or at the deadline.
  cr_assert_eq(f.Call({ { "Deadline-Ms", "5000" } }).Ran(), std::string("unknown"));
  cr_assert_gt(f.Worker().mRequests.size(), 1);
}

// Guards against another run whose answer nobody can get, because the caller was cut already; the
// worker forgets the request while a piece of its answer is on the way.
Test(Attempt, cuts_the_caller_when_the_worker_forgets_a_streamed_answer)
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
    worker.mQuestionTime = Duration(30);
    worker.mOnQuestion = [&] {
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

// Guards against "not run" for a request that started between the question and the tombstone.
Test(Attempt, says_partly_when_the_tombstone_came_too_late)
{
  Fixture f;
  f.Worker().BeSilent();
  f.Worker().mPhase = workers::RequestPhase::Unknown;
  f.Worker().mDropPhase = workers::RequestPhase::Running;
  cr_assert_eq(f.Call(kOnce).Ran(), std::string("partly"));
}

Test(Attempt, leaves_a_worker_that_gives_no_answer_at_all)
{
  Fixture f(2);
  f.Worker(0).BeSilent();
  f.Worker(0).mReachable = false;
  for (int i = 0; i < 2; ++i) {
    cr_assert_eq(f.Call({}).mResponse.mStatus, 200);
  }
}

Test(Attempt, ends_a_non_idempotent_request_at_the_deadline_as_unknown)
{
  Fixture f;
  f.Worker().BeSilent();
  f.Worker().mReachable = false;
  const auto outcome = f.Call({ { "Idempotent", "false" }, { "Deadline-Ms", "400" } });
  cr_assert_eq(outcome.mResponse.mStatus, 504);
  cr_assert_eq(outcome.Ran(), std::string("unknown"));
  cr_assert_eq(f.Worker().mDropped.size(), 1);
}
