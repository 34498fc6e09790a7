#include "SchedulerFixture.h"
#include "scheduler/Limits.h"
#include "scheduler/WaitScanner.h"

#include <iterator>
#include <optional>

using namespace lovagerock;
using namespace lovagerock::scheduler;

// Each test of a reason guards against a job that stands while the log tells nothing, or the wrong
// thing, of what it waits for.

namespace {

constexpr Duration kLongWait = kMinReportedWait + Duration(100);

struct WaitFixture : SchedulerFixture
{
  // Makes a plan and a scan.
  WaitReport Scan()
  {
    Plan();
    return Scanner().Scan(mNow, true);
  }

  // Makes a plan and a scan once all present waits are long enough to be reported.
  WaitReport ScanLater()
  {
    AdvanceTime(kLongWait);
    return Scan();
  }

  // The scanner of the present scheduler.
  WaitScanner& Scanner()
  {
    if (mScanned != mScheduler.get()) {
      mScanner.emplace(*mScheduler);
      mScanned = mScheduler.get();
    }
    return *mScanner;
  }

private:
  const Scheduler* mScanned = nullptr;
  std::optional<WaitScanner> mScanner;
};

// Returns the only wait of the job; fails the test if there is none, or more.
WaitingStep
WaitOf(const WaitReport& aReport, const std::string& aJob)
{
  std::vector<WaitingStep> waits;
  std::copy_if(aReport.mSteps.begin(), aReport.mSteps.end(), std::back_inserter(waits),
               [&aJob](const auto& aIt) { return aIt.mJob == JobId(aJob); });
  cr_assert_eq(waits.size(), 1, "%zu waits of %s", waits.size(), aJob.c_str());
  return waits.front();
}

void
RequireReason(const WaitReport& aReport, const std::string& aJob, WaitReason aReason)
{
  const auto reason = WaitOf(aReport, aJob).mReason;
  cr_assert(reason == aReason, "%s", WaitReasonName(reason));
}

std::size_t
CountOf(const WaitReport& aReport, WaitReason aReason)
{
  return static_cast<std::size_t>(
    std::count_if(aReport.mSteps.begin(), aReport.mSteps.end(),
                  [aReason](const auto& aIt) { return aIt.mReason == aReason; }));
}

} // namespace

Test(WaitScanner, names_the_worker_that_a_takeover_waits_for)
{
  WaitFixture f;
  f.AddWorkers(3);
  f.Submit(f.Job("j", { f.Step(2, 1) }));
  f.mWorkers.at(WorkerId("w1")).mIsReachable = false;
  f.TakeOver({});
  const auto report = f.ScanLater();
  RequireReason(report, "j", WaitReason::TakeoverUnsettled);
  const auto wait = WaitOf(report, "j");
  cr_assert_eq(wait.mTasks, 2);
  cr_assert_eq(wait.mWorker, WorkerId("w1"));
  cr_assert_eq(report.mUnanswered.mCount, 1);
  cr_assert_eq(report.mUnanswered.mLast.at(0), WorkerId("w1"));
  cr_assert(report.mUnanswered.mLeft > Duration(0));
  cr_assert(report.mUnanswered.mLeft <=
            f.mSettings.mStoreOutageTolerance + f.mScheduler->MaxLeaseDuration());
  cr_assert_eq(wait.mLeft->count(), report.mUnanswered.mLeft.count());
}

// Guards against long lines when all workers of a large deployment are silent.
Test(WaitScanner, names_few_of_many_unanswered_workers)
{
  WaitFixture f;
  f.AddWorkers(20);
  for (auto& [id, worker] : f.mWorkers) {
    worker.mIsReachable = false;
  }
  f.TakeOver({});
  const auto report = f.ScanLater();
  cr_assert_eq(report.mUnanswered.mCount, 20);
  cr_assert_eq(report.mUnanswered.mLast.size(), 5);
}

Test(WaitScanner, names_the_worker_whose_run_is_unreported)
{
  WaitFixture f;
  f.AddWorkers(2);
  f.Submit(f.Job("j", { f.Step(1, 1) }));
  const auto first = f.Plan().mStarts.at(0);
  const auto progress = f.StoreProgress();
  f.mWorkers.at(first.mWorker).mIsReachable = false;
  f.TakeOver(progress);
  f.mScheduler->OnHandedOver(kMaxDuration, true, f.mNow);
  const auto report = f.ScanLater();
  RequireReason(report, "j", WaitReason::RunUnreported);
  const auto wait = WaitOf(report, "j");
  cr_assert_eq(wait.mWorker, first.mWorker);
  cr_assert(wait.mLeft.value_or(Duration(0)) > Duration(0));
}

