#pragma once

#include "base/SocketAddress.h"
#include "workers/WorkerState.h"

#include <memory>

namespace lovagerock::workers {

// Whether a worker may get new work.
enum class WorkerHealth
{
  Live,
  // Not heard yet, or its polls fail. It gets no new work; its leases live until their TTL.
  Suspected,
  // The worker or the VM list says that it leaves.
  Leaving,
};

// What this node knows of a worker.
struct WorkerView
{
  SocketAddress mAddress;
  // The latest state; null until the worker was heard.
  std::shared_ptr<const WorkerState> mState;
  // When the worker answered last.
  TimePoint mHeard;
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
    // A new health with the old state.
    Health,
    // The worker is no longer watched.
    Removed,
  };

  Kind mKind = Kind::State;
  WorkerView mView;
};

// A worker as the VM list names it.
struct ListedWorker
{
  SocketAddress mAddress;
  bool mLeaving = false;
};

} // namespace lovagerock::workers
