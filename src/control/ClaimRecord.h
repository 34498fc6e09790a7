#pragma once

#include "base/Ids.h"
#include "control/LeaderHistory.h"
#include "kv/PrefixStore.h"

#include <string>

namespace lovagerock::control {

// What the last claim of the leadership says.
struct ClaimRecord
{
  // The token of the leadership.
  FencingToken mToken;
  // The first of the leaderships in a row up to this one that store the progress which names a run
  // before they order it. 0 if this one may not do so: a node of an earlier version claimed it.
  FencingToken mNamesRunsSince;
  // The same of the leaderships that renew workers' leases only as EarlierLeases expects of them.
  FencingToken mBoundsLeasesSince;
};

// Serializes the claim that follows the given one.
std::string
WriteClaimRecord(const NodeId& aNode, const ClaimRecord& aLast);
// Parses a stored claim. Any text that isn't one is a claim of an earlier version.
ClaimRecord
ReadClaimRecord(const std::string& aText, kv::Revision aRevision);

} // namespace lovagerock::control