Test(WaitScanner, names_the_worker_whose_run_is_being_stopped)
{
  WaitFixture f;
  f.AddWorkers(2);
  auto step = f.Step(1, 1);
  step.mLongRunning = true;
  f.Submit(f.Job("j", { step }));
  const auto worker = f.Plan().mStarts.at(0).mWorker;
  f.mWorkers.at(worker).mAnswersOrders = false;
  auto entry = f.mWorkers.at(worker).mEntry;
  entry.mDraining = true;
  f.mScheduler->OnWorkerEntry(entry, f.mNow);
  // The stop has just begun, however long the run lasted before.
  f.AdvanceTime(kLongWait);
  cr_assert(f.Scan().mSteps.empty());
  const auto report = f.ScanLater();
  RequireReason(report, "j", WaitReason::RunBeingStopped);
  cr_assert_eq(WaitOf(report, "j").mWorker, worker);
}

Test(WaitScanner, tells_an_incomplete_gang)
{
  WaitFixture f;
  f.AddWorkers(2);
  f.Submit(f.Job("j", { f.Gang(2, 8) }));
  cr_assert_eq(f.Plan().mStarts.size(), 2);
  f.mWorkers.at(WorkerId("w1")).mIsReachable = false;
  f.TakeOver({});
  const auto report = f.ScanLater();
  RequireReason(report, "j", WaitReason::GangIncomplete);
  const auto wait = WaitOf(report, "j");
  cr_assert_eq(wait.mTasks, 1);
  cr_assert_eq(wait.mRunning, 1);
  cr_assert_eq(wait.mWorker, WorkerId("w1"));
}

Test(WaitScanner, tells_an_unconfirmed_leadership)
{
  WaitFixture f;
  f.AddWorkers(1);
  f.Submit(f.Job("j", { f.Step(1, 1) }));
  f.AdvanceTime(kLongWait);
  f.mScheduler->Plan(f.mNow, false);
  RequireReason(f.Scanner().Scan(f.mNow, false), "j", WaitReason::LeadershipUnconfirmed);
}

Test(WaitScanner, tells_starts_without_an_answer_from_held_ones)
{
  WaitFixture f;
  f.AddWorkers(1);
  f.Submit(f.Job("held", { f.Step(1, 1) }));
  f.Submit(f.Job("sent", { f.Step(2, 1) }));
  const auto orders = f.mScheduler->Plan(f.mNow);
  std::set<RunRef> held;
  for (const auto& it : orders.mStarts) {
    if (it.mRun.mTask.mJob == JobId("held")) {
      held.insert(it.mRun);
    }
  }
  f.AdvanceTime(kLongWait);
  const auto report = f.Scanner().Scan(f.mNow, true, held);
  RequireReason(report, "held", WaitReason::StartHeld);
  RequireReason(report, "sent", WaitReason::StartUnanswered);
  cr_assert_eq(WaitOf(report, "sent").mTasks, 2);
  cr_assert_eq(WaitOf(report, "sent").mWorker, WorkerId("w0"));
}

Test(WaitScanner, tells_that_runs_are_being_evicted)
{
  WaitFixture f;
  f.AddWorkers(1);
  f.Submit(f.Job("low", { f.Step(1, 8) }, 2));
  f.Plan();
  f.mWorkers.at(WorkerId("w0")).mAnswersOrders = false;
  f.Submit(f.Job("urgent", { f.Step(1, 8) }, 0));
  f.Plan();
  RequireReason(f.ScanLater(), "urgent", WaitReason::RunsBeingEvicted);
}

Test(WaitScanner, tells_room_that_is_gathered_for_a_gang)
{
  WaitFixture f;
  f.AddWorkers(2);
  f.Submit(f.Job("running", { f.Step(1, 1) }));
  f.Plan();
  f.Submit(f.Job("gang", { f.Gang(2, 8) }));
  f.AdvanceTime(f.mSettings.mGatherAfter);
  f.Plan();
  f.Submit(f.Job("behind", { f.Step(1, 8) }, 2));
  const auto report = f.ScanLater();
  RequireReason(report, "gang", WaitReason::NoRoom);
  RequireReason(report, "behind", WaitReason::RoomReserved);
}

