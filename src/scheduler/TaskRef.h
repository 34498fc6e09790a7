#pragma once

#include "base/Ids.h"

#include <compare>

namespace lovagerock::scheduler {

// Names one task: a step of an occurrence of a job, and the task's number in the step.
struct TaskRef
{
  JobId mJob;
  int mOccurrence = 0;
  int mStep = 0;
  int mIndex = 0;

  // clang-tidy 14 takes the zero of a rewritten comparison for a null pointer.
  auto operator<=>(const TaskRef&) const = default; // NOLINT(modernize-use-nullptr)
};

// One run of a task. Run numbers of a task start at 1 and rise.
struct RunRef
{
  TaskRef mTask;
  int mRun = 0;

  auto operator<=>(const RunRef&) const = default; // NOLINT(modernize-use-nullptr)
};

} // namespace lovagerock::scheduler
