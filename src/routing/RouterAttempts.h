#pragma once

// Attempts at workers in the Router: sending, the answer, and questions about silent requests.

#include "routing/Router.h"

namespace lovagerock::routing {

template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
void
Router<S, T, W>::StartAttempt(RequestTask& aTask)
{
  const auto now = Now();
  const auto& replica = *aTask.mReplica;
  ++aTask.mAttempt;
  aTask.mNotRun = aTask.mCancelled = aTask.mSeen = aTask.mAnswerLost = aTask.mDropped = false;
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
  // The client copies the body while the call is opened, so it is lent rather than copied twice.
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
  // The deadline of the request ends the call; this one is a margin behind it.
  aRequest.mDeadline =
    std::chrono::duration_cast<Duration>(aTask.mDeadline - aTask.mLastActivity) + Duration(2000);
  http::StreamCallbacks callbacks;
  callbacks.mOnHeaders =
    ForCall(aTask, [this](RequestTask& aCurrent, int aStatus, const http::Headers& aHeaders) {
      OnHead(aCurrent, aStatus, aHeaders);
    });
  callbacks.mOnData = ForCall(
    aTask, [this](RequestTask& aCurrent, std::string_view aData) { OnData(aCurrent, aData); });
  callbacks.mOnEnd = ForCall(
    aTask, [this](RequestTask& aCurrent, std::error_code aError) { OnEnd(aCurrent, aError); });
  aTask.mCall = mClient.Stream(aRequest, std::move(callbacks));
}

template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
void
Router<S, T, W>::CloseCall(RequestTask& aTask)
{
  // Results of the call and of questions about it are late from here on.
  ++aTask.mGeneration;
  aTask.mProbeOpen = false;
  if (std::exchange(aTask.mCallOpen, false)) {
    aTask.mCall.Cancel();
  }
}

template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
void
Router<S, T, W>::OnHead(RequestTask& aTask, int aStatus, const http::Headers& aHeaders)
{
  aTask.mLastActivity = aTask.mLastContact = Now();
  if (!aTask.mFetching && aStatus == 503 && aHeaders.Has("Not-Run")) {
    aTask.mNotRun = aHeaders.Get("Not-Run") == "true";
    aTask.mCancelled = !aTask.mNotRun;
    return;
  }
  aTask.mSeen = true;
  if (aTask.mFetching && aStatus == 404) {
    aTask.mAnswerLost = true;
    return;
  }
  aTask.TakeHeaders(aStatus, aHeaders);
  if (aTask.IsAnswerStarted()) {
    aTask.SetState(RequestState::Streaming);
  } else if (aTask.State() == RequestState::Probing) {
    aTask.SetState(RequestState::Sending);
  }
}

template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
void
Router<S, T, W>::OnData(RequestTask& aTask, std::string_view aData)
{
  if (aTask.mNotRun || aTask.mCancelled || aTask.mAnswerLost) {
    return;
  }
  aTask.mLastActivity = aTask.mLastContact = Now();
  if (aTask.State() == RequestState::Probing) {
    aTask.SetState(aTask.IsAnswerStarted() ? RequestState::Streaming : RequestState::Sending);
  }
  aTask.TakeData(aData);
}

template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
void
Router<S, T, W>::OnEnd(RequestTask& aTask, std::error_code aError)
{
  aTask.mCallOpen = false;
  if (!aError) {
    OnAnswerEnd(aTask);
  } else if (aTask.mFetching) {
    // The answer is fetched again after the next question to the worker.
    aTask.mLastActivity = Now();
    if (aTask.IsAnswerStarted()) {
      OnCut(aTask);
    } else {
      aTask.SetState(RequestState::Probing);
    }
  } else if (aError == http::HttpError::NotSent) {
    Report(aTask, false);
    Retry(aTask, "not_sent", true);
  } else {
    Report(aTask, false);
    OnCut(aTask);
  }
}

template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
void
Router<S, T, W>::OnAnswerEnd(RequestTask& aTask)
{
  const bool idempotent = aTask.mRequest.mIdempotent;
  if (aTask.mNotRun) {
    Retry(aTask, "not_run", true);
  } else if (aTask.mCancelled && !idempotent) {
    Refuse(aTask, { 503, "cancelled", "the worker cancelled the request while it ran", Ran::Partly,
                    false, Duration(0) });
  } else if (aTask.mAnswerLost && !idempotent) {
    Refuse(aTask, { 502, "answer_lost", "the worker no longer has the answer", Ran::Unknown, false,
                    Duration(0) });
  } else if (aTask.mCancelled || aTask.mAnswerLost) {
    Retry(aTask, aTask.mCancelled ? "cancelled" : "answer_lost", false);
  } else {
    Report(aTask, aTask.AnswerStatus() < 500);
    TimesOf(aTask).OnAnswered(
      std::chrono::duration_cast<std::chrono::microseconds>(Now() - aTask.mReserved));
    Finish(aTask, aTask.TakeAnswer());
  }
}

// The worker's connection ended before the answer was complete.
template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
void
Router<S, T, W>::OnCut(RequestTask& aTask)
{
  const auto& request = aTask.mRequest;
  if (aTask.IsAnswerStarted()) {
    aTask.AbortCaller();
    if (request.mKey.empty() || request.mIdempotent) {
      Refuse(aTask, { 502, "answer_cut", "the answer was cut", Ran::Unknown, request.mIdempotent,
                      Duration(0) });
      return;
    }
    // The whole answer is still fetched for a retry with the same key.
  } else if (request.mIdempotent) {
    Retry(aTask, "connection_lost", false);
    return;
  }
  aTask.ResetAnswer();
  aTask.mLastActivity = Now();
  Probe(aTask);
}

template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
void
Router<S, T, W>::Report(RequestTask& aTask, bool aSuccess)
{
  auto& host = *aTask.mReplica->mHost;
  if (mPicker.Report(host, aSuccess, Now())) {
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
    OnSilent(aTask);
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
    OnUnknown(aTask);
    return;
  }
  aTask.mSeen = true;
  if (aPhase == workers::RequestPhase::Running) {
    aTask.mDoneProbes = 0;
  } else if (!aTask.IsAnswerStarted()) {
    Fetch(aTask);
  } else if (++aTask.mDoneProbes > 1) {
    // The rest of a streamed answer may be on its way at the first such probe, not at the second.
    CloseCall(aTask);
    OnCut(aTask);
  }
}

template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
void
Router<S, T, W>::OnUnknown(RequestTask& aTask)
{
  if (aTask.IsAnswerStarted() && aTask.mRequest.mIdempotent) {
    // The rest of the answer can't come any more, and the caller can't take another one.
    CloseCall(aTask);
    OnCut(aTask);
  } else if (aTask.mSeen && aTask.mRequest.mIdempotent) {
    Retry(aTask, "answer_lost", false);
  } else if (aTask.mSeen) {
    CloseCall(aTask);
    Refuse(aTask, { 502, "answer_lost", "the worker no longer knows the request",
                    aTask.mDropped ? Ran::Partly : Ran::Unknown, false, Duration(0) });
  } else {
    aTask.mProbeOpen = true;
    mWorkers.DropRequest(aTask.mReplica->mHost->mAddress, aTask.AttemptId(),
                         ForCall(aTask, [this](RequestTask& aCurrent, std::error_code aError,
                                               workers::RequestPhase aPhase) {
                           OnDropped(aCurrent, aError, aPhase);
                         }));
  }
}

template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
void
Router<S, T, W>::OnDropped(RequestTask& aTask, std::error_code aError, workers::RequestPhase aPhase)
{
  aTask.mProbeOpen = false;
  if (aError) {
    OnSilent(aTask);
  } else if (aPhase == workers::RequestPhase::Unknown && aTask.mSeen) {
    // The answer began to arrive while the tombstone was set.
    OnUnknown(aTask);
  } else if (aPhase == workers::RequestPhase::Unknown && aTask.mRequest.mIdempotent) {
    // A restarted worker doesn't know what it ran before, so this doesn't prove "not run".
    Retry(aTask, "unknown_at_worker", false);
  } else if (aPhase == workers::RequestPhase::Unknown) {
    CheckIncarnation(aTask);
  } else {
    // The request arrived between the question and the tombstone, and is now cancelled.
    aTask.mSeen = true;
    aTask.mDropped = aPhase == workers::RequestPhase::Running;
    if (aTask.mRequest.mIdempotent) {
      Retry(aTask, "cancelled", false);
    }
  }
}

// A worker that was restarted doesn't know what it ran before, so its "unknown" proves nothing.
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
                    OnSilent(aCurrent);
                  } else if (aCurrent.mSeen) {
                    OnUnknown(aCurrent);
                  } else if (state->mIncarnation == aCurrent.mReplica->mHost->mIncarnation) {
                    Retry(aCurrent, "unknown_at_worker", true);
                  } else {
                    CloseCall(aCurrent);
                    Refuse(aCurrent,
                           { 502, "worker_restarted", "the worker was restarted meanwhile",
                             Ran::Unknown, false, Duration(0) });
                  }
                }));
}

