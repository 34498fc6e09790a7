#pragma once

#include "base/Units.h"
#include "scheduler/JobSpec.h"
#include "scheduler/Limits.h"

#include <array>
#include <cstddef>
#include <optional>

namespace lovagerock::scheduler {

// Limits of a job that is submitted. They bound what an accepted job costs the leader, beside what
// it weighs on the wire, and are far above what callers of the deployments send.
struct JobLimits
{
  // The tasks of all steps of one occurrence. The record of their progress has to fit into a value
  // of the store, 1 MiB.
  int mMaxTasks = kMaxOpenTasks;
  // The tasks of a gang, which are started all at once.
  int mMaxGangTasks = 1024;
  std::size_t mMaxSteps = 256;
  // The entries of StepSpec::mAfter, over all steps.
  std::size_t mMaxDependencies = 1024;
  Bytes mMaxPayload{ 4096 };
  // The required label and the preferred rack of a step, each.
  Bytes mMaxName{ 256 };
};

// Which limit a job exceeds.
enum class JobExcess
{
  Tasks,
  GangTasks,
  Steps,
  Dependencies,
  Payload,
  Name,
};

inline constexpr std::size_t kJobExcesses = 6;

const std::array<JobExcess, kJobExcesses>&
AllJobExcesses();

// The name in answers, logs and metrics.
const char*
JobExcessName(JobExcess aExcess);

// Returns the first limit that the job exceeds; nullopt if it exceeds none.
std::optional<JobExcess>
FindExcess(const JobSpec& aJob, const JobLimits& aLimits);

} // namespace lovagerock::scheduler
