#pragma once

#include "base/Units.h"
#include "jobs/JobRecord.h"
#include "workers/WorkerView.h"

#include <map>
#include <string>
#include <vector>

namespace lovagerock::jobs {

// This node's views of the workers, by worker id.
using WorkerViews = std::map<WorkerId, workers::WorkerView>;

// The status of one task of an attempt, as far as this node knows.
enum class TaskStatus
{
  // The worker has not reported the lease, which may still exist.
  Unknown,
  Reserved,
  Running,
  Stopping,
  Finished,
  Failed,
  // Stopped, or the lease no longer exists or has expired.
  Lost,
};

// The status of a gang, as far as this node knows.
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
  // Returns whether no task can be running any more.
  bool HasEnded() const;
};

// The time since which this planner observes an attempt, and the leases reported since then.
struct GangObservation
{
  // When this planner started the attempt or took it over.
  TimePoint mSince;
  // For each task, whether its worker has reported the lease since then.
  std::vector<bool> mSeen;
};

// When a lease that its worker does not report counts as lost.
struct LeaseLossTimeouts
{
  // For a lease that was never reported, since the start of the observation: a worker's state may
  // be older than the start of the attempt.
  Duration mUnseenTimeout{ 5000 };
  // For the lease of a silent worker, since the worker was last heard, or since the start of the
  // observation if that was later.
  Duration mSilenceTimeout{ 80000 };
};

// Returns the status of the record's current attempt according to the workers' states, and marks
// the reported leases in the observation.
GangStatus
ReadGangStatus(const JobRecord& aRecord, const WorkerViews& aViews, GangObservation& aObservation,
               const LeaseLossTimeouts& aTimeouts, TimePoint aNow);

} // namespace lovagerock::jobs
