#pragma once

#include "base/Units.h"
#include "jobs/GangStatus.h"
#include "jobs/JobRecord.h"

#include <optional>
#include <string>
#include <vector>

namespace lovagerock::jobs {

// The phase of a live job as its planner sees it.
enum class JobPhase
{
  Queued,
  // A gang start is in progress.
  Starting,
  Running,
  // All workers were told to stop their tasks; some may still run.
  Stopping,
  // The record is being written; the job is not started, checked or stopped until that has ended.
  Writing,
};

// Why a running attempt is stopped.
enum class StopReason
{
  None,
  Cancelled,
  Reclaimed,
  TaskFailed,
  // A lease expired, or its worker was lost or restarted.
  TaskLost,
  StartFailed,
};

// Returns the name used in logs and job errors.
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

// The planner's state of a live job.
struct ManagedJob
{
  JobRecord mRecord;
  JobPhase mPhase = JobPhase::Queued;
  StopReason mStopReason = StopReason::None;
  // The last error of a task, reported to the caller if the job fails.
  std::string mError;
  // When the job was submitted and when its attempt started, on the monotonic clock.
  TimePoint mQueuedAt;
  TimePoint mStartedAt;
  // Whether this planner started the attempt; if not, mStartedAt is when it took the job over.
  bool mStartedHere = false;
  // When all tasks of the attempt were first reported as finished.
  std::optional<TimePoint> mFinishedAt;
  // The job is not planned before this time; set after a failed reservation.
  TimePoint mNotBefore;
  GangObservation mObservation;
  // One entry for each task, set once its answer is stored.
  std::vector<std::optional<AnswerInfo>> mAnswers;
  // Whether a batch of answers is being collected or queued for a retry.
  bool mCollecting = false;
  bool mReclaimable = true;
  // Why the job waits, from the last plan that reported a reason.
  std::string mWaitReason;
  std::string mWaitDetail;
};

} // namespace lovagerock::jobs
