#include "placement/TraceReplay.h"

#include <criterion/criterion.h>

using namespace lovagerock;
using namespace lovagerock::placement;
using namespace lovagerock::placement::tests;

namespace {

TraceResult
ReplayFile(const std::string& aName)
{
  const auto trace = ReadTrace(std::string(TRACE_DIRECTORY) + "/" + aName);
  cr_assert_not(trace.empty());
  PlannerState state;
  return Replay(
    trace, [&](const ClusterSnapshot& aSnapshot) { return ComputePlan(aSnapshot, state); }, 1440);
}

void
ExpectAllEnd(const TraceResult& aResult)
{
  for (const auto& [id, outcome] : aResult.mJobs) {
    cr_assert(outcome.mEnded >= 0, "%s starved", id.Value().c_str());
  }
}

// Guards against a gang and small jobs that reclaim capacity from each other in turn: the gang was
// restarted every 4 minutes and ended only when no small jobs were left.
void
ExpectLargeGangsRunOnce(const TraceResult& aResult)
{
  for (const auto& [id, outcome] : aResult.mJobs) {
    cr_assert(outcome.mTasks <= 2 || outcome.mReclaims == 0, "%s was reclaimed",
              id.Value().c_str());
  }
}

} // namespace

// Guards against large gangs that are starved by a stream of small jobs: the battery gangs waited
// all night behind the jobs of account "screens".
Test(Trace, overnight_battery_batch_starts_within_an_hour)
{
  const auto result = ReplayFile("overnight.txt");
  for (const auto* it : { "battery-0", "battery-1" }) {
    const auto& batch = result.mJobs.at(JobId(it));
    cr_assert(batch.mStarted >= 0 && batch.mStarted <= batch.mArrived + 60, "%s started at %d", it,
              batch.mStarted);
  }
  ExpectLargeGangsRunOnce(result);
  ExpectAllEnd(result);
}

// Guards against gangs that end after the working day because declared run times are far off.
Test(Trace, term_end_scoring_ends_in_the_day_and_no_account_starves)
{
  const auto result = ReplayFile("term-end.txt");
  const auto& first = result.mJobs.at(JobId("scoring-0"));
  cr_assert(first.mStarted >= 0 && first.mStarted <= first.mArrived + 90, "started at %d",
            first.mStarted);
  for (const auto* it : { "scoring-0", "scoring-1", "scoring-2", "scoring-3" }) {
    cr_assert(result.mJobs.at(JobId(it)).mEnded <= 480, "%s ended too late", it);
  }
  ExpectLargeGangsRunOnce(result);
  ExpectAllEnd(result);
}
