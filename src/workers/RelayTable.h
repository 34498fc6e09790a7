#pragma once

#include "base/Ids.h"
#include "base/Json.h"
#include "base/SocketAddress.h"
#include "base/Units.h"
#include "workers/WatchSharing.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace lovagerock::workers {

// A numbered batch of changes from one watcher, or a snapshot of all states that it publishes.
struct RelayBatch
{
  NodeId mNode;
  // Incarnation of the watcher's process; its batch numbers start anew after a restart.
  std::uint64_t mIncarnation = 0;
  // Number of the batch, from 1; in a snapshot, the number of the last batch that it includes.
  std::uint64_t mSequence = 0;
  std::vector<RelayedChange> mChanges;
};

// Conversions to and from the body of a call. ReadRelayBatch() returns nullopt if the body is
// malformed.
Json
WriteRelayBatch(const RelayBatch& aBatch);
std::optional<RelayBatch>
ReadRelayBatch(const Json& aJson);

// The worker states that other nodes relay, independent of the transport. A watcher is valid only
// while this node has all its batches and it has confirmed within the validity period that it still
// watches. Times are given by the caller and never go back.
class RelayTable
{
public:
  explicit RelayTable(Duration aValidity)
    : mValidity(aValidity)
  {
  }

  enum class Result
  {
    // The batch was the next one in sequence.
    Applied,
    // The batch is old or of an unknown incarnation, or a snapshot of the watcher is needed first.
    Ignored,
    // An earlier batch is missing; the watcher is invalid until its snapshot was applied.
    Gap,
  };

  Result ApplyBatch(const RelayBatch& aBatch);
  // Replaces a watcher's states by its snapshot. Returns false if the snapshot is not newer than
  // the known states.
  bool ApplySnapshot(const RelayBatch& aSnapshot);
  // Records that a watcher had sent batch aSequence and still watched after aSent. Returns whether
  // its snapshot must be requested.
  bool Confirm(const NodeId& aNode, std::uint64_t aIncarnation, std::uint64_t aSequence,
               TimePoint aSent);
  // Returns the watchers that became invalid since the last call.
  std::vector<NodeId> TakeInvalidated(TimePoint aNow);
  // Returns the state that a valid watcher relays; its mState is null if there is none.
  // TakeInvalidated() returns the watcher once it becomes invalid.
  RelayedState Find(const SocketAddress& aAddress, TimePoint aNow);

private:
  struct Watcher
  {
    std::uint64_t mIncarnation = 0;
    std::uint64_t mSequence = 0;
    bool mSynced = false;
    // Valid at the last check by TakeInvalidated() or Find().
    bool mWasValid = false;
    TimePoint mValidUntil;
    // The latest confirmation; its batch may not have arrived yet.
    std::uint64_t mConfirmedSequence = 0;
    TimePoint mConfirmedAt;
    std::map<SocketAddress, std::shared_ptr<const WorkerState>> mStates;
  };

  void ExtendValidity(Watcher& aWatcher) const;

  Duration mValidity;
  std::map<NodeId, Watcher> mWatchers;
};

} // namespace lovagerock::workers
