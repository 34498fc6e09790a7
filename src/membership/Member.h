#pragma once

#include "base/Ids.h"
#include "base/Json.h"
#include "base/SocketAddress.h"
#include "base/Units.h"

#include <cstdint>
#include <optional>

namespace lovagerock::membership {

// This node's view of the state of an entry node.
enum class MemberState
{
  // A heartbeat or an answer arrived within the live timeout.
  Live,
  // As Live, but the node is shutting down and takes no new work.
  Leaving,
  // Nothing arrived within the live timeout.
  Suspected
};

// An entry node's description of itself, sent in heartbeats and in answers to them.
struct Member
{
  NodeId mNode;
  // Increases with each restart of the node, to distinguish a restart from a pause.
  std::uint64_t mIncarnation = 0;
  bool mLeaving = false;
  ZoneId mZone;
  RegionId mRegion;
  SocketAddress mAddress;

  bool operator==(const Member&) const = default;
};

// A member and its state as this node sees it.
struct MemberView
{
  Member mMember;
  MemberState mState = MemberState::Live;

  bool operator==(const MemberView&) const = default;
};

// Converts a member to the body of a heartbeat or of an answer to one.
Json
WriteMember(const Member& aMember);

// Parses the body of a heartbeat or of an answer to one; returns nothing if it is malformed.
std::optional<Member>
ReadMember(const Json& aJson);

} // namespace lovagerock::membership
