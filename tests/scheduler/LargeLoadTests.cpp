#include "SchedulerFixture.h"
#include "scheduler/PlanWindow.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <set>

using namespace lovagerock;
using namespace lovagerock::scheduler;

namespace {

const Step&
FirstStep(const SchedulerFixture& aFixture, const char* aJob)
{
  return aFixture.mScheduler->FindJob(JobId(aJob))->OpenOccurrences().begin()->second.mSteps[0];
}

StepSpec
NeedsNothing(int aCount)
{
  StepSpec step;
  step.mCount = aCount;
  return step;
}

} // namespace

// Guards against a large job whose waiting tasks take memory one by one.
Test(LargeLoad, keeps_only_tasks_that_have_run)
{
  SchedulerFixture f;
  f.AddWorkers(1);
  f.Submit(f.Job("large", { SchedulerFixture::Step(100'000, 1) }));
  cr_assert_eq(f.Plan().mStarts.size(), 8);
  cr_assert_eq(FirstStep(f, "large").mTasks.size(), 8);
  cr_assert_eq(FirstStep(f, "large").Untouched(), 99'992);
}

// Guards against tasks of a large step that a new leader forgets, or takes for done.
Test(LargeLoad, loads_the_progress_of_a_large_job)
{
  SchedulerFixture f;
  f.AddWorkers(1);
  f.Submit(f.Job("large", { SchedulerFixture::Step(1000, 4) }));
  const auto started = f.Plan().mStarts;
  cr_assert_eq(started.size(), 2);
  f.EndRun(started[0].mRun, RunEnd::Done);
  f.RenewAllLeases();
  const auto progress = f.StoreProgress();
  cr_assert_lt(progress.at(JobId("large")).size(), 200);
  f.TakeOver(progress);
  f.AdvanceTime(Duration(1000));
  const auto& step = FirstStep(f, "large");
  cr_assert_eq(step.mCount, 1000);
  cr_assert_eq(step.mDone, 1);
  cr_assert_eq(step.Untouched(), 998);
  cr_assert_eq(step.At(1).mRun, 1);
}

// Guards against progress that earlier versions can't read: they expect each task of the step.
Test(LargeLoad, writes_all_tasks_of_a_step_of_usual_size)
{
  SchedulerFixture f;
  f.AddWorkers(1);
  f.Submit(f.Job("usual", { SchedulerFixture::Step(512, 8) }));
  f.Plan();
  const auto progress = ParseJson(f.StoreProgress().at(JobId("usual")));
  cr_assert_eq(progress->at("open")[0]["steps"][0].size(), 512);
}

// Guards against a job whose repetitions are all due at once: they are opened as earlier ones end.
Test(LargeLoad, opens_few_due_occurrences_at_a_time)
{
  SchedulerFixture f;
  f.AddWorkers(1);
  auto job = f.Job("repeated", { SchedulerFixture::Step(1000, 8) });
  job.mSpec.mRepetitions = 1'000'000;
  job.mSpec.mFirstRunMs = 1;
  job.mSpec.mInterval = Duration(1);
  f.Submit(job);
  f.Plan();
  cr_assert_eq(f.mScheduler->FindJob(JobId("repeated"))->OpenOccurrences().size(), 4);
  auto single = f.Job("single", { SchedulerFixture::Step(1, 8) });
  single.mSpec.mRepetitions = 1'000'000;
  single.mSpec.mFirstRunMs = 1;
  single.mSpec.mInterval = Duration(1);
  f.Submit(single);
  f.Plan();
  cr_assert_eq(f.mScheduler->FindJob(JobId("single"))->OpenOccurrences().size(), 16);
  auto small = f.Job("small", { SchedulerFixture::Step(1, 8) });
  small.mSpec.mRepetitions = 3;
  small.mSpec.mFirstRunMs = 1;
  small.mSpec.mInterval = Duration(1);
  f.Submit(small);
  f.Plan();
  cr_assert_eq(f.mScheduler->FindJob(JobId("small"))->OpenOccurrences().size(), 3);
}

// Guards against tasks that need nothing, so that one plan starts any number of them.
Test(LargeLoad, starts_a_limited_number_of_runs_at_a_time)
{
  SchedulerFixture f;
  f.mSettings.mMaxStartingRuns = 100;
  f.mSettings.mMaxRunsPerWorker = 40;
  f.mSettings.mMaxRuns = 110;
  f.Restart();
  f.AddWorkers(4);
  f.Submit(f.Job("nothing", { NeedsNothing(10'000) }));
  cr_assert_eq(f.Plan().mStarts.size(), 100);
  cr_assert_eq(f.Plan().mStarts.size(), 10);
  cr_assert_eq(f.Plan().mStarts.size(), 0);
  for (const auto& [id, worker] : f.mScheduler->Workers()) {
    cr_assert_leq(worker.mRuns.size(), 40);
  }
}

// Guards against a gang that is started in part because of that limit.
Test(LargeLoad, starts_a_gang_whole_or_not_at_all)
{
  SchedulerFixture f;
  f.mSettings.mMaxRuns = 12;
  f.Restart();
  f.AddWorkers(4);
  f.Submit(f.Job("first", { SchedulerFixture::Step(4, 1) }));
  cr_assert_eq(f.Plan().mStarts.size(), 4);
  f.Submit(f.Job("gang", { SchedulerFixture::Gang(10, 1) }));
  cr_assert_eq(f.Plan().mStarts.size(), 0);
  f.Submit(f.Job("smaller", { SchedulerFixture::Gang(8, 1) }));
  cr_assert_eq(f.Plan().mStarts.size(), 8);
}

// Guards against steps that never fit and keep a plan from others: as many as a plan looks at, and
// before all others in rank.
Test(LargeLoad, reaches_every_step_behind_many_that_never_fit)
{
  SchedulerFixture f;
  f.mSettings.mMaxPlannedSteps = 8;
  f.Restart();
  f.AddWorkers(1);
  for (int i = 0; i < 40; ++i) {
    auto step = SchedulerFixture::Step(1, 1);
    step.mRequiredLabel = "none";
    f.Submit(f.Job("hopeless" + std::to_string(i), { step }));
  }
  f.mNow.mSteady += Duration(10);
  f.mNow.mWallMs += 10;
  f.Submit(f.Job("fits", { SchedulerFixture::Step(1, 1) }));
  int plans = 0;
  while (f.Plan().mStarts.empty()) {
    cr_assert_lt(++plans, 40);
  }
}

// Guards against a group whose steps come first in rank and keep those of others from a plan.
Test(LargeLoad, looks_at_steps_of_each_group_in_each_plan)
{
  SchedulerFixture f;
  f.mSettings.mMaxPlannedSteps = 8;
  f.Restart();
  f.AddWorkers(1);
  for (int i = 0; i < 1000; ++i) {
    auto step = SchedulerFixture::Step(1, 1);
    step.mRequiredLabel = "none";
    auto job = f.Job("hopeless" + std::to_string(i), { step });
    job.mAccount = AccountId("other");
    f.Submit(job);
  }
  f.mNow.mSteady += Duration(10);
  f.mNow.mWallMs += 10;
  f.Submit(f.Job("fits", { SchedulerFixture::Step(1, 1) }));
  cr_assert_eq(f.Plan().mStarts.size(), 1);
}

Test(PlanWindow, looks_at_the_first_steps_always_and_at_all_others_in_turn)
{
  PlanWindow window(8);
  const JobGroup group{ AccountId("a"), "", false };
  std::set<std::size_t> seen;
  for (int i = 0; i < 7; ++i) {
    const auto chosen = window.Choose(std::vector<JobGroup>(20, group));
    cr_assert_eq(chosen.size(), 8);
    for (std::size_t j = 0; j < 6; ++j) {
      cr_assert_eq(chosen[j], j);
    }
    cr_assert(std::is_sorted(chosen.begin(), chosen.end()));
    seen.insert(chosen.begin(), chosen.end());
  }
  cr_assert_eq(seen.size(), 20);
  cr_assert_eq(window.Choose(std::vector<JobGroup>(5, group)).size(), 5);
  cr_assert(window.Choose({}).empty());
}

Test(PlanWindow, leaves_to_large_groups_what_small_ones_do_not_need)
{
  PlanWindow window(10);
  const JobGroup small{ AccountId("a"), "", false };
  const JobGroup large{ AccountId("b"), "", false };
  std::vector<JobGroup> steps(30, large);
  steps.insert(steps.end(), 2, small);
  const auto chosen = window.Choose(steps);
  cr_assert_eq(chosen.size(), 10);
  cr_assert_eq(chosen[8], 30);
  cr_assert_eq(chosen[9], 31);
}
