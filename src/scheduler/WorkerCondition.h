#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "scheduler/SchedulerSettings.h"

#include <optional>

namespace lovagerock::scheduler {

// The typical speed of the runs of one step. Estimates of run times are too rough to tell a slow
// worker from a long task, but the runs of a step can be compared.
class TypicalSpeed
{
public:
  // Adds a run's speed, in any unit; returns it relative to those before. nullopt while there are
  // too few.
  std::optional<double> Relate(double aSpeed);

private:
  double mMean = 0;
  int mSamples = 0;
};

// What the recent runs of a worker tell of it: whether it fails them, and how fast it works. A
// worker may fail or slow down its runs although it answers and counts as healthy.
class WorkerCondition
{
public:
  // A run has completed.
  void OnDone();
  // A run of the job has failed. Returns whether the worker has just become failing: runs of
  // mFailingThreshold jobs have failed in a row. Successive failures of one job count once, since
  // the job may be the cause.
  bool OnFailed(const JobId& aJob, TimePoint aNow, const SchedulerSettings& aSettings);
  // The worker's runs have progressed at this speed, relative to others of their steps. Returns
  // whether the worker has just become slow.
  bool OnSpeed(double aSpeed, TimePoint aNow, const SchedulerSettings& aSettings);

  // Whether a run failed here recently, and none has completed since.
  bool IsSuspect(TimePoint aNow) const { return aNow < mSuspectUntil; }
  // When a run last failed here.
  TimePoint LastFailure() const { return mLastFailure; }
  // Whether the worker's runs have recently been much slower than others.
  bool IsSlow(TimePoint aNow) const { return aNow < mSlowUntil; }
  // Whether other workers are to be preferred.
  bool IsDoubtful(TimePoint aNow) const { return IsSuspect(aNow) || IsSlow(aNow); }

private:
  int mConsecutiveFailures = 0;
  // The job of the last failed run.
  JobId mLastFailedJob;
  TimePoint mLastFailure;
  TimePoint mSuspectUntil;
  // Moving average of the relative speed.
  double mSpeed = 1;
  TimePoint mSlowUntil;
};

} // namespace lovagerock::scheduler
