#include "routing/RoutingFixture.h"
#include "support/LocalAddress.h"

using namespace lovagerock;
using namespace lovagerock::routing;
using namespace lovagerock::routing::test;

Test(Admission, refuses_what_the_checks_reject)
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

// Guards against an unbounded queue, and against one account's queue that fills another's.
Test(Admission, answers_429_when_the_accounts_queue_is_full)
{
  Fixture f;
  f.mPolicy.mQueueLimit = 2;
  f.Publish(*f.mNodes[0], 1, false);
  f.Worker().BeSilent();
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

// Guards against head-of-line blocking: a long queue of one account must not delay another's.
Test(Admission, alternates_between_accounts_by_weight)
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

// Guards against a request without a fitting replica that blocks those behind it.
Test(Admission, passes_a_request_that_has_no_replica)
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

// Guards against new work for a worker that leaves.
Test(Admission, sends_nothing_to_a_leaving_worker)
{
  Fixture f(2);
  auto state = f.Worker(0).State(8, false);
  state.mLeaving = true;
  f.Router().UpdateWorker(state, f.Worker(0).mServer.Address(), false);
  f.Router().UpdateWorker(f.Worker(1).State(8, false), f.Worker(1).mServer.Address(), true);
  cr_assert_eq(f.Call({ { "Deadline-Ms", "100" } }).Ran(), std::string("no"));
  cr_assert(f.Worker(0).mRequests.empty() && f.Worker(1).mRequests.empty());
}

// Guards against work for workers whose views are out of date, also where a claim was under way.
Test(Admission, sends_nothing_while_it_may_not)
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

// Guards against a stop that cuts requests or accepts new ones.
Test(Admission, drains_after_the_last_answer)
{
  Fixture f;
  f.Worker().BeSilent();
  f.Worker().mPhase = workers::RequestPhase::Running;
  const auto running = f.Start(kKeyed);
  f.Until([&] { return f.Worker().mHeld.size() == 1; });
  bool drained = false;
  f.Router().Drain([&] { drained = true; });
  const auto refused = f.Call({});
  cr_assert_eq(refused.Error(), std::string("draining"));
  cr_assert_not(drained);
  f.Worker().mHeld[0].Send({ 200, {}, "last" });
  cr_assert_eq(f.Finish(running).mResponse.mBody, std::string("last"));
  f.Until([&] { return drained; });
  cr_assert_eq(f.Router().ActiveRequests(), 0);
}

Test(Admission, refuses_bodies_over_the_limit_of_the_node)
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

// Guards against retries that multiply the load of a failing service.
Test(RetryBudget, is_a_tenth_of_the_requests_and_three_a_second)
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

// Guards against a queue in which every request waits until its deadline: the runs are then cut,
// their outcome is unknown, and no answer is given although the workers are busy.
Test(Admission, refuses_at_once_what_would_wait_beyond_its_deadline)
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
  f.Worker().BeSilent();
  const auto running = f.Start({});
  f.Until([&] { return f.Worker().mHeld.size() == 1; });
  // Answered before the slot is free again, so at once.
  const auto refused = f.Call({ { "Deadline-Ms", "100" } });
  cr_assert_eq(refused.mResponse.mStatus, 503);
  cr_assert_eq(refused.Error(), std::string("overloaded"));
  cr_assert_eq(refused.Ran(), std::string("no"));
  cr_assert_not(running->mEnded);
  const auto patient = f.Start({ { "Deadline-Ms", "30000" } });
  f.Until([&] { return f.Router().QueueLength() == 1; });
  cr_assert_not(patient->mEnded);
  cr_assert_eq(f.Worker().mRequests.size(), 2);
}

// Guards against a slot that is spent on a run which its deadline cuts, and whose outcome nobody
// knows.
Test(Admission, sends_nothing_whose_time_is_too_short_after_the_wait)
{
  Fixture f;
  f.Publish(*f.mNodes[0], 1, false);
  f.Worker().BeSilent();
  f.Worker().mPhase = workers::RequestPhase::Running;
  // Waits from before the first run time is known, so it is not refused at its arrival.
  const auto slow = f.Start({ { "Deadline-Ms", "30000" } });
  f.Until([&] { return f.Worker().mHeld.size() == 1; });
  const auto late = f.Start({ { "Deadline-Ms", "30000" } });
  const auto hopeless = f.Start({ { "Deadline-Ms", "600" } });
  f.Until([&] { return f.Router().QueueLength() == 2; });
  const auto timer = f.mLoop.After(Duration(400), [&] {
    f.Worker().mHeld[0].Send({ 200, {}, "" });
  });
  f.Until([&] { return f.Worker().mHeld.size() == 2; });
  f.Worker().mHeld[1].Send({ 200, {}, "" });
  const auto outcome = f.Finish(hopeless);
  cr_assert_eq(outcome.Error(), std::string("no_capacity"));
  cr_assert_eq(outcome.Ran(), std::string("no"));
  cr_assert_eq(f.Worker().mRequests.size(), 2);
}

// Guards against an account that is refused because of another account's long queue.
Test(Admission, counts_no_more_than_the_share_of_another_account_ahead)
{
  AdmissionQueue queue;
  const ServiceId service("s");
  for (RequestNumber i = 0; i < 100; ++i) {
    cr_assert(queue.Push({ AccountId("a"), service, true }, i, 1, 1000));
  }
  cr_assert(queue.Push({ AccountId("b"), service, true }, 100, 2, 1000));
  cr_assert(queue.Push({ AccountId("b"), service, true }, 101, 2, 1000));
  cr_assert(queue.Push({ AccountId("b"), service, false }, 102, 2, 1000));
  cr_assert_eq(queue.Ahead({ AccountId("b"), service, true }), 2.0);
  cr_assert_eq(queue.Ahead({ AccountId("a"), service, true }), 101.0);
}

// Guards against a service that stays refused on an old estimate, and against a wait without end
// that looks like none.
Test(RunTimes, follow_the_service_and_know_nothing_without_open_attempts)
{
  using std::chrono::microseconds;
  RunTimes times;
  cr_assert_eq(times.Typical(), microseconds(0));
  times.OnStart();
  times.OnAnswered(microseconds(1000));
  times.OnEnd(microseconds(1000));
  cr_assert_not(times.Wait(10));
  times.OnStart();
  times.OnStart();
  cr_assert_eq(times.Wait(9).value(), microseconds(5000));
  times.OnCutOff(microseconds(500));
  cr_assert_eq(times.Mean(), microseconds(1000));
  times.OnCutOff(microseconds(17000));
  cr_assert_eq(times.Mean(), microseconds(2000));
  for (int i = 0; i < 200; ++i) {
    times.OnAnswered(microseconds(100));
  }
  cr_assert_lt(times.Typical(), microseconds(150));
}

// Guards against callers that send again at once when the workers are too slow, and so multiply the
// load that made them slow.
Test(Admission, asks_callers_to_wait_after_a_run_that_the_deadline_cut)
{
  Fixture f;
  f.Worker().BeSilent();
  f.Worker().mPhase = workers::RequestPhase::Running;
  const auto outcome = f.Call({ { "Deadline-Ms", "300" } });
  cr_assert_eq(outcome.mResponse.mStatus, 504);
  cr_assert_eq(outcome.Ran(), std::string("unknown"));
  cr_assert(outcome.mResponse.mHeaders.Has("Retry-After"));
}
