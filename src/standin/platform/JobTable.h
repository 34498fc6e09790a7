#pragma once

#include "base/Json.h"
#include "scheduler/Capacity.h"

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

namespace lovagerock::standin {

using scheduler::Capacity;
using scheduler::MilliCores;

// A step of a job, as its caller described it. A task whose demand isn't known counts as one
// accelerator.
struct JobStep
{
  int mTasks = 0;
  // The steps that have to be done before it.
  std::vector<std::size_t> mAfter;
  // What one of its tasks takes of a worker.
  Capacity mDemand{ {}, {}, Accelerators(1) };
  // Its tasks work only while all of them run.
  bool mIsGang = false;
  // Its tasks are slower when they run in several racks.
  bool mPrefersOneRack = false;

  // The step in a few words, for messages.
  std::string Describe() const;
};

// Reads the steps of a job as callers submit them.
std::vector<JobStep>
ReadSteps(const Json& aSteps);

// The job and the step in a task's name, which is JOB.OCCURRENCE.STEP.INDEX.
std::string
JobOf(const std::string& aTask);
std::size_t
StepOf(const std::string& aTask);

// The steps of the jobs that the platform was told of. Orders to start a task don't have them.
class JobTable
{
public:
  // Does nothing if the job is known.
  void Add(const std::string& aJob, std::vector<JobStep> aSteps);
  // The step of the task; a default one if the job is unknown.
  const JobStep& StepOfTask(const std::string& aTask) const;

private:
  std::unordered_map<std::string, std::vector<JobStep>> mJobs;
};

} // namespace lovagerock::standin
