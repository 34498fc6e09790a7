#pragma once

#include "base/Json.h"
#include "base/Units.h"
#include "load/Outcome.h"

#include <chrono>
#include <cstdint>
#include <ostream>
#include <vector>

namespace lovagerock::load {

// Counts outcomes and latencies in intervals of equal length. A request counts in the interval in
// which it was meant to be sent, so that each row adds up and a delay shows where it began.
class TimeSeries
{
public:
  explicit TimeSeries(Duration aInterval);

  // aIntended is the time from the start of the run. An answer whose latency exceeds aDeadline
  // counts as late.
  void Add(std::chrono::microseconds aIntended, Outcome aOutcome,
           std::chrono::microseconds aLatency, Duration aDeadline);
  // A list with one object per interval: at_ms (its begin), sent, ok (answered in time), late,
  // refused (not run), failed (all else), and p50 and p99 of the answered requests in milliseconds,
  // null without answers.
  Json ToJson() const;

private:
  struct Interval
  {
    std::int64_t mOk = 0;
    std::int64_t mLate = 0;
    std::int64_t mRefused = 0;
    std::int64_t mFailed = 0;
    // Of the answered requests, in microseconds.
    std::vector<std::uint32_t> mLatencies;
  };

  Duration mInterval;
  std::vector<Interval> mIntervals;
};

// Prints a series as a table.
void
PrintSeries(const Json& aSeries, std::ostream& aOut);

} // namespace lovagerock::load
