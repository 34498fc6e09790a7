#include "placement/ClusterFake.h"

#include <criterion/criterion.h>

using namespace lovagerock;
using namespace lovagerock::placement;
using lovagerock::placement::tests::ClusterFake;

namespace {

using std::chrono::minutes;

const AccountId kAccount("a");

RunTimeHistory
HistoryOf(int aJobs, Duration aDeclared, Duration aRan)
{
  RunTimeHistory history;
  for (int i = 0; i < aJobs; ++i) {
    history.Record(kAccount, 8, { aDeclared, aRan });
  }
  return history;
}

// Returns whether a job with the declared run time is started on capacity that is held for a large
// job, whose reservation waits for borrowers that declared one hour.
bool
IsBackfilled(const RunTimeHistory& aHistory, Duration aDeclared)
{
  ClusterFake fake(8);
  fake.mState.mRunTimes = aHistory;
  fake.AddAccount("a");
  fake.AddAccount("b");
  std::vector<JobId> running;
  for (int i = 0; i < 8; ++i) {
    auto& job = fake.Submit("b", 1, 8);
    job.mEstimate = minutes(60);
    running.push_back(job.mJob);
  }
  fake.Step();
  fake.Submit("b", 8, 8, Adjacency::Rack);
  fake.Step();
  fake.Finish(running[0]);
  auto& small = fake.Submit("a", 1, 8);
  small.mEstimate = aDeclared;
  const auto id = small.mJob;
  fake.Step();
  return fake.Runs(id);
}

} // namespace

// Guards against backfill by jobs of an account that always declares too short run times, and
// against idle capacity because an account always declares too long ones or none.
Test(RunTimes, history_overrides_declared_run_times_for_backfill)
{
  cr_assert(IsBackfilled({}, minutes(1)));
  cr_assert_not(IsBackfilled(HistoryOf(10, minutes(1), minutes(90)), minutes(1)));
  cr_assert_not(IsBackfilled({}, minutes(30)));
  cr_assert(IsBackfilled(HistoryOf(10, minutes(30), minutes(1)), minutes(30)));
  cr_assert_not(IsBackfilled({}, minutes(0)));
  cr_assert(IsBackfilled(HistoryOf(10, minutes(0), minutes(1)), minutes(0)));
}

// Guards against predictions from too few jobs or from jobs of another account or size.
Test(RunTimes, too_few_similar_jobs_give_no_prediction)
{
  const auto few =
    HistoryOf(static_cast<int>(RunTimeSeries::kMinSamples) - 1, minutes(1), minutes(9));
  cr_assert_not(few.Quantile(kAccount, 8, 0.9, minutes(1)).has_value());
  cr_assert(IsBackfilled(few, minutes(1)), "the declared run time is used");
  const auto enough = HistoryOf(RunTimeSeries::kMinSamples, minutes(1), minutes(9));
  cr_assert(enough.Quantile(kAccount, 8, 0.9, minutes(1)) == minutes(9));
  cr_assert_not(enough.Quantile(kAccount, 64, 0.9, minutes(1)).has_value());
  cr_assert_not(enough.Quantile(AccountId("new"), 8, 0.9, minutes(1)).has_value());
}

// Guards against one job that hung and so excludes its account from backfill from then on.
Test(RunTimes, one_outlier_does_not_move_the_quantile)
{
  auto history = HistoryOf(RunTimeSeries::kMinSamples - 1, minutes(5), minutes(5));
  history.Record(kAccount, 8, { minutes(5), std::chrono::hours(500) });
  cr_assert(history.Quantile(kAccount, 8, 0.9, minutes(5)) == minutes(5));
}

// Guards against ignoring declared run times that are always off by the same factor.
Test(RunTimes, prediction_uses_the_series_with_less_spread)
{
  RunTimeHistory history;
  for (int i = 1; i <= 10; ++i) {
    history.Record(kAccount, 8, { minutes(i), minutes(2 * i) });
  }
  cr_assert(history.Quantile(kAccount, 8, 0.9, minutes(50)) == minutes(100));
  // Equal run times, declared without any relation to them.
  for (int i = 0; i < 32; ++i) {
    history.Record(kAccount, 8, { minutes(i % 2 == 0 ? 1 : 600), minutes(20) });
  }
  cr_assert(history.Quantile(kAccount, 8, 0.9, minutes(50)) == minutes(20));
}

// Guards against an expected end in the past for a job that has run longer than similar ones.
Test(RunTimes, a_running_job_is_compared_with_those_that_ran_longer)
{
  RunTimeHistory history;
  for (int i = 1; i <= 10; ++i) {
    history.Record(kAccount, 8, { minutes(0), minutes(i) });
  }
  cr_assert(history.Quantile(kAccount, 8, 0, minutes(0), minutes(7)) == minutes(8));
  cr_assert_not(history.Quantile(kAccount, 8, 0.5, minutes(0), minutes(10)).has_value());
}

// Guards against overflow of run times, and against memory that grows with every account and job.
Test(RunTimes, predictions_and_memory_are_bounded)
{
  auto history = HistoryOf(10, Duration(1), Duration::max());
  cr_assert(history.Quantile(kAccount, 8, 0.9, Duration::max()) == RunTimeHistory::kMaxRunTime);
  history = HistoryOf(10, Duration::max(), Duration(-1));
  cr_assert(history.Quantile(kAccount, 8, 0.9, Duration(1)) == RunTimeHistory::kMinRunTime);
  for (std::size_t i = 0; i < 2 * RunTimeHistory::kMaxSeries; ++i) {
    history.Record(AccountId(std::to_string(i)), 1, { minutes(1), minutes(1) });
  }
  cr_assert_eq(history.Count(), RunTimeHistory::kMaxSeries);
  cr_assert_null(history.Find(AccountId("0"), 1),
                 "the least recently updated series is evicted first");
  for (int i = 0; i < 1000; ++i) {
    history.Record(AccountId("last"), 1, { minutes(1), minutes(1) });
  }
  cr_assert_eq(history.Find(AccountId("last"), 1)->RunTimes().size(), RunTimeSeries::kMaxSamples);
}
