#include "SchedulerFixture.h"
#include "scheduler/JobLimits.h"

#include <criterion/criterion.h>

#include <string>

using namespace lovagerock;
using namespace lovagerock::scheduler;

namespace {

JobSpec
Spec(std::vector<StepSpec> aSteps)
{
  JobSpec spec;
  spec.mSteps = std::move(aSteps);
  return spec;
}

} // namespace

// Guards against limits that refuse what callers of the deployments send.
Test(JobLimits, accept_the_largest_usual_jobs)
{
  auto job = Spec({ SchedulerFixture::Step(736, 1), SchedulerFixture::Gang(512, 8) });
  job.mPayload.assign(4000, 'x');
  cr_assert_not(FindExcess(job, {}).has_value());
}

// Guards against jobs that are cheap on the wire and not for the leader.
Test(JobLimits, name_what_a_job_exceeds)
{
  const JobLimits limits;
  cr_assert(FindExcess(Spec({ SchedulerFixture::Step(limits.mMaxTasks + 1, 1) }), limits) ==
            JobExcess::Tasks);
  // The sum doesn't overflow.
  const auto huge = SchedulerFixture::Step(2'147'483'647, 1);
  cr_assert(FindExcess(Spec({ huge, huge, huge }), limits) == JobExcess::Tasks);
  cr_assert(FindExcess(Spec({ SchedulerFixture::Gang(limits.mMaxGangTasks + 1, 1) }), limits) ==
            JobExcess::GangTasks);
  cr_assert(FindExcess(Spec(std::vector<StepSpec>(limits.mMaxSteps + 1)), limits) ==
            JobExcess::Steps);
  auto dependent = SchedulerFixture::Step(1, 1);
  dependent.mAfter.assign(limits.mMaxDependencies + 1, 0);
  cr_assert(FindExcess(Spec({ SchedulerFixture::Step(1, 1), dependent }), limits) ==
            JobExcess::Dependencies);
  auto labelled = SchedulerFixture::Step(1, 1);
  labelled.mRequiredLabel.assign(300, 'x');
  cr_assert(FindExcess(Spec({ labelled }), limits) == JobExcess::Name);
  auto payload = Spec({ SchedulerFixture::Step(1, 1) });
  payload.mPayload.assign(4097, 'x');
  cr_assert(FindExcess(payload, limits) == JobExcess::Payload);
}
