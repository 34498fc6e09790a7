#include "scheduler/AccountUsage.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

using namespace lovagerock;
using namespace lovagerock::scheduler;

namespace {

const ServiceId kService("service");
const ShareGroup kNormal{ kService, false };
const ShareGroup kUrgent{ kService, true };
constexpr Duration kHalfLife{ 3000 };

// What an account runs, in tasks that each occupy one of the service's 100 accelerators.
struct Work
{
  std::string mAccount;
  int mRunning = 0;
  bool mWaits = true;
  int mPriority = 1;
  Capacity mDemand{ MilliCores(1000), MemoryMiB(1000), Accelerators(1) };
};

Job
MakeJob(const Work& aWork)
{
  AcceptedJob accepted;
  accepted.mId = JobId("j");
  accepted.mAccount = AccountId(aWork.mAccount);
  accepted.mPolicy = { kService, aWork.mPriority, 2, 3.0, Duration(1000) };
  StepSpec step;
  step.mCount = aWork.mRunning + 1;
  step.mDemand = aWork.mDemand;
  accepted.mSpec.mSteps = { step };
  Job job(accepted, TimePoint());
  auto& tasks = job.FindOrCreateOccurrence(0).mSteps.front();
  for (int i = 0; i < aWork.mRunning; ++i) {
    tasks.Touch(i).mPhase = TaskPhase::Active;
  }
  return job;
}

AccountLoads
Loads(const std::vector<Work>& aWork)
{
  AccountLoads loads;
  loads.AddCapacity(kService, { MilliCores(1'000'000), MemoryMiB(1'000'000), Accelerators(100) });
  for (const auto& it : aWork) {
    const auto job = MakeJob(it);
    loads.AddRuns(job);
    if (it.mWaits) {
      loads.AddWaiting(job);
    }
  }
  return loads;
}

// An AccountUsage with a clock.
class UsageFixture
{
public:
  // Lets the work go on for the time.
  void Run(const std::vector<Work>& aWork, Duration aTime = AccountUsage::kPeriod)
  {
    const auto loads = Loads(aWork);
    for (auto left = aTime; left > Duration(0); left -= AccountUsage::kPeriod) {
      mNow += AccountUsage::kPeriod;
      mUsage.Update(loads, mGuarantees, mNow);
    }
  }
  int Level(const std::string& aAccount, const ShareGroup& aGroup = kNormal) const
  {
    return mUsage.LevelOf(aGroup, AccountId(aAccount));
  }

  std::map<AccountId, Accelerators> mGuarantees;
  AccountUsage mUsage{ kHalfLife };

private:
  TimePoint mNow{ Duration(1000) };
};

// Nine accounts with steady work, and one with a burst that holds what they leave.
std::vector<Work>
BurstBesideNine()
{
  std::vector<Work> work{ { "burst", 46 } };
  for (int i = 0; i < 9; ++i) {
    work.push_back({ "steady" + std::to_string(i), 6 });
  }
  return work;
}

} // namespace

// Load: one account's burst beside steady work of nine others. Guards against a burst for which all
// accounts wait.
Test(AccountUsage, ranks_a_burst_behind_the_steady_work_of_others)
{
  UsageFixture f;
  f.Run(BurstBesideNine());
  cr_assert_eq(f.Level("burst"), 3);
  for (int i = 0; i < 9; ++i) {
    cr_assert_eq(f.Level("steady" + std::to_string(i)), 0);
  }
  cr_assert_eq(f.mUsage.AccountsByLevel(), (std::array{ 9, 0, 0, 1 }));
}

// Load: a burst as above begins after a quiet time. Guards against an average that hides it until
// its runs have the whole service.
Test(AccountUsage, notices_a_burst_at_once)
{
  UsageFixture f;
  auto work = BurstBesideNine();
  work.front().mRunning = 5;
  f.Run(work, 5 * kHalfLife);
  cr_assert_eq(f.Level("burst"), 0);
  f.Run(BurstBesideNine());
  cr_assert_gt(f.Level("burst"), 0);
}

// Guards against an account that gives way although nobody else has work.
Test(AccountUsage, gives_a_lone_account_no_level)
{
  UsageFixture f;
  f.Run({ { "lone", 100 } }, kHalfLife);
  cr_assert_eq(f.Level("lone"), 0);
}

// Load: accounts that hold little, but have all that they need. Guards against an account that
// gives way for nobody's benefit.
Test(AccountUsage, gives_no_level_while_no_other_waits_below_its_share)
{
  UsageFixture f;
  f.Run({ { "large", 80 }, { "small", 5, false }, { "other", 5, false } }, kHalfLife);
  cr_assert_eq(f.Level("large"), 0);
}

