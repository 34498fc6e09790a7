#include "workers/HttpWorkerApi.h"

#include "http/HttpError.h"

#include <utility>

namespace lovagerock::workers {

namespace detail {
namespace {

using http::HttpError;
using http::Method;

http::ClientRequest
MakeRequest(const SocketAddress& aWorker, Method aMethod, std::string aTarget, Duration aDeadline)
{
  http::ClientRequest request;
  request.mServer = aWorker;
  request.mMethod = aMethod;
  request.mTarget = std::move(aTarget);
  request.mDeadline = aDeadline;
  return request;
}

std::string
LeaseTarget(const LeaseId& aLease, const std::string& aCommand = {})
{
  return "/v1/leases/" + http::EncodeComponent(aLease.Value()) +
         (aCommand.empty() ? "" : "/" + aCommand);
}

std::string
RequestTarget(const RequestId& aRequest)
{
  return "/v1/requests/" + http::EncodeComponent(aRequest.Value());
}

std::error_code
TranslateHttpError(std::error_code aError)
{
  if (aError == make_error_code(HttpError::NotSent)) {
    return WorkerError::NotSent;
  }
  if (aError == make_error_code(HttpError::AnswerTooLarge)) {
    return WorkerError::BadAnswer;
  }
  return WorkerError::OutcomeUnknown;
}

std::error_code
TranslateConflict(const std::string& aBody)
{
  const auto json = ParseJson(aBody);
  const auto name = json ? JsonValue<std::string>(*json, "error", "") : std::string();
  if (name == "fence") {
    return WorkerError::Fenced;
  }
  if (name == "capacity") {
    return WorkerError::NoCapacity;
  }
  if (name == "tombstone") {
    return WorkerError::Tombstone;
  }
  if (name == "leaving") {
    return WorkerError::Leaving;
  }
  return WorkerError::BadAnswer;
}

std::error_code
TranslateStatus(const http::Response& aResponse)
{
  if (aResponse.mStatus >= 200 && aResponse.mStatus < 300) {
    return {};
  }
  if (aResponse.mStatus == 409) {
    return TranslateConflict(aResponse.mBody);
  }
  if (aResponse.mStatus == 404) {
    return WorkerError::NotFound;
  }
  // An error inside the worker may occur before or after the command took effect.
  return aResponse.mStatus >= 500 ? WorkerError::OutcomeUnknown : WorkerError::BadAnswer;
}

std::optional<RequestPhase>
ReadPhase(const std::string& aBody)
{
  const auto json = ParseJson(aBody);
  const auto name = json ? JsonValue<std::string>(*json, "phase", "") : std::string();
  if (name == "unknown") {
    return RequestPhase::Unknown;
  }
  if (name == "running") {
    return RequestPhase::Running;
  }
  return name == "done" ? std::optional(RequestPhase::Done) : std::nullopt;
}

std::optional<std::vector<LeaseId>>
ReadUnknownLeases(const std::string& aBody)
{
  const auto json = ParseJson(aBody);
  if (!json || !json->is_object() || !json->contains("unknown")) {
    return std::nullopt;
  }
  std::vector<LeaseId> leases;
  for (const auto& it : (*json)["unknown"]) {
    if (!it.is_string()) {
      return std::nullopt;
    }
    leases.emplace_back(it.get<std::string>());
  }
  return leases;
}

} // namespace
} // namespace detail

HttpWorkerApi::HttpWorkerApi(http::HttpClient& aClient)
  : mClient(&aClient)
{
}

void
HttpWorkerApi::Call(const http::ClientRequest& aRequest, ResponseCallback aCallback)
{
  auto* client = mClient;
  mClient->Send(aRequest, [client, server = aRequest.mServer, callback = std::move(aCallback)](
                            std::error_code aError, const http::Response& aResponse) {
    if (aError && aError != make_error_code(http::HttpError::NotSent)) {
      // Other pooled connections to a worker that does not respond have probably failed too, so the
      // next call must open a new one, which shows whether new connections work.
      client->CloseIdle(server);
    }
    callback(aError ? detail::TranslateHttpError(aError) : detail::TranslateStatus(aResponse),
             aResponse);
  });
}

void
HttpWorkerApi::SendCommand(const SocketAddress& aWorker, const LeaseId& aLease,
                           const char* aCommand, const Json& aBody, DoneCallback aCallback)
{
  auto request = detail::MakeRequest(aWorker, http::Method::Post,
                                     detail::LeaseTarget(aLease, aCommand), kCommandTimeout);
  request.mBody = DumpJson(aBody);
  Call(request, [callback = std::move(aCallback)](std::error_code aError, const http::Response&) {
    callback(aError);
  });
}

void
HttpWorkerApi::Poll(const SocketAddress& aWorker, std::uint64_t aSince, Duration aWait,
                    PollCallback aCallback)
{
  const auto target =
    "/v1/state?since=" + std::to_string(aSince) + "&wait_ms=" + std::to_string(aWait.count());
  const auto request = detail::MakeRequest(aWorker, http::Method::Get, target, aWait + kPollMargin);
  Call(request, [callback = std::move(aCallback)](std::error_code aError,
                                                  const http::Response& aResponse) {
    PollAnswer answer;
    if (aError || aResponse.mStatus == 204) {
      answer.mVersion = ReadStateTag(aResponse.mHeaders.Get("ETag"));
      callback(aError, std::move(answer));
      return;
    }
    const auto json = ParseJson(aResponse.mBody);
    answer.mState = json ? ReadWorkerState(*json) : std::nullopt;
    const auto ec = answer.mState ? std::error_code() : make_error_code(WorkerError::BadAnswer);
    callback(ec, std::move(answer));
  });
}

void
HttpWorkerApi::Reserve(const SocketAddress& aWorker, const LeaseRequest& aRequest,
                       LeaseCallback aCallback)
{
  auto request = detail::MakeRequest(aWorker, http::Method::Put,
                                     detail::LeaseTarget(aRequest.mLease), kReserveTimeout);
  request.mBody = DumpJson(aRequest);
  Call(request,
       [callback = std::move(aCallback)](std::error_code aError, const http::Response& aResponse) {
         if (aError) {
           callback(aError, {});
           return;
         }
         const auto json = ParseJson(aResponse.mBody);
         auto lease = json ? ReadLeaseState(*json) : std::nullopt;
         if (!lease) {
           callback(WorkerError::BadAnswer, {});
           return;
         }
         callback({}, std::move(*lease));
       });
}

void
HttpWorkerApi::Start(const SocketAddress& aWorker, const LeaseId& aLease, const Fence& aFence,
                     Duration aTtl, DoneCallback aCallback)
{
  SendCommand(aWorker, aLease, "start", { { "fence", aFence }, { "ttl_ms", aTtl.count() } },
              std::move(aCallback));
}

void
HttpWorkerApi::Renew(const SocketAddress& aWorker, const Fence& aFence, Duration aTtl,
                     const std::vector<LeaseId>& aLeases, RenewCallback aCallback)
{
  Json leases = Json::array();
  for (const auto& it : aLeases) {
    leases.push_back(it.Value());
  }
  auto request = detail::MakeRequest(aWorker, http::Method::Post, "/v1/renew", kCommandTimeout);
  request.mBody =
    DumpJson({ { "fence", aFence }, { "ttl_ms", aTtl.count() }, { "leases", std::move(leases) } });
  Call(request,
       [callback = std::move(aCallback)](std::error_code aError, const http::Response& aResponse) {
         auto unknown = aError ? std::nullopt : detail::ReadUnknownLeases(aResponse.mBody);
         if (!aError && !unknown) {
           aError = WorkerError::BadAnswer;
         }
         callback(aError, unknown ? std::move(*unknown) : std::vector<LeaseId>());
       });
}

void
HttpWorkerApi::Stop(const SocketAddress& aWorker, const LeaseId& aLease, const Fence& aFence,
                    Duration aDeadline, bool aCheckpoint, DoneCallback aCallback)
{
  SendCommand(
    aWorker, aLease, "stop",
    { { "fence", aFence }, { "deadline_ms", aDeadline.count() }, { "checkpoint", aCheckpoint } },
    std::move(aCallback));
}

void
HttpWorkerApi::Throttle(const SocketAddress& aWorker, const LeaseId& aLease, const Fence& aFence,
                        int aPercent, DoneCallback aCallback)
{
  SendCommand(aWorker, aLease, "throttle", { { "fence", aFence }, { "percent", aPercent } },
              std::move(aCallback));
}

void
HttpWorkerApi::Checkpoint(const SocketAddress& aWorker, const LeaseId& aLease, const Fence& aFence,
                          DoneCallback aCallback)
{
  SendCommand(aWorker, aLease, "checkpoint", { { "fence", aFence } }, std::move(aCallback));
}

void
HttpWorkerApi::FetchAnswer(const SocketAddress& aWorker, const LeaseId& aLease,
                           AnswerCallback aCallback)
{
  const auto request = detail::MakeRequest(aWorker, http::Method::Get,
                                           detail::LeaseTarget(aLease, "answer"), kAnswerTimeout);
  Call(request,
       [callback = std::move(aCallback)](std::error_code aError, const http::Response& aResponse) {
         callback(aError, aError ? std::string() : aResponse.mBody);
       });
}

void
HttpWorkerApi::Release(const SocketAddress& aWorker, const LeaseId& aLease, const Fence& aFence,
                       DoneCallback aCallback)
{
  auto request = detail::MakeRequest(aWorker, http::Method::Delete, detail::LeaseTarget(aLease),
                                     kCommandTimeout);
  request.mBody = DumpJson({ { "fence", aFence } });
  Call(request, [callback = std::move(aCallback)](std::error_code aError, const http::Response&) {
    callback(aError);
  });
}

void
HttpWorkerApi::SendPhaseRequest(http::Method aMethod, const SocketAddress& aWorker,
                                const std::string& aTarget, PhaseCallback aCallback)
{
  auto request = detail::MakeRequest(aWorker, aMethod, aTarget, kCommandTimeout);
  request.mNewConnection = true;
  Call(request,
       [callback = std::move(aCallback)](std::error_code aError, const http::Response& aResponse) {
         const auto phase = aError ? std::nullopt : detail::ReadPhase(aResponse.mBody);
         if (!aError && !phase) {
           aError = WorkerError::BadAnswer;
         }
         callback(aError, phase.value_or(RequestPhase::Unknown));
       });
}

void
HttpWorkerApi::FindRequest(const SocketAddress& aWorker, const RequestId& aRequest,
                           PhaseCallback aCallback)
{
  SendPhaseRequest(http::Method::Get, aWorker, detail::RequestTarget(aRequest),
                   std::move(aCallback));
}

void
HttpWorkerApi::FetchRequestAnswer(const SocketAddress& aWorker, const RequestId& aRequest,
                                  AnswerCallback aCallback)
{
  auto request = detail::MakeRequest(aWorker, http::Method::Get,
                                     detail::RequestTarget(aRequest) + "/answer", kAnswerTimeout);
  request.mNewConnection = true;
  Call(request,
       [callback = std::move(aCallback)](std::error_code aError, const http::Response& aResponse) {
         callback(aError, aError ? std::string() : aResponse.mBody);
       });
}

void
HttpWorkerApi::DropRequest(const SocketAddress& aWorker, const RequestId& aRequest,
                           PhaseCallback aCallback)
{
  SendPhaseRequest(http::Method::Delete, aWorker, detail::RequestTarget(aRequest),
                   std::move(aCallback));
}

void
HttpWorkerApi::RefuseUnknownRequest(const SocketAddress& aWorker, const RequestId& aRequest,
                                    PhaseCallback aCallback)
{
  SendPhaseRequest(http::Method::Delete, aWorker,
                   detail::RequestTarget(aRequest) + "?phase=unknown", std::move(aCallback));
}

} // namespace lovagerock::workers
