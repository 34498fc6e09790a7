#include "control/LeaderHistory.h"

#include <criterion/criterion.h>

using namespace lovagerock;
using namespace lovagerock::control;

namespace {

constexpr Duration kTolerance{ 7000 };
constexpr Duration kLease{ 6000 };

// Leaders 1 to 3 were elected at 0, 20 and 21 s; the present one at 22 s.
EarlierLeases
ThreeLeaders()
{
  LeaderHistory history;
  history.OnClaim(FencingToken(1), Duration(0));
  history.OnClaim(FencingToken(2), Duration(20000));
  history.OnLeader(FencingToken(2), NodeId("b"), std::nullopt, FencingToken(1));
  history.OnClaim(FencingToken(3), Duration(21000));
  history.OnLeader(FencingToken(3), NodeId("c"), std::nullopt, FencingToken(2));
  return { history.Before(FencingToken(4)), Duration(22000), kTolerance, kLease };
}

} // namespace

Test(EarlierLeases, last_one_lease_after_the_outage_tolerance_if_nothing_is_known)
{
  const EarlierLeases leases({}, Duration(500), kTolerance, kLease);
  cr_assert_eq(leases.Remaining(Duration(500)), kTolerance + kLease);
  const auto three = ThreeLeaders();
  cr_assert_eq(three.Remaining(Duration(22000)), kTolerance + kLease);
  cr_assert_eq(three.Active(Duration(22000)).size(), 3);
}

// Guards against work that waits for leases of leaders that are known to have ended.
Test(EarlierLeases, last_one_lease_after_the_end_of_the_last_leader)
{
  auto leases = ThreeLeaders();
  const Duration now(23000);
  for (int token = 1; token <= 3; ++token) {
    leases.OnEnded(FencingToken(token), now, now + Duration(1000000));
  }
  cr_assert_eq(leases.Remaining(now), kLease);
  cr_assert(leases.Active(now).empty());
}

// Guards against work that waits for leases that have ended: a former leader that is asked late
// tells when it ended.
Test(EarlierLeases, last_one_lease_after_the_end_that_a_leader_tells)
{
  auto leases = ThreeLeaders();
  const Duration now(23000);
  const Duration endedAgo(400);
  for (int token = 1; token <= 3; ++token) {
    leases.OnEnded(FencingToken(token), now - endedAgo, now + Duration(1000000));
  }
  cr_assert_eq(leases.Remaining(now), kLease - endedAgo);
  cr_assert_eq(leases.Remaining(now + kLease), Duration(0));
}

// Guards against a second run on a worker whose lease a leader before the last one still renews.
Test(EarlierLeases, count_a_leader_that_has_not_replied_as_acting)
{
  auto leases = ThreeLeaders();
  const Duration now(23000);
  leases.OnEnded(FencingToken(2), now, now + Duration(1000000));
  leases.OnEnded(FencingToken(3), now, now + Duration(1000000));
  cr_assert_eq(leases.Remaining(now), Duration(20000) + kTolerance + kLease - now);
  cr_assert_eq(leases.Active(now).at(0).mToken, FencingToken(1));
  cr_assert(leases.Active(Duration(20000) + kTolerance).empty());
}

// Guards against leaders before those that are known, which nobody can ask.
Test(EarlierLeases, last_until_leaders_before_the_first_known_one_have_ended)
{
  LeaderHistory history;
  history.OnClaim(FencingToken(1), Duration(21000));
  EarlierLeases leases(history.Before(FencingToken(2)), Duration(22000), kTolerance, kLease);
  const Duration now(22000);
  leases.OnEnded(FencingToken(1), now, now + Duration(1000000));
  cr_assert_eq(leases.Remaining(now), Duration(21000) + kTolerance + kLease - now);
}

Test(EarlierLeases, are_bounded_by_what_the_former_leader_told)
{
  auto leases = ThreeLeaders();
  const Duration now(22000);
  leases.OnEnded(FencingToken(3), now, now + Duration(0));
  cr_assert_eq(leases.Remaining(now), kLease);
}

// Guards against taking the known leaderships for all: while this node heard nothing of the store,
// others may have begun and ended.
Test(LeaderHistory, forgets_leaders_before_a_claim_that_it_missed)
{
  LeaderHistory history;
  history.OnClaim(FencingToken(1), Duration(0));
  history.OnListed(FencingToken(1), Duration(100));
  cr_assert_eq(history.Before(FencingToken(9)).size(), 1);
  cr_assert_eq(history.Before(FencingToken(9))[0].mSeenAt, Duration(0));
  history.OnListed(FencingToken(5), Duration(200));
  // An event that was sent before the listing.
  history.OnClaim(FencingToken(3), Duration(210));
  const auto known = history.Before(FencingToken(9));
  cr_assert_eq(known.size(), 1);
  cr_assert_eq(known[0].mToken, FencingToken(5));
  cr_assert_eq(known[0].mSeenAt, Duration(200));
}

// Guards against the same if the store's events leave out a claim.
Test(LeaderHistory, forgets_leaders_that_a_claim_does_not_follow)
{
  LeaderHistory history;
  history.OnClaim(FencingToken(1), Duration(0));
  history.OnClaim(FencingToken(3), Duration(10));
  cr_assert_eq(history.Before(FencingToken(9)).size(), 1,
               "the claim doesn't say which one it follows");
  history.OnLeader(FencingToken(3), NodeId("c"), std::nullopt, FencingToken(2));
  const auto known = history.Before(FencingToken(9));
  cr_assert_eq(known.size(), 1);
  cr_assert_eq(known[0].mToken, FencingToken(3));
  history.OnLeader(FencingToken(3), NodeId("c"), std::nullopt, FencingToken(1));
  cr_assert_eq(history.Before(FencingToken(9)).size(), 2);
}

Test(LeaderHistory, knows_how_to_reach_a_leader)
{
  LeaderHistory history;
  history.OnClaim(FencingToken(1), Duration(0));
  history.OnLeader(FencingToken(1), NodeId("a"), SocketAddress("127.0.0.1", 7000), FencingToken());
  history.OnClaim(FencingToken(2), Duration(10));
  cr_assert_eq(history.Before(FencingToken(2)).size(), 1);
  cr_assert_eq(history.Before(FencingToken(2))[0].mNode, NodeId("a"));
  cr_assert_eq(history.Before(FencingToken(2))[0].mAddress->ToString(), "127.0.0.1:7000");
}
