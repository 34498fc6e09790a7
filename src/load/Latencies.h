#pragma once

#include "base/Json.h"

#include <prometheus/summary.h>

#include <chrono>
#include <cstdint>

namespace lovagerock::load {

// Quantiles of measured times. The quantiles are estimates of prometheus-cpp's Summary with a rank
// error of 0.1% (p50, p90) and 0.01% (p99); the maximum is exact.
class Latencies
{
public:
  Latencies();

  void Add(std::chrono::microseconds aTime);
  // Members count, p50, p90, p99 and max, in milliseconds; null without samples.
  Json ToJson() const;

private:
  prometheus::Summary mSummary;
  std::int64_t mCount = 0;
  std::chrono::microseconds mLongest{ 0 };
};

} // namespace lovagerock::load