// Load: two accounts with guarantees 3:1 and one without a guarantee, all with waiting work. Guards
// against shares that ignore the guarantees.
Test(AccountUsage, weighs_the_shares_by_the_guarantees)
{
  UsageFixture f;
  f.mGuarantees = { { AccountId("three"), Accelerators(30) },
                    { AccountId("one"), Accelerators(10) } };
  f.Run({ { "three", 59 }, { "one", 21 }, { "none", 20 } });
  for (const auto* account : { "three", "one", "none" }) {
    cr_assert_eq(f.Level(account), 0);
  }
  f.Run({ { "three", 40 }, { "one", 40 }, { "none", 20 } }, 5 * kHalfLife);
  cr_assert_eq(f.Level("three"), 0);
  cr_assert_gt(f.Level("one"), 0);
}

// Load: two accounts want more than they get, and eight need little. Guards against a fair share
// that counts what the eight don't want.
Test(AccountUsage, divides_what_others_leave)
{
  std::vector<Work> work{ { "large", 40 }, { "other", 40 } };
  for (int i = 0; i < 8; ++i) {
    work.push_back({ "small" + std::to_string(i), 2, false });
  }
  UsageFixture f;
  f.Run(work);
  cr_assert_eq(f.Level("large"), 0);
  work[0].mRunning = 65;
  work[1].mRunning = 15;
  f.Run(work, 5 * kHalfLife);
  cr_assert_gt(f.Level("large"), 0);
  cr_assert_eq(f.Level("other"), 0);
}

// Load: an account that held the whole service waits beside others that wait below their shares all
// the time. Guards against an account that starves for what it held once.
Test(AccountUsage, lowers_the_level_of_an_account_that_waits)
{
  UsageFixture f;
  f.Run({ { "large", 100, false } }, 5 * kHalfLife);
  const std::vector<Work> work{ { "large", 0 }, { "a", 20 }, { "b", 20 }, { "c", 20 } };
  f.Run(work);
  cr_assert_gt(f.Level("large"), 0);
  f.Run(work, 2 * kHalfLife);
  cr_assert_eq(f.Level("large"), 0);
}

// Load: an account that holds about its share, now a little more, now a little less. Guards against
// an order that changes with each run that starts or ends.
Test(AccountUsage, keeps_a_level_until_the_excess_is_over)
{
  UsageFixture f;
  f.Run({ { "a", 56 }, { "b", 40 } }, 5 * kHalfLife);
  cr_assert_eq(f.Level("a"), 1);
  for (int i = 0; i < 20; ++i) {
    f.Run({ { "a", i % 2 == 0 ? 51 : 54 }, { "b", 40 } });
    cr_assert_eq(f.Level("a"), 1);
  }
  f.Run({ { "a", 48 }, { "b", 40 } }, 5 * kHalfLife);
  cr_assert_eq(f.Level("a"), 0);
}

// Load: an account that fills the service with patient work has urgent work, as others do. Guards
// against urgent work that waits for runs which it may have evicted.
Test(AccountUsage, compares_urgent_work_only_with_urgent_work)
{
  UsageFixture f;
  f.Run({ { "patient", 90, true, 2 },
          { "patient", 1, true, 0 },
          { "other", 1, true, 0 },
          { "other", 0, true, 1 } });
  cr_assert_gt(f.Level("patient"), 0);
  cr_assert_eq(f.Level("patient", kUrgent), 0);
}

// Load: an account whose urgent work fills the service. Guards against urgent bursts for which the
// urgent work of others waits, and against urgent runs that don't count as held.
Test(AccountUsage, counts_urgent_runs_for_all_work)
{
  UsageFixture f;
  f.Run({ { "urgent", 90, true, 0 },
          { "urgent", 0, true, 1 },
          { "other", 1, true, 0 },
          { "other", 0, true, 1 } });
  cr_assert_gt(f.Level("urgent", kUrgent), 0);
  cr_assert_gt(f.Level("urgent"), 0);
  cr_assert_eq(f.Level("other", kUrgent), 0);
  cr_assert_eq(f.Level("other"), 0);
}

// Load: tasks with few accelerators and most of the memory. Guards against an account that takes
// what others need without being seen.
Test(AccountUsage, counts_the_resource_of_which_an_account_holds_most)
{
  const Capacity demand{ MilliCores(1000), MemoryMiB(90'000), Accelerators(1) };
  UsageFixture f;
  f.Run({ { "memory", 10, true, 1, demand }, { "other", 20 } });
  cr_assert_gt(f.Level("memory"), 0);
}

// Load: a takeover during a burst. Guards against a new leader that needs history to see it.
Test(AccountUsage, begins_with_the_present_use)
{
  UsageFixture f;
  f.Run(BurstBesideNine(), 5 * kHalfLife);
  const int level = f.Level("burst");
  UsageFixture successor;
  successor.Run(BurstBesideNine());
  cr_assert_eq(successor.Level("burst"), level);
}
