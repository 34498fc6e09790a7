#include "standin/worker/WorkerServer.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace lovagerock::standin {

using http::JsonResponse;
using http::Method;
using workers::WorkerError;

namespace detail {
namespace {

constexpr Duration kMaxPoll{ 60000 };
constexpr Duration kDefaultRequestTimeout{ 3600 * 1000 };

TimePoint
Now()
{
  return std::chrono::steady_clock::now();
}

std::int64_t
ReadNumber(std::string_view aText, std::int64_t aDefault)
{
  std::int64_t n = 0;
  const auto result = std::from_chars(aText.data(), aText.data() + aText.size(), n);
  return result.ec == std::errc() && n >= 0 ? n : aDefault;
}

const char*
ConflictName(std::error_code aError)
{
  switch (static_cast<WorkerError>(aError.value())) {
    case WorkerError::Fenced:
      return "fence";
    case WorkerError::NoCapacity:
      return "capacity";
    case WorkerError::Tombstone:
      return "tombstone";
    case WorkerError::Leaving:
      return "leaving";
    default:
      return nullptr;
  }
}

const char*
PhaseName(workers::RequestPhase aPhase)
{
  switch (aPhase) {
    case workers::RequestPhase::Unknown:
      return "unknown";
    case workers::RequestPhase::Running:
      return "running";
    case workers::RequestPhase::Done:
      return "done";
  }
  return "unknown";
}

http::Response
PhaseResponse(workers::RequestPhase aPhase)
{
  return JsonResponse(200, DumpJson({ { "phase", PhaseName(aPhase) } }));
}

http::Response
BytesResponse(std::string aBody)
{
  return { 200, { { "Content-Type", "application/octet-stream" } }, std::move(aBody) };
}

http::Response
ErrorResponse(int aStatus, const char* aError)
{
  return JsonResponse(aStatus, DumpJson({ { "error", aError } }));
}

http::Response
ResultResponse(const RequestResult& aResult)
{
  if (aResult.mStatus == 200) {
    return BytesResponse(aResult.mBody);
  }
  http::Headers headers;
  if (aResult.mNotRun) {
    headers.Add("Not-Run", *aResult.mNotRun ? "true" : "false");
  }
  return JsonResponse(aResult.mStatus, aResult.mBody, headers);
}

Duration
ReadDuration(const Json& aJson, const char* aKey)
{
  return Duration(std::max<std::int64_t>(0, JsonValue<std::int64_t>(aJson, aKey, 0)));
}

} // namespace
} // namespace detail

WorkerServer::WorkerServer(EventLoop& aLoop, const WorkerSettings& aSettings, Counters& aCounters,
                           TraceFile& aTrace)
  : mLoop(&aLoop)
  , mSettings(aSettings)
  , mCounters(&aCounters)
  , mTrace(&aTrace)
  , mReplies(aLoop)
  , mLeases(aSettings.mCapacity, [this](const LeaseEvent& aEvent) { OnLeaseEvent(aEvent); })
  , mRequests([this](const LeaseId& aLease,
                     const ServiceId& aService) { return mLeases.Admit(aLease, aService); },
              [this](const LeaseId& aLease) { mLeases.Leave(aLease); },
              [this](const RequestEvent& aEvent) {
                mCounters->Record(aEvent);
                mTrace->Record(mSettings.mWorker, aEvent);
              })
  , mUsage(aSettings.mUsageLag)
  , mServer(aLoop)
{
  Register();
  RegisterRequests();
  RegisterTests();
}

std::error_code
WorkerServer::Listen(const SocketAddress& aAddress)
{
  return mServer.Listen(aAddress);
}

void
WorkerServer::Route(Method aMethod, const char* aPattern, Handler aHandler)
{
  mServer.Handle(aMethod, aPattern,
                 [this, handler = std::move(aHandler)](const http::Request& aRequest,
                                                       const http::Responder& aResponder) {
                   if (mReplies.Faults().mFreeze) {
                     mReplies.Hold(aResponder);
                     return;
                   }
                   // What was due before the call takes effect before it.
                   Update();
                   handler(aRequest, aResponder);
                   Update();
                 });
}

