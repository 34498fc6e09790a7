#include "standin/platform/JobTable.h"

#include <optional>
#include <utility>

namespace lovagerock::standin {

namespace {

JobStep
ReadStep(const Json& aStep)
{
  JobStep step;
  step.mTasks = JsonValue(aStep, "count", 0);
  step.mAfter = JsonValue(aStep, "after", std::vector<std::size_t>());
  if (aStep.contains("cpu") || aStep.contains("mem_mb") || aStep.contains("gpu")) {
    step.mDemand = { MilliCores(JsonValue(aStep, "cpu", std::int64_t{ 0 })),
                     MemoryMiB(JsonValue(aStep, "mem_mb", std::int64_t{ 0 })),
                     Accelerators(JsonValue(aStep, "gpu", std::int64_t{ 0 })) };
  }
  step.mIsGang = JsonValue(aStep, "gang", false);
  step.mPrefersOneRack = JsonValue(aStep, "rack_local", false);
  return step;
}

} // namespace

std::string
JobStep::Describe() const
{
  return std::to_string(mTasks) + (mIsGang ? " tasks of a gang" : " tasks") +
         (mPrefersOneRack ? " that prefers one rack" : "") + ", each of " +
         std::to_string(mDemand.mCpu.Value()) + " millicores, " +
         std::to_string(mDemand.mMemory.Value()) + " MiB, " +
         std::to_string(mDemand.mAccelerators.Value()) + " accelerators";
}

std::vector<JobStep>
ReadSteps(const Json& aSteps)
{
  std::vector<JobStep> steps;
  for (const auto& it : aSteps) {
    steps.push_back(ReadStep(it));
  }
  return steps;
}

std::string
JobOf(const std::string& aTask)
{
  return aTask.substr(0, aTask.find('.'));
}

std::size_t
StepOf(const std::string& aTask)
{
  const auto end = aTask.rfind('.');
  const auto begin = end == std::string::npos ? end : aTask.rfind('.', end - 1);
  const auto step =
    begin == std::string::npos ? std::nullopt : ParseJson(aTask.substr(begin + 1, end - begin - 1));
  return step && step->is_number_unsigned() ? step->get<std::size_t>() : 0;
}

void
JobTable::Add(const std::string& aJob, std::vector<JobStep> aSteps)
{
  mJobs.try_emplace(aJob, std::move(aSteps));
}

const JobStep&
JobTable::StepOfTask(const std::string& aTask) const
{
  static const JobStep kUnknown;
  const auto it = mJobs.find(JobOf(aTask));
  const auto step = StepOf(aTask);
  return it == mJobs.end() || step >= it->second.size() ? kUnknown : it->second[step];
}

} // namespace lovagerock::standin
