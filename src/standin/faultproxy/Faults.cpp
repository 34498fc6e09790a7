#include "standin/faultproxy/Faults.h"

#include <string>

namespace lovagerock::standin {

namespace detail {
namespace {

std::optional<Silence>
ParseSilence(const Json& aValue)
{
  if (aValue == "none") {
    return Silence::None;
  }
  if (aValue == "existing") {
    return Silence::Existing;
  }
  return aValue == "all" ? std::optional(Silence::All) : std::nullopt;
}

std::optional<std::int64_t>
ReadCount(const Json& aValue)
{
  if (!aValue.is_number_integer() || aValue < 0) {
    return std::nullopt;
  }
  return aValue.get<std::int64_t>();
}

std::optional<bool>
ReadFlag(const Json& aValue)
{
  return aValue.is_boolean() ? std::optional(aValue.get<bool>()) : std::nullopt;
}

// Reads one member; false if it is unknown or invalid.
bool
ReadMember(const std::string& aKey, const Json& aValue, FaultChange& aChange)
{
  if (aKey == "latency_ms") {
    const auto n = ReadCount(aValue);
    aChange.mLatency = n ? std::optional(Duration(*n)) : std::nullopt;
    return n.has_value();
  }
  if (aKey == "refuse_new") {
    return (aChange.mRefuseNew = ReadFlag(aValue)).has_value();
  }
  if (aKey == "silence") {
    return (aChange.mSilence = ParseSilence(aValue)).has_value();
  }
  if (aKey == "cut_after_bytes") {
    return (aChange.mCutAfterBytes = ReadCount(aValue)).has_value();
  }
  if (aKey == "drop_answers") {
    return (aChange.mDropAnswers = ReadCount(aValue)).has_value();
  }
  if (aKey == "reset") {
    aChange.mReset = ReadFlag(aValue).value_or(false);
    return aValue.is_boolean();
  }
  return false;
}

} // namespace
} // namespace detail

std::optional<FaultChange>
ReadFaultChange(std::string_view aText)
{
  const auto json = ParseJson(aText);
  if (!json || !json->is_object()) {
    return std::nullopt;
  }
  FaultChange change;
  for (const auto& it : json->items()) {
    if (!detail::ReadMember(it.key(), it.value(), change)) {
      return std::nullopt;
    }
  }
  return change;
}

} // namespace lovagerock::standin
