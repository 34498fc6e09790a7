#pragma once

#include "base/SocketAddress.h"
#include "workers/WorkerState.h"

#include <memory>

namespace lovagerock::workers {

// Whether a worker may get new work.
enum class WorkerHealth
{
  Live,
  // No answer yet, or its polls fail. It gets no new work; its leases run until their TTL ends.
  Suspected,
  // The worker itself or the VM list reports that it is leaving.
  Leaving,
};

// The state and health of a worker as seen by this node.
struct WorkerView
{
  SocketAddress mAddress;
  // The latest state; null until the first one was received.
  std::shared_ptr<const WorkerState> mState;
  // When this node last received an answer of the worker or a relayed change of its state.
  TimePoint mLastHeard;
  // Polls fail, so the state may be outdated.
  bool mSuspected = true;
  // The VM list marks the worker as leaving.
  bool mListedLeaving = false;

  WorkerHealth Health() const
  {
    if (mListedLeaving || (mState && mState->mLeaving)) {
      return WorkerHealth::Leaving;
    }
    return mSuspected ? WorkerHealth::Suspected : WorkerHealth::Live;
  }
};

// A change of one worker's view.
struct WorkerChange
{
  enum class Kind
  {
    // A new state, possibly with a new health.
    State,
    // The first state, or the first one after a restart: earlier leases and requests are gone.
    Restarted,
    // A new health with an unchanged state.
    Health,
    // The worker is no longer watched.
    Removed,
  };

  Kind mKind = Kind::State;
  WorkerView mView;
};

// A worker's entry in the VM list.
struct ListedWorker
{
  SocketAddress mAddress;
  bool mLeaving = false;
};

} // namespace lovagerock::workers
