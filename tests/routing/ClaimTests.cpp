#include "routing/RoutingFixture.h"

using namespace lovagerock;
using namespace lovagerock::routing;
using namespace lovagerock::routing::test;

namespace {

std::string
ClaimKey()
{
  return "lovagerock/claims/a/" + Sha256Hex("k");
}

std::optional<Claim>
StoredClaim(Fixture& aFixture)
{
  std::optional<Claim> claim;
  bool done = false;
  aFixture.mStore.Get(ClaimKey(), [&](std::error_code, const std::optional<kv::Entry>& aEntry) {
    claim = aEntry ? ReadClaim(aEntry->mValue) : std::nullopt;
    done = true;
  });
  aFixture.Until([&] { return done; });
  return claim;
}

// A claim of a node that no longer exists.
Claim
ForeignClaim(ClaimState aState)
{
  Claim claim;
  claim.mState = aState;
  claim.mToken = "foreign";
  claim.mNode = NodeId("n9");
  claim.mPeer = SocketAddress("127.0.0.1", 9);
  claim.mFingerprint = Sha256Hex("s\nx");
  return claim;
}

} // namespace

Test(Claim, records_the_response_for_other_nodes)
{
  Fixture f;
  const auto first = f.Call(kKeyed);
  while (StoredClaim(f)->mState != ClaimState::Done) {
  }
  // Without peer calls the holder is unreachable, so the other node must use the recorded response.
  f.AddNode();
  f.mNetwork.mHandlers.clear();
  const auto second = f.Finish(f.Start(kKeyed, "x", "a", 1));
  cr_assert_eq(second.mResponse.mBody, first.mResponse.mBody);
  cr_assert_eq(f.Worker().mRequests.size(), 1);
}

// Guards against refusing a request or running it twice when the result of its claim write is lost.
Test(Claim, runs_once_when_the_result_of_the_claim_write_is_lost)
{
  Fixture f;
  f.mStore.LoseAnswers(1);
  cr_assert_eq(f.Call(kKeyed).mResponse.mStatus, 200);
  cr_assert_eq(f.Worker().mRequests.size(), 1);
}

// Guards against sending a request without its claim, and against refusing requests that need no
// claim.
Test(Claim, refuses_only_requests_that_need_a_claim_while_the_store_is_down)
{
  Fixture f;
  f.mStore.SetAvailable(false);
  const auto keyed = f.Call(kKeyed);
  cr_assert_eq(keyed.mResponse.mStatus, 503);
  cr_assert_eq(keyed.Ran(), std::string("no"));
  cr_assert(keyed.mResponse.mHeaders.Has("Retry-After"));
  cr_assert_eq(f.Call(kNonIdempotent).mResponse.mStatus, 200);
  cr_assert_eq(f.Call({}).mResponse.mStatus, 200);
  f.mStore.SetAvailable(true);
  cr_assert_eq(f.Call(kKeyed).mResponse.mStatus, 200);
  cr_assert_eq(f.Worker().mRequests.size(), 3);
}

// Guards against running a request again when the node that held its claim has failed and the
// outcome is unknown.
Test(Claim, answers_409_when_the_holder_is_gone)
{
  Fixture f;
  f.mStore.Restore(ClaimKey(), WriteClaim(ForeignClaim(ClaimState::Claimed)), 1);
  const auto outcome = f.Call(kKeyed);
  cr_assert_eq(outcome.mResponse.mStatus, 409);
  cr_assert_eq(outcome.Ran(), std::string("unknown"));
  cr_assert(f.Worker().mRequests.empty());
}

// Guards against a lost answer: the queries to a holder that is there get no reply now and then, as
// while open connections between nodes go silent.
Test(Claim, waits_for_a_holder_that_replies_between_lost_queries)
{
  constexpr int kQueries = 8;
  Fixture f;
  f.AddNode();
  f.Worker().HoldRequests();
  f.Worker().mPhase = workers::RequestPhase::Running;
  const auto first = f.Start(kKeyed);
  f.Until([&] { return f.Worker().mHeldResponders.size() == 1; });
  int queries = 0;
  for (auto& [address, handlers] : f.mNetwork.mHandlers) {
    handlers["claim.join"] = [&](const Json&, const peer::ReplyFunction& aReply) {
      if (++queries == kQueries) {
        f.Worker().mHeldResponders[0].Send({ 200, {}, "late" });
      }
      // Every other reply is lost.
      const auto status = queries % 2 == 0 ? HolderStatus::InProgress : HolderStatus::Unreachable;
      aReply({ { "state", static_cast<int>(status) } });
    };
  }
  const auto second = f.Finish(f.Start(kKeyed, "x", "a", 1));
  cr_assert_eq(second.mResponse.mStatus, 200);
  cr_assert_eq(second.mResponse.mBody, std::string("late"));
  cr_assert_eq(f.Finish(first).mResponse.mBody, std::string("late"));
  cr_assert_eq(f.Worker().mRequests.size(), 1);
}

Test(Claim, takes_over_a_released_claim)
{
  Fixture f;
  f.mStore.Restore(ClaimKey(), WriteClaim(ForeignClaim(ClaimState::Released)), 1);
  cr_assert_eq(f.Call(kKeyed).mResponse.mStatus, 200);
}

