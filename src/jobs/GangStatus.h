#pragma once

#include "base/Units.h"
#include "jobs/JobRecord.h"
#include "workers/WorkerView.h"

#include <map>
#include <string>
#include <vector>

namespace lovagerock::jobs {

// The views of the workers, by worker id.
using WorkerViews = std::map<WorkerId, workers::WorkerView>;

// What is known of one task of an attempt.
enum class TaskStatus
{
  // The worker was not heard yet, or is silent and the lease may still be alive.
  Unknown,
  Reserved,
  Running,
  Stopping,
  Finished,
  Failed,
  // Stopped, or the lease doesn't exist any more.
  Lost,
};

// What is known of a gang.
struct GangStatus
{
  std::vector<TaskStatus> mTasks;
  // The last checkpoint of each task; empty if there is none.
  std::vector<std::string> mCheckpoints;
  // The first failed task, or -1, and its error.
  int mFailedTask = -1;
  std::string mError;

  bool All(TaskStatus aStatus) const;
  bool Any(TaskStatus aStatus) const;
  // Whether no task can be running any more.
  bool HasEnded() const;
};

// What this planner has observed of an attempt so far.
struct GangObservation
{
  // When the attempt was started or taken over.
  TimePoint mSince;
  // Whether the lease of each task was in a state of its worker since then.
  std::vector<bool> mSeen;
};

// When a lease that can't be seen counts as lost.
struct GangLimits
{
  // A worker's state may be older than the start of the attempt, so a lease that was never seen
  // counts as lost only after this time.
  Duration mUnseen{ 5000 };
  // The lease of a silent worker counts as lost once it was silent for this time.
  Duration mSilent{ 80000 };
};

// Reads the status of a record's current attempt from the workers' states, and notes the leases
// that were seen.
GangStatus
ReadGangStatus(const JobRecord& aRecord, const WorkerViews& aViews, GangObservation& aObservation,
               const GangLimits& aLimits, TimePoint aNow);

} // namespace lovagerock::jobs
