#include "membership/Rendezvous.h"

#include "base/Hash.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace lovagerock::membership {

NodeId
RendezvousOwner(const std::string& aKey, const std::vector<NodeId>& aNodes)
{
  std::pair<std::uint64_t, NodeId> best;
  for (const auto& it : aNodes) {
    // The zero byte keeps different pairs of node and key apart.
    auto text = it.Value();
    text += '\0';
    text += aKey;
    // Equal hashes fall back to the higher id.
    best = std::max(best, std::pair(HashText(text), it));
  }
  return best.second;
}

} // namespace lovagerock::membership
