#include "routing/RoutingFixture.h"
#include "support/LocalAddress.h"

using namespace lovagerock;
using namespace lovagerock::routing;
using namespace lovagerock::routing::test;

Test(Admission, refuses_requests_that_fail_validation)
{
  Fixture f;
  cr_assert_eq(f.Call({}, "x", "wrong").mResponse.mStatus, 401);
  cr_assert_eq(f.Call({}, "x", "stranger").mResponse.mStatus, 404);
  for (const auto& it :
       { http::Headers{ { "Idempotent", "maybe" } }, http::Headers{ { "Deadline-Ms", "0" } },
         http::Headers{ { "Deadline-Ms", "1x" } },
         http::Headers{ { "Idempotency-Key", std::string(256, 'k') } } }) {
    const auto outcome = f.Call(it);
    cr_assert_eq(outcome.mResponse.mStatus, 400);
    cr_assert_eq(outcome.Ran(), std::string("no"));
  }
  f.mGate = "isolated";
  const auto outcome = f.Call({});
  cr_assert_eq(outcome.mResponse.mStatus, 503);
  cr_assert_eq(outcome.Error(), std::string("isolated"));
  cr_assert(f.Worker().mRequests.empty());
}

// Guards against an unbounded queue, and against a queue limit that is shared between client
// accounts.
Test(Admission, answers_429_when_the_accounts_queue_is_full)
{
  Fixture f;
  f.mPolicy.mQueueLimit = 2;
  f.Publish(*f.mNodes[0], 1, false);
  f.Worker().HoldRequests();
  f.Worker().mPhase = workers::RequestPhase::Running;
  std::vector<OutcomePtr> accepted;
  accepted.reserve(3);
  for (int i = 0; i < 3; ++i) {
    accepted.push_back(f.Start({}));
    f.Until([&] { return f.Router().ActiveRequests() == accepted.size(); });
  }
  const auto full = f.Call({});
  cr_assert_eq(full.mResponse.mStatus, 429);
  cr_assert(full.mResponse.mHeaders.Has("Retry-After"));
  const auto other = f.Start({}, "x", "b");
  f.Until([&] { return f.Router().QueueLength() == 3; });
  cr_assert_not(other->mEnded);
}

// Guards against head-of-line blocking: the long queue of one client account must not delay the
// requests of another.
Test(Admission, shares_a_service_between_accounts_by_weight)
{
  AdmissionQueue queue;
  const ServiceId service("s");
  for (RequestNumber i = 0; i < 100; ++i) {
    cr_assert(queue.Push({ AccountId("a"), service, true }, i, 1, 1000));
  }
  for (RequestNumber i = 100; i < 140; ++i) {
    cr_assert(queue.Push({ AccountId("b"), service, true }, i, 2, 1000));
  }
  int ofB = 0;
  for (int i = 0; i < 30; ++i) {
    ofB += queue.Pop(service, [](bool) { return true; }).value() >= 100 ? 1 : 0;
  }
  cr_assert(ofB >= 19 && ofB <= 21, "%d", ofB);
}

// Guards against head-of-line blocking by a request that no replica may serve: here a
// non-idempotent one, while all replicas are reclaimable.
Test(Admission, dispatches_past_a_request_without_a_usable_replica)
{
  Fixture f;
  f.Publish(*f.mNodes[0], 8, true);
  const auto blocked = f.Start({ { "Idempotent", "false" }, { "Deadline-Ms", "600" } });
  f.Until([&] { return f.Router().QueueLength() == 1; });
  cr_assert_eq(f.Call({}).mResponse.mStatus, 200);
  const auto outcome = f.Finish(blocked);
  cr_assert_eq(outcome.mResponse.mStatus, 503);
  cr_assert_eq(outcome.Ran(), std::string("no"));
  cr_assert_eq(f.Router().QueueLength(), 0);
}

// Guards against requests being sent to a worker that is shutting down or suspected to have failed.
Test(Admission, sends_nothing_to_a_leaving_or_suspected_worker)
{
  Fixture f(2);
  auto state = f.Worker(0).State(8, false);
  state.mLeaving = true;
  f.Router().UpdateWorker(state, f.Worker(0).mServer.Address(), false);
  f.Router().UpdateWorker(f.Worker(1).State(8, false), f.Worker(1).mServer.Address(), true);
  cr_assert_eq(f.Call({ { "Deadline-Ms", "100" } }).Ran(), std::string("no"));
  cr_assert(f.Worker(0).mRequests.empty() && f.Worker(1).mRequests.empty());
}

