#include "load/Latencies.h"

#include <algorithm>

namespace lovagerock::load {

namespace detail {
namespace {

// A run is shorter than the window of the summary, so no sample is dropped.
constexpr std::chrono::hours kWindow{ 24 * 7 };

double
ToMs(std::chrono::microseconds aTime)
{
  return std::chrono::duration<double, std::milli>(aTime).count();
}

} // namespace
} // namespace detail

Latencies::Latencies()
  : mSummary(prometheus::Summary::Quantiles{ { 0.5, 0.001 }, { 0.9, 0.001 }, { 0.99, 0.0001 } },
             detail::kWindow, 1)
{
}

void
Latencies::Add(std::chrono::microseconds aTime)
{
  mSummary.Observe(detail::ToMs(aTime));
  ++mCount;
  mLongest = std::max(mLongest, aTime);
}

Json
Latencies::ToJson() const
{
  Json json{ { "count", mCount } };
  const auto metric = mSummary.Collect();
  const auto& quantiles = metric.summary.quantile;
  constexpr const char* kNames[] = { "p50", "p90", "p99" };
  for (std::size_t i = 0; i < quantiles.size() && i < std::size(kNames); ++i) {
    json[kNames[i]] = mCount > 0 ? Json(quantiles[i].value) : Json();
  }
  json["max"] = mCount > 0 ? Json(detail::ToMs(mLongest)) : Json();
  return json;
}

} // namespace lovagerock::load
