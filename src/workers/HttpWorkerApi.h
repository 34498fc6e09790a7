#pragma once

#include "base/EventLoop.h"
#include "http/HttpClient.h"
#include "workers/WorkerApi.h"
#include "workers/WorkerError.h"

namespace lovagerock::workers {

// Time beyond its wait after which a poll times out.
inline constexpr Duration kPollMargin{ 800 };
// Timeout of a reservation. The start of a gang allows 0.5 s for it.
inline constexpr Duration kReserveTimeout{ 500 };
// Timeout of the other commands. A start must be confirmed within this time.
inline constexpr Duration kCommandTimeout{ 2000 };
// Timeout of reading the answer of a task or request, which may be large.
inline constexpr Duration kAnswerTimeout{ 30000 };

// Implements WorkerApi over HTTP. Must be used on the loop of the HttpClient. Callbacks of calls
// that are open when the HttpClient is destroyed don't run.
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
  void RefuseUnknownRequest(const SocketAddress& aWorker, const RequestId& aRequest,
                            PhaseCallback aCallback);

private:
  using ResponseCallback = std::function<void(std::error_code, const http::Response&)>;

  // Sends a request; converts transport errors and refusals to WorkerError.
  void Call(const http::ClientRequest& aRequest, ResponseCallback aCallback);
  void SendCommand(const SocketAddress& aWorker, const LeaseId& aLease, const char* aCommand,
                   const Json& aBody, DoneCallback aCallback);
  void SendPhaseRequest(http::Method aMethod, const SocketAddress& aWorker,
                        const std::string& aTarget, PhaseCallback aCallback);

  http::HttpClient* mClient;
};

static_assert(WorkerApi<HttpWorkerApi>);

} // namespace lovagerock::workers
