#include "jobs/WorkerJobs.h"

#include <criterion/criterion.h>

#include <set>
#include <string>
#include <vector>

using namespace lovagerock;
using namespace lovagerock::jobs;

namespace {

std::vector<TaskPlacement>
Placements(const std::vector<std::string>& aWorkers)
{
  std::vector<TaskPlacement> placements;
  placements.reserve(aWorkers.size());
  for (const auto& it : aWorkers) {
    placements.push_back({ WorkerId(it), SocketAddress("127.0.0.1", 1), false });
  }
  return placements;
}

using Ids = std::set<JobId>;

} // namespace

// Guards against an index that still lists a job at the workers of an earlier attempt, or not at
// those of the current one.
Test(WorkerJobs, replaces_the_placements_of_a_job)
{
  WorkerJobs index;
  index.Set(JobId("a"), Placements({ "w1", "w1", "w2" }));
  index.Set(JobId("b"), Placements({ "w2" }));
  cr_assert(index.JobsOn(WorkerId("w2")) == Ids({ JobId("a"), JobId("b") }));
  index.Set(JobId("a"), Placements({ "w3", "w2" }));
  cr_assert(index.JobsOn(WorkerId("w1")).empty());
  cr_assert(index.JobsOn(WorkerId("w2")) == Ids({ JobId("a"), JobId("b") }));
  cr_assert(index.JobsOn(WorkerId("w3")) == Ids({ JobId("a") }));
  index.Set(JobId("a"), {});
  cr_assert(index.JobsOn(WorkerId("w3")).empty());
}

// Guards against removing other jobs of the same worker from the index when a job ends.
Test(WorkerJobs, removes_one_job_only)
{
  WorkerJobs index;
  index.Set(JobId("a"), Placements({ "w1", "w1" }));
  index.Set(JobId("b"), Placements({ "w1" }));
  index.Remove(JobId("a"));
  index.Remove(JobId("a"));
  cr_assert(index.JobsOn(WorkerId("w1")) == Ids({ JobId("b") }));
  index.Clear();
  cr_assert(index.JobsOn(WorkerId("w1")).empty());
}
