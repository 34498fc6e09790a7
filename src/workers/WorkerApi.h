#pragma once

#include "base/SocketAddress.h"
#include "workers/WorkerState.h"

#include <functional>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

namespace lovagerock::workers {

// What a worker knows of a service request.
enum class RequestPhase
{
  Unknown,
  Running,
  Done,
};

// What a poll found.
struct PollAnswer
{
  // The state; nothing if it did not change during the wait.
  std::optional<WorkerState> mState;
  // The version of an unchanged state; nothing if the worker does not name it.
  std::optional<StateVersion> mVersion;
};

using DoneCallback = std::function<void(std::error_code)>;
using PollCallback = std::function<void(std::error_code, PollAnswer)>;
using LeaseCallback = std::function<void(std::error_code, LeaseState)>;
// Receives the leases that the worker doesn't know.
using RenewCallback = std::function<void(std::error_code, std::vector<LeaseId>)>;
using AnswerCallback = std::function<void(std::error_code, std::string)>;
using PhaseCallback = std::function<void(std::error_code, RequestPhase)>;

// The lease commands of the worker protocol as the modules use them. Calls are asynchronous,
// callbacks run on the caller's loop and never inside the call. Errors are WorkerError.
template<typename T>
concept WorkerApi = requires(T aApi, const SocketAddress& aWorker, const LeaseRequest& aRequest,
                             const LeaseId& aLease, const RequestId& aRequestId,
                             const Fence& aFence, const std::vector<LeaseId>& aLeases,
                             std::uint64_t aSince, Duration aDuration, bool aCheckpoint,
                             int aPercent)
{
  // Reads the state once its sequence is above aSince; no state after the wait, only its version.
  aApi.Poll(aWorker, aSince, aDuration, PollCallback());
  // Reserves capacity; the same lease id again gives the same answer.
  aApi.Reserve(aWorker, aRequest, LeaseCallback());
  aApi.Start(aWorker, aLease, aFence, aDuration, DoneCallback());
  aApi.Renew(aWorker, aFence, aDuration, aLeases, RenewCallback());
  // Stops the task; the deadline bounds the time for a checkpoint.
  aApi.Stop(aWorker, aLease, aFence, aDuration, aCheckpoint, DoneCallback());
  aApi.Throttle(aWorker, aLease, aFence, aPercent, DoneCallback());
  aApi.Checkpoint(aWorker, aLease, aFence, DoneCallback());
  // Reads the answer of a finished task.
  aApi.FetchAnswer(aWorker, aLease, AnswerCallback());
  // Gives capacity back or acknowledges an answer; the lease id is never accepted again.
  aApi.Release(aWorker, aLease, aFence, DoneCallback());
  // Asks over a new connection what the worker knows of a service request.
  aApi.FindRequest(aWorker, aRequestId, PhaseCallback());
  // Reads the kept answer of a service request over a new connection.
  aApi.FetchRequestAnswer(aWorker, aRequestId, AnswerCallback());
  // Cancels a request, or makes the worker refuse it if it arrives later; gives the phase before.
  aApi.DropRequest(aWorker, aRequestId, PhaseCallback());
};

} // namespace lovagerock::workers
