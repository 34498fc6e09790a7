#pragma once

#include "base/Ids.h"
#include "base/SocketAddress.h"
#include "workers/WorkerState.h"

#include <functional>
#include <memory>

namespace lovagerock::workers {

// A worker's state as relayed by its watcher, the node that polls it for the other nodes.
struct RelayedState
{
  NodeId mWatcher;
  // Null if no other node watches the worker.
  std::shared_ptr<const WorkerState> mState;
};

// A change of one worker's state that its watcher relays.
struct RelayedChange
{
  SocketAddress mAddress;
  // Null if the sender no longer publishes a state of the worker.
  std::shared_ptr<const WorkerState> mState;
  // The sender suspects the worker because its polls fail.
  bool mSuspected = false;
};

// Callbacks by which a WorkerMonitor shares the polling of workers with other nodes.
struct WatchSharing
{
  // Whether this node owns the worker: it polls the worker and publishes the state to the others.
  std::function<bool(const SocketAddress&)> mOwns;
  // Returns the state that another node currently relays.
  std::function<RelayedState(const SocketAddress&)> mFind;
  // Publishes the state of an owned worker to the other nodes, or withdraws it. May be called
  // repeatedly with the same state.
  std::function<void(const RelayedChange&)> mPublish;
};

} // namespace lovagerock::workers
