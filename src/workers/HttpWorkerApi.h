#pragma once

#include "base/EventLoop.h"
#include "http/HttpClient.h"
#include "workers/WorkerApi.h"
#include "workers/WorkerError.h"

namespace lovagerock::workers {

// Time after the wait of a poll until the poll is abandoned.
inline constexpr Duration kPollMargin{ 800 };
// Limit of a reservation. A gang's start has 0.5 s for it.
inline constexpr Duration kReserveDeadline{ 500 };
// Limit of the other commands, the time in which a start must be confirmed.
inline constexpr Duration kCommandDeadline{ 2000 };
// Limit of reading an answer, which may be large.
inline constexpr Duration kAnswerDeadline{ 30000 };

// Talks the worker protocol over HTTP. Belongs to the client's loop. Callbacks of calls that are
// open when the client is destroyed don't run.
class HttpWorkerApi
{
public:
  explicit HttpWorkerApi(http::HttpClient& aClient);

  void
  Poll(const SocketAddress& aWorker, std::uint64_t aSince, Duration aWait, PollCallback aCallback);
  void Reserve(const SocketAddress& aWorker, const LeaseRequest& aRequest, LeaseCallback aCallback);
  void Start(const SocketAddress& aWorker, const LeaseId& aLease, const Fence& aFence,
             Duration aTtl, DoneCallback aCallback);
  void Renew(const SocketAddress& aWorker, const Fence& aFence, Duration aTtl,
             const std::vector<LeaseId>& aLeases, RenewCallback aCallback);
  void Stop(const SocketAddress& aWorker, const LeaseId& aLease, const Fence& aFence,
            Duration aDeadline, bool aCheckpoint, DoneCallback aCallback);
  void Throttle(const SocketAddress& aWorker, const LeaseId& aLease, const Fence& aFence,
                int aPercent, DoneCallback aCallback);
  void Checkpoint(const SocketAddress& aWorker, const LeaseId& aLease, const Fence& aFence,
                  DoneCallback aCallback);
  void FetchAnswer(const SocketAddress& aWorker, const LeaseId& aLease, AnswerCallback aCallback);
  void Release(const SocketAddress& aWorker, const LeaseId& aLease, const Fence& aFence,
               DoneCallback aCallback);
  void
  FindRequest(const SocketAddress& aWorker, const RequestId& aRequest, PhaseCallback aCallback);
  void FetchRequestAnswer(const SocketAddress& aWorker, const RequestId& aRequest,
                          AnswerCallback aCallback);
  void
  DropRequest(const SocketAddress& aWorker, const RequestId& aRequest, PhaseCallback aCallback);

private:
  using ResponseCallback = std::function<void(std::error_code, const http::Response&)>;

  // Makes a call and translates transport errors and refusals.
  void Call(const http::ClientRequest& aRequest, ResponseCallback aCallback);
  void Command(const SocketAddress& aWorker, const LeaseId& aLease, const char* aCommand,
               const Json& aBody, DoneCallback aCallback);
  void AskPhase(http::Method aMethod, const SocketAddress& aWorker, const RequestId& aRequest,
                PhaseCallback aCallback);

  http::HttpClient* mClient;
};

static_assert(WorkerApi<HttpWorkerApi>);

} // namespace lovagerock::workers
