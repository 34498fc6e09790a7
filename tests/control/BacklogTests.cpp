#include "LeaderFixture.h"
#include "control/Backlog.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

using namespace lovagerock;
using namespace lovagerock::control;

namespace {

constexpr Bytes kLimit{ 1024 * 1024 };
constexpr Bytes kJob{ 8 * 1024 };

scheduler::JobGroup
Account(const char* aName, bool aIsUrgent = false)
{
  return { AccountId(aName), "", aIsUrgent };
}

// Gives the backlog jobs of a group until it closes.
int
Fill(Backlog& aBacklog, const scheduler::JobGroup& aGroup)
{
  int n = 0;
  while (!aBacklog.UpdateClosed().contains(aGroup)) {
    aBacklog.OnLoaded(aGroup, kJob);
    ++n;
  }
  return n;
}

ParkedJob
Parked(const std::string& aId, const scheduler::JobGroup& aGroup)
{
  return { JobId(aId), aGroup, "queue", false, false };
}

} // namespace

// Guards against an account that takes all the memory for jobs: others, and its own urgent jobs,
// still find room.
Test(Backlog, closes_a_group_that_holds_more_than_is_free)
{
  Backlog backlog(kLimit);
  const int first = Fill(backlog, Account("one"));
  cr_assert_eq(first, 65);
  cr_assert_eq(backlog.UpdateClosed().size(), 1);
  cr_assert_gt(Fill(backlog, Account("two")), 30);
  cr_assert_not(backlog.UpdateClosed().contains(Account("one", true)));
  cr_assert_gt(Fill(backlog, Account("one", true)), 15);
  cr_assert_lt(backlog.Used(), kLimit);
}

// Guards against a group that opens and closes with each job.
Test(Backlog, opens_a_group_that_holds_clearly_less)
{
  Backlog backlog(kLimit);
  Fill(backlog, Account("one"));
  backlog.SetLoaded({ { Account("one"), Bytes(kLimit.Value() * 45 / 100) } }, Bytes(0));
  cr_assert(backlog.UpdateClosed().contains(Account("one")));
  backlog.SetLoaded({ { Account("one"), Bytes(kLimit.Value() * 40 / 100) } }, Bytes(0));
  cr_assert(backlog.UpdateClosed().empty());
}

// Guards against nodes that read the groups otherwise than the leader wrote them.
Test(Backlog, writes_and_reads_closed_groups)
{
  const std::set<scheduler::JobGroup> groups{ Account("one"),
                                              Account("two", true),
                                              { AccountId(), "queue \"q\"", false } };
  cr_assert(ReadClosedGroups(WriteClosedGroups(groups)) == groups);
  for (const auto* const text : { "", "[]", "{}", R"({"closed":[["a"]]})", R"({"closed":[1]})" }) {
    cr_assert_not(ReadClosedGroups(text).has_value(), "%s", text);
  }
}

// Guards against a job of a small group that waits for all jobs of one that fills the memory.
Test(Backlog, loads_parked_jobs_of_the_group_that_holds_least)
{
  Backlog backlog(kLimit);
  backlog.OnLoaded(Account("one"), kLimit - Bytes(4096));
  backlog.Park(Parked("a", Account("one")));
  backlog.Park(Parked("b", Account("two")));
  backlog.Park(Parked("c", Account("two")));
  cr_assert(backlog.NextParked() == JobId("b"));
  backlog.RetryParked(JobId("b"));
  cr_assert(backlog.NextParked() == JobId("b"));
  backlog.RemoveParked(JobId("b"));
  cr_assert(backlog.NextParked() == JobId("c"));
  backlog.RemoveParked(JobId("c"));
  backlog.OnLoaded(Account("two"), Bytes(8192));
  cr_assert_not(backlog.NextParked().has_value());
  cr_assert_eq(backlog.ParkedOf("queue"), 1);
  cr_assert(backlog.CancelParked(JobId("a")));
  cr_assert_eq(backlog.ParkedOf("queue"), 0);
  cr_assert(backlog.NextParked() == JobId("a"));
}

// Guards against accepted jobs that exceed the leader's memory, and that are lost instead: they
// stay in the store and run when others have ended.
Test(LeaderBacklog, parks_jobs_that_do_not_fit_and_runs_them_later)
{
  LeaderFixture f;
  f.mSettings.mBacklogMemory = MemoryMiB(1);
  f.mSettings.mScheduler.mEndedJobDetails = Duration(0);
  f.RunUntil([&] { return f.mLeader && f.mLeader->IsLoaded(); });
  constexpr int kJobs = 1200;
  for (int i = 0; i < kJobs; ++i) {
    f.Submit("job" + std::to_string(i));
  }
  f.RunUntil([&] { return f.mLeader->PendingJobs("queue").mJobs + 8 >= kJobs; });
  const auto status = f.mLeader->Status().mBacklog;
  cr_assert_gt(status.mParked, 0);
  cr_assert_leq(status.mUsed, status.mLimit + Bytes(status.mParked * 512));
  // All are known.
  for (int i = 0; i < kJobs; ++i) {
    cr_assert(f.mLeader->State(JobId("job" + std::to_string(i))).has_value());
  }
  // A parked one is cancelled.
  f.mStore.Put(std::string(kCancelPrefix) + "job" + std::to_string(kJobs - 1), "");
  f.RunUntil([&] {
    return f.mLeader->State(JobId("job" + std::to_string(kJobs - 1)))->mState ==
           scheduler::JobState::Cancelled;
  });
  // The others run as soon as those before them have ended. A plan starts as many jobs as the
  // workers have room for, and is followed by a pause of a multiple of its own time: further
  // workers, so that half of the jobs don't take many plans.
  for (int i = 0; i < 32; ++i) {
    f.mStore.Put("workers/w" + std::to_string(i), "r");
  }
  f.RunUntil([&] {
    f.mCalls.EndAllRuns();
    return f.mLeader->Status().mBacklog.mParked < status.mParked / 2;
  });
}

// Guards against nodes that go on accepting jobs of an account that fills the leader's memory.
Test(LeaderBacklog, publishes_the_groups_that_hold_too_much)
{
  LeaderFixture f;
  f.mSettings.mBacklogMemory = MemoryMiB(1);
  f.RunUntil([&] { return f.mLeader && f.mLeader->IsLoaded(); });
  for (int i = 0; i < 500; ++i) {
    f.Submit("job" + std::to_string(i));
  }
  const scheduler::JobGroup group{ AccountId(), "queue", false };
  f.RunUntil([&] { return f.mElection->ClosedGroups().contains(group); });
}

// Guards against a parked job of which an earlier leader has started runs without recording them:
// what its workers report would count for nothing.
Test(LeaderBacklog, parks_inherited_jobs_only_if_all_runs_are_named)
{
  for (const bool isNamed : { false, true }) {
    LeaderFixture f;
    f.mSettings.mBacklogMemory = MemoryMiB(1);
    f.mHandOver.mIsComplete = isNamed;
    for (int i = 0; i < 1200; ++i) {
      f.Submit("job" + std::to_string(i));
    }
    f.RunUntil([&] { return f.mLeader && f.mLeader->IsLoaded(); });
    cr_assert_eq(f.mLeader->Status().mBacklog.mParked > 0, isNamed);
    cr_assert_eq(f.mLeader->PendingJobs("queue").mJobs, 1200);
  }
}
