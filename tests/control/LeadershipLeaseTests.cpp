#include "LeaderFixture.h"
#include "control/LeadershipLease.h"

#include <criterion/criterion.h>

using namespace lovagerock;
using namespace lovagerock::control;

namespace {

constexpr Duration kShort{ 1000 };
constexpr Duration kNow{ 50000 };

} // namespace

// Guards against a leader that acts beside its successor, because the store applies a shorter time
// to its lease than was asked for.
Test(LeadershipLease, ends_with_the_time_that_the_store_applies)
{
  const LeadershipLease lease(kShort, kNow, kNow);
  cr_assert(lease.IsConfirmed(kNow + kShort - kOrderTime - Duration(1)));
  cr_assert_not(lease.IsConfirmed(kNow + kShort - kOrderTime));
  cr_assert(lease.MayAct(kNow + kShort - Duration(1)));
  cr_assert_not(lease.MayAct(kNow + kShort));
  cr_assert_lt(2 * lease.RenewalPeriod(), kShort - kOrderTime, "one renewal may be lost");
}

// Guards against renewals that come less often, and against pauses that are taken for such, because
// the store applies a longer time.
Test(LeadershipLease, is_renewed_no_less_often_if_it_is_long)
{
  LeadershipLease lease(Duration(600000), kNow, kNow);
  cr_assert_eq(lease.RenewalPeriod(), kLeadershipRenewal);
  cr_assert_not(lease.OnRenewalSent(kNow + 2 * kLeadershipLease));
  cr_assert(lease.IsConfirmed(kNow + 2 * kLeadershipLease));
}

// Guards against leases of workers that last longer than a successor waits: it goes by the time
// that the claim names, and the store may apply a shorter one from a renewal on.
Test(LeadershipLease, counts_a_renewal_as_earlier_if_it_makes_the_lease_shorter)
{
  LeadershipLease lease(kLeadershipLease, kNow, kNow);
  lease.OnRenewalSent(kNow + kLeadershipRenewal);
  const auto sent = kNow + kLeadershipRenewal;
  lease.OnConfirmed(sent, kShort);
  // The store lets the lease end at sent + kShort, and the successor takes kLeadershipLease off it.
  cr_assert_eq(lease.ConfirmationAge(sent), kLeadershipLease - kShort);
  cr_assert_not(lease.IsConfirmed(sent + kShort - kOrderTime));
  cr_assert_not(lease.MayAct(sent + kShort));
  cr_assert_lt(lease.RenewalPeriod(), kLeadershipRenewal);
  // An answer that was overtaken says nothing of the present time.
  lease.OnConfirmed(kNow, kLeadershipLease);
  cr_assert_eq(lease.ConfirmationAge(sent), kLeadershipLease - kShort);
  // Nor does a longer time change what the claim names.
  lease.OnConfirmed(sent, 2 * kLeadershipLease);
  cr_assert_eq(lease.ConfirmationAge(sent), Duration(0));
  cr_assert_not(lease.IsConfirmed(sent + kLeadershipLease));
}

// Guards against orders of a process that stood still until its short lease may have ended.
Test(LeadershipLease, takes_a_gap_for_a_pause_if_the_lease_may_have_ended_in_it)
{
  LeadershipLease lease(kShort, kNow, kNow);
  const auto woken = kNow + kShort;
  cr_assert(lease.OnRenewalSent(woken));
  // A failure tells nothing of what happened in the pause, nor does an answer to an earlier call.
  lease.OnFailed(woken);
  cr_assert_not(lease.MayAct(woken));
  lease.OnConfirmed(woken - Duration(1), std::nullopt);
  cr_assert_not(lease.MayAct(woken));
  lease.OnConfirmed(woken, std::nullopt);
  cr_assert(lease.MayAct(woken));
  cr_assert(lease.IsConfirmed(woken));
}

// Guards against a leader that holds its leadership only now and then, because the store applies a
// time within which it can't renew the lease.
Test(Election, makes_no_claim_with_a_lease_that_is_too_short)
{
  LeaderFixture f;
  f.mStore.mLeaseTime = Duration(100);
  const auto later = std::chrono::steady_clock::now() + Duration(500);
  f.RunUntil([&] { return std::chrono::steady_clock::now() > later; });
  cr_assert_not(f.mStore.mItems.contains(std::string(kLeaderKey)));
  f.mStore.mLeaseTime = kShort;
  f.RunUntil([&] { return f.mElection->IsLeader(); });
  // The same once it leads.
  f.mStore.mLeaseTime = Duration(100);
  f.RunUntil([&] { return f.mLost > 0; });
}

// Guards against a successor that goes by another time than the one that the store applied to the
// lease of the leader before it.
Test(Election, names_the_time_of_the_lease_to_successors)
{
  LeaderFixture f;
  f.mStore.mLeaseTime = kShort;
  f.RunUntil([&] { return f.mElection->IsLeader(); });
  cr_assert_eq(f.mElection->OwnClaim().mLeaseTime, kShort);
  f.mStore.mLeaseTime = 2 * kShort;
  f.mElection->Resign("test");
  f.RunUntil([&] { return f.mElection->IsLeader(); });
  cr_assert_eq(f.mElection->OwnClaim().mLeaseTime, 2 * kShort);
  cr_assert_eq(f.mElection->FormerLeaders().back().mLeaseTime, kShort);
}
