#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "scheduler/RoomReport.h"

#include <array>
#include <cstddef>
#include <optional>
#include <vector>

namespace lovagerock::scheduler {

// Why tasks whose turn has come don't run.
enum class WaitReason
{
  // The takeover isn't settled: a worker that hasn't answered may run the task of an inherited job.
  TakeoverUnsettled,
  // The loaded progress names a run of the task, and its worker hasn't answered.
  RunUnreported,
  // A run of the task is being stopped.
  RunBeingStopped,
  // Other tasks of the gang run: the rest may run on workers that haven't answered, or else these
  // have to be stopped, so that the gang can start whole.
  GangIncomplete,
  // The store hasn't confirmed the leadership, or which zones are evacuated, so that nothing may be
  // started.
  LeadershipUnconfirmed,
  // The start order isn't sent yet: the store doesn't name the run.
  StartHeld,
  // The worker hasn't confirmed the start order.
  StartUnanswered,
  // Runs are being stopped to make room for the step.
  RunsBeingEvicted,
  // There would be room, but it is kept or gathered for other steps.
  RoomReserved,
  // There would be room in several racks together, but the step prefers one.
  RacksOccupied,
  // There would be room on workers that are avoided: they have failed or refused runs.
  WorkersAvoided,
  // There would be room in zones that operators have evacuated.
  ZonesEvacuated,
  // The workers that have answered can't hold the step even if they are idle, and others of its
  // service haven't answered.
  WorkersUnanswered,
  // No worker of the service accepts work.
  NoWorkers,
  // The workers can't hold the step even if they are idle.
  NeverFits,
  // The workers are occupied.
  NoRoom,
  // The step waits for workers; what keeps them wasn't examined, because others wait longer.
  NotExamined,
};

inline constexpr std::size_t kWaitReasons = static_cast<std::size_t>(WaitReason::NotExamined) + 1;

// Returns all reasons, in the order of their declaration.
std::array<WaitReason, kWaitReasons>
AllWaitReasons();

// Returns the reason's name as used in logs and metrics.
const char*
WaitReasonName(WaitReason aReason);

// Tasks of one step that wait for the same reason.
struct WaitingStep
{
  JobId mJob;
  int mOccurrence = 0;
  int mStep = 0;
  // The number of the tasks.
  int mTasks = 0;
  // The number of the step's tasks that run.
  int mRunning = 0;
  WaitReason mReason = WaitReason::NotExamined;
  // How long the task waits that has waited longest; in an inherited job since it was loaded.
  Duration mWaited{ 0 };
  // The worker that is waited for, or one of them; empty if the step waits for none.
  WorkerId mWorker;
  // The time until that worker's lease ends, and with it the wait.
  std::optional<Duration> mLeft;
  // What room there is for the step, if it waits for workers and was examined.
  std::optional<RoomReport> mRoom;
};

// The workers that may have runs of an earlier scheduler and haven't answered this one.
struct UnansweredWorkers
{
  std::size_t mCount = 0;
  // Some of them: those whose leases end last.
  std::vector<WorkerId> mLast;
  // The time until the last of their leases ends.
  Duration mLeft{ 0 };
};

// What waits at one time.
struct WaitReport
{
  // The steps of which tasks have waited for at least kMinReportedWait, longest first.
  std::vector<WaitingStep> mSteps;
  UnansweredWorkers mUnanswered;
};

// Shorter waits aren't reported: most steps start within a few milliseconds.
inline constexpr Duration kMinReportedWait{ 1000 };

} // namespace lovagerock::scheduler
