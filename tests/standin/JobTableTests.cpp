#include "standin/platform/FleetShape.h"
#include "standin/platform/JobTable.h"

#include <criterion/criterion.h>

#include <string>

using namespace lovagerock;
using namespace lovagerock::standin;

// Guards against a demand that is read from another member or step, or lost.
Test(JobTable, finds_the_step_of_a_task)
{
  JobTable jobs;
  jobs.Add("job", ReadSteps(*ParseJson(R"([{"count":3},
    {"count":2,"cpu":500,"mem_mb":64,"gpu":2,"gang":true,"rack_local":true,"after":[0]}])")));
  const auto& step = jobs.StepOfTask("job.0.1.1");
  cr_assert_eq(step.mTasks, 2);
  cr_assert_eq(step.mAfter.size(), 1);
  cr_assert((step.mDemand == Capacity{ MilliCores(500), MemoryMiB(64), Accelerators(2) }));
  cr_assert(step.mIsGang);
  cr_assert(step.mPrefersOneRack);
  cr_assert_not(jobs.StepOfTask("job.0.0.1").mIsGang);
}

// Guards against tasks without a known demand that take nothing.
Test(JobTable, takes_an_unknown_demand_for_one_accelerator)
{
  JobTable jobs;
  jobs.Add("job", ReadSteps(*ParseJson(R"([{"count":3}])")));
  const Capacity one{ {}, {}, Accelerators(1) };
  cr_assert(jobs.StepOfTask("job.0.0.2").mDemand == one);
  cr_assert(jobs.StepOfTask("job.0.1.0").mDemand == one);
  cr_assert(jobs.StepOfTask("other.0.0.0").mDemand == one);
}

// Guards against racks of another size than the setting says.
Test(FleetShape, fills_one_rack_after_the_other)
{
  FleetShape shape;
  cr_assert_eq(shape.Worker(2).mRack, std::string("rack-worker-2"));
  shape.mWorkersPerRack = 8;
  cr_assert_eq(shape.Worker(7).mRack, std::string("rack-worker-0"));
  cr_assert_eq(shape.Worker(8).mRack, std::string("rack-worker-8"));
  cr_assert_eq(shape.Worker(9).mRack, std::string("rack-worker-8"));
}
