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
  // Cancelled, or non-idempotent and hit by a fault.
  bool mIsLost = false;
  int mReclaims = 0;
};

// Accelerators from this time on.
struct UsageSample
{
  TimePoint mAt;
  int mFree = 0;
  // Free, while a waiting gang fits their number but not under its adjacency.
  int mLost = 0;
};

struct RunResult
{
  std::vector<JobOutcome> mJobs;
  std::vector<UsageSample> mUsage;
  // From the demand of guaranteed capacity to the start, by job that demanded it.
  std::vector<Duration> mGuaranteeDelays;
  // The same without the time in which the account's own work or its earlier job is in the way.
  std::vector<Duration> mBlockedDelays;
  // Demands without an end: the job was still waiting when the replay stopped.
  int mOpenDemands = 0;
  // The time without capacity of all copies of guarantees.
  Duration mUnassigned{ 0 };
  TimePoint mEnd;
  // Broken rules of the plans; must be empty.
  std::vector<std::string> mViolations;
};

using Policy = std::function<Plan(const ClusterSnapshot&, PlannerState&)>;

// A stop takes the worker's whole deadline, a start the reserve, commit and start times of the
// design.
inline constexpr Duration kStopTime{ 2000 };
inline constexpr Duration kStartTime{ 1200 };

// Applies the plans of a policy to the trace until all jobs have ended, or for 72 h.
RunResult
RunTrace(const ReplayTrace& aTrace, const Policy& aPolicy, bool aWithGuarantees);

} // namespace lovagerock::placement::replay