void
WorkerServer::RouteCommand(Method aMethod, const char* aPattern, Command aCommand)
{
  Route(aMethod, aPattern,
        [this, command = std::move(aCommand)](const http::Request& aRequest,
                                              const http::Responder& aResponder) {
          const auto body = ParseJson(aRequest.mBody);
          const auto fence = body && body->is_object() && body->contains("fence")
                               ? workers::ReadFence((*body)["fence"])
                               : std::nullopt;
          if (!fence) {
            mReplies.Send(aResponder, detail::ErrorResponse(400, "malformed"));
            return;
          }
          if (const auto ec = command(LeaseId(aRequest.PathParameter("id")), *fence, *body)) {
            SendError(aResponder, ec);
            return;
          }
          mReplies.Send(aResponder, JsonResponse(200, "{}"));
        });
}

void
WorkerServer::Register()
{
  Route(Method::Get, "/v1/state",
        [this](const auto& aRequest, const auto& aResponder) { OnState(aRequest, aResponder); });
  Route(Method::Put, "/v1/leases/{id}",
        [this](const auto& aRequest, const auto& aResponder) { OnPut(aRequest, aResponder); });
  Route(Method::Post, "/v1/renew",
        [this](const auto& aRequest, const auto& aResponder) { OnRenew(aRequest, aResponder); });
  Route(Method::Get, "/v1/leases/{id}/answer",
        [this](const auto& aRequest, const auto& aResponder) {
          auto answer = mLeases.Answer(LeaseId(aRequest.PathParameter("id")));
          mReplies.Send(aResponder, answer ? detail::BytesResponse(std::move(*answer))
                                           : detail::ErrorResponse(404, "not_found"));
        });
  RouteCommand(Method::Delete, "/v1/leases/{id}",
               [this](const auto& aId, const auto& aFence, const Json&) {
                 return mLeases.Release(aId, aFence, detail::Now());
               });
  RouteCommand(Method::Post, "/v1/leases/{id}/start",
               [this](const auto& aId, const auto& aFence, const Json& aBody) {
                 const auto ec =
                   mLeases.Start(aId, aFence, detail::ReadDuration(aBody, "ttl_ms"), detail::Now());
                 RecordRefusal("start", aId.Value(), ec);
                 return ec;
               });
  RouteCommand(Method::Post, "/v1/leases/{id}/stop",
               [this](const auto& aId, const auto& aFence, const Json& aBody) {
                 return mLeases.Stop(aId, aFence, detail::ReadDuration(aBody, "deadline_ms"),
                                     JsonValue(aBody, "checkpoint", false), detail::Now());
               });
  RouteCommand(Method::Post, "/v1/leases/{id}/throttle",
               [this](const auto& aId, const auto& aFence, const Json& aBody) {
                 return mLeases.Throttle(aId, aFence, JsonValue(aBody, "percent", 100),
                                         detail::Now());
               });
  RouteCommand(Method::Post, "/v1/leases/{id}/checkpoint",
               [this](const auto& aId, const auto& aFence, const Json&) {
                 return mLeases.Checkpoint(aId, aFence, detail::Now());
               });
}

void
WorkerServer::RegisterRequests()
{
  Route(Method::Post, "/v1/services/{service}/requests/{id}",
        [this](const auto& aRequest, const auto& aResponder) { OnRequest(aRequest, aResponder); });
  Route(Method::Get, "/v1/requests/{id}", [this](const auto& aRequest, const auto& aResponder) {
    const auto phase = mRequests.Find(RequestId(aRequest.PathParameter("id")));
    mReplies.Send(aResponder, detail::PhaseResponse(phase));
  });
  Route(Method::Get, "/v1/requests/{id}/answer",
        [this](const auto& aRequest, const auto& aResponder) {
          const auto result = mRequests.Answer(RequestId(aRequest.PathParameter("id")));
          mReplies.Send(aResponder, result ? detail::ResultResponse(*result)
                                           : detail::ErrorResponse(404, "not_found"));
        });
  Route(Method::Delete, "/v1/requests/{id}", [this](const auto& aRequest, const auto& aResponder) {
    const RequestId id(aRequest.PathParameter("id"));
    const auto phase = aRequest.QueryParameter("phase") == "unknown"
                         ? mRequests.RefuseUnknown(id, detail::Now())
                         : mRequests.Drop(id, detail::Now());
    mReplies.Send(aResponder, detail::PhaseResponse(phase));
  });
}

