#pragma once

#include "base/Ids.h"
#include "scheduler/Capacity.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lovagerock::scheduler {

// Equal tasks of a job that become due together.
struct StepSpec
{
  int mCount = 1;
  Capacity mDemand;
  // The caller's estimate of a task's run time; 0 if unknown.
  Duration mEstimate{ 0 };
  // Earlier steps whose tasks must all be done first.
  std::vector<int> mAfter;
  bool mCheckpointing = false;
  // All tasks run together with one run number, or none does.
  bool mGang = false;
  // The tasks are slower when they run in more than one rack.
  bool mRackLocal = false;
  bool mSpeculative = false;
  // The tasks run until the job is cancelled.
  bool mLongRunning = false;
  // The processor demand is taken from what other tasks leave unused.
  bool mUsesIdleCpu = false;
  // A label that the worker must have; empty if any will do.
  std::string mRequiredLabel;
  // The rack that holds the data; tasks are slower elsewhere.
  RackId mPreferredRack;
  // Most tasks of one occurrence of the step on one worker; 0 is unlimited.
  int mMaxPerWorker = 0;
};

// A job as its caller described it.
struct JobSpec
{
  // Passed to the workers as it is.
  std::string mPayload;
  std::vector<StepSpec> mSteps;
  // How often the steps run; 0 for a job that runs once, at once.
  int mRepetitions = 0;
  // Wall clock time of the first repetition, in milliseconds since 1970.
  std::int64_t mFirstRunMs = 0;
  Duration mInterval{ 0 };

  // The number of occurrences, at least 1.
  int Occurrences() const { return mRepetitions > 0 ? mRepetitions : 1; }
};

// How the jobs of a queue are run.
struct QueuePolicy
{
  ServiceId mService;
  // 0 comes first.
  int mPriority = 0;
  // Failed runs of a task, or of a gang, that fail the job.
  int mMaxAttempts = 1;
  // The objective of a job is its expected run time times the factor, and the latency on top.
  double mSlackFactor = 1;
  Duration mTargetLatency{ 0 };
};

// A job that was accepted and stored.
struct AcceptedJob
{
  JobId mId;
  // The name of the queue that the job was submitted to.
  std::string mQueue;
  AccountId mAccount;
  // Wall clock time of the acceptance, in milliseconds since 1970.
  std::int64_t mAcceptedMs = 0;
  // The policy at that time, which stays in force if the queue is removed.
  QueuePolicy mPolicy;
  JobSpec mSpec;
};

} // namespace lovagerock::scheduler
