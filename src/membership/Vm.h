#pragma once

#include "base/Ids.h"
#include "base/SocketAddress.h"

#include <string>

namespace lovagerock::membership {

// An entry of the platform's VM list.
struct Vm
{
  enum class Role
  {
    Entry,
    Worker
  };

  // The peer address of an entry node, the HTTP address of a worker.
  SocketAddress mAddress;
  Role mRole = Role::Entry;
  bool mLeaving = false;
  ZoneId mZone;
  RegionId mRegion;
  // The id of the node or worker; empty if the list does not give it.
  std::string mName;

  bool operator==(const Vm&) const = default;
};

} // namespace lovagerock::membership