// The calls for tests bypass the faults.
void
WorkerServer::RegisterTests()
{
  mServer.Handle(Method::Get, "/v1/counters",
                 [this](const http::Request&, const http::Responder& aResponder) {
                   aResponder.Send(JsonResponse(200, DumpJson(mCounters->Read())));
                 });
  mServer.Handle(Method::Post, "/v1/faults",
                 [this](const http::Request& aRequest, const http::Responder& aResponder) {
                   const auto json = ParseJson(aRequest.mBody);
                   if (!json || !json->is_object()) {
                     aResponder.Send(detail::ErrorResponse(400, "malformed"));
                     return;
                   }
                   mReplies.Change(*json);
                   mLeases.SetFailAll(mReplies.Faults().mFailAll);
                   mRequests.SetFailAll(mReplies.Faults().mFailAll);
                   aResponder.Send(JsonResponse(200, "{}"));
                 });
}

void
WorkerServer::RecordRefusal(const char* aCommand, const std::string& aId, std::error_code aError)
{
  if (aError) {
    const char* conflict = detail::ConflictName(aError);
    mTrace->RecordRefusal(mSettings.mWorker, aCommand, aId, conflict ? conflict : "not_found");
  }
}

void
WorkerServer::SendError(const http::Responder& aResponder, std::error_code aError)
{
  const char* conflict = detail::ConflictName(aError);
  if (!conflict) {
    mReplies.Send(aResponder, detail::ErrorResponse(404, "not_found"));
    return;
  }
  const Json body{ { "error", conflict }, { "fence", mLeases.HighestFence() } };
  mReplies.Send(aResponder, JsonResponse(409, DumpJson(body)));
}

void
WorkerServer::OnState(const http::Request& aRequest, const http::Responder& aResponder)
{
  const auto since = detail::ReadNumber(aRequest.QueryParameter("since"), 0);
  const Duration wait(detail::ReadNumber(aRequest.QueryParameter("wait_ms"), 0));
  const auto id = mNextPoll++;
  auto timeout = mLoop->After(std::min(wait, detail::kMaxPoll), [this, id] {
    const auto node = mPolls.extract(id);
    const auto tag = workers::WriteStateTag({ mSettings.mIncarnation, Sequence() });
    mReplies.Send(node.mapped().mResponder, { 204, { { "ETag", tag } }, {} }, false);
  });
  mPolls.emplace(id, Poll{ aResponder, static_cast<std::uint64_t>(since), std::move(timeout) });
}

void
WorkerServer::OnPut(const http::Request& aRequest, const http::Responder& aResponder)
{
  const auto json = ParseJson(aRequest.mBody);
  const auto request =
    json ? workers::ReadLeaseRequest(LeaseId(aRequest.PathParameter("id")), *json) : std::nullopt;
  if (!request) {
    mReplies.Send(aResponder, detail::ErrorResponse(400, "malformed"));
    return;
  }
  workers::LeaseState lease;
  if (const auto ec = mLeases.Put(*request, detail::Now(), lease)) {
    RecordRefusal("reserve", request->mLease.Value(), ec);
    SendError(aResponder, ec);
    return;
  }
  mReplies.Send(aResponder, JsonResponse(200, DumpJson(lease)));
}

void
WorkerServer::OnRenew(const http::Request& aRequest, const http::Responder& aResponder)
{
  const auto json = ParseJson(aRequest.mBody);
  const auto fence = json && json->is_object() && json->contains("fence")
                       ? workers::ReadFence((*json)["fence"])
                       : std::nullopt;
  if (!fence) {
    mReplies.Send(aResponder, detail::ErrorResponse(400, "malformed"));
    return;
  }
  std::vector<LeaseId> ids;
  for (auto& it : JsonValue<std::vector<std::string>>(*json, "leases", {})) {
    ids.emplace_back(std::move(it));
  }
  std::vector<LeaseId> unknown;
  if (const auto ec =
        mLeases.Renew(*fence, detail::ReadDuration(*json, "ttl_ms"), ids, detail::Now(), unknown)) {
    SendError(aResponder, ec);
    return;
  }
  Json body{ { "renewed", Json::array() }, { "unknown", Json::array() } };
  for (const auto& it : ids) {
    const bool known = std::find(unknown.begin(), unknown.end(), it) == unknown.end();
    body[known ? "renewed" : "unknown"].push_back(it.Value());
  }
  mReplies.Send(aResponder, JsonResponse(200, DumpJson(body)));
}

