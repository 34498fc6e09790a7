#pragma once

#include "base/Json.h"
#include "base/Units.h"

#include <cstdint>
#include <optional>

namespace lovagerock::membership {

// What the reader of the VM list says about its list in the answer to a heartbeat.
struct ListAssurance
{
  // Number of the content; the reader counts its contents from 1.
  std::uint64_t mSequence = 0;
  // VmSet::Hash() of the content.
  std::uint64_t mHash = 0;
  // Time since the reader began the last read that succeeded.
  Duration mAge{ 0 };
};

Json
WriteListAssurance(const ListAssurance& aAssurance);
// Nothing if it is malformed, or null because the sender isn't the reader.
std::optional<ListAssurance>
ReadListAssurance(const Json& aJson);

} // namespace lovagerock::membership
