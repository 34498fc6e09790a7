#include "jobs/WorkerJobs.h"

#include <criterion/criterion.h>

#include <set>
#include <string>
#include <vector>

using namespace lovagerock;
using namespace lovagerock::jobs;

namespace {

std::vector<TaskPlacement>
Places(const std::vector<std::string>& aWorkers)
{
  std::vector<TaskPlacement> places;
  places.reserve(aWorkers.size());
  for (const auto& it : aWorkers) {
    places.push_back({ WorkerId(it), SocketAddress("127.0.0.1", 1), false });
  }
  return places;
}

using Ids = std::set<JobId>;

} // namespace

// Guards against a job that is found at the workers of an earlier attempt, or not at those of the
// present one.
Test(WorkerJobs, replaces_the_placements_of_a_job)
{
  WorkerJobs index;
  index.Set(JobId("a"), Places({ "w1", "w1", "w2" }));
  index.Set(JobId("b"), Places({ "w2" }));
  cr_assert(index.On(WorkerId("w2")) == Ids({ JobId("a"), JobId("b") }));
  index.Set(JobId("a"), Places({ "w3", "w2" }));
  cr_assert(index.On(WorkerId("w1")).empty());
  cr_assert(index.On(WorkerId("w2")) == Ids({ JobId("a"), JobId("b") }));
  cr_assert(index.On(WorkerId("w3")) == Ids({ JobId("a") }));
  index.Set(JobId("a"), {});
  cr_assert(index.On(WorkerId("w3")).empty());
}

// Guards against an ended job that takes another job of the same worker out of the index.
Test(WorkerJobs, removes_one_job_only)
{
  WorkerJobs index;
  index.Set(JobId("a"), Places({ "w1", "w1" }));
  index.Set(JobId("b"), Places({ "w1" }));
  index.Remove(JobId("a"));
  index.Remove(JobId("a"));
  cr_assert(index.On(WorkerId("w1")) == Ids({ JobId("b") }));
  index.Clear();
  cr_assert(index.On(WorkerId("w1")).empty());
}
