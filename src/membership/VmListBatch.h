#pragma once

#include "base/Ids.h"
#include "base/Json.h"
#include "membership/VmSet.h"

#include <cstdint>
#include <optional>
#include <string>

namespace lovagerock::membership {

// A change of the VM list that its reader passes to the other nodes of the region.
struct VmListBatch
{
  NodeId mNode;
  // Of the reader; its sequence starts anew after a restart.
  std::uint64_t mIncarnation = 0;
  // Number of the content that results.
  std::uint64_t mSequence = 0;
  // VmSet::Hash() of the content before and after the change.
  std::uint64_t mBase = 0;
  std::uint64_t mHash = 0;
  // The service's version of the content that results; empty if it gives none.
  std::string mEntityTag;
  VmDifference mDifference;
};

// Conversions to and from the body of a call. Reading gives nothing if the body is malformed.
Json
WriteVmListBatch(const VmListBatch& aBatch);
std::optional<VmListBatch>
ReadVmListBatch(const Json& aJson);

} // namespace lovagerock::membership
