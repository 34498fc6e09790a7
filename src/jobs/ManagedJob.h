#pragma once

#include "base/Units.h"
#include "jobs/GangStatus.h"
#include "jobs/JobRecord.h"

#include <optional>
#include <string>
#include <vector>

namespace lovagerock::jobs {

// Where a live job stands at its planner.
enum class JobPhase
{
  Queued,
  // A gang start is in progress.
  Starting,
  Running,
  // All tasks were told to stop, and some may still run.
  Stopping,
  // The record is being written; nothing else happens until then.
  Writing,
};

// Why a running attempt is stopped.
enum class StopReason
{
  None,
  Cancelled,
  Reclaimed,
  TaskFailed,
  // A lease lapsed, or its worker was lost or restarted.
  TaskLost,
  StartFailed,
};

// The name used in logs and job errors.
constexpr const char*
StopReasonName(StopReason aReason)
{
  switch (aReason) {
    case StopReason::None:
      return "none";
    case StopReason::Cancelled:
      return "cancelled";
    case StopReason::Reclaimed:
      return "reclaimed";
    case StopReason::TaskFailed:
      return "task_failed";
    case StopReason::TaskLost:
      return "task_lost";
    case StopReason::StartFailed:
      return "start_failed";
  }
  return "none";
}

// A live job at its planner.
struct ManagedJob
{
  JobRecord mRecord;
  JobPhase mPhase = JobPhase::Queued;
  StopReason mStopReason = StopReason::None;
  // Errors of the tasks, kept for the caller.
  std::string mError;
  // When the job entered the queue and when its attempt started, on the monotonic clock.
  TimePoint mQueuedAt;
  TimePoint mStartedAt;
  // Whether this planner started the attempt; if not, mStartedAt is when it took the job over.
  bool mStartSeen = false;
  // When all tasks of the attempt were first seen to have finished.
  std::optional<TimePoint> mFinishedAt;
  // The job isn't planned before this time, after a start that was not possible.
  TimePoint mNotBefore;
  GangObservation mObservation;
  // One entry for each task; set once the answer is stored.
  std::vector<std::optional<AnswerInfo>> mAnswers;
  // Whether the collection of an answer is in progress.
  bool mCollecting = false;
  bool mReclaimable = true;
  // Why the job waits, from the last plan.
  std::string mWaitReason;
  std::string mWaitDetail;
};

} // namespace lovagerock::jobs
