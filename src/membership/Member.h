#pragma once

#include "base/Ids.h"
#include "base/Json.h"
#include "base/SocketAddress.h"
#include "base/Units.h"

#include <cstdint>
#include <optional>

namespace lovagerock::membership {

// How a node sees an entry node.
enum class MemberState
{
  // Heard within the live timeout.
  Live,
  // Heard within the live timeout, and it takes no new work.
  Leaving,
  // Not heard within the live timeout.
  Suspected
};

// What an entry node says about itself in its heartbeats.
struct Member
{
  NodeId mNode;
  // Higher after each restart of the node; tells a restart from a pause.
  std::uint64_t mIncarnation = 0;
  bool mLeaving = false;
  ZoneId mZone;
  RegionId mRegion;
  SocketAddress mAddress;

  bool operator==(const Member&) const = default;
};

// A member with this node's view of it.
struct MemberView
{
  Member mMember;
  MemberState mState = MemberState::Live;

  bool operator==(const MemberView&) const = default;
};

// Writes a member as the body of a heartbeat.
Json
WriteMember(const Member& aMember);

// Reads the body of a heartbeat; nothing if it is malformed.
std::optional<Member>
ReadMember(const Json& aJson);

} // namespace lovagerock::membership
