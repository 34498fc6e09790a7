#pragma once

#include "base/Json.h"
#include "base/Units.h"

#include <cstdint>
#include <optional>

namespace lovagerock::membership {

// The state of the reader's VM list, sent in its answers to heartbeats. Other nodes use it to
// decide whether their own copy is current.
struct VmListStatus
{
  // Version of the reader's list: starts at 1 and grows by one with each change.
  std::uint64_t mSequence = 0;
  // VmSet::Hash() of the reader's list.
  std::uint64_t mHash = 0;
  // Time since the start of the reader's last successful read.
  Duration mAge{ 0 };
};

Json
WriteVmListStatus(const VmListStatus& aStatus);
// Returns nothing if aJson is malformed, or null because the sender isn't the reader.
std::optional<VmListStatus>
ReadVmListStatus(const Json& aJson);

} // namespace lovagerock::membership
