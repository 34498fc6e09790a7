#pragma once

#include "base/Ids.h"
#include "base/SocketAddress.h"
#include "workers/WorkerState.h"

#include <functional>
#include <memory>

namespace lovagerock::workers {

// A worker's state as another node, its watcher, relayed it.
struct RelayedState
{
  NodeId mWatcher;
  // Null if no other node watches the worker.
  std::shared_ptr<const WorkerState> mState;
};

// A change of one worker that a watcher relays.
struct RelayedChange
{
  SocketAddress mAddress;
  // Null if the sender does not watch the worker any more.
  std::shared_ptr<const WorkerState> mState;
  // The sender stopped because the worker is silent.
  bool mSuspected = false;
};

// Lets a monitor leave the polls of some workers to other nodes.
struct WatchSharing
{
  // Whether this node is the one that watches the worker for all.
  std::function<bool(const SocketAddress&)> mOwns;
  // The state that another node relays at present.
  std::function<RelayedState(const SocketAddress&)> mFind;
  // Offers a state of an owned worker to the other nodes, or withdraws it. Called again with what
  // was offered already.
  std::function<void(const RelayedChange&)> mOffer;
};

} // namespace lovagerock::workers
