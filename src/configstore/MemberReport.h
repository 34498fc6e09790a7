#pragma once

#include "base/Json.h"
#include "base/Units.h"

#include <optional>
#include <string>

namespace lovagerock::configstore {

// The configuration status that a node sends in each heartbeat answer. Ages are in milliseconds at
// the time of writing; an absent age means "never".
struct MemberReport
{
  // The version in force on the node.
  ConfigVersion mVersion;
  std::string mHash;
  // The node's last direct read of the head: its age and the version that was read.
  std::optional<Duration> mDirectAge;
  ConfigVersion mDirectVersion;
  // Age of the newest read of the head, by the node itself or in a report of the member that read
  // it, that confirms the version in force.
  std::optional<Duration> mConfirmedAge;
  // The highest version that the node promised and whose outcome it does not know; 0 for none.
  ConfigVersion mOpenPromise;
  // Whether the node was confirmed by a read that began at least the settle time after its start.
  // The outcome of all promises that it gave before a restart is known by then.
  bool mSettled = false;
};

Json
WriteReport(const MemberReport& aReport);

// Returns nullopt if the report is malformed.
std::optional<MemberReport>
ReadReport(const Json& aJson);

} // namespace lovagerock::configstore