// Guards against sending requests by outdated worker states, which the send check prevents,
// including a request whose claim was being acquired when the check changed.
Test(Admission, sends_nothing_while_the_send_check_fails)
{
  Fixture f;
  bool maySend = true;
  f.Router().SetSendCheck([&] { return maySend; });
  const auto keyed = f.Start(kKeyed);
  f.Until([&] { return f.Router().ActiveRequests() == 1; });
  maySend = false;
  const auto plain = f.Start({});
  f.Until([&] { return f.Router().QueueLength() == 2; });
  cr_assert(f.Worker().mRequests.empty());
  maySend = true;
  f.Router().Resume();
  cr_assert_eq(f.Finish(plain).mResponse.mStatus, 200);
  cr_assert_eq(f.Finish(keyed).mResponse.mStatus, 200);
  cr_assert_eq(f.Worker().mRequests.size(), 2);
}

// Guards against a drain that aborts requests in progress or accepts new ones.
Test(Admission, drains_after_the_last_response)
{
  Fixture f;
  f.Worker().HoldRequests();
  f.Worker().mPhase = workers::RequestPhase::Running;
  const auto running = f.Start(kKeyed);
  f.Until([&] { return f.Worker().mHeldResponders.size() == 1; });
  bool drained = false;
  f.Router().Drain([&] { drained = true; });
  const auto refused = f.Call({});
  cr_assert_eq(refused.Error(), std::string("draining"));
  cr_assert_not(drained);
  f.Worker().mHeldResponders[0].Send({ 200, {}, "last" });
  cr_assert_eq(f.Finish(running).mResponse.mBody, std::string("last"));
  f.Until([&] { return drained; });
  cr_assert_eq(f.Router().ActiveRequests(), 0);
}

Test(Admission, refuses_bodies_over_the_memory_limit_of_the_node)
{
  Fixture f;
  auto options = TestOptions(5);
  options.mMaxBuffered = Bytes(10);
  TestTransport transport{ f.mNetwork, options.mPeer };
  TestRouter router(f.mLoop, f.mClient, f.mStore, transport, f.mWorkers, f.mRandom,
                    f.mNodes[0]->mMetrics, options);
  http::HttpServer server(f.mLoop);
  RequestApi api(
    TestNode::Directory(f.mPolicy), [] { return std::nullopt; },
    [&](RouteRequest aRequest, const http::Responder& aResponder) {
      router.Submit(std::move(aRequest), aResponder);
    },
    f.mRandom);
  api.Register(server);
  cr_assert_not(server.Listen(testing::LocalAddress()));
  http::ClientRequest request;
  request.mServer = server.Address();
  request.mMethod = http::Method::Post;
  request.mTarget = "/v1/services/s/requests";
  request.mHeaders = { { "Authorization", "Bearer a" } };
  request.mBody = std::string(11, 'x');
  Outcome outcome;
  f.mClient.Send(request, [&](std::error_code aError, http::Response aResponse) {
    outcome = { true, aError, std::move(aResponse) };
  });
  f.Until([&] { return outcome.mEnded; });
  cr_assert_eq(outcome.Error(), std::string("node_busy"));
}

// Guards against retries that multiply the load on a failing service.
Test(RetryBudget, allows_10_percent_of_requests_plus_3_per_second)
{
  const TimePoint start;
  RetryBudget budget(start);
  int retries = 0;
  for (int i = 0; i < 100; ++i) {
    budget.AddRequest();
  }
  while (budget.TakeRetry(start)) {
    ++retries;
  }
  cr_assert(retries >= 12 && retries <= 13, "%d", retries);
  cr_assert(budget.TakeRetry(start + Duration(400)));
}

// Guards against an overload in which every request waits nearly until its deadline. The deadlines
// then interrupt the runs, so the workers are busy but no request gets a response, and the outcomes
// are unknown.
Test(Admission, refuses_on_arrival_if_the_expected_wait_exceeds_the_deadline)
{
  Fixture f;
  f.Publish(*f.mNodes[0], 1, false);
  f.Worker().mPhase = workers::RequestPhase::Running;
  std::vector<Timer> timers;
  f.Worker().mOnRequest = [&](const http::Request&, const http::Responder& aResponder) {
    timers.push_back(f.mLoop.After(Duration(100), [aResponder] {
      aResponder.Send({ 200, {}, "" });
    }));
  };
  cr_assert_eq(f.Call({}).mResponse.mStatus, 200);
  f.Worker().HoldRequests();
  const auto running = f.Start({});
  f.Until([&] { return f.Worker().mHeldResponders.size() == 1; });
  // The refusal must not wait for the slot, which the running request still holds.
  const auto refused = f.Call({ { "Deadline-Ms", "100" } });
  cr_assert_eq(refused.mResponse.mStatus, 503);
  cr_assert_eq(refused.Error(), std::string("overloaded"));
  cr_assert_eq(refused.Ran(), std::string("no"));
  cr_assert_not(running->mEnded);
  const auto longDeadline = f.Start({ { "Deadline-Ms", "30000" } });
  f.Until([&] { return f.Router().QueueLength() == 1; });
  cr_assert_not(longDeadline->mEnded);
  cr_assert_eq(f.Worker().mRequests.size(), 2);
}

