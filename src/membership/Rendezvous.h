#pragma once

#include "base/Ids.h"

#include <string>
#include <vector>

namespace lovagerock::membership {

// The node with the highest hash for a key (rendezvous hashing): the same on every node that sees
// the same nodes, and unchanged for a key when another node joins or leaves. Empty without nodes.
NodeId
RendezvousOwner(const std::string& aKey, const std::vector<NodeId>& aNodes);

} // namespace lovagerock::membership
