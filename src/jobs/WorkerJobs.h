#pragma once

#include "jobs/JobRecord.h"

#include <set>
#include <unordered_map>
#include <vector>

namespace lovagerock::jobs {

// Which jobs have tasks placed on which workers, so that a change of one worker needs no look at
// the placements of all jobs.
class WorkerJobs
{
public:
  // Replaces the workers of a job by those of the placements, which may be none.
  void Set(const JobId& aJob, const std::vector<TaskPlacement>& aPlacements);
  void Remove(const JobId& aJob);
  void Clear();

  // The jobs placed on the worker.
  const std::set<JobId>& On(const WorkerId& aWorker) const;

private:
  std::unordered_map<WorkerId, std::set<JobId>> mJobs;
  std::unordered_map<JobId, std::set<WorkerId>> mWorkers;
};

} // namespace lovagerock::jobs