void
WorkerServer::OnRequest(const http::Request& aRequest, const http::Responder& aResponder)
{
  const Duration timeout(detail::ReadNumber(aRequest.mHeaders.Get("Request-Timeout-Ms"),
                                            detail::kDefaultRequestTimeout.count()));
  const auto& id = aRequest.PathParameter("id");
  mRequests.Begin(RequestId(id), LeaseId(std::string(aRequest.mHeaders.Get("Lease-Id"))),
                  ServiceId(aRequest.PathParameter("service")), aRequest.mBody, timeout,
                  detail::Now(), [this, aResponder, id](const RequestResult& aResult) {
                    if (aResult.mNotRun.value_or(false)) {
                      mTrace->RecordRefusal(mSettings.mWorker, "request", id,
                                            mLeaving ? "leaving" : "not_run");
                    }
                    mReplies.Send(aResponder, detail::ResultResponse(aResult));
                  });
}

void
WorkerServer::OnLeaseEvent(const LeaseEvent& aEvent)
{
  mCounters->Record(aEvent);
  mTrace->Record(mSettings.mWorker, aEvent);
  if (aEvent.mKind == LeaseEvent::Kind::Ended &&
      aEvent.mLease.mKind == workers::LeaseKind::Service) {
    mRequests.CancelLease(aEvent.mLease.mLease, detail::Now());
  }
}

workers::WorkerState
WorkerServer::State() const
{
  workers::WorkerState state;
  state.mWorker = mSettings.mWorker;
  state.mRegion = mSettings.mRegion;
  state.mZone = mSettings.mZone;
  state.mRack = mSettings.mRack;
  state.mIncarnation = mSettings.mIncarnation;
  state.mSequence = Sequence();
  state.mLeaving = mLeaving;
  state.mCapacity = mSettings.mCapacity;
  state.mConnections = mSettings.mConnections;
  state.mFence = mLeases.HighestFence();
  state.mBusyAccelerators = mReportedBusy;
  state.mUsageLag = mUsage.Lag();
  state.mLeases = mLeases.States(detail::Now());
  return state;
}

void
WorkerServer::AnswerPolls()
{
  const auto sequence = Sequence();
  std::string body;
  for (auto it = mPolls.begin(); it != mPolls.end();) {
    if (it->second.mSince >= sequence) {
      ++it;
      continue;
    }
    if (body.empty()) {
      body = DumpJson(State());
    }
    mReplies.Send(it->second.mResponder, JsonResponse(200, body), false);
    it = mPolls.erase(it);
  }
}

void
WorkerServer::Update()
{
  const auto now = detail::Now();
  // Requests end first, so that a service lease whose last request ended is stopped in one go.
  mRequests.Advance(now);
  mLeases.Advance(now);
  mUsage.Record(mLeases.BusyAccelerators(), now);
  const auto busy = mUsage.Reported(now);
  if (busy != mReportedBusy) {
    mReportedBusy = busy;
    ++mOtherChanges;
  }
  AnswerPolls();
  auto due = mRequests.NextDue();
  for (const auto& it : { mLeases.NextDue(), mUsage.NextDue() }) {
    if (it && (!due || *it < *due)) {
      due = it;
    }
  }
  mDue.Cancel();
  if (due) {
    mDue = mLoop->After(std::chrono::ceil<Duration>(*due - now), [this] { Update(); });
  }
}

void
WorkerServer::SetLeaving()
{
  if (!mLeaving) {
    mTrace->RecordLeaving(mSettings.mWorker);
  }
  mLeaving = true;
  ++mOtherChanges;
  mLeases.SetLeaving();
  Update();
}

void
WorkerServer::StopAll()
{
  mLeases.StopAll(detail::Now());
  Update();
}

bool
WorkerServer::IsIdle() const
{
  return mLeases.IsEmpty() && mRequests.Running() == 0;
}

} // namespace lovagerock::standin
