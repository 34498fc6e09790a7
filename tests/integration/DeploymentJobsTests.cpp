#include "integration/DeploymentJobs.h"

#include <criterion/criterion.h>

#include <cmath>
#include <cstdint>
#include <string>

using namespace lovagerock;
using namespace lovagerock::integration;

namespace {

constexpr std::uint64_t kSeed = 1;
constexpr int kJobs = 20000;
// Means of that many jobs may be off by this part.
constexpr double kTolerance = 0.1;

bool
IsNear(double aValue, double aExpected)
{
  return std::abs(aValue - aExpected) <= kTolerance * aExpected;
}

} // namespace

// Guards against a load that is off because jobs take more or less than it was computed from.
Test(DeploymentJobs, take_accelerators_for_the_mean_time)
{
  Random random(kSeed);
  std::chrono::duration<double> sum{ 0 };
  for (int i = 0; i < kJobs; ++i) {
    const auto job = DrawDeploymentJob(random);
    const auto& step = job.mSteps.at(0);
    sum += job.mTaskTime * (step.at("count").get<double>() * step.at("gpu").get<double>());
  }
  cr_assert(IsNear(sum.count() / kJobs, MeanAcceleratorTime().count()));
}

// Guards against jobs that come more or less often than the load asks for.
Test(DeploymentJobs, come_as_often_as_the_load_asks_for)
{
  constexpr int kCallers = 4;
  const auto workers = DeploymentWorkers(10);
  const auto source = DeploymentJobs(50, workers, kCallers);
  Random random(kSeed);
  std::chrono::duration<double> sum{ 0 };
  for (int i = 0; i < kJobs; ++i) {
    sum += source.mDrawPause(random);
  }
  const double jobsPerSecond = kCallers * kJobs / sum.count();
  cr_assert(IsNear(jobsPerSecond * MeanAcceleratorTime().count(), 40));
}

// Guards against jobs of only one kind, and against gangs that all prefer one rack or never do.
Test(DeploymentJobs, are_gangs_and_independent_tasks)
{
  Random random(kSeed);
  int gangs = 0;
  int inOneRack = 0;
  for (int i = 0; i < kJobs; ++i) {
    const auto step = DrawDeploymentJob(random).mSteps.at(0);
    gangs += JsonValue(step, "gang", false) ? 1 : 0;
    inOneRack += JsonValue(step, "rack_local", false) ? 1 : 0;
  }
  cr_assert(IsNear(gangs, kJobs * 13.59 / 16.13));
  cr_assert(IsNear(inOneRack, kJobs * (2.59 * 0.6 + 11 * 0.8) / 16.13));
}
