#pragma once

#include "bench/ReplayTrace.h"
#include "placement/Plan.h"
#include "placement/PlannerState.h"

#include <functional>

namespace lovagerock::placement::replay {

struct JobOutcome
{
  const ReplayJob* mJob = nullptr;
  std::optional<TimePoint> mEnded;
  bool mIsRefused = false;
  // Cancelled, or non-idempotent and on a worker that failed.
  bool mIsLost = false;
  int mReclaims = 0;
};

// The free accelerators of the cluster from this time until the next sample.
struct UsageSample
{
  TimePoint mAt;
  int mFree = 0;
  // All free accelerators if some waiting gang needs no more than them but can't be placed under
  // its adjacency; otherwise 0.
  int mFragmented = 0;
};

struct RunResult
{
  std::vector<JobOutcome> mJobs;
  std::vector<UsageSample> mUsage;
  // Time from the demand for guaranteed capacity to the start, for each start of a job that had
  // one.
  std::vector<Duration> mGuaranteeStartDelays;
  // Time from GuaranteeDemands::BlockedByOthersSince() to the start, for each start of a job with
  // one. Excludes the time in which the account's own work or an earlier job of it needed the
  // capacity.
  std::vector<Duration> mBlockedByOthersDelays;
  // Demands of jobs that were still waiting when the replay stopped.
  int mOpenDemands = 0;
  // Total time in which copies of guarantees had no capacity assigned, summed over the copies.
  Duration mUnassigned{ 0 };
  TimePoint mEnd;
  // Descriptions of the rules that plans have broken; must be empty.
  std::vector<std::string> mViolations;
};

using Policy = std::function<Plan(const ClusterSnapshot&, PlannerState&)>;

// A stop takes as long as the worker's full deadline. A start takes the sum of the times that the
// design allows for reserving, committing and starting.
inline constexpr Duration kStopTime{ 2000 };
inline constexpr Duration kStartTime{ 1200 };

// Replays the trace with the plans of a policy until all jobs have ended, or for 72 h. Ignores the
// trace's guarantees unless aWithGuarantees is set.
RunResult
RunTrace(const ReplayTrace& aTrace, const Policy& aPolicy, bool aWithGuarantees);

} // namespace lovagerock::placement::replay
