#pragma once

#include "base/Units.h"
#include "scheduler/Capacity.h"
#include "scheduler/WorkerReport.h"

#include <array>
#include <cstddef>
#include <optional>

namespace lovagerock::scheduler {

// One accelerator counts as this many cores when work is compared or counted.
constexpr double kCoresPerAccelerator = 8;

// Returns the work of resources that are occupied for a time, in core-seconds.
double
CoreSeconds(const Capacity& aDemand, Duration aTime);

// Why work was thrown away.
enum class WasteCause
{
  // The run was stopped for a more urgent step.
  Evicted,
  // The run was stopped for a guaranteed step, and its task fits elsewhere.
  Moved,
  // Its worker was going to leave.
  Drained,
  // Another member of its gang ended for any other reason than those above.
  GangBroken,
  // The run waited for other members of its gang.
  GangIncomplete,
  // The worker's lease expired.
  LeaseExpired,
  // The worker was restarted or replaced, or no longer lists the run.
  WorkerLost,
  Failed,
  // The job was cancelled.
  Cancelled,
  Other,
};

constexpr std::size_t kWasteCauses = static_cast<std::size_t>(WasteCause::Other) + 1;

// Returns the name of the cause as used in logs and metrics.
const char*
WasteCauseName(WasteCause aCause);

// All causes, in the order of their declaration.
constexpr std::array<WasteCause, kWasteCauses>
AllWasteCauses()
{
  std::array<WasteCause, kWasteCauses> causes{};
  for (std::size_t i = 0; i < kWasteCauses; ++i) {
    causes[i] = static_cast<WasteCause>(i);
  }
  return causes;
}

// Core-seconds by cause.
struct WasteCounts
{
  std::array<double, kWasteCauses> mCoreSeconds{};

  double Of(WasteCause aCause) const { return mCoreSeconds[static_cast<std::size_t>(aCause)]; }
  double Total() const;
};

// A run that has ended, as far as it matters for what was thrown away.
struct EndedRun
{
  Capacity mDemand;
  RunEnd mEnd = RunEnd::Done;
  // Why the scheduler has stopped the run, or knows that it was lost; unset if it hasn't or
  // doesn't.
  std::optional<WasteCause> mCause;
  // For how long the run has occupied its resources, and how much of that it has waited for other
  // members of its gang.
  Duration mElapsed{ 0 };
  Duration mWaited{ 0 };
  // The longest part of its working time that no checkpoint has saved.
  Duration mUnsaved{ 0 };
};

// Counts the work that was thrown away since its creation. Work that a checkpoint has saved doesn't
// count.
class WastedWork
{
public:
  // Time between two log lines.
  static constexpr Duration kLogPeriod{ 5000 };

  void Add(WasteCause aCause, double aCoreSeconds);
  // Adds what an ended run has thrown away: the time in which it waited, and what it has worked
  // unless it has completed.
  void OnEnded(const EndedRun& aRun);
  // Logs the counts if they have grown by a core-second or more, at most once per kLogPeriod.
  void LogGrowth(TimePoint aNow);

  const WasteCounts& Counts() const { return mCounts; }

private:
  static WasteCause CauseOf(const EndedRun& aRun);

  WasteCounts mCounts;
  // The total of the last log line, and its time.
  double mLoggedTotal = 0;
  TimePoint mLoggedAt;
};

} // namespace lovagerock::scheduler