// Guards against a slot that is wasted on a run which its deadline will interrupt, which also
// leaves the outcome unknown.
Test(Admission, refuses_a_queued_request_with_too_little_time_left)
{
  Fixture f;
  f.Publish(*f.mNodes[0], 1, false);
  f.Worker().HoldRequests();
  f.Worker().mPhase = workers::RequestPhase::Running;
  // These arrive before the first run time is known, so they are not refused on arrival.
  const auto slow = f.Start({ { "Deadline-Ms", "30000" } });
  f.Until([&] { return f.Worker().mHeldResponders.size() == 1; });
  const auto late = f.Start({ { "Deadline-Ms", "30000" } });
  const auto shortDeadline = f.Start({ { "Deadline-Ms", "600" } });
  f.Until([&] { return f.Router().QueueLength() == 2; });
  const auto timer = f.mLoop.After(Duration(400), [&] {
    f.Worker().mHeldResponders[0].Send({ 200, {}, "" });
  });
  f.Until([&] { return f.Worker().mHeldResponders.size() == 2; });
  f.Worker().mHeldResponders[1].Send({ 200, {}, "" });
  const auto outcome = f.Finish(shortDeadline);
  cr_assert_eq(outcome.Error(), std::string("no_capacity"));
  cr_assert_eq(outcome.Ran(), std::string("no"));
  cr_assert_eq(f.Worker().mRequests.size(), 2);
}

// Guards against refusing a client account's request because of another account's long queue.
Test(Admission, counts_at_most_the_weighted_share_of_other_accounts_ahead)
{
  AdmissionQueue queue;
  const ServiceId service("s");
  for (RequestNumber i = 0; i < 100; ++i) {
    cr_assert(queue.Push({ AccountId("a"), service, true }, i, 1, 1000));
  }
  cr_assert(queue.Push({ AccountId("b"), service, true }, 100, 2, 1000));
  cr_assert(queue.Push({ AccountId("b"), service, true }, 101, 2, 1000));
  cr_assert(queue.Push({ AccountId("b"), service, false }, 102, 2, 1000));
  cr_assert_eq(queue.RequestsAhead({ AccountId("b"), service, true }), 2.0);
  cr_assert_eq(queue.RequestsAhead({ AccountId("a"), service, true }), 101.0);
}

// Guards against refusing requests on an outdated estimate, and against a wait estimated as zero
// when no attempt is open and the real wait may be unlimited.
Test(RunTimeEstimator, adapts_to_the_service_and_estimates_no_wait_without_open_attempts)
{
  using std::chrono::microseconds;
  RunTimeEstimator estimator;
  cr_assert_eq(estimator.TypicalRunTime(), microseconds(0));
  estimator.RecordStart();
  estimator.RecordRunTime(microseconds(1000));
  estimator.RecordEnd(microseconds(1000));
  cr_assert_not(estimator.EstimateWait(10));
  estimator.RecordStart();
  estimator.RecordStart();
  cr_assert_eq(estimator.EstimateWait(9).value(), microseconds(5000));
  estimator.RecordDeadlineExceeded(microseconds(500));
  cr_assert_eq(estimator.MeanRunTime(), microseconds(1000));
  estimator.RecordDeadlineExceeded(microseconds(17000));
  cr_assert_eq(estimator.MeanRunTime(), microseconds(2000));
  for (int i = 0; i < 200; ++i) {
    estimator.RecordRunTime(microseconds(100));
  }
  cr_assert_lt(estimator.TypicalRunTime(), microseconds(150));
}

// Guards against callers that retry at once when the workers are too slow, and so increase the load
// on them.
Test(Admission, sends_retry_after_when_the_deadline_interrupts_a_run)
{
  Fixture f;
  f.Worker().HoldRequests();
  f.Worker().mPhase = workers::RequestPhase::Running;
  const auto outcome = f.Call({ { "Deadline-Ms", "300" } });
  cr_assert_eq(outcome.mResponse.mStatus, 504);
  cr_assert_eq(outcome.Ran(), std::string("unknown"));
  cr_assert(outcome.mResponse.mHeaders.Has("Retry-After"));
}
