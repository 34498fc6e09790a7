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

// Consecutive changes of one watcher, or all that it watches.
struct RelayBatch
{
  NodeId mNode;
  // Of the watcher; its sequence starts anew after a restart.
  std::uint64_t mIncarnation = 0;
  // Number of the batch, from 1; of a whole state, the number of the last batch in it.
  std::uint64_t mSequence = 0;
  std::vector<RelayedChange> mChanges;
};

// Conversions to and from the body of a call. Reading gives nothing if the body is malformed.
Json
WriteRelayBatch(const RelayBatch& aBatch);
std::optional<RelayBatch>
ReadRelayBatch(const Json& aJson);

// What the other nodes relay, without any transport. A watcher counts only while it is assured:
// this node has all its batches, and the watcher answered that it still watches within the
// validity. Times are given by the caller and never go back.
class RelayTable
{
public:
  explicit RelayTable(Duration aValidity)
    : mValidity(aValidity)
  {
  }

  enum class Result
  {
    // The batch is the next one.
    Applied,
    // The batch is old, or of an unknown incarnation.
    Ignored,
    // A batch is missing; the watcher doesn't count until its whole state was read.
    Gap,
  };

  Result Take(const RelayBatch& aBatch);
  // Takes the whole state of a watcher; false if it is older than what is known.
  bool Replace(const RelayBatch& aWhole);
  // Notes that a watcher had sent the given batch and still watched after the given time. Gives
  // whether its whole state must be read.
  bool
  Assure(const NodeId& aNode, std::uint64_t aIncarnation, std::uint64_t aSequence, TimePoint aSent);
  // The watchers that stopped counting since the last call.
  std::vector<NodeId> TakeLapsed(TimePoint aNow);
  // Whoever relies on the state learns from TakeLapsed() when the watcher stops counting.
  RelayedState Find(const SocketAddress& aAddress, TimePoint aNow);

private:
  struct Watcher
  {
    std::uint64_t mIncarnation = 0;
    std::uint64_t mSequence = 0;
    bool mSynced = false;
    // Counted when TakeLapsed() or Find() last looked.
    bool mCounted = false;
    TimePoint mValidUntil;
    // The last assurance, which may name a batch that is still on its way.
    std::uint64_t mAssured = 0;
    TimePoint mAssuredAt;
    std::map<SocketAddress, std::shared_ptr<const WorkerState>> mStates;
  };

  void Extend(Watcher& aWatcher) const;

  Duration mValidity;
  std::map<NodeId, Watcher> mWatchers;
};

} // namespace lovagerock::workers
