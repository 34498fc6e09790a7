#pragma once

#include "scheduler/JobSpec.h"
#include "scheduler/TaskRef.h"
#include "scheduler/WorkerReport.h"

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

// The state of a task and its current run.
enum class TaskPhase
{
  // The task has no current run.
  Waiting,
  // The loaded progress names a run that its worker hasn't reported to this scheduler. The run may
  // be in progress until the worker has answered, or its lease has expired.
  Unreported,
  // A run was ordered or is in progress, and occupies resources.
  Active,
  // The run is being stopped. It occupies resources until the worker reports its end or the
  // worker's lease has expired.
  Stopping,
  Done,
};

// A failed run that was counted as an attempt.
struct FailedRun
{
  int mRun = 0;
  // The incarnation of the worker that reported the end; 0 if unknown. A worker that has restarted
  // may carry out a start of before, so that the run fails again with the same number.
  WorkerIncarnation mIncarnation;

  // Whether the two may be reports of the same end.
  bool MayBeSameAs(const FailedRun& aOther) const;
};

struct Task
{
  TaskPhase mPhase = TaskPhase::Waiting;
  // The highest run number used.
  int mRun = 0;
  // The highest run number whose end was processed.
  int mEndedRun = 0;
  // The failed runs that were counted as attempts; a gang keeps them in its first task. Workers
  // report ends in any order and repeatedly, so a count or the highest number would not tell which
  // failures were counted already.
  std::vector<FailedRun> mFailedRuns;
  std::string mCheckpoint;
  // The worker of the current run; empty if there is none.
  WorkerId mWorker;
  TimePoint mStarted;
  int mPercent = 0;
  // When the last run ended; unset while there was none.
  TimePoint mWaitingSince;
  // The workers on which runs of this task failed last, in that order.
  std::vector<WorkerId> mFailedWorkers;
};

// The tasks of a step. Most tasks of a large step wait for their first run, so only those up to the
// last one that had a run are kept one by one.
struct Step
{
  // The tasks with the lowest indices; the others are as a new Task.
  std::vector<Task> mTasks;
  // The number of all tasks.
  int mCount = 0;
  // The number of done tasks. A gang's tasks are done all at once.
  int mDone = 0;

  bool IsDone() const { return mDone == mCount; }
  // The number of tasks that aren't kept one by one.
  int Untouched() const { return mCount - static_cast<int>(mTasks.size()); }
  // Returns the task, which is at its initial state if it isn't kept.
  const Task& At(int aIndex) const;
  // Returns the task to change it, and keeps it from now on.
  Task& Touch(int aIndex);
};

// One execution of all steps of a job; a repeated job has several.
struct Occurrence
{
  std::vector<Step> mSteps;
  // Per step, the time since which its tasks may start; unset while earlier steps aren't done.
  std::vector<TimePoint> mReadySince;

  bool IsDone() const;
};

// An accepted job with the state of its tasks. Determines which occurrences and steps are due, and
// completes the job with its last task.
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
  // Ends the job with the given state, and frees what is needed only to start tasks; does nothing
  // if it is over.
  void Finish(JobState aFinal, std::int64_t aNowMs);
  // Wall clock time of the job's end, in milliseconds since 1970.
  std::int64_t FinishedMs() const { return mFinishedMs; }

  // Returns the open occurrence with this number and creates it if there is none. The caller must
  // not pass an occurrence that is done.
  Occurrence& FindOrCreateOccurrence(int aOccurrence);
  // The occurrences that are due and aren't done, by number.
  std::map<int, Occurrence>& OpenOccurrences() { return mOpenOccurrences; }
  const std::map<int, Occurrence>& OpenOccurrences() const { return mOpenOccurrences; }
  // Creates the occurrences that have become due and records which steps have become ready. While
  // there are kMaxOpenOccurrences open ones, or these have kMaxOpenTasks, later ones wait for their
  // end.
  void OpenDueOccurrences(std::int64_t aNowMs, TimePoint aNow);
  // Returns when the next occurrence is due, in milliseconds since 1970, or 0 if none is left.
  std::int64_t NextDueMs() const;

  // Returns the task, or null if the job has no such task or its occurrence isn't open.
  Task* Find(const TaskRef& aTask);
  const Task* Find(const TaskRef& aTask) const;
  // Returns the task like Find(), but first opens its occurrence if that isn't due yet by this
  // process's clock. For tasks that an earlier scheduler, whose clock may be ahead, has started.
  Task* FindOrOpen(const TaskRef& aTask);
  // Whether all steps that this one depends on are done.
  bool IsStepReady(const Occurrence& aOccurrence, int aStep) const;
  // Marks a task as done, and its whole step if that is a gang. Completes the job when its last
  // occurrence is done.
  void MarkDone(const TaskRef& aTask, std::int64_t aNowMs);

  // Returns the expected run time of the longest chain of dependent steps.
  Duration ExpectedRunTime() const;
  // Returns the expected time until all open occurrences are done. Steps that aren't done
  // count with their whole expected run time, even if their tasks have progressed.
  Duration RemainingRunTime() const;
  // Returns the time by which the job should be done, see QueuePolicy::mSlackFactor.
  TimePoint Objective() const;
  // Returns an estimate of the memory that the job takes now, without its runs on workers.
  Bytes MemoryUse() const;
  // Returns the sum of the accelerators of a step's tasks, for the step where it is largest.
  Accelerators LargestStepAccelerators() const;

  // The number of the next occurrence to open; those below are open or done.
  int mNextOccurrence = 0;
  int mDoneOccurrences = 0;
  // Whether any task is known to have started.
  bool mBegun = false;
  // When the last run ended that a worker had confirmed, or has done or failed; unset if there was
  // none. A start that was refused is no run.
  TimePoint mRanUntil;
  // Whether the job was loaded from the store at a takeover. Runs that an earlier scheduler started
  // may not be known yet.
  bool mInherited = false;

private:
  friend struct JobRecordAccess;
  // Returns for each step its expected end, counted from the start of the occurrence. Steps that
  // are done in aOccurrence, which may be null, take no time.
  std::vector<Duration> StepEndTimes(const Occurrence* aOccurrence) const;
  // The number of tasks of each occurrence.
  std::int64_t TasksPerOccurrence() const;

  AcceptedJob mAccepted;
  QueuePolicy mPolicy;
  TimePoint mAcceptedAt;
  std::map<int, Occurrence> mOpenOccurrences;
  // The state in which the job ended; Queued while it isn't over.
  JobState mFinal = JobState::Queued;
  std::int64_t mFinishedMs = 0;
};

// Returns the state's name as used in stored records and logs.
const char*
JobStateName(JobState aState);

} // namespace lovagerock::scheduler
