#include "control/ControlSettings.h"
#include "control/LeaderHistory.h"

#include <criterion/criterion.h>

using namespace lovagerock;
using namespace lovagerock::control;

namespace {

constexpr Duration kTolerance{ 7000 };
constexpr Duration kLease{ 6000 };
constexpr Duration kWitnessedLease{ 3000 };
constexpr LeaseBounds kBounds{ kTolerance, kLease, kWitnessedLease };
// In a claim that follows one of an earlier version.
constexpr FencingToken kNoRow;

// Leaders 1 to 3 were elected at 0, 20 and 21 s; the present one at 22 s.
std::vector<FormerLeader>
ThreeFormerLeaders()
{
  LeaderHistory history;
  history.OnClaim(FencingToken(1), Duration(0));
  history.OnClaim(FencingToken(2), Duration(20000));
  history.OnLeader(FencingToken(2), NodeId("b"), std::nullopt, FencingToken(1));
  history.OnClaim(FencingToken(3), Duration(21000));
  history.OnLeader(FencingToken(3), NodeId("c"), std::nullopt, FencingToken(2));
  for (int token = 1; token <= 3; ++token) {
    history.OnLeaseTime(FencingToken(token), kLeadershipLease);
  }
  return history.Before(FencingToken(4));
}

EarlierLeases
ThreeLeaders(FencingToken aBoundsLeasesSince = kNoRow)
{
  return { ThreeFormerLeaders(),
           { FencingToken(4), Duration(22000), aBoundsLeasesSince },
           kBounds };
}

EarlierLeases
OneLeader(bool aHasResigned, Duration aLeaseTime = kLeadershipLease)
{
  FormerLeader leader;
  leader.mToken = FencingToken(1);
  leader.mLeaseTime = aLeaseTime;
  leader.mHasResigned = aHasResigned;
  EarlierLeases leases({ leader }, { FencingToken(2), Duration(22000), FencingToken(1) }, kBounds);
  leases.OnSettled(FencingToken(1));
  return leases;
}

} // namespace

Test(EarlierLeases, last_one_lease_after_the_outage_tolerance_if_nothing_is_known)
{
  const EarlierLeases leases({}, { FencingToken(1), Duration(500), kNoRow }, kBounds);
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
  EarlierLeases leases(history.Before(FencingToken(2)),
                       { FencingToken(2), Duration(22000), kNoRow }, kBounds);
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

// Guards against tasks of silent workers that are idle for many seconds after their leader was
// killed: the store last confirmed it one leadership lease before its successor's claim.
Test(EarlierLeases, last_one_lease_after_the_last_confirmation_once_the_witnesses_have_answered)
{
  auto leases = OneLeader(false);
  const Duration elected(22000);
  leases.OnWitnessesAnswered(kv::Revision(1), elected);
  cr_assert_eq(leases.Remaining(elected), kLease - kLeadershipLease);
}

// Guards against a second run on a worker that only the former leader reaches.
Test(EarlierLeases, last_until_the_witnesses_have_answered)
{
  auto leases = OneLeader(false);
  const Duration elected(22000);
  const auto acting = kTolerance - kLeadershipLease;
  cr_assert_eq(leases.Remaining(elected), acting + kWitnessedLease);
  const Duration late(4000);
  leases.OnWitnessesAnswered(kv::Revision(1), elected + late);
  cr_assert_eq(leases.Remaining(elected), late + kWitnessAnswerAge + kWitnessedLease);
}

// Guards against a second run while the first one's lease lasts: the store applied another time to
// the lease of the leader that was killed than nodes ask for.
Test(EarlierLeases, count_from_the_time_that_the_store_applied_to_the_leadership)
{
  const Duration elected(22000);
  for (const Duration time : { Duration(1000), Duration(1800) }) {
    auto leases = OneLeader(false, time);
    cr_assert_eq(leases.Remaining(elected), kTolerance - time + kWitnessedLease);
    leases.OnWitnessesAnswered(kv::Revision(1), elected);
    cr_assert_eq(leases.Remaining(elected), kLease - time);
  }
}

// Guards against the same after a leader of an earlier version, whose claim doesn't name the time:
// it may be any.
Test(EarlierLeases, count_from_the_next_claim_if_the_time_of_the_leadership_is_unknown)
{
  const Duration elected(22000);
  auto leases = OneLeader(false, Duration(0));
  leases.OnWitnessesAnswered(kv::Revision(1), elected);
  cr_assert_eq(leases.Remaining(elected), kLease);
}

// Guards against the same after a leader that was confirmed until it resigned.
Test(EarlierLeases, last_one_lease_after_a_resignation)
{
  auto leases = OneLeader(true);
  const Duration elected(22000);
  cr_assert_eq(leases.Remaining(elected), kLease);
  leases.OnWitnessesAnswered(kv::Revision(1), elected);
  cr_assert_eq(leases.Remaining(elected), kLease);
  cr_assert(leases.Active(elected).empty());
}

// Guards against trust in the answers of witnesses that an earlier leader didn't have.
Test(EarlierLeases, of_a_leader_do_not_end_with_the_answers_of_later_witnesses)
{
  const Duration elected(22000);
  const auto firstEnds = Duration(21000) - kLeadershipLease + kTolerance + kWitnessedLease;
  auto later = ThreeLeaders(FencingToken(1));
  later.OnSettled(FencingToken(1));
  later.OnWitnessesAnswered(kv::Revision(3), elected);
  cr_assert_eq(later.Remaining(elected), firstEnds - elected, "leader 2 has other witnesses");
  auto same = ThreeLeaders(FencingToken(1));
  same.OnSettled(FencingToken(1));
  same.OnWitnessesAnswered(kv::Revision(1), elected);
  cr_assert_eq(same.Remaining(elected), kLease - kLeadershipLease);
}

// Guards against short waits for leaders of earlier versions, which renew leases for longer.
Test(EarlierLeases, last_longest_after_a_leader_of_an_earlier_version)
{
  auto leases = ThreeLeaders(FencingToken(4));
  leases.OnSettled(FencingToken(3));
  leases.OnWitnessesAnswered(kv::Revision(1), Duration(22000));
  cr_assert_eq(leases.Remaining(Duration(22000)), kTolerance + kLease);
}

// Guards against a wait for leaders that nobody knows, when all nodes have restarted: a known one
// has noted that their leases don't matter any more.
Test(EarlierLeases, end_with_those_of_the_known_leaders_if_one_of_them_was_settled)
{
  LeaderHistory history;
  history.OnClaim(FencingToken(5), Duration(22000));
  history.OnLeaseTime(FencingToken(5), kLeadershipLease);
  const NewLeadership present{ FencingToken(6), Duration(22000), FencingToken(1) };
  EarlierLeases unknown(history.Before(FencingToken(6)), present, kBounds);
  unknown.OnSettled(FencingToken(4));
  unknown.OnWitnessesAnswered(kv::Revision(1), Duration(22000));
  cr_assert_eq(unknown.Remaining(Duration(22000)), kTolerance + kLease);
  EarlierLeases settled(history.Before(FencingToken(6)), present, kBounds);
  settled.OnSettled(FencingToken(5));
  settled.OnWitnessesAnswered(kv::Revision(1), Duration(22000));
  cr_assert_eq(settled.Remaining(Duration(22000)), kLease - kLeadershipLease);
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
