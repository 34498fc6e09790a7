#pragma once

#include "base/SocketAddress.h"
#include "control/Election.h"
#include "scheduler/WorkerReport.h"

#include <functional>
#include <optional>
#include <string>

namespace lovagerock::control {

// The worker that a call is addressed to, and the caller's fencing token.
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
  // When the lease on all of the worker's runs ends; the worker refuses an order that arrives
  // later.
  scheduler::WorkerClock mLeaseDeadline;
};

// Renews the lease on all runs of the worker and requests its report.
struct RenewalCall
{
  // The lease's new end; if unset, the call only requests the report.
  std::optional<scheduler::WorkerClock> mLeaseDeadline;
  // The worker may drop ended runs up to this number from its report, since they are stored; 0 for
  // none. A worker that has restarted under its id numbers its ends anew, and would drop ends that
  // nobody has seen: the number is only sent over the connection of the last report, which the
  // restart closes.
  std::int64_t mLastStoredEnd = 0;
  // Sends the number over any connection.
  bool mDropsOnAnyConnection = false;
  // The longest time that the worker may hold back its reply until a run ends.
  Duration mWait{ 0 };
};

struct OrderReply
{
  scheduler::OrderOutcome mOutcome = scheduler::OrderOutcome::Unknown;
  // The worker's clock; unset without a reply that contains it.
  std::optional<scheduler::WorkerClock> mClock;
};

struct RenewalReply
{
  scheduler::OrderOutcome mOutcome = scheduler::OrderOutcome::Unknown;
  scheduler::LeaseReport mReport;
};

using OrderCallback = std::function<void(OrderReply)>;
using RenewalCallback = std::function<void(RenewalReply)>;

// Calls to workers. Callbacks run on the calling thread's event loop, never inside the call.
template<typename T>
concept WorkerCalls = requires(T aCalls, const WorkerTarget& aTarget, const StartCall& aStart,
                               const scheduler::RunRef& aRun, const RenewalCall& aRenewal,
                               OrderCallback aOnOrder, RenewalCallback aOnRenewal)
{
  aCalls.Start(aTarget, aStart, aOnOrder);
  aCalls.Stop(aTarget, aRun, aOnOrder);
  aCalls.RenewLease(aTarget, aRenewal, aOnRenewal);
};

} // namespace lovagerock::control
