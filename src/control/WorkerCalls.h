#pragma once

#include "base/SocketAddress.h"
#include "control/Election.h"
#include "scheduler/WorkerReport.h"

#include <functional>
#include <optional>
#include <string>

namespace lovagerock::control {

// The worker that a call is meant for.
struct WorkerTarget
{
  WorkerId mWorker;
  SocketAddress mAddress;
  FencingToken mToken;
};

struct StartCall
{
  scheduler::RunRef mRun;
  std::string mPayload;
  std::string mCheckpoint;
  // Until when everything on the worker may run; an order that arrives later is refused.
  scheduler::WorkerClock mUntil;
};

// Renews the lease of everything on the worker and asks for its lists.
struct HoldCall
{
  // Nothing is renewed without it.
  std::optional<scheduler::WorkerClock> mUntil;
  // Ended runs up to this number may be forgotten.
  std::int64_t mStored = 0;
  // How long the worker may wait for an end.
  Duration mWait{ 0 };
};

struct OrderReply
{
  scheduler::OrderOutcome mOutcome = scheduler::OrderOutcome::Unknown;
  // The worker's clock; unset without an answer.
  std::optional<scheduler::WorkerClock> mClock;
};

struct HoldReply
{
  scheduler::OrderOutcome mOutcome = scheduler::OrderOutcome::Unknown;
  // Nothing listens at the worker's address.
  bool mIsRefused = false;
  scheduler::HoldReport mReport;
};

using OrderCallback = std::function<void(OrderReply)>;
using HoldCallback = std::function<void(HoldReply)>;

// Calls to workers. Callbacks run on the caller's loop and never inside the call.
template<typename T>
concept WorkerCalls = requires(T aCalls, const WorkerTarget& aTarget, const StartCall& aStart,
                               const scheduler::RunRef& aRun, const HoldCall& aHold,
                               OrderCallback aOnOrder, HoldCallback aOnHold)
{
  aCalls.Start(aTarget, aStart, aOnOrder);
  aCalls.Stop(aTarget, aRun, aOnOrder);
  aCalls.Hold(aTarget, aHold, aOnHold);
};

} // namespace lovagerock::control
