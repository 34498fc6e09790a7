#pragma once

#include "base/SocketAddress.h"
#include "workers/WorkerState.h"

#include <functional>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

namespace lovagerock::workers {

// Phase of a service request as its worker reports it.
enum class RequestPhase
{
  // The worker has no record of the request.
  Unknown,
  Running,
  Done,
};

// Result of a successful poll.
struct PollAnswer
{
  // Empty if the state did not change during the wait.
  std::optional<WorkerState> mState;
  // The version of an unchanged state; empty if the worker does not report it.
  std::optional<StateVersion> mVersion;
};

using DoneCallback = std::function<void(std::error_code)>;
using PollCallback = std::function<void(std::error_code, PollAnswer)>;
using LeaseCallback = std::function<void(std::error_code, LeaseState)>;
// Receives the leases that the worker doesn't know.
using RenewCallback = std::function<void(std::error_code, std::vector<LeaseId>)>;
using AnswerCallback = std::function<void(std::error_code, std::string)>;
using PhaseCallback = std::function<void(std::error_code, RequestPhase)>;

// The calls of the worker protocol. All are asynchronous: callbacks run on the caller's loop and
// never inside the call. Errors are of type WorkerError.
template<typename T>
concept WorkerApi = requires(T aApi, const SocketAddress& aWorker, const LeaseRequest& aRequest,
                             const LeaseId& aLease, const RequestId& aRequestId,
                             const Fence& aFence, const std::vector<LeaseId>& aLeases,
                             std::uint64_t aSince, Duration aDuration, bool aCheckpoint,
                             int aPercent)
{
  // Long-polls the state: returns it once its sequence exceeds aSince, or only its version after
  // aDuration.
  aApi.Poll(aWorker, aSince, aDuration, PollCallback());
  // Reserves capacity. Idempotent: a repeated call with the same lease id gets the same response.
  aApi.Reserve(aWorker, aRequest, LeaseCallback());
  aApi.Start(aWorker, aLease, aFence, aDuration, DoneCallback());
  aApi.Renew(aWorker, aFence, aDuration, aLeases, RenewCallback());
  // Stops the task; aDuration limits the time that it has to write a checkpoint.
  aApi.Stop(aWorker, aLease, aFence, aDuration, aCheckpoint, DoneCallback());
  aApi.Throttle(aWorker, aLease, aFence, aPercent, DoneCallback());
  aApi.Checkpoint(aWorker, aLease, aFence, DoneCallback());
  // Reads the answer of a finished task.
  aApi.FetchAnswer(aWorker, aLease, AnswerCallback());
  // Frees the capacity or acknowledges the answer; the worker never accepts the lease id again.
  aApi.Release(aWorker, aLease, aFence, DoneCallback());
  // Reads the phase of a service request over a new connection.
  aApi.FindRequest(aWorker, aRequestId, PhaseCallback());
  // Reads the stored answer of a service request over a new connection.
  aApi.FetchRequestAnswer(aWorker, aRequestId, AnswerCallback());
  // Cancels a request, or makes the worker refuse it if it arrives later. Returns the phase before
  // the cancellation.
  aApi.DropRequest(aWorker, aRequestId, PhaseCallback());
  // Makes the worker refuse a request if it arrives later. Changes nothing if the worker knows the
  // request already. Returns the phase before.
  aApi.RefuseUnknownRequest(aWorker, aRequestId, PhaseCallback());
};

} // namespace lovagerock::workers
