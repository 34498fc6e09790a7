#include "membership/ListAssurance.h"

namespace lovagerock::membership {

Json
WriteListAssurance(const ListAssurance& aAssurance)
{
  return { { "sequence", aAssurance.mSequence },
           { "hash", aAssurance.mHash },
           { "age_ms", aAssurance.mAge.count() } };
}

std::optional<ListAssurance>
ReadListAssurance(const Json& aJson)
{
  ListAssurance assurance;
  assurance.mSequence = JsonValue(aJson, "sequence", std::uint64_t(0));
  assurance.mHash = JsonValue(aJson, "hash", std::uint64_t(0));
  const auto age = JsonValue(aJson, "age_ms", std::int64_t(-1));
  constexpr std::int64_t kMaxAge = 1'000'000'000;
  if (assurance.mSequence == 0 || age < 0 || age > kMaxAge) {
    return std::nullopt;
  }
  assurance.mAge = Duration(age);
  return assurance;
}

} // namespace lovagerock::membership
