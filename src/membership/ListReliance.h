#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "membership/ListAssurance.h"
#include "membership/VmListBatch.h"

#include <cstdint>

namespace lovagerock::membership {

// Limits of the reliance on the reader of the VM list.
struct RelianceSettings
{
  // How long a heartbeat's answer assures its receiver. Heartbeats come every second.
  Duration mValidity{ 1300 };
  // Longest time since the reader began its last read. Above the read period and the validity;
  // with the check period and this node's own read after it, an entry that the list calls leaving
  // is known within 3 s whatever happens to the reader.
  Duration mReadValidity{ 2600 };
};

// On which node's reads of the VM list this node relies, without any transport. It relies on one
// node at a time, and only while its own list is the last one that this node assured. Times are
// given by the caller and never go back.
class ListReliance
{
public:
  enum class Result
  {
    // The change belongs to this node's list.
    Next,
    // The batch is old, or comes from a node that isn't relied on.
    Ignored,
    // A batch is missing. The reliance has ended.
    Gap,
  };

  explicit ListReliance(const RelianceSettings& aSettings)
    : mSettings(aSettings)
  {
  }

  // Takes an assurance in answer to a heartbeat sent at the given time. aOwn is the hash of this
  // node's list.
  void Assure(const NodeId& aNode, std::uint64_t aIncarnation, const ListAssurance& aAssurance,
              std::uint64_t aOwn, TimePoint aSent, TimePoint aNow);
  // Whether a batch comes next. If so, this node's list must become the one that the batch names.
  Result Take(const VmListBatch& aBatch, std::uint64_t aOwn, TimePoint aNow);
  void End() { mNode = NodeId(); }

  // Whether the node is relied on at present.
  bool Counts(TimePoint aNow) const { return !mNode.IsEmpty() && aNow < mValidUntil; }
  // The node that was relied on last, even if it isn't any more; empty after End().
  const NodeId& Reader() const { return mNode; }

private:
  RelianceSettings mSettings;
  NodeId mNode;
  std::uint64_t mIncarnation = 0;
  // Number of the content that this node has.
  std::uint64_t mSequence = 0;
  TimePoint mValidUntil;
};

} // namespace lovagerock::membership
