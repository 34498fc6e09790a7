#pragma once

// The life cycle of a request in the Router: arrival, retries, deadlines and the final response.

#include "routing/Router.h"

#include <algorithm>

namespace lovagerock::routing {

template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
Router<S, T, W>::Router(EventLoop& aLoop, http::HttpClient& aClient, S& aStore, T& aTransport,
                        W& aWorkers, Random& aRandom, RoutingMetrics& aMetrics,
                        RouterOptions aOptions)
  : mLoop(aLoop)
  , mClient(aClient)
  , mWorkers(aWorkers)
  , mRandom(aRandom)
  , mMetrics(aMetrics)
  , mOptions(std::move(aOptions))
  , mPicker(mTable, mOptions.mZone, aRandom)
  , mBudget(Now())
  , mClaims(aLoop, aStore)
  , mResolver(aTransport, Guarded([this](const std::string& aKey, const std::string& aToken,
                                         const typename ClaimResolver<T>::ReplyCallback& aReply) {
                AnswerClaimQuery(aKey, aToken, aReply);
              }))
  , mWheel(aLoop, [this](RequestNumber aNumber) { OnWake(aNumber); })
{
}

template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
void
Router<S, T, W>::Submit(RouteRequest aRequest, const http::Responder& aResponder)
{
  const Bytes size(static_cast<std::int64_t>(aRequest.mBody.size()));
  // Not make_shared, because weak references would then keep the memory of an ended request
  // allocated.
  const TaskPtr task(
    new RequestTask(++mLastNumber, std::move(aRequest), aResponder, Now())); // NOLINT
  const auto& request = task->mRequest;
  mTasks.emplace(task->mNumber, task);
  mBuffered += size;
  if (mDraining) {
    Refuse(*task, { 503, "draining", "this node is shutting down", Ran::No, true, Duration(1000) });
    return;
  }
  if (mBuffered.Value() > mOptions.mMaxBuffered.Value()) {
    Refuse(*task,
           { 503, "node_busy", "the request bodies held by this node exceed its memory limit",
             Ran::No, true, Duration(1000) });
    return;
  }
  aResponder.OnHungUp(Guarded([this, number = task->mNumber] {
    if (const auto gone = Find(number)) {
      OnCallerGone(*gone);
    }
  }));
  mBudget.AddRequest();
  Schedule(*task, std::min(task->mDeadline, task->mArrivedAt + mOptions.mProbeInterval));
  if (!request.mKey.empty() && JoinByKey(*task)) {
    return;
  }
  Enqueue(*task, true);
}

template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
void
Router<S, T, W>::UpdateWorker(const workers::WorkerState& aState, const SocketAddress& aAddress,
                              bool aSuspected)
{
  mTable.Update(aState, aAddress, aSuspected);
  if (aSuspected || aState.mLeaving) {
    mClient.CloseIdle(aAddress);
  }
  DispatchAll();
}

template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
void
Router<S, T, W>::RemoveWorker(const WorkerId& aWorker)
{
  mTable.Remove(aWorker);
}

template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
void
Router<S, T, W>::SetLiveNodes(int aCount)
{
  mTable.SetLiveNodes(aCount);
  DispatchAll();
}

template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
void
Router<S, T, W>::Drain(std::function<void()> aCallback)
{
  mDraining = true;
  mOnDrained = std::move(aCallback);
  mDrainTimer = mLoop.Every(Duration(20), [this] { CheckDrained(); });
}

template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
void
Router<S, T, W>::CheckDrained()
{
  if (!mTasks.empty()) {
    return;
  }
  mDrainEnd = std::min(mDrainEnd, Now() + mOptions.mDrainLimit);
  if (mClaims.Unsettled() > 0 && Now() < mDrainEnd) {
    return;
  }
  LogEvent("requests_drained").With("unsettled_claims", std::to_string(mClaims.Unsettled()));
  mDrainTimer.Cancel();
  if (const auto callback = std::exchange(mOnDrained, nullptr)) {
    callback();
  }
}

template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
typename Router<S, T, W>::TaskPtr
Router<S, T, W>::Find(RequestNumber aNumber) const
{
  const auto it = mTasks.find(aNumber);
  return it == mTasks.end() ? nullptr : it->second;
}

// Answers the request from another one with the same idempotency key: joins the one in progress or
// uses its cached response, or refuses the request if the key was used for a different one. Returns
// false if the request must be run.
template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
bool
Router<S, T, W>::JoinByKey(RequestTask& aTask)
{
  const auto& request = aTask.mRequest;
  aTask.mClaimKey =
    mOptions.mClaimPrefix + request.mAccount.Value() + "/" + Sha256Hex(request.mKey);
  aTask.mFingerprint = Sha256Hex(request.mService.Value() + "\n" + request.mBody);
  const auto [it, isFirst] = mPrimaryByKey.emplace(aTask.mClaimKey, aTask.mNumber);
  const auto primary = isFirst ? nullptr : Find(it->second);
  const auto* cached =
    isFirst && !request.mIdempotent ? mResponseCache.Find(aTask.mClaimKey) : nullptr;
  const auto& fingerprint = primary  ? primary->mFingerprint
                            : cached ? cached->mFingerprint
                                     : aTask.mFingerprint;
  if (fingerprint != aTask.mFingerprint) {
    Refuse(aTask, { 422, "key_reused", "the idempotency key was used for a different request",
                    Ran::No, false, Duration(0) });
    return true;
  }
  if (primary) {
    Join(aTask, *primary);
  } else if (cached) {
    Finish(aTask, cached->mFinalResponse);
  }
  return primary || cached;
}

template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
void
Router<S, T, W>::Join(RequestTask& aTask, RequestTask& aPrimary)
{
  LogEvent("request_joined")
    .With("request", aTask.mRequest.mId)
    .With("running", aPrimary.mRequest.mId);
  aTask.SetState(RequestState::Claiming);
  aTask.mMayHaveRun = true;
  aPrimary.mJoiners.emplace_back([this, number = aTask.mNumber](const FinalResponse& aFinal) {
    if (const auto task = Find(number)) {
      Finish(*task, aFinal);
    }
  });
}

template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
void
Router<S, T, W>::Schedule(RequestTask& aTask, TimePoint aTime)
{
  if (aTime < aTask.mNextWake) {
    aTask.mNextWake = aTime;
    mWheel.Add(aTime, aTask.mNumber);
  }
}

template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
void
Router<S, T, W>::OnWake(RequestNumber aNumber)
{
  const auto task = Find(aNumber);
  const auto now = Now();
  if (!task || now < task->mNextWake) {
    return;
  }
  task->mNextWake = TimePoint::max();
  if (now >= task->mDeadline) {
    OnDeadline(*task);
    return;
  }
  RunDueAction(*task, now);
  if (task->State() == RequestState::Done) {
    return;
  }
  auto next = now + mOptions.mProbeInterval;
  if (task->IsAtWorker() && task->mLastActivity + mOptions.mProbeInterval > now) {
    next = task->mLastActivity + mOptions.mProbeInterval;
  }
  Schedule(*task, std::min(task->mDeadline, next));
}

template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
void
Router<S, T, W>::RunDueAction(RequestTask& aTask, TimePoint aNow)
{
  const bool due = aTask.mRetryAt != TimePoint() && aTask.mRetryAt <= aNow;
  if (aTask.State() == RequestState::Queued) {
    // An ejection ends without an event, so the queue is dispatched again here.
    Dispatch(aTask.mRequest.mService);
  } else if (aTask.State() == RequestState::Retrying && due) {
    aTask.mRetryAt = {};
    Enqueue(aTask, false);
  } else if (aTask.State() == RequestState::Claiming && due) {
    aTask.mRetryAt = {};
    QueryHolder(aTask);
  } else if (aTask.IsAtWorker() && !aTask.mProbeOpen && !aTask.IsPaused() &&
             aNow >= aTask.mLastActivity + mOptions.mProbeInterval) {
    Probe(aTask);
  }
}

template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
void
Router<S, T, W>::OnDeadline(RequestTask& aTask)
{
  const bool atWorker = aTask.IsAtWorker();
  if (atWorker) {
    EstimatorOf(aTask).RecordDeadlineExceeded(
      std::chrono::duration_cast<std::chrono::microseconds>(Now() - aTask.mReservedAt));
    DropAtWorker(aTask);
    CloseCall(aTask);
  }
  if (!atWorker && !aTask.mMayHaveRun) {
    const bool queued = aTask.State() == RequestState::Queued;
    Refuse(aTask,
           { queued ? 503 : 504, queued ? "no_capacity" : "deadline_exceeded",
             "the deadline passed before the request was run", Ran::No, true, Duration(1000) });
    return;
  }
  Refuse(aTask, { 504, "deadline_exceeded", "the deadline passed before the response was complete",
                  Ran::Unknown, aTask.mRequest.mIdempotent, Duration(1000) });
}

// Handles the disconnection of the caller. Ends the request if nobody can receive its response any
// more. Continues a request that may have run if it has an idempotency key, because a retry may ask
// for its response, or if it is non-idempotent, because a partial effect may do more harm than the
// complete one.
template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
void
Router<S, T, W>::OnCallerGone(RequestTask& aTask)
{
  const auto state = aTask.State();
  const bool waits = state == RequestState::Queued || state == RequestState::Retrying;
  const bool notRun = waits && !aTask.mMayHaveRun;
  const bool wanted = !aTask.mRequest.mKey.empty() || !aTask.mRequest.mIdempotent;
  const bool ends = aTask.mJoiners.empty() && (notRun || !wanted);
  LogEvent("request_caller_gone")
    .With("request", aTask.mRequest.mId)
    .With("state", RequestStateName(state))
    .With("goes_on", !ends);
  if (!ends) {
    return;
  }
  if (aTask.IsAtWorker()) {
    DropAtWorker(aTask);
    CloseCall(aTask);
  }
  Refuse(aTask, { 503, "caller_gone", "the caller closed its connection",
                  notRun ? Ran::No : Ran::Unknown, true, Duration(0) });
}

// Abandons the attempt and schedules another one, or refuses the request if none is possible.
// aNotRun tells whether the attempt is known not to have run.
template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
void
Router<S, T, W>::Retry(RequestTask& aTask, std::string aReason, bool aNotRun)
{
  CloseCall(aTask);
  if (aTask.mReplica) {
    aTask.mAvoidWorker = aTask.mReplica->mHost->mWorker;
  }
  ReleaseReplica(aTask);
  aTask.mMayHaveRun = aTask.mMayHaveRun || !aNotRun;
  const bool idempotent = aTask.mRequest.mIdempotent;
  const auto ran = aTask.mMayHaveRun ? Ran::Unknown : Ran::No;
  const auto now = Now();
  const auto retryAt = now + RetryBudget::Backoff(aTask.mAttempt, mRandom);
  if ((!idempotent && aTask.mMayHaveRun) || retryAt >= aTask.mDeadline || !mBudget.TakeRetry(now)) {
    Refuse(aTask, { aNotRun ? 503 : 502, std::move(aReason),
                    "the attempt at the worker failed and can't be retried", ran,
                    idempotent || ran == Ran::No, Duration(1000) });
    DispatchAll();
    return;
  }
  mMetrics.AddRetry(aTask.mRequest.mService);
  aTask.ResetResponse();
  aTask.mRetryReason = std::move(aReason);
  aTask.mRetryAt = retryAt;
  aTask.SetState(RequestState::Retrying);
  Schedule(aTask, retryAt);
  DispatchAll();
}

template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
void
Router<S, T, W>::Refuse(RequestTask& aTask, const Refusal& aRefusal)
{
  if (aTask.IsResponseStarted()) {
    aTask.AbortCaller();
  }
  Finish(aTask, { aRefusal.mError, RefusalResponse(aRefusal, aTask.mRequest.mId),
                  aRefusal.mRan == Ran::No });
}

template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
void
Router<S, T, W>::Finish(RequestTask& aTask, FinalResponse aFinal)
{
  const auto task = Find(aTask.mNumber);
  if (!task) {
    return;
  }
  if (task->State() == RequestState::Queued) {
    const auto& request = task->mRequest;
    mQueue.Remove({ request.mAccount, request.mService, request.mIdempotent }, task->mNumber);
  }
  task->SetState(RequestState::Done);
  mTasks.erase(task->mNumber);
  const auto byKey = mPrimaryByKey.find(task->mClaimKey);
  if (byKey != mPrimaryByKey.end() && byKey->second == task->mNumber) {
    mPrimaryByKey.erase(byKey);
  }
  mBuffered -= Bytes(static_cast<std::int64_t>(task->mRequest.mBody.size()));
  mMetrics.SetBufferedBytes(mBuffered);
  const auto time = Now() - task->mArrivedAt;
  mMetrics.AddRequest(task->mRequest.mService, aFinal.mOutcome, time);
  LogEvent("request_end")
    .With("request", task->mRequest.mId)
    .With("account", task->mRequest.mAccount)
    .With("service", task->mRequest.mService)
    .With("outcome", aFinal.mOutcome)
    .With("status", std::to_string(aFinal.mResponse.mStatus))
    .With("attempts", std::to_string(task->mAttempt))
    .With("ms", std::to_string(std::chrono::duration_cast<Duration>(time).count()));
  // Only a request that held a replica frees one, so that a queued request can be dispatched.
  const bool freed = task->mReplica != nullptr;
  ReleaseReplica(*task);
  const bool hasBody = aFinal.mOutcome != "answered" || task->IsBodyRetained();
  if (task->mClaimHeld && aFinal.mNotRun) {
    SendAfterRelease(task, aFinal);
  } else {
    task->SendFinal(aFinal);
    SettleClaim(*task, aFinal, hasBody);
  }
  if (!hasBody) {
    aFinal = { "answer_not_kept",
               RefusalResponse({ 409, "answer_not_kept",
                                 "the request was run, but its response is no longer stored",
                                 Ran::Unknown, false, Duration(0) },
                               task->mRequest.mId),
               false };
  }
  for (const auto& it : task->mJoiners) {
    it(aFinal);
  }
  if (freed) {
    DispatchAll();
  }
}

} // namespace lovagerock::routing
