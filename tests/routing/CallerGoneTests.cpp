#include "routing/RoutingFixture.h"

using namespace lovagerock;
using namespace lovagerock::routing;
using namespace lovagerock::routing::test;

namespace {

// Sends a request, waits until the worker has received it, and closes the caller's connection.
void
SendAndHangUp(Fixture& aFixture, const http::Headers& aHeaders)
{
  aFixture.Worker().HoldRequests();
  aFixture.Worker().mPhase = workers::RequestPhase::Running;
  aFixture.Start(aHeaders);
  aFixture.Until([&] { return aFixture.Worker().mRequests.size() == 1; });
  aFixture.mLastCall.Cancel();
  aFixture.Until([&] { return aFixture.mNodes[0]->mServer.Callers().mHungUp == 1; });
}

} // namespace

// Guards against running queued requests whose callers have disconnected.
Test(CallerGone, drops_a_queued_request_as_not_run)
{
  Fixture f;
  f.Worker().HoldRequests();
  f.Worker().mPhase = workers::RequestPhase::Running;
  f.Publish(*f.mNodes[0], 1, false);
  const auto first = f.Start(kNonIdempotent);
  f.Until([&] { return f.Worker().mRequests.size() == 1; });
  f.Start(kKeyed, "y");
  f.Until([&] { return f.Router().QueueLength() == 1; });
  f.mLastCall.Cancel();
  f.Until([&] { return f.Router().ActiveRequests() == 1; });
  cr_assert_eq(f.Router().QueueLength(), 0);
  f.Worker().mHeldResponders.at(0).Send({ 200, {}, "first" });
  cr_assert_eq(f.Finish(first).mResponse.mBody, std::string("first"));
  cr_assert_eq(f.Worker().mRequests.size(), 1);
}

// Guards against dropping a queued request when its caller disconnects while another caller with
// the same idempotency key waits for it.
Test(CallerGone, keeps_a_queued_request_that_another_caller_joined)
{
  Fixture f;
  f.Publish(*f.mNodes[0], 0, false);
  f.Start(kKeyed);
  const auto firstCall = f.mLastCall;
  f.Until([&] { return f.Router().QueueLength() == 1; });
  const auto second = f.Start(kKeyed);
  f.Until([&] { return f.Router().ActiveRequests() == 2; });
  firstCall.Cancel();
  f.Until([&] { return f.mNodes[0]->mServer.Callers().mHungUp == 1; });
  f.Publish(*f.mNodes[0], 1, false);
  cr_assert_eq(f.Finish(second).mResponse.mStatus, 200);
}

// Guards against losing the outcome of a request that the caller may retry with the same key, and
// against running the request twice.
Test(CallerGone, continues_a_keyed_request_that_was_sent)
{
  Fixture f;
  SendAndHangUp(f, kKeyed);
  const auto retry = f.Start(kKeyed);
  f.Until([&] { return f.Router().ActiveRequests() == 2; });
  f.Worker().mHeldResponders.at(0).Send({ 200, {}, "done" });
  cr_assert_eq(f.Finish(retry).mResponse.mBody, std::string("done"));
  cr_assert_eq(f.Worker().mRequests.size(), 1);
  cr_assert(f.Worker().mDropped.empty());
}

// Guards against cancelling a request half-way when it can't be run again.
Test(CallerGone, continues_a_non_idempotent_request_that_was_sent)
{
  Fixture f;
  SendAndHangUp(f, kNonIdempotent);
  f.Worker().mHeldResponders.at(0).Send({ 200, {}, "done" });
  f.Until([&] { return f.Router().ActiveRequests() == 0; });
  cr_assert(f.Worker().mDropped.empty());
}

// Guards against a worker that keeps running a request whose response nobody can receive.
Test(CallerGone, drops_an_idempotent_request_without_a_key_at_the_worker)
{
  Fixture f;
  SendAndHangUp(f, {});
  f.Until([&] { return f.Router().ActiveRequests() == 0; });
  cr_assert_eq(f.Worker().mDropped.size(), 1);
}
