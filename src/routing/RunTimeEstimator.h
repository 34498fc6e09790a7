#pragma once

#include "base/Units.h"

#include <optional>

namespace lovagerock::routing {

// Estimates run times and queueing delays of one service from its attempts: how long an attempt
// holds its slot, how long a run takes, and how many attempts are open. The time until a queued
// request gets a slot follows from Little's law, which holds whatever limits the service: its
// slots, the workers' connections or the load from other nodes. Not thread-safe.
class RunTimeEstimator
{
public:
  // Records the start of an attempt, when its slot is reserved.
  void RecordStart() { ++mOpenAttempts; }
  // Records the end of an attempt that held its slot for aTime.
  void RecordEnd(std::chrono::microseconds aTime);
  // Records the run time of an attempt that got a complete response.
  void RecordRunTime(std::chrono::microseconds aTime);
  // Records an attempt that its deadline ended after aTime. Counts as a run time only if aTime
  // exceeds the mean, because the run would have taken longer than aTime.
  void RecordDeadlineExceeded(std::chrono::microseconds aTime);

  int OpenAttempts() const { return mOpenAttempts; }
  // Estimates the time until a request with aAhead requests ahead of it gets a slot. Returns
  // nothing if no attempt is open, because it is then unknown when a slot becomes free, and before
  // the first attempt has ended.
  std::optional<std::chrono::microseconds> EstimateWait(double aAhead) const;
  // Returns the mean run time; zero if unknown.
  std::chrono::microseconds MeanRunTime() const;
  // Returns a time that most runs don't exceed, the mean plus twice the mean deviation; zero if
  // unknown.
  std::chrono::microseconds TypicalRunTime() const;

private:
  int mOpenAttempts = 0;
  // Exponential moving averages in microseconds; the means are negative before the first sample.
  double mMeanHoldTimeUs = -1;
  double mMeanRunTimeUs = -1;
  double mDeviationUs = 0;
};

} // namespace lovagerock::routing
