#include "scheduler/JobLimits.h"

#include <algorithm>
#include <cstdint>

namespace lovagerock::scheduler {

const std::array<JobExcess, kJobExcesses>&
AllJobExcesses()
{
  static constexpr std::array kAll{
    JobExcess::Tasks,        JobExcess::GangTasks, JobExcess::Steps,
    JobExcess::Dependencies, JobExcess::Payload,   JobExcess::Name
  };
  return kAll;
}

const char*
JobExcessName(JobExcess aExcess)
{
  switch (aExcess) {
    case JobExcess::Tasks:
      return "too_many_tasks";
    case JobExcess::GangTasks:
      return "gang_too_large";
    case JobExcess::Steps:
      return "too_many_steps";
    case JobExcess::Dependencies:
      return "too_many_dependencies";
    case JobExcess::Payload:
      return "payload_too_large";
    case JobExcess::Name:
      return "name_too_long";
  }
  return "unknown";
}

std::optional<JobExcess>
FindExcess(const JobSpec& aJob, const JobLimits& aLimits)
{
  const auto exceeds = [](const std::string& aText, Bytes aLimit) {
    return aText.size() > static_cast<std::size_t>(aLimit.Value());
  };
  if (exceeds(aJob.mPayload, aLimits.mMaxPayload)) {
    return JobExcess::Payload;
  }
  if (aJob.mSteps.size() > aLimits.mMaxSteps) {
    return JobExcess::Steps;
  }
  std::int64_t tasks = 0;
  std::size_t dependencies = 0;
  for (const auto& it : aJob.mSteps) {
    tasks += it.mCount;
    dependencies += it.mAfter.size();
    if (it.mGang && it.mCount > aLimits.mMaxGangTasks) {
      return JobExcess::GangTasks;
    }
    if (exceeds(it.mRequiredLabel, aLimits.mMaxName) ||
        exceeds(it.mPreferredRack.Value(), aLimits.mMaxName)) {
      return JobExcess::Name;
    }
  }
  // No leader reads a record with more, whatever the limit says.
  if (tasks > std::min(aLimits.mMaxTasks, kMaxTasks)) {
    return JobExcess::Tasks;
  }
  return dependencies > aLimits.mMaxDependencies ? std::optional(JobExcess::Dependencies)
                                                 : std::nullopt;
}

} // namespace lovagerock::scheduler
