#pragma once

#include "scheduler/JobSpec.h"
#include "scheduler/TaskRef.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lovagerock::scheduler {

enum class JobState
{
  Queued,
  InProgress,
  Completed,
  Failed,
  Cancelled,
};

// Where the current run of a task is.
enum class TaskPhase
{
  // Has no run.
  Waiting,
  // A run was ordered or is at work; it holds resources.
  Active,
  // The run was told to stop; it holds resources until its end is listed.
  Stopping,
  Done,
};

struct Task
{
  TaskPhase mPhase = TaskPhase::Waiting;
  // The highest run number used.
  int mRun = 0;
  // The highest run number whose end was taken into account.
  int mEndedRun = 0;
  // The runs that counted as attempts; a gang keeps them in its first task. Workers list ends in
  // any order and more than once, so a number alone wouldn't tell which are counted.
  std::vector<int> mFailedRuns;
  std::string mCheckpoint;
  // The worker of the current run.
  WorkerId mWorker;
  TimePoint mStarted;
  int mPercent = 0;
  // Workers on which a run failed or couldn't start.
  std::vector<WorkerId> mAvoid;
};

struct Step
{
  std::vector<Task> mTasks;
  // Done tasks; all of them are done at once in a gang.
  int mDone = 0;

  bool IsDone() const { return mDone == static_cast<int>(mTasks.size()); }
};

// One pass through the steps of a job.
struct Occurrence
{
  std::vector<Step> mSteps;
  // Since when the step's tasks could run, per step; unset until then.
  std::vector<TimePoint> mReady;

  bool IsDone() const;
};

// A job with the state of its tasks. Knows the rules of one job: which steps are due, what an end
// of a run means, and when the job is over.
class Job
{
public:
  Job(AcceptedJob aAccepted, TimePoint aAcceptedAt);

  const AcceptedJob& Accepted() const { return mAccepted; }
  const StepSpec& Spec(int aStep) const { return mAccepted.mSpec.mSteps[aStep]; }
  const QueuePolicy& Policy() const { return mPolicy; }
  void SetPolicy(const QueuePolicy& aPolicy) { mPolicy = aPolicy; }
  TimePoint AcceptedAt() const { return mAcceptedAt; }

  JobState State() const;
  bool IsOver() const { return mFinal != JobState::Queued; }
  // Ends the job; does nothing if it is over.
  void Finish(JobState aFinal, std::int64_t aNowMs);
  std::int64_t FinishedMs() const { return mFinishedMs; }

  // The occurrence's state; creates it if it isn't done.
  Occurrence& At(int aOccurrence);
  // The occurrences that have begun and aren't done, by number.
  std::map<int, Occurrence>& Open() { return mOpen; }
  const std::map<int, Occurrence>& Open() const { return mOpen; }
  // Opens the occurrences that are due.
  void OpenDue(std::int64_t aNowMs, TimePoint aNow);
  // When the next occurrence is due, in milliseconds since 1970; 0 if none is left.
  std::int64_t NextDueMs() const;

  // The task, or nothing if the job has no such task or its occurrence is done.
  Task* Find(const TaskRef& aTask);
  const Task* Find(const TaskRef& aTask) const;
  // The same for a task that some scheduler has started, whose occurrence may not be due yet by our
  // clock.
  Task* FindStarted(const TaskRef& aTask);
  bool IsStepReady(const Occurrence& aOccurrence, int aStep) const;
  // Marks a task as done, and its whole step if that is a gang. Completes the job with its last
  // occurrence.
  void MarkDone(const TaskRef& aTask, std::int64_t aNowMs);

  // The expected run time of the longest chain of steps.
  Duration ExpectedRunTime() const;
  // The expected time until the last occurrence that has begun is done.
  Duration RemainingRunTime() const;
  // Until when the job should be done.
  TimePoint Objective() const;
  // The accelerators of all tasks of the widest step.
  Accelerators LargestStepAccelerators() const;

  // Occurrences that have begun or are done have numbers below this.
  int mNextOccurrence = 0;
  int mDoneOccurrences = 0;
  bool mBegun = false;
  // Loaded from the store after a takeover: a run of an earlier scheduler may be unknown yet.
  bool mInherited = false;

private:
  friend struct JobRecordAccess;
  std::vector<Duration> ChainTimes(const Occurrence* aOccurrence) const;

  AcceptedJob mAccepted;
  QueuePolicy mPolicy;
  TimePoint mAcceptedAt;
  std::map<int, Occurrence> mOpen;
  // Queued while the job isn't over.
  JobState mFinal = JobState::Queued;
  std::int64_t mFinishedMs = 0;
};

// The state's name in records and logs.
const char*
JobStateName(JobState aState);

} // namespace lovagerock::scheduler
