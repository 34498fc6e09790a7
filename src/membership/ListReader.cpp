#include "membership/ListReader.h"

#include "membership/Rendezvous.h"

#include <string>

namespace lovagerock::membership {

NodeId
SelectListReader(const RegionId& aRegion, std::vector<NodeId> aNodes,
                 std::chrono::system_clock::time_point aNow)
{
  constexpr std::chrono::minutes kTurn{ 10 };
  if (aNodes.size() > 1) {
    std::erase(aNodes, RendezvousOwner("planner/" + aRegion.Value(), aNodes));
  }
  const auto turn = std::to_string(aNow.time_since_epoch() / kTurn);
  return RendezvousOwner("vms/" + aRegion.Value() + '/' + turn, aNodes);
}

} // namespace lovagerock::membership
