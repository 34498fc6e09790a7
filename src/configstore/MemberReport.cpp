#include "configstore/MemberReport.h"

#include <cstdint>

namespace lovagerock::configstore {

namespace detail {
namespace {

void
WriteAge(Json& aJson, const char* aKey, const std::optional<Duration>& aAge)
{
  if (aAge) {
    aJson[aKey] = aAge->count();
  }
}

std::optional<Duration>
ReadAge(const Json& aJson, const char* aKey)
{
  const auto age = JsonValue<std::int64_t>(aJson, aKey, -1);
  return age < 0 ? std::nullopt : std::optional(Duration(age));
}

} // namespace
} // namespace detail

Json
WriteReport(const MemberReport& aReport)
{
  Json json{ { "version", aReport.mVersion.Value() },
             { "hash", aReport.mHash },
             { "direct_version", aReport.mDirectVersion.Value() },
             { "open_promise", aReport.mOpenPromise.Value() },
             { "settled", aReport.mSettled } };
  detail::WriteAge(json, "direct_age_ms", aReport.mDirectAge);
  detail::WriteAge(json, "confirmed_age_ms", aReport.mConfirmedAge);
  return json;
}

std::optional<MemberReport>
ReadReport(const Json& aJson)
{
  const auto version = JsonValue<std::int64_t>(aJson, "version", -1);
  if (version < 0) {
    return std::nullopt;
  }
  MemberReport report;
  report.mVersion = ConfigVersion(version);
  report.mHash = JsonValue<std::string>(aJson, "hash", "");
  report.mDirectAge = detail::ReadAge(aJson, "direct_age_ms");
  report.mDirectVersion = ConfigVersion(JsonValue<std::int64_t>(aJson, "direct_version", 0));
  report.mConfirmedAge = detail::ReadAge(aJson, "confirmed_age_ms");
  report.mOpenPromise = ConfigVersion(JsonValue<std::int64_t>(aJson, "open_promise", 0));
  report.mSettled = JsonValue(aJson, "settled", false);
  return report;
}

} // namespace lovagerock::configstore
