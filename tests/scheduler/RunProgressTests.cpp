#include "scheduler/RunProgress.h"

#include <criterion/criterion.h>

#include <chrono>

using namespace lovagerock;
using namespace lovagerock::scheduler;

namespace {

constexpr Duration kEstimate{ 10000 };
const TimePoint kStart = TimePoint() + std::chrono::hours(1);

} // namespace

Test(RunProgress, goes_by_the_estimate_before_the_pace_is_known)
{
  RunProgress progress;
  const auto now = kStart + Duration(2000);
  cr_assert(progress.Remaining(kEstimate, kStart, now) == Duration(8000));
  progress.OnReport(60, now);
  cr_assert(progress.Remaining(kEstimate, kStart, now) == Duration(4000));
}

Test(RunProgress, goes_by_the_pace_since_the_first_report)
{
  // A run that began at a checkpoint.
  RunProgress progress;
  progress.OnReport(40, kStart);
  progress.OnReport(60, kStart + Duration(500));
  cr_assert(progress.Remaining(kEstimate, kStart, kStart + Duration(500)) == Duration(1000));
}

Test(RunProgress, counts_the_time_since_the_last_report_as_worked)
{
  RunProgress progress;
  progress.OnReport(0, kStart);
  progress.OnReport(50, kStart + Duration(1000));
  cr_assert(progress.Remaining(kEstimate, kStart, kStart + Duration(1600)) == Duration(400));
  cr_assert(progress.Remaining(kEstimate, kStart, kStart + Duration(5000)) == Duration(0));
}

// Guards against a gang's member whose pace seems low because it waited for the other members.
Test(RunProgress, leaves_the_time_before_the_first_progress_out)
{
  RunProgress progress;
  progress.OnReport(0, kStart);
  progress.OnReport(0, kStart + Duration(3000));
  cr_assert(progress.Remaining(kEstimate, kStart, kStart + Duration(3000)) == kEstimate);
  progress.OnReport(50, kStart + Duration(4000));
  cr_assert(progress.Remaining(kEstimate, kStart, kStart + Duration(4000)) == Duration(1000));
}
