#include "LoadFixture.h"
#include "load/Payload.h"
#include "support/LocalAddress.h"

#include <set>

using namespace lovagerock;
using namespace lovagerock::load;
using lovagerock::load::tests::LoadFixture;

// Guards against good answers that are counted as faults.
Test(RequestLoad, counts_echoed_bodies_as_whole_answers)
{
  LoadFixture f;
  f.OnRequest([](int, const http::Request& aRequest, const http::Responder& aTo) {
    cr_assert_eq(aRequest.mBody.size(), 300);
    aTo.Send({ 200, {}, aRequest.mBody });
  });
  const auto& tally = f.RunRequests(40, 4);
  cr_assert_eq(tally.Count(Outcome::Ok), 40);
  cr_assert(tally.IsClean());
  cr_assert_eq(std::set(f.mKeys.begin(), f.mKeys.end()).size(), 40);
}

// Guards against a system that passes on a cut answer as a whole one.
Test(RequestLoad, reports_a_well_formed_answer_without_its_end)
{
  LoadFixture f;
  f.OnRequest([](int, const http::Request& aRequest, const http::Responder& aTo) {
    aTo.Send({ 200, {}, aRequest.mBody.substr(0, 200) });
  });
  const auto& tally = f.RunRequests(1);
  cr_assert_eq(tally.Count(Outcome::Truncated), 1);
  cr_assert_not(tally.IsClean());
}

// Guards against a caller that takes a visibly cut answer as final, or retries it with a new key.
Test(RequestLoad, retries_a_cut_answer_with_the_same_key)
{
  LoadFixture f;
  f.OnRequest([](int aNumber, const http::Request& aRequest, const http::Responder& aTo) {
    if (aNumber > 0) {
      aTo.Send({ 200, {}, aRequest.mBody });
      return;
    }
    aTo.Start(200, { { "Content-Length", std::to_string(aRequest.mBody.size()) } });
    aTo.Write(aRequest.mBody.substr(0, 100), [aTo] { aTo.Abort(); });
  });
  const auto& tally = f.RunRequests(1);
  cr_assert_eq(tally.Count(Outcome::Ok), 1);
  cr_assert_eq(f.mKeys.size(), 2);
  cr_assert(f.mKeys[0] == f.mKeys[1]);
}

// Guards against answers that are sent twice in one body.
Test(RequestLoad, reports_a_doubled_answer)
{
  LoadFixture f;
  f.OnRequest([](int, const http::Request& aRequest, const http::Responder& aTo) {
    aTo.Send({ 200, {}, aRequest.mBody + aRequest.mBody });
  });
  cr_assert_eq(f.RunRequests(1).Count(Outcome::Doubled), 1);
}

// Guards against answers that reach another caller.
Test(RequestLoad, reports_swapped_answers)
{
  LoadFixture f;
  std::vector<std::pair<std::string, http::Responder>> held;
  f.OnRequest([&held](int, const http::Request& aRequest, const http::Responder& aTo) {
    held.emplace_back(aRequest.mBody, aTo);
    if (held.size() == 2) {
      held[0].second.Send({ 200, {}, held[1].first });
      held[1].second.Send({ 200, {}, held[0].first });
      held.clear();
    }
  });
  const auto& tally = f.RunRequests(2, 2);
  cr_assert_eq(tally.Count(Outcome::Wrong), 2);
  cr_assert_not(tally.IsClean());
}

// Guards against a caller that gives up on, or renames, a request that may be retried.
Test(RequestLoad, retries_a_refusal_with_the_same_key)
{
  LoadFixture f;
  f.OnRequest([](int aNumber, const http::Request& aRequest, const http::Responder& aTo) {
    if (aNumber < 2) {
      aTo.Send(http::JsonResponse(503, R"({"error":"node_busy","ran":"no","retry":true})",
                                  { { "Retry-After", "0" } }));
      return;
    }
    aTo.Send({ 200, {}, aRequest.mBody });
  });
  const auto& tally = f.RunRequests(1);
  cr_assert_eq(tally.Count(Outcome::Ok), 1);
  cr_assert_eq(f.mKeys.size(), 3);
  cr_assert(f.mKeys[0] == f.mKeys[2]);
}