// The worker didn't answer a question. Non-idempotent requests wait for their deadline.
template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
void
Router<S, T, W>::OnSilent(RequestTask& aTask)
{
  if (!aTask.mRequest.mIdempotent || Now() < aTask.mLastContact + mOptions.mSilentLimit) {
    return;
  }
  Report(aTask, false);
  DropAtWorker(aTask);
  CloseCall(aTask);
  if (aTask.IsAnswerStarted()) {
    OnCut(aTask);
  } else {
    Retry(aTask, "worker_silent", false);
  }
}

template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
void
Router<S, T, W>::Fetch(RequestTask& aTask)
{
  CloseCall(aTask);
  aTask.ResetAnswer();
  http::ClientRequest call;
  call.mServer = aTask.mReplica->mHost->mAddress;
  call.mTarget = "/v1/requests/" + aTask.AttemptId().Value() + "/answer";
  call.mNewConnection = true;
  OpenCall(aTask, call);
}

// Frees the worker of an attempt whose outcome doesn't matter any more.
template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
void
Router<S, T, W>::DropAtWorker(RequestTask& aTask)
{
  mWorkers.DropRequest(aTask.mReplica->mHost->mAddress, aTask.AttemptId(),
                       [](std::error_code, workers::RequestPhase) {});
}

} // namespace lovagerock::routing