// Guards against running a request twice when the caller's retry reaches another node at the same
// time.
Test(Claim, runs_once_when_two_nodes_get_the_same_key_at_once)
{
  Fixture f;
  f.AddNode();
  f.Worker().HoldRequests();
  f.Worker().mPhase = workers::RequestPhase::Running;
  const auto first = f.Start(kKeyed);
  const auto second = f.Start(kKeyed, "x", "a", 1);
  f.Until([&] { return f.Worker().mHeldResponders.size() == 1; });
  const auto later = f.mLoop.After(Duration(200), [&] {
    f.Worker().mHeldResponders[0].Send({ 200, {}, "only once" });
  });
  cr_assert_eq(f.Finish(first).mResponse.mBody, std::string("only once"));
  cr_assert_eq(f.Finish(second).mResponse.mBody, std::string("only once"));
  cr_assert_eq(f.Worker().mRequests.size(), 1);
}

Test(Claim, joins_requests_with_the_same_key_on_one_node)
{
  Fixture f;
  const auto first = f.Start(kKeyed);
  const auto second = f.Start(kKeyed);
  cr_assert_eq(f.Finish(first).mResponse.mBody, std::string("answer to x"));
  cr_assert_eq(f.Finish(second).mResponse.mBody, std::string("answer to x"));
  cr_assert_eq(f.Worker().mRequests.size(), 1);
}

// Guards against returning the response of one request to a different request with the same key.
Test(Claim, refuses_a_key_that_was_used_for_another_request)
{
  Fixture f;
  f.AddNode();
  f.Call(kKeyed, "x");
  cr_assert_eq(f.Call(kKeyed, "y").mResponse.mStatus, 422);
  cr_assert_eq(f.Finish(f.Start(kKeyed, "y", "a", 1)).mResponse.mStatus, 422);
  cr_assert_eq(f.Worker().mRequests.size(), 1);
}

// Guards against telling the caller to retry while its key is still claimed. If the node crashed at
// that point, the retry would fail with "outcome_unknown".
Test(Claim, is_released_before_the_caller_is_told_to_retry)
{
  Fixture f;
  f.Worker().mOnRequest = [](const http::Request&, const http::Responder& aResponder) {
    aResponder.Send({ 503, { { "Not-Run", "true" } }, "" });
  };
  auto headers = kKeyed;
  headers.Add("Deadline-Ms", "100");
  cr_assert_eq(f.Call(headers).Ran(), std::string("no"));
  cr_assert_eq(StoredClaim(f)->mState, ClaimState::Released);
}

// Guards against a refusal that is delayed for as long as the key-value service does not respond.
Test(Claim, refuses_the_request_although_its_release_gets_no_response)
{
  Fixture f;
  f.Worker().mOnRequest = [&f](const http::Request&, const http::Responder& aResponder) {
    f.mStore.Hang();
    aResponder.Send({ 503, { { "Not-Run", "true" } }, "" });
  };
  auto headers = kKeyed;
  headers.Add("Deadline-Ms", "100");
  cr_assert_eq(f.Call(headers).Ran(), std::string("no"));
}

// Guards against a key that stays blocked by a request that was not run.
Test(Claim, releases_the_claim_of_a_request_that_was_not_run)
{
  Fixture f;
  f.Worker().mOnRequest = [](const http::Request&, const http::Responder& aResponder) {
    aResponder.Send({ 503, { { "Not-Run", "true" } }, "" });
  };
  // Ends when the retry budget is used up. A deadline could pass while an attempt is at the worker.
  const auto outcome = f.Call(kKeyed);
  cr_assert_eq(outcome.mResponse.mStatus, 503);
  cr_assert_eq(outcome.Ran(), std::string("no"));
  f.Worker().mOnRequest = [](const http::Request&, const http::Responder& aResponder) {
    aResponder.Send({ 200, {}, "ran" });
  };
  f.AddNode();
  cr_assert_eq(f.Finish(f.Start(kKeyed, "x", "a", 1)).mResponse.mBody, std::string("ran"));
}

// Guards against a whole batch failing when one of its claims conflicts. Claims are batched because
// the key-value service can't sustain one write per claim.
Test(Claim, batches_claims_and_retries_the_valid_writes_of_a_failed_batch)
{
  Fixture f;
  f.Publish(*f.mNodes[0], 64, false);
  f.mStore.Restore(ClaimKey(), WriteClaim(ForeignClaim(ClaimState::Claimed)), 1);
  std::vector<OutcomePtr> outcomes;
  outcomes.reserve(40);
  for (int i = 0; i < 40; ++i) {
    outcomes.push_back(f.Start(
      { { "Idempotent", "false" }, { "Idempotency-Key", i == 20 ? "k" : std::to_string(i) } }));
  }
  int answered = 0;
  for (const auto& it : outcomes) {
    answered += f.Finish(it).mResponse.mStatus == 200 ? 1 : 0;
  }
  cr_assert_eq(answered, 39);
  cr_assert_eq(f.Worker().mRequests.size(), 39);
}
