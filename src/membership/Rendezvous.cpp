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
    // The zero byte separates node and key, so that different pairs never give the same text.
    auto text = it.Value();
    text += '\0';
    text += aKey;
    // If hashes are equal, the higher id wins.
    best = std::max(best, std::pair(HashText(text), it));
  }
  return best.second;
}

} // namespace lovagerock::membership
