#include "load/Tally.h"

#include <algorithm>

namespace lovagerock::load {

namespace detail {
namespace {

constexpr Outcome kOutcomes[] = { Outcome::Ok,     Outcome::Refused, Outcome::Unknown,
                                  Outcome::Lost,   Outcome::Wrong,   Outcome::Truncated,
                                  Outcome::Doubled };

} // namespace
} // namespace detail

void
Tally::Add(Outcome aOutcome, const std::string& aError, std::chrono::microseconds aTime)
{
  ++mCounts[aOutcome];
  if (aOutcome == Outcome::Ok) {
    mLatencies.Add(aTime);
  } else if (!aError.empty()) {
    ++mErrors[aError];
  }
}

std::int64_t
Tally::Count(Outcome aOutcome) const
{
  const auto it = mCounts.find(aOutcome);
  return it == mCounts.end() ? 0 : it->second;
}

std::int64_t
Tally::Total() const
{
  std::int64_t n = 0;
  for (const auto& it : mCounts) {
    n += it.second;
  }
  return n;
}

bool
Tally::IsClean() const
{
  return std::ranges::none_of(mCounts, [](const auto& aEntry) { return IsFault(aEntry.first); });
}

Json
Tally::ToJson(std::chrono::microseconds aElapsed) const
{
  Json json{ { "total", Total() }, { "retries", mRetries }, { "errors", mErrors } };
  for (const auto it : detail::kOutcomes) {
    json[std::string(OutcomeName(it))] = Count(it);
  }
  const double seconds = std::chrono::duration<double>(aElapsed).count();
  json["elapsed_s"] = seconds;
  json["ok_per_second"] = seconds > 0 ? static_cast<double>(Count(Outcome::Ok)) / seconds : 0;
  json["latency_ms"] = mLatencies.ToJson();
  return json;
}

void
PrintReport(const Json& aReport, std::ostream& aOut, int aIndent)
{
  for (const auto& it : aReport.items()) {
    aOut << std::string(static_cast<std::size_t>(aIndent), ' ') << it.key() << ":";
    if (it.value().is_object()) {
      aOut << "\n";
      PrintReport(it.value(), aOut, aIndent + 2);
    } else {
      aOut << " " << DumpJson(it.value()) << "\n";
    }
  }
}

} // namespace lovagerock::load
