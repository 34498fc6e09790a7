#pragma once

#include "base/Ids.h"
#include "scheduler/Capacity.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lovagerock::scheduler {

// A step of a job: identical tasks that become ready at the same time.
struct StepSpec
{
  int mCount = 1;
  Capacity mDemand;
  // The caller's estimate of a task's run time; 0 if unknown.
  Duration mEstimate{ 0 };
  // Indices of the earlier steps whose tasks must all be done before this step starts.
  std::vector<int> mAfter;
  // The tasks save checkpoints, from which a later run resumes.
  bool mCheckpointing = false;
  // All tasks start together with the same run number, or none starts.
  bool mGang = false;
  // The tasks should share one rack; they are slower if they don't.
  bool mRackLocal = false;
  bool mSpeculative = false;
  // The tasks run until the job is cancelled.
  bool mLongRunning = false;
  // The tasks run on CPU time that other tasks leave unused.
  bool mUsesIdleCpu = false;
  // A label that the worker must have; empty for any worker.
  std::string mRequiredLabel;
  // The rack that holds the tasks' data; they are slower in other racks. Empty for any rack.
  RackId mPreferredRack;
  // The maximum number of tasks of one occurrence of the step per worker; 0 is unlimited.
  int mMaxPerWorker = 0;
};

// A job as submitted by the caller.
struct JobSpec
{
  // Passed to the workers unchanged.
  std::string mPayload;
  std::vector<StepSpec> mSteps;
  // The number of scheduled occurrences; 0 for a job that runs once, as soon as it is accepted.
  int mRepetitions = 0;
  // Wall clock time of the first occurrence, in milliseconds since 1970.
  std::int64_t mFirstRunMs = 0;
  // The time between the due times of two successive occurrences.
  Duration mInterval{ 0 };

  // The number of occurrences, at least 1.
  int Occurrences() const { return mRepetitions > 0 ? mRepetitions : 1; }
};

// The settings of a queue, which apply to all its jobs.
struct QueuePolicy
{
  ServiceId mService;
  // 0 is the most urgent.
  int mPriority = 0;
  // The job fails once this many runs of one task, or of one gang, have failed.
  int mMaxAttempts = 1;
  // A job should be done within its expected run time times mSlackFactor, plus mTargetLatency, of
  // its acceptance.
  double mSlackFactor = 1;
  Duration mTargetLatency{ 0 };
};

// A job that was accepted and is kept in the store.
struct AcceptedJob
{
  JobId mId;
  // The name of the queue that the job was submitted to.
  std::string mQueue;
  AccountId mAccount;
  // Wall clock time of the acceptance, in milliseconds since 1970.
  std::int64_t mAcceptedMs = 0;
  // The queue's policy at that time. Applies until the scheduler learns of a newer one, and so also
  // if the queue is removed.
  QueuePolicy mPolicy;
  JobSpec mSpec;
};

} // namespace lovagerock::scheduler
