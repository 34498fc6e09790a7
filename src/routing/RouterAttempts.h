#pragma once

// Attempts at workers in the Router: sending requests, receiving responses, and probing workers
// about requests without activity.

#include "routing/Router.h"

namespace lovagerock::routing {

template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
void
Router<S, T, W>::StartAttempt(RequestTask& aTask)
{
  const auto now = Now();
  const auto& replica = *aTask.mReplica;
  ++aTask.mAttempt;
  aTask.mNotRun = aTask.mCancelled = aTask.mSeenByWorker = aTask.mResponseLost =
    aTask.mTombstoneAfterStart = false;
  aTask.mDoneProbes = 0;
  aTask.mLastContact = now;
  auto& request = aTask.mRequest;
  LogEvent("route")
    .With("request", request.mId)
    .With("account", request.mAccount)
    .With("service", request.mService)
    .With("worker", replica.mHost->mWorker)
    .With("attempt", std::to_string(aTask.mAttempt))
    .With("reason", aTask.mRetryReason);
  http::ClientRequest call;
  call.mServer = replica.mHost->mAddress;
  call.mMethod = http::Method::Post;
  call.mTarget = "/v1/services/" + http::EncodeComponent(request.mService.Value()) + "/requests/" +
                 aTask.AttemptId().Value();
  call.mHeaders = request.mHeaders;
  const auto left = std::chrono::duration_cast<Duration>(aTask.mDeadline - now).count() + 1;
  call.mHeaders.Add("Lease-Id", replica.mLease.Value());
  call.mHeaders.Add("Request-Timeout-Ms", std::to_string(left));
  call.mHeaders.Add("Idempotent", request.mIdempotent ? "true" : "false");
  // The HTTP client copies the body when the call is opened. Swapping it in and out avoids a second
  // copy.
  call.mBody.swap(request.mBody);
  OpenCall(aTask, call);
  call.mBody.swap(request.mBody);
}

template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
void
Router<S, T, W>::OpenCall(RequestTask& aTask, http::ClientRequest& aRequest)
{
  ++aTask.mGeneration;
  aTask.SetState(RequestState::Sending);
  aTask.mProbeOpen = false;
  aTask.mCallOpen = true;
  aTask.mLastActivity = Now();
  aTask.mFetching = aRequest.mMethod == http::Method::Get;
  // The router ends the call at the request's deadline. The call's own deadline is 2 s later, as a
  // fallback.
  aRequest.mDeadline =
    std::chrono::duration_cast<Duration>(aTask.mDeadline - aTask.mLastActivity) + Duration(2000);
  http::StreamCallbacks callbacks;
  callbacks.mOnHeaders =
    ForCall(aTask, [this](RequestTask& aCurrent, int aStatus, const http::Headers& aHeaders) {
      OnResponseHeaders(aCurrent, aStatus, aHeaders);
    });
  callbacks.mOnData = ForCall(aTask, [this](RequestTask& aCurrent, std::string_view aData) {
    OnResponseData(aCurrent, aData);
  });
  callbacks.mOnEnd = ForCall(
    aTask, [this](RequestTask& aCurrent, std::error_code aError) { OnCallEnd(aCurrent, aError); });
  aTask.mCall = mClient.Stream(aRequest, std::move(callbacks));
}

template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
void
Router<S, T, W>::CloseCall(RequestTask& aTask)
{
  // From here on, results of the call and of probes about it are ignored as late.
  ++aTask.mGeneration;
  aTask.mProbeOpen = false;
  if (std::exchange(aTask.mCallOpen, false)) {
    aTask.mCall.Cancel();
  }
}

template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
void
Router<S, T, W>::OnResponseHeaders(RequestTask& aTask, int aStatus, const http::Headers& aHeaders)
{
  aTask.mLastActivity = aTask.mLastContact = Now();
  if (!aTask.mFetching && aStatus == 503 && aHeaders.Has("Not-Run")) {
    aTask.mNotRun = aHeaders.Get("Not-Run") == "true";
    aTask.mCancelled = !aTask.mNotRun;
    return;
  }
  aTask.mSeenByWorker = true;
  if (aTask.mFetching && aStatus == 404) {
    aTask.mResponseLost = true;
    return;
  }
  aTask.BeginResponse(aStatus, aHeaders);
  if (aTask.IsResponseStarted()) {
    aTask.SetState(RequestState::Streaming);
  } else if (aTask.State() == RequestState::Probing) {
    aTask.SetState(RequestState::Sending);
  }
}

template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
void
Router<S, T, W>::OnResponseData(RequestTask& aTask, std::string_view aData)
{
  if (aTask.mNotRun || aTask.mCancelled || aTask.mResponseLost) {
    return;
  }
  aTask.mLastActivity = aTask.mLastContact = Now();
  if (aTask.State() == RequestState::Probing) {
    aTask.SetState(aTask.IsResponseStarted() ? RequestState::Streaming : RequestState::Sending);
  }
  aTask.AppendToResponse(aData);
}

template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
void
Router<S, T, W>::OnCallEnd(RequestTask& aTask, std::error_code aError)
{
  aTask.mCallOpen = false;
  if (!aError) {
    OnResponseEnd(aTask);
  } else if (aTask.mFetching) {
    // If nothing has been sent to the caller yet, the response is fetched again after the next
    // probe.
    aTask.mLastActivity = Now();
    if (aTask.IsResponseStarted()) {
      OnConnectionLost(aTask);
    } else {
      aTask.SetState(RequestState::Probing);
    }
  } else if (aError == http::HttpError::NotSent) {
    RecordOutcome(aTask, false);
    Retry(aTask, "not_sent", true);
  } else {
    RecordOutcome(aTask, false);
    OnConnectionLost(aTask);
  }
}

template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
void
Router<S, T, W>::OnResponseEnd(RequestTask& aTask)
{
  const bool idempotent = aTask.mRequest.mIdempotent;
  if (aTask.mNotRun) {
    Retry(aTask, "not_run", true);
  } else if (aTask.mCancelled && !idempotent) {
    Refuse(aTask, { 503, "cancelled", "the worker cancelled the request while it was running",
                    Ran::Partly, false, Duration(0) });
  } else if (aTask.mResponseLost && !idempotent) {
    Refuse(aTask, { 502, "answer_lost", "the worker no longer has the response", Ran::Unknown,
                    false, Duration(0) });
  } else if (aTask.mCancelled || aTask.mResponseLost) {
    Retry(aTask, aTask.mCancelled ? "cancelled" : "answer_lost", false);
  } else {
    RecordOutcome(aTask, aTask.ResponseStatus() < 500);
    EstimatorOf(aTask).RecordRunTime(
      std::chrono::duration_cast<std::chrono::microseconds>(Now() - aTask.mReservedAt));
    Finish(aTask, aTask.TakeResponse());
  }
}

// Handles the loss of the worker's connection, or of the rest of its response, before the response
// was complete.
template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
void
Router<S, T, W>::OnConnectionLost(RequestTask& aTask)
{
  const auto& request = aTask.mRequest;
  if (aTask.IsResponseStarted()) {
    aTask.AbortCaller();
    if (request.mKey.empty() || request.mIdempotent) {
      Refuse(aTask, { 502, "answer_cut", "the worker's response was truncated", Ran::Unknown,
                      request.mIdempotent, Duration(0) });
      return;
    }
    // The complete response is still fetched from the worker, for a retry with the same key.
  } else if (request.mIdempotent) {
    Retry(aTask, "connection_lost", false);
    return;
  }
  aTask.ResetResponse();
  aTask.mLastActivity = Now();
  Probe(aTask);
}

template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
void
Router<S, T, W>::RecordOutcome(RequestTask& aTask, bool aSuccess)
{
  auto& host = *aTask.mReplica->mHost;
  if (mPicker.RecordOutcome(host, aSuccess, Now())) {
    mMetrics.AddEjection();
    LogEvent("worker_ejected", LogLevel::Warning).With("worker", host.mWorker);
  }
}

template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
void
Router<S, T, W>::Probe(RequestTask& aTask)
{
  aTask.SetState(RequestState::Probing);
  aTask.mProbeOpen = true;
  mWorkers.FindRequest(
    aTask.mReplica->mHost->mAddress, aTask.AttemptId(),
    ForCall(aTask, [this](RequestTask& aCurrent, std::error_code aError,
                          workers::RequestPhase aPhase) { OnProbe(aCurrent, aError, aPhase); }));
}

template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
void
Router<S, T, W>::OnProbe(RequestTask& aTask, std::error_code aError, workers::RequestPhase aPhase)
{
  aTask.mProbeOpen = false;
  if (aError) {
    OnProbeFailed(aTask);
    return;
  }
  aTask.mLastContact = Now();
  LogEvent("request_probed")
    .With("request", aTask.mRequest.mId)
    .With("worker", aTask.mReplica->mHost->mWorker)
    .With("phase", aPhase == workers::RequestPhase::Running ? "running"
                   : aPhase == workers::RequestPhase::Done  ? "done"
                                                            : "unknown");
  if (aPhase == workers::RequestPhase::Unknown) {
    OnRequestUnknown(aTask);
    return;
  }
  aTask.mSeenByWorker = true;
  if (aPhase == workers::RequestPhase::Running) {
    aTask.mDoneProbes = 0;
  } else if (!aTask.IsResponseStarted()) {
    FetchResponse(aTask);
  } else if (++aTask.mDoneProbes > 1) {
    // At the first such probe, the rest of a streamed response may still be in transit; at the
    // second, it is lost.
    CloseCall(aTask);
    OnConnectionLost(aTask);
  }
}

template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
void
Router<S, T, W>::OnRequestUnknown(RequestTask& aTask)
{
  if (aTask.IsResponseStarted() && aTask.mRequest.mIdempotent) {
    // The rest of the response won't arrive, and the caller can't be sent another one.
    CloseCall(aTask);
    OnConnectionLost(aTask);
  } else if (aTask.mSeenByWorker && aTask.mRequest.mIdempotent) {
    Retry(aTask, "answer_lost", false);
  } else if (aTask.mSeenByWorker) {
    CloseCall(aTask);
    Refuse(aTask, { 502, "answer_lost", "the worker no longer has a record of the request",
                    aTask.mTombstoneAfterStart ? Ran::Partly : Ran::Unknown, false, Duration(0) });
  } else {
    aTask.mProbeOpen = true;
    mWorkers.RefuseUnknownRequest(
      aTask.mReplica->mHost->mAddress, aTask.AttemptId(),
      ForCall(aTask,
              [this](RequestTask& aCurrent, std::error_code aError, workers::RequestPhase aPhase) {
                OnTombstoneResult(aCurrent, aError, aPhase);
              }));
  }
}

template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
void
Router<S, T, W>::OnTombstoneResult(RequestTask& aTask, std::error_code aError,
                                   workers::RequestPhase aPhase)
{
  aTask.mProbeOpen = false;
  if (aError) {
    OnProbeFailed(aTask);
  } else if (aPhase == workers::RequestPhase::Unknown && aTask.mSeenByWorker) {
    // The response began to arrive while the tombstone was being set.
    OnRequestUnknown(aTask);
  } else if (aPhase == workers::RequestPhase::Unknown && aTask.mRequest.mIdempotent) {
    // A restarted worker doesn't know what it ran before, so the attempt may have run.
    Retry(aTask, "unknown_at_worker", false);
  } else if (aPhase == workers::RequestPhase::Unknown) {
    CheckIncarnation(aTask);
  } else {
    // The request arrived at the worker between the probe and the tombstone, so it goes on. If its
    // connection delivers nothing, the next probe finds out its phase.
    aTask.mSeenByWorker = true;
    aTask.mTombstoneAfterStart = aPhase == workers::RequestPhase::Running;
  }
}

// Handles a worker that doesn't know a non-idempotent attempt. This proves that the attempt was not
// run only if the worker hasn't been restarted since, because a restarted worker doesn't know what
// it ran before.
template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
void
Router<S, T, W>::CheckIncarnation(RequestTask& aTask)
{
  aTask.mProbeOpen = true;
  mWorkers.Poll(aTask.mReplica->mHost->mAddress, 0, Duration(0),
                ForCall(aTask, [this](RequestTask& aCurrent, std::error_code aError,
                                      const workers::PollAnswer& aAnswer) {
                  aCurrent.mProbeOpen = false;
                  const auto& state = aAnswer.mState;
                  if (aError || !state) {
                    OnProbeFailed(aCurrent);
                  } else if (aCurrent.mSeenByWorker) {
                    OnRequestUnknown(aCurrent);
                  } else if (state->mIncarnation == aCurrent.mReplica->mHost->mIncarnation) {
                    Retry(aCurrent, "unknown_at_worker", true);
                  } else {
                    CloseCall(aCurrent);
                    Refuse(aCurrent,
                           { 502, "worker_restarted",
                             "the worker was restarted after the request was routed to it",
                             Ran::Unknown, false, Duration(0) });
                  }
                }));
}

// Handles a probe that got no response. Idempotent requests are retried after mUnresponsiveLimit;
// non-idempotent ones wait until their deadline.
template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
void
Router<S, T, W>::OnProbeFailed(RequestTask& aTask)
{
  if (!aTask.mRequest.mIdempotent || Now() < aTask.mLastContact + mOptions.mUnresponsiveLimit) {
    return;
  }
  RecordOutcome(aTask, false);
  DropAtWorker(aTask);
  CloseCall(aTask);
  if (aTask.IsResponseStarted()) {
    OnConnectionLost(aTask);
  } else {
    Retry(aTask, "worker_silent", false);
  }
}

template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
void
Router<S, T, W>::FetchResponse(RequestTask& aTask)
{
  CloseCall(aTask);
  aTask.ResetResponse();
  http::ClientRequest call;
  call.mServer = aTask.mReplica->mHost->mAddress;
  call.mTarget = "/v1/requests/" + aTask.AttemptId().Value() + "/answer";
  call.mNewConnection = true;
  OpenCall(aTask, call);
}

// Cancels an attempt at its worker when its outcome no longer matters.
template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
void
Router<S, T, W>::DropAtWorker(RequestTask& aTask)
{
  mWorkers.DropRequest(aTask.mReplica->mHost->mAddress, aTask.AttemptId(),
                       [](std::error_code, workers::RequestPhase) {});
}

} // namespace lovagerock::routing
