#pragma once

// Admission in the Router: the queue, the refusal of requests that would wait too long, and
// replicas.

#include "routing/Router.h"

namespace lovagerock::routing {

template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
void
Router<S, T, W>::Enqueue(RequestTask& aTask, bool aIsNew)
{
  const auto& request = aTask.mRequest;
  aTask.SetState(RequestState::Queued);
  // A request that was accepted once isn't refused because the queue has filled up since.
  const auto limit = aIsNew ? request.mQueueLimit : SIZE_MAX;
  if (!mQueue.Push({ request.mAccount, request.mService, request.mIdempotent }, aTask.mNumber,
                   request.mWeight, limit)) {
    Refuse(aTask, { 429, "queue_full", "too many requests of the account wait for the service",
                    Ran::No, true, Duration(1000) });
    return;
  }
  Dispatch(request.mService);
  if (aTask.State() != RequestState::Queued) {
    return;
  }
  aTask.mWaited = true;
  const auto now = Now();
  if (aIsNew && IsHopeless(aTask, now)) {
    RefuseHopeless(aTask, "overloaded",
                   "the request would have waited for a replica beyond its deadline");
  }
}

template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
bool
Router<S, T, W>::IsHopeless(const RequestTask& aTask, TimePoint aNow) const
{
  const auto& request = aTask.mRequest;
  const auto it = mTimes.find(request.mService);
  if (it == mTimes.end()) {
    return false;
  }
  const auto& times = it->second[request.mIdempotent ? 1 : 0];
  const auto ahead = mQueue.Ahead({ request.mAccount, request.mService, request.mIdempotent });
  // A quarter more than expected, because the estimate errs by a part of itself, and an answer that
  // comes as late as the deadline misses it on the way to the caller.
  const auto wait = times.Wait(ahead);
  return wait && aNow + *wait * 5 / 4 + times.Typical() > aTask.mDeadline;
}

template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
void
Router<S, T, W>::RefuseHopeless(RequestTask& aTask, const std::string& aError,
                                const std::string& aMessage)
{
  Refuse(aTask, { 503, aError, aMessage, Ran::No, true, Duration(1000) });
}

template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
void
Router<S, T, W>::Dispatch(const ServiceId& aService)
{
  if (!mMaySend()) {
    return;
  }
  const auto now = Now();
  // Refused after the loop, because the end of a request may dispatch again.
  std::vector<TaskPtr> hopeless;
  for (;;) {
    std::array<ReplicaPtr, 2> picked;
    const auto number = mQueue.Pop(aService, [&](bool aIdempotent) {
      auto& replica = picked[aIdempotent ? 1 : 0];
      replica = mPicker.Pick(aService, aIdempotent, {}, now);
      return replica != nullptr;
    });
    mMetrics.SetQueueLength(mQueue.Length());
    if (!number) {
      break;
    }
    const auto task = Find(*number);
    if (!task) {
      continue;
    }
    // A run that its deadline would cut uses a slot for nothing, and its outcome is unknown.
    if (task->mWaited && !task->mMayHaveRun && now + TimesOf(*task).Mean() > task->mDeadline) {
      hopeless.push_back(task);
      continue;
    }
    const bool idempotent = task->mRequest.mIdempotent;
    auto replica = picked[idempotent ? 1 : 0];
    if (replica->mHost->mWorker == task->mAvoid) {
      replica = mPicker.Pick(aService, idempotent, task->mAvoid, now);
    }
    ReserveReplica(*task, replica, now);
    if (idempotent || task->mRequest.mKey.empty() || task->mClaimHeld) {
      StartAttempt(*task);
    } else {
      StartClaim(*task);
    }
  }
  for (const auto& it : hopeless) {
    RefuseHopeless(*it, "no_capacity", "the request waited until too little time was left for it");
  }
}

template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
void
Router<S, T, W>::DispatchAll()
{
  if (mQueue.Length() == 0) {
    return;
  }
  for (const auto& it : mQueue.Services()) {
    Dispatch(it);
  }
}

template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
void
Router<S, T, W>::ReleaseReplica(RequestTask& aTask)
{
  if (const auto replica = std::exchange(aTask.mReplica, nullptr)) {
    ReplicaPicker::Release(*replica);
    TimesOf(aTask).OnEnd(
      std::chrono::duration_cast<std::chrono::microseconds>(Now() - aTask.mReserved));
  }
}

template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
void
Router<S, T, W>::ReserveReplica(RequestTask& aTask, const ReplicaPtr& aReplica, TimePoint aNow)
{
  ReplicaPicker::Reserve(*aReplica);
  aTask.mReplica = aReplica;
  aTask.mReserved = aNow;
  TimesOf(aTask).OnStart();
}

template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
RunTimes&
Router<S, T, W>::TimesOf(const RequestTask& aTask)
{
  return mTimes[aTask.mRequest.mService][aTask.mRequest.mIdempotent ? 1 : 0];
}

} // namespace lovagerock::routing
