#include "SchedulerFixture.h"
#include "scheduler/FormerWorkers.h"

#include <criterion/criterion.h>

#include <string>

using namespace lovagerock;
using namespace lovagerock::scheduler;

namespace {

// A scheduler that has called a worker and given it up.
struct GivenUpFixture : SchedulerFixture
{
  GivenUpFixture()
  {
    AddWorkers(1);
    GiveUp();
  }

  // Removes the worker's entry, and lets its lease end.
  void GiveUp()
  {
    mWorkers.at(mId).mIsReachable = false;
    mScheduler->OnWorkerUnregistered(mId);
    AdvanceTime(mScheduler->WithClockDrift(mSettings.mLongestLease) + Duration(1));
    mScheduler->Plan(mNow);
    cr_assert_not(mScheduler->Workers().contains(mId));
  }

  // Lets the worker register again.
  const Worker& Return(std::int64_t aIncarnation)
  {
    auto entry = mWorkers.at(mId).mEntry;
    entry.mIncarnation = WorkerIncarnation(aIncarnation);
    mScheduler->OnWorkerEntry(entry, mNow);
    return mScheduler->Workers().at(mId);
  }

  // Lets the worker answer a first call, which renews no lease, as that incarnation.
  const Worker& Answer(std::int64_t aIncarnation)
  {
    LeaseReport report;
    report.mIncarnation = WorkerIncarnation(aIncarnation);
    report.mClock = WorkerClock(1);
    mScheduler->OnLeaseReport(mId, report, mNow);
    return mScheduler->Workers().at(mId);
  }

  const WorkerId mId{ "w0" };
};

} // namespace

// Guards against two runs of one task: a start that was held up runs on a worker that has come back
// under its id after it was given up. Its lease may be as long as workers grant, too.
Test(FormerWorkers, come_back_as_restarted_ones)
{
  GivenUpFixture f;
  const auto& worker = f.Return(200);
  cr_assert(worker.mNeedsHigherToken);
  cr_assert(worker.mHasRestarted);
  cr_assert_geq(worker.mLeaseExpiry, f.mNow.mSteady + f.mSettings.mLongestLease);
  cr_assert_eq(f.mScheduler->RestartedWorkers().size(), 1);
}

// The same when it comes back a second time, and when it has never answered in between.
Test(FormerWorkers, come_back_as_restarted_ones_again_and_again)
{
  GivenUpFixture f;
  cr_assert(f.Return(200).mNeedsHigherToken);
  f.GiveUp();
  cr_assert(f.Return(200).mNeedsHigherToken, "the token was never raised");
  f.mScheduler->OnTokenRaised(f.mId);
  f.Answer(200);
  f.GiveUp();
  cr_assert_not(f.Return(200).mNeedsHigherToken);
  f.GiveUp();
  cr_assert(f.Return(300).mNeedsHigherToken);
}

// Guards against the same if the entry is that of an earlier incarnation, and the worker's report
// tells of the present one.
Test(FormerWorkers, come_back_as_restarted_ones_if_only_their_reports_tell)
{
  GivenUpFixture f;
  cr_assert_not(f.Return(100).mNeedsHigherToken);
  cr_assert(f.Answer(200).mNeedsHigherToken);
}

// Guards against work that waits for a token, and for a longer lease, although only the worker's
// entry was missing. The incarnation knows what it was told, and refuses orders whose lease is
// over.
Test(FormerWorkers, come_back_unchanged_if_only_their_entries_were_gone)
{
  GivenUpFixture f;
  cr_assert_not(f.Return(100).mNeedsHigherToken);
  const auto& worker = f.Answer(100);
  cr_assert_not(worker.mNeedsHigherToken);
  cr_assert_not(worker.mHasRestarted);
}

// Guards against work that waits for a token on a worker which this scheduler has never called.
Test(FormerWorkers, are_not_taken_for_new_ones)
{
  GivenUpFixture f;
  f.AddWorkers(1);
  const auto& worker = f.mScheduler->Workers().at(WorkerId("w1"));
  cr_assert_not(worker.mNeedsHigherToken);
  cr_assert_not(worker.mHasRestarted);
}

// Guards against a memory of gone workers that grows without end, in a service whose workers come
// and go under new ids, and against one that is forgotten and then taken for new.
Test(FormerWorkers, are_forgotten_only_beyond_the_limit)
{
  constexpr std::size_t kMost = 100;
  constexpr int kWorkers = 1000;
  FormerWorkers former(kMost);
  const auto id = [](int aNumber) { return WorkerId("w" + std::to_string(aNumber)); };
  for (int i = 0; i < static_cast<int>(kMost); ++i) {
    former.Add(id(i), { WorkerIncarnation(i), false, false });
  }
  cr_assert_not(former.Take(id(kWorkers)).has_value(), "never called");
  for (int i = 0; i < kWorkers; ++i) {
    former.Add(id(i), { WorkerIncarnation(i), true, false });
    cr_assert_leq(former.Count(), kMost);
  }
  const auto last = former.Take(id(kWorkers - 1));
  cr_assert(last && last->mIncarnation == WorkerIncarnation(kWorkers - 1) && last->mHasRestarted);
  const auto forgotten = former.Take(id(0));
  cr_assert(forgotten && forgotten->mIncarnation == WorkerIncarnation());
  cr_assert_eq(former.Count(), kMost - 1);
}

// Guards against a forgotten worker that gets work without a higher token.
Test(FormerWorkers, may_be_any_unknown_worker_once_one_is_forgotten)
{
  GivenUpFixture f;
  f.mSettings.mMaxFormerWorkers = 0;
  f.Restart();
  cr_assert_not(f.Return(100).mNeedsHigherToken);
  f.Answer(100);
  f.mScheduler->OnLeaseSent(f.mId, f.mNow);
  f.GiveUp();
  cr_assert(f.Return(100).mNeedsHigherToken);
}
