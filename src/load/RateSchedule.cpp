#include "load/RateSchedule.h"

#include <charconv>
#include <cmath>
#include <limits>

namespace lovagerock::load {

struct RateSchedule::Entry
{
  double mTime = 0;
  // Requests a second at the entry and at the next one.
  double mFrom = 0;
  double mTo = 0;
  // Requests of a burst; negative for an entry that sets a rate.
  double mBurst = -1;
};

namespace detail {
namespace {

constexpr double kUnlimited = std::numeric_limits<double>::infinity();
// More than the tool can send; keeps the arithmetic of due times exact.
constexpr double kLargest = 1e7;

std::optional<double>
ParseNumber(std::string_view aText)
{
  double value = 0;
  const auto [end, ec] = std::from_chars(aText.data(), aText.data() + aText.size(), value);
  const bool whole = ec == std::errc() && end == aText.data() + aText.size();
  return whole && value >= 0 && value <= kLargest ? std::optional(value) : std::nullopt;
}

// Seconds.
std::optional<double>
ParseTime(std::string_view aText)
{
  double unit = aText == "0" ? 1 : 0;
  if (aText.ends_with("ms")) {
    aText.remove_suffix(2);
    unit = 0.001;
  } else if (aText.ends_with('s')) {
    aText.remove_suffix(1);
    unit = 1;
  }
  const auto value = ParseNumber(aText);
  return value && unit > 0 ? std::optional(*value * unit) : std::nullopt;
}

} // namespace
} // namespace detail

std::optional<RateSchedule::Entry>
RateSchedule::ParseEntry(std::string_view aText)
{
  const auto colon = aText.find(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  const auto time = detail::ParseTime(aText.substr(0, colon));
  const auto value = aText.substr(colon + 1);
  if (value.starts_with('+')) {
    const auto burst = detail::ParseNumber(value.substr(1));
    return time && burst ? std::optional(Entry{ *time, 0, 0, std::floor(*burst) }) : std::nullopt;
  }
  const auto dash = value.find('-');
  const auto from = detail::ParseNumber(value.substr(0, dash));
  const auto to =
    dash == std::string_view::npos ? from : detail::ParseNumber(value.substr(dash + 1));
  return time && from && to ? std::optional(Entry{ *time, *from, *to }) : std::nullopt;
}

std::optional<RateSchedule>
RateSchedule::Parse(std::string_view aText, std::string& aProblem)
{
  std::vector<Entry> entries;
  for (std::size_t begin = 0; begin <= aText.size();) {
    const auto end = std::min(aText.find(',', begin), aText.size());
    const auto text = aText.substr(begin, end - begin);
    const auto entry = ParseEntry(text);
    if (!entry || (!entries.empty() && entry->mTime < entries.back().mTime)) {
      aProblem =
        "'" + std::string(text) +
        (entry ? "' is not in order of time" : "' is not TIME:RATE, TIME:FROM-TO or TIME:+COUNT");
      return std::nullopt;
    }
    entries.push_back(*entry);
    begin = end + 1;
  }
  RateSchedule schedule;
  double rate = 0;
  for (std::size_t i = 0; i < entries.size(); ++i) {
    const auto& it = entries[i];
    const bool last = i + 1 == entries.size();
    const double length = last ? detail::kUnlimited : entries[i + 1].mTime - it.mTime;
    if (it.mBurst >= 0) {
      schedule.Add({ it.mTime, 0, 0, 0, 0, it.mBurst });
    } else {
      rate = it.mFrom;
    }
    const bool ramp = it.mBurst < 0 && it.mFrom != it.mTo;
    if (ramp && last) {
      aProblem = "a ramp needs an entry after it";
      return std::nullopt;
    }
    const double slope = ramp && length > 0 ? (it.mTo - it.mFrom) / length : 0;
    const double count = rate > 0 || slope > 0 ? (rate + slope * length / 2) * length : 0;
    schedule.Add({ it.mTime, length, rate, slope, 0, count });
    rate = ramp ? it.mTo : rate;
  }
  return schedule;
}

RateSchedule
RateSchedule::Constant(double aRate)
{
  RateSchedule schedule;
  schedule.Add({ 0, detail::kUnlimited, aRate, 0, 0, aRate > 0 ? detail::kUnlimited : 0 });
  return schedule;
}

void
RateSchedule::Add(Segment aSegment)
{
  if (!mSegments.empty()) {
    aSegment.mBefore = mSegments.back().mBefore + mSegments.back().mCount;
  }
  mSegments.push_back(aSegment);
}

std::optional<std::chrono::nanoseconds>
RateSchedule::DueAt(std::int64_t aNumber) const
{
  const auto number = static_cast<double>(aNumber);
  for (const auto& it : mSegments) {
    const double n = number - it.mBefore;
    if (n >= it.mCount) {
      continue;
    }
    double offset = 0;
    if (n > 0 && it.mLength > 0) {
      // Solves rate * t + slope / 2 * t^2 = n in a form without cancellation.
      const double root = std::sqrt(std::max(0.0, it.mRate * it.mRate + 2 * it.mSlope * n));
      offset = 2 * n / (it.mRate + root);
    }
    const std::chrono::duration<double> due(it.mBegin + offset);
    return std::chrono::duration_cast<std::chrono::nanoseconds>(due);
  }
  return std::nullopt;
}

} // namespace lovagerock::load
