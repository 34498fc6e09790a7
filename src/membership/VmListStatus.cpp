#include "membership/VmListStatus.h"

namespace lovagerock::membership {

Json
WriteVmListStatus(const VmListStatus& aStatus)
{
  return { { "sequence", aStatus.mSequence },
           { "hash", aStatus.mHash },
           { "age_ms", aStatus.mAge.count() } };
}

std::optional<VmListStatus>
ReadVmListStatus(const Json& aJson)
{
  VmListStatus status;
  status.mSequence = JsonValue(aJson, "sequence", std::uint64_t(0));
  status.mHash = JsonValue(aJson, "hash", std::uint64_t(0));
  const auto age = JsonValue(aJson, "age_ms", std::int64_t(-1));
  constexpr std::int64_t kMaxAgeMs = 1'000'000'000;
  if (status.mSequence == 0 || age < 0 || age > kMaxAgeMs) {
    return std::nullopt;
  }
  status.mAge = Duration(age);
  return status;
}

} // namespace lovagerock::membership
