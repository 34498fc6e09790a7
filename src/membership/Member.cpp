#include "membership/Member.h"

#include <string>
#include <utility>

namespace lovagerock::membership {

Json
WriteMember(const Member& aMember)
{
  return { { "node", aMember.mNode.Value() },
           { "incarnation", aMember.mIncarnation },
           { "state", aMember.mLeaving ? "leaving" : "live" },
           { "zone", aMember.mZone.Value() },
           { "region", aMember.mRegion.Value() },
           { "address", aMember.mAddress.ToString() } };
}

std::optional<Member>
ReadMember(const Json& aJson)
{
  auto address = SocketAddress::Parse(JsonValue(aJson, "address", std::string()));
  const auto state = JsonValue(aJson, "state", std::string());
  Member member;
  member.mNode = NodeId(JsonValue(aJson, "node", std::string()));
  member.mIncarnation = JsonValue(aJson, "incarnation", std::uint64_t(0));
  member.mLeaving = state == "leaving";
  member.mZone = ZoneId(JsonValue(aJson, "zone", std::string()));
  member.mRegion = RegionId(JsonValue(aJson, "region", std::string()));
  if (!address || member.mNode.IsEmpty() || (state != "live" && state != "leaving")) {
    return std::nullopt;
  }
  member.mAddress = std::move(*address);
  return member;
}

} // namespace lovagerock::membership
