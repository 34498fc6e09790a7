#pragma once

#include "base/Ids.h"

#include <compare>
#include <tuple>

namespace lovagerock::scheduler {

// Identifies a task by its job, the occurrence of the job, the step, and the index in the step.
struct TaskRef
{
  JobId mJob;
  int mOccurrence = 0;
  int mStep = 0;
  int mIndex = 0;

  // clang-tidy 14 mistakes the literal 0 of a rewritten comparison for a null pointer.
  auto operator<=>(const TaskRef&) const = default; // NOLINT(modernize-use-nullptr)
};

// Identifies one run of a task. The run numbers of a task start at 1 and increase.
struct RunRef
{
  TaskRef mTask;
  int mRun = 0;

  auto operator<=>(const RunRef&) const = default; // NOLINT(modernize-use-nullptr)
};

// Job, occurrence and step.
using StepKey = std::tuple<JobId, int, int>;

} // namespace lovagerock::scheduler
