#pragma once

#include "base/Json.h"
#include "base/Units.h"

#include <optional>
#include <string>

namespace lovagerock::configstore {

// What a node says about its configuration in each heartbeat answer. Ages are those at the time of
// writing; absent ones mean "never".
struct MemberReport
{
  // In force on the node.
  ConfigVersion mVersion;
  std::string mHash;
  // The node's last direct read of the head: its age and the version that was read.
  std::optional<Duration> mDirectAge;
  ConfigVersion mDirectVersion;
  // Age of the newest read of the head, by the node itself or told by its reader, that confirms the
  // version in force.
  std::optional<Duration> mConfirmedAge;
  // The highest version that the node promised and whose outcome it does not know; 0 for none.
  ConfigVersion mOpenPromise;
  // Whether a read that began at least the settle time after the node's start has confirmed it.
  // Promises that it made before a restart are settled then.
  bool mSettled = false;
};

Json
WriteReport(const MemberReport& aReport);

// Reads a report; nothing if it is malformed.
std::optional<MemberReport>
ReadReport(const Json& aJson);

} // namespace lovagerock::configstore