// Guards against a line that says only that there is no room, whether workers are full or the step
// waits for one rack.
Test(WaitScanner, tells_a_gang_that_waits_for_one_rack)
{
  WaitFixture f;
  f.AddWorkers(4);
  for (const auto* rack : { "r0", "r1" }) {
    auto run = f.Step(1, 8);
    run.mPreferredRack = RackId(rack);
    f.Submit(f.Job(std::string("run-") + rack, { run }));
    f.Plan();
  }
  auto gang = f.Gang(2, 8);
  gang.mRackLocal = true;
  f.Submit(f.Job("gang", { gang }));
  const auto report = f.ScanLater();
  RequireReason(report, "gang", WaitReason::RacksOccupied);
  const auto room = WaitOf(report, "gang").mRoom;
  cr_assert(room.has_value());
  cr_assert(room->mIsGang && room->mIsRackLocal);
  cr_assert_eq(room->mDemand.mAccelerators, Accelerators(8));
  cr_assert_eq(room->mFitting, 1);
  cr_assert_eq(room->mFittingSpread, 2);
  cr_assert_eq(room->mFittingUnreserved, 2);
  cr_assert_eq(room->mFittingIdle, 2);
  cr_assert_eq(room->mUsedPercent, 50);
  cr_assert_eq(room->mWorkers, 4);
  cr_assert_eq(room->mRegistered, 4);
}

Test(WaitScanner, tells_that_workers_are_avoided)
{
  WaitFixture f;
  f.AddWorkers(1);
  f.Submit(f.Job("j", { f.Step(1, 1) }));
  const auto start = f.mScheduler->Plan(f.mNow).mStarts.at(0);
  f.mScheduler->OnStartOutcome(start.mWorker, start.mRun, OrderOutcome::Unhealthy, WorkerClock(),
                               f.mNow);
  RequireReason(f.ScanLater(), "j", WaitReason::WorkersAvoided);
}

Test(WaitScanner, tells_that_workers_have_not_answered)
{
  WaitFixture f;
  f.AddWorkers(1);
  f.mWorkers.at(WorkerId("w0")).mIsReachable = false;
  f.TakeOver({});
  f.Submit(f.Job("new", { f.Step(1, 1) }));
  const auto report = f.ScanLater();
  RequireReason(report, "new", WaitReason::WorkersUnanswered);
  cr_assert_eq(WaitOf(report, "new").mWorker, WorkerId("w0"));
}

Test(WaitScanner, tells_that_no_worker_is_registered)
{
  WaitFixture f;
  f.Submit(f.Job("j", { f.Step(1, 1) }));
  RequireReason(f.ScanLater(), "j", WaitReason::NoWorkers);
}

Test(WaitScanner, tells_a_step_that_never_fits)
{
  WaitFixture f;
  f.AddWorkers(1);
  f.Submit(f.Job("j", { f.Step(1, 9) }));
  RequireReason(f.ScanLater(), "j", WaitReason::NeverFits);
}

Test(WaitScanner, tells_that_there_is_no_room)
{
  WaitFixture f;
  f.AddWorkers(1);
  f.Submit(f.Job("first", { f.Step(1, 8) }));
  f.Plan();
  f.Submit(f.Job("second", { f.Step(3, 8) }));
  const auto report = f.ScanLater();
  RequireReason(report, "second", WaitReason::NoRoom);
  cr_assert_eq(WaitOf(report, "second").mTasks, 3);
  cr_assert(WaitOf(report, "second").mWaited >= kMinReportedWait);
  cr_assert_eq(report.mSteps.size(), 1, "a running job was reported");
}

// Guards against lines for steps that start as fast as usual.
Test(WaitScanner, reports_no_short_waits)
{
  WaitFixture f;
  f.AddWorkers(1);
  f.Submit(f.Job("j", { f.Step(1, 9) }));
  f.AdvanceTime(kMinReportedWait - Duration(1));
  cr_assert(f.Scan().mSteps.empty());
  f.AdvanceTime(Duration(1));
  cr_assert_eq(f.Scan().mSteps.size(), 1);
}

// Guards against a scan whose time grows with the product of waiting jobs and workers.
Test(WaitScanner, examines_only_the_longest_waits)
{
  WaitFixture f;
  f.AddWorkers(1);
  f.Submit(f.Job("first", { f.Step(1, 9) }));
  f.AdvanceTime(Duration(500));
  for (std::size_t i = 0; i < WaitScanner::kMaxExaminedSteps + 10; ++i) {
    f.Submit(f.Job("j" + std::to_string(i), { f.Step(1, 9) }));
  }
  const auto report = f.ScanLater();
  cr_assert_eq(report.mSteps.front().mJob, JobId("first"));
  cr_assert_eq(CountOf(report, WaitReason::NeverFits), WaitScanner::kMaxExaminedSteps);
  cr_assert_eq(CountOf(report, WaitReason::NotExamined), 11);
}

// Guards against names that are missing, or stand for two reasons.
Test(WaitReason, has_a_name_of_its_own)
{
  std::set<std::string> names;
  for (const auto it : AllWaitReasons()) {
    names.insert(WaitReasonName(it));
  }
  cr_assert_eq(names.size(), kWaitReasons);
  cr_assert_not(names.contains("unknown"));
}
