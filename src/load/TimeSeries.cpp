#include "load/TimeSeries.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <limits>

namespace lovagerock::load {

namespace detail {
namespace {

// The nearest-rank quantile in milliseconds; null without samples.
Json
Quantile(const std::vector<std::uint32_t>& aSorted, double aQuantile)
{
  if (aSorted.empty()) {
    return {};
  }
  const auto rank = std::ceil(aQuantile * static_cast<double>(aSorted.size()));
  return aSorted[static_cast<std::size_t>(std::max(1.0, rank)) - 1] / 1000.0;
}

} // namespace
} // namespace detail

TimeSeries::TimeSeries(Duration aInterval)
  : mInterval(aInterval)
{
}

void
TimeSeries::Add(std::chrono::microseconds aIntended, Outcome aOutcome,
                std::chrono::microseconds aLatency, Duration aDeadline)
{
  const auto index = static_cast<std::size_t>(aIntended / mInterval);
  if (index >= mIntervals.size()) {
    mIntervals.resize(index + 1);
  }
  auto& interval = mIntervals[index];
  if (aOutcome == Outcome::Ok) {
    ++(aLatency > aDeadline ? interval.mLate : interval.mOk);
    interval.mLatencies.push_back(static_cast<std::uint32_t>(
      std::min<std::int64_t>(aLatency.count(), std::numeric_limits<std::uint32_t>::max())));
  } else if (aOutcome == Outcome::Refused) {
    ++interval.mRefused;
  } else {
    ++interval.mFailed;
  }
}

Json
TimeSeries::ToJson() const
{
  auto series = Json::array();
  Duration begin(0);
  for (const auto& it : mIntervals) {
    auto latencies = it.mLatencies;
    std::sort(latencies.begin(), latencies.end());
    series.push_back({ { "at_ms", begin.count() },
                       { "interval_ms", mInterval.count() },
                       { "sent", it.mOk + it.mLate + it.mRefused + it.mFailed },
                       { "ok", it.mOk },
                       { "late", it.mLate },
                       { "refused", it.mRefused },
                       { "failed", it.mFailed },
                       { "p50", detail::Quantile(latencies, 0.5) },
                       { "p99", detail::Quantile(latencies, 0.99) } });
    begin += mInterval;
  }
  return series;
}

void
PrintSeries(const Json& aSeries, std::ostream& aOut)
{
  const auto flags = aOut.flags();
  const auto precision = aOut.precision();
  aOut << std::fixed << std::setprecision(2);
  constexpr const char* kCounts[] = { "sent", "ok", "late", "refused", "failed" };
  aOut << std::setw(8) << "at_s";
  for (const auto* it : kCounts) {
    aOut << std::setw(9) << it;
  }
  aOut << std::setw(11) << "p50_ms" << std::setw(11) << "p99_ms" << '\n';
  for (const auto& row : aSeries) {
    aOut << std::setw(8) << row["at_ms"].get<double>() / 1000;
    for (const auto* it : kCounts) {
      aOut << std::setw(9) << row[it].get<std::int64_t>();
    }
    for (const auto* it : { "p50", "p99" }) {
      aOut << std::setw(11);
      if (row[it].is_null()) {
        aOut << "-";
      } else {
        aOut << row[it].get<double>();
      }
    }
    aOut << '\n';
  }
  aOut.flags(flags);
  aOut.precision(precision);
}

} // namespace lovagerock::load
