#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "membership/VmListStatus.h"
#include "membership/VmListUpdate.h"

#include <cstdint>

namespace lovagerock::membership {

// Time limits for following a reader of the VM list.
struct FollowedReaderSettings
{
  // Validity of the answer to a heartbeat, counted from when the heartbeat was sent. Heartbeats
  // are sent every second.
  Duration mValidity{ 1300 };
  // Maximum time since the reader began its last successful read. Exceeds the sum of the read
  // period and mValidity. Whatever happens to the reader, this node learns within 3 s that a VM is
  // listed as leaving: 3 s cover this time, the check period and the read of its own that follows.
  Duration mReadValidity{ 2600 };
};

// Tracks the reader whose VM list this node follows instead of reading the list itself. Does no
// I/O. Follows one reader at a time, and only while this node's list is the last one that the
// reader has confirmed. Callers pass the current time, which must never decrease.
class FollowedReader
{
public:
  enum class Result
  {
    // The update is the next one and applies to this node's list.
    Next,
    // The update is old, or comes from a node that isn't followed.
    Ignored,
    // An update is missing. The reader is no longer followed.
    Gap,
  };

  explicit FollowedReader(const FollowedReaderSettings& aSettings)
    : mSettings(aSettings)
  {
  }

  // Processes the status in an answer to a heartbeat that was sent at aSent: prolongs the validity
  // of the followed reader, or starts to follow the sender if no reader is valid and the lists are
  // equal. aOwnHash is the hash of this node's list.
  void AcceptStatus(const NodeId& aNode, std::uint64_t aIncarnation, const VmListStatus& aStatus,
                    std::uint64_t aOwnHash, TimePoint aSent, TimePoint aNow);
  // Returns whether an update is the next one of the followed reader. If it is Next, the caller
  // must apply it to this node's list, whose hash before the update is aOwnHash.
  Result AcceptUpdate(const VmListUpdate& aUpdate, std::uint64_t aOwnHash, TimePoint aNow);
  void Reset() { mNode = NodeId(); }

  // Whether this node follows a reader whose list is confirmed at the given time.
  bool IsValid(TimePoint aNow) const { return !mNode.IsEmpty() && aNow < mValidUntil; }
  // The last followed reader, even if its confirmation has expired; empty after Reset().
  const NodeId& Node() const { return mNode; }

private:
  FollowedReaderSettings mSettings;
  NodeId mNode;
  std::uint64_t mIncarnation = 0;
  // The reader's version of the list that this node has.
  std::uint64_t mSequence = 0;
  TimePoint mValidUntil;
};

} // namespace lovagerock::membership
