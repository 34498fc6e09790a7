#pragma once

#include "base/Ids.h"

#include <string>
#include <vector>

namespace lovagerock::membership {

// Returns the node that owns a key by rendezvous hashing, or an empty id without nodes. Every node
// with the same list of nodes gets the same owner. When a node leaves, only the keys that it owned
// move; when a node joins, only the keys that it then owns.
NodeId
RendezvousOwner(const std::string& aKey, const std::vector<NodeId>& aNodes);

} // namespace lovagerock::membership
