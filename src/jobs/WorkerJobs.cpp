#include "jobs/WorkerJobs.h"

namespace lovagerock::jobs {

void
WorkerJobs::Set(const JobId& aJob, const std::vector<TaskPlacement>& aPlacements)
{
  Remove(aJob);
  if (aPlacements.empty()) {
    return;
  }
  auto& workers = mWorkers[aJob];
  for (const auto& it : aPlacements) {
    workers.insert(it.mWorker);
    mJobs[it.mWorker].insert(aJob);
  }
}

void
WorkerJobs::Remove(const JobId& aJob)
{
  const auto workers = mWorkers.extract(aJob);
  if (workers.empty()) {
    return;
  }
  for (const auto& it : workers.mapped()) {
    const auto jobs = mJobs.find(it);
    jobs->second.erase(aJob);
    if (jobs->second.empty()) {
      mJobs.erase(jobs);
    }
  }
}

void
WorkerJobs::Clear()
{
  mJobs.clear();
  mWorkers.clear();
}

const std::set<JobId>&
WorkerJobs::JobsOn(const WorkerId& aWorker) const
{
  static const std::set<JobId> kNone;
  const auto it = mJobs.find(aWorker);
  return it == mJobs.end() ? kNone : it->second;
}

} // namespace lovagerock::jobs