// Guards against refusals that are counted as faults, or unknown outcomes as not run.
Test(RequestLoad, tells_refusals_from_unknown_outcomes)
{
  LoadFixture f;
  f.OnRequest([](int aNumber, const http::Request&, const http::Responder& aTo) {
    aTo.Send(
      aNumber == 0
        ? http::JsonResponse(404, R"({"error":"unknown_service","ran":"no","retry":false})")
        : http::JsonResponse(409, R"({"error":"outcome_unknown","ran":"unknown","retry":false})"));
  });
  const auto& tally = f.RunRequests(2);
  cr_assert_eq(tally.Count(Outcome::Refused), 1);
  cr_assert_eq(tally.Count(Outcome::Unknown), 1);
  cr_assert(tally.IsClean());
}

// Guards against requests without any answer that go unnoticed.
Test(RequestLoad, reports_a_request_that_is_never_answered)
{
  LoadFixture f;
  f.mOptions.mGiveUp = Duration(200);
  f.OnRequest([](int, const http::Request&, const http::Responder& aTo) {
    aTo.Start(200, { { "Content-Length", "10" } });
    aTo.Write("x", [aTo] { aTo.Abort(); });
  });
  const auto& tally = f.RunRequests(1);
  cr_assert_eq(tally.Count(Outcome::Lost), 1);
  cr_assert_not(tally.IsClean());
}

// Guards against a dead node that fails the requests it gets in turn.
Test(RequestLoad, leaves_out_a_target_that_refuses_connections)
{
  LoadFixture f;
  EventLoop other;
  auto closed = std::make_unique<http::HttpServer>(other);
  cr_assert_not(closed->Listen(testing::LocalAddress()));
  f.mOptions.mTargets.insert(f.mOptions.mTargets.begin(), closed->Address());
  closed.reset();
  f.OnRequest([](int, const http::Request& aRequest, const http::Responder& aTo) {
    aTo.Send({ 200, {}, aRequest.mBody });
  });
  cr_assert_eq(f.RunRequests(20, 2).Count(Outcome::Ok), 20);
}

// Guards against an open loop that sends another number of requests than its rate and time give.
Test(RequestLoad, sends_every_due_request_in_an_open_loop)
{
  LoadFixture f;
  f.OnRequest([](int, const http::Request& aRequest, const http::Responder& aTo) {
    aTo.Send({ 200, {}, aRequest.mBody });
  });
  f.mSession = std::make_unique<Session>(f.mLoop, f.mOptions);
  RequestLoadOptions options;
  options.mPlan.mService = "condition";
  options.mSchedule = RateSchedule::Constant(200);
  options.mTime = Duration(250);
  options.mConnections = 8;
  RequestLoad load(*f.mSession, options, [&f] { f.mLoop.Stop(); });
  f.mLoop.Post([&load] { load.Start(); });
  f.mLoop.Run();
  cr_assert_eq(f.mSession->mRequests.Count(Outcome::Ok), 50);
}

// Guards against a target that is chosen again at once after it refused a connection.
Test(TargetRing, returns_to_a_target_after_a_second)
{
  const SocketAddress a("127.0.0.1", 1);
  const SocketAddress b("127.0.0.1", 2);
  TargetRing ring({ a, b });
  const TimePoint now{ std::chrono::hours(1) };
  ring.LeaveOut(a, now);
  cr_assert(ring.Next(now) == b);
  cr_assert(ring.Next(now) == b);
  ring.LeaveOut(b, now + Duration(1));
  cr_assert(ring.Next(now + Duration(2)) == a);
  const auto later = now + TargetRing::kLeaveOut;
  cr_assert(ring.Next(later) == a);
}
