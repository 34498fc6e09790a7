#pragma once

#include "jobs/JobRecord.h"

#include <set>
#include <unordered_map>
#include <vector>

namespace lovagerock::jobs {

// Index of the jobs that have tasks placed on each worker, so that a change of one worker does not
// require a scan of all placements.
class WorkerJobs
{
public:
  // Replaces the workers of a job by those of the placements, which may be empty.
  void Set(const JobId& aJob, const std::vector<TaskPlacement>& aPlacements);
  void Remove(const JobId& aJob);
  void Clear();

  // Returns the jobs that have tasks placed on the worker.
  const std::set<JobId>& JobsOn(const WorkerId& aWorker) const;

private:
  std::unordered_map<WorkerId, std::set<JobId>> mJobs;
  std::unordered_map<JobId, std::set<WorkerId>> mWorkers;
};

} // namespace lovagerock::jobs
