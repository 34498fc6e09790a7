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
  // The time that the store applies to the leadership's lease; 0 if the claim doesn't name it, as
  // those of earlier versions don't.
  Duration mLeaseTime{ 0 };
};

// Serializes the claim that follows the given one, with a lease of that time.
std::string
WriteClaimRecord(const NodeId& aNode, const ClaimRecord& aLast, Duration aLeaseTime);
// Parses a stored claim. Any text that isn't one is a claim of an earlier version.
ClaimRecord
ReadClaimRecord(const std::string& aText, kv::Revision aRevision);

} // namespace lovagerock::control
