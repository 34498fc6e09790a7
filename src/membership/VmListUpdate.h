#pragma once

#include "base/Ids.h"
#include "base/Json.h"
#include "membership/VmSet.h"

#include <cstdint>
#include <optional>
#include <string>

namespace lovagerock::membership {

// A change of the VM list that the reader sends to the other nodes of the region.
struct VmListUpdate
{
  // The reader that sends the update.
  NodeId mNode;
  // Incarnation of the reader, whose sequence starts again at 1 after a restart.
  std::uint64_t mIncarnation = 0;
  // The reader's version of the list after the change.
  std::uint64_t mSequence = 0;
  // VmSet::Hash() of the list before the change (mBaseHash) and after it (mHash).
  std::uint64_t mBaseHash = 0;
  std::uint64_t mHash = 0;
  // The ETag that the service gave for the list after the change; empty if it gave none.
  std::string mEntityTag;
  VmDifference mDifference;
};

// Convert an update to and from the body of a call. ReadVmListUpdate() returns nothing if the body
// is malformed.
Json
WriteVmListUpdate(const VmListUpdate& aUpdate);
std::optional<VmListUpdate>
ReadVmListUpdate(const Json& aJson);

} // namespace lovagerock::membership
