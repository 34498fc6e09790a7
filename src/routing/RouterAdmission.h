#pragma once

// Admission in the Router: the queue, the refusal of requests that would miss their deadline, and
// the reservation of replicas.

#include "routing/Router.h"

namespace lovagerock::routing {

template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
void
Router<S, T, W>::Enqueue(RequestTask& aTask, bool aIsNew)
{
  const auto& request = aTask.mRequest;
  aTask.SetState(RequestState::Queued);
  // The limit applies only to new requests: one that was accepted before isn't refused because the
  // queue has filled up since.
  const auto limit = aIsNew ? request.mQueueLimit : SIZE_MAX;
  if (!mQueue.Push({ request.mAccount, request.mService, request.mIdempotent }, aTask.mNumber,
                   request.mWeight, limit)) {
    Refuse(aTask, { 429, "queue_full", "the client account's queue for the service is full",
                    Ran::No, true, Duration(1000) });
    return;
  }
  Dispatch(request.mService);
  if (aTask.State() != RequestState::Queued) {
    return;
  }
  aTask.mWasQueued = true;
  const auto now = Now();
  if (aIsNew && WouldMissDeadline(aTask, now)) {
    RefuseTooLate(aTask, "overloaded",
                  "the expected wait for a replica leaves too little time before the deadline");
  }
}

template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
bool
Router<S, T, W>::WouldMissDeadline(const RequestTask& aTask, TimePoint aNow) const
{
  const auto& request = aTask.mRequest;
  const auto it = mRunTimeEstimators.find(request.mService);
  if (it == mRunTimeEstimators.end()) {
    return false;
  }
  const auto& estimator = it->second[request.mIdempotent ? 1 : 0];
  const auto ahead =
    mQueue.RequestsAhead({ request.mAccount, request.mService, request.mIdempotent });
  // Adds a quarter to the expected wait, because the error of the estimate is proportional to it,
  // and because a response that is ready just at the deadline reaches the caller after it.
  const auto wait = estimator.EstimateWait(ahead);
  return wait && aNow + *wait * 5 / 4 + estimator.TypicalRunTime() > aTask.mDeadline;
}

template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
void
Router<S, T, W>::RefuseTooLate(RequestTask& aTask, const std::string& aError,
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
  // These are refused after the loop, because ending a request may call Dispatch() again.
  std::vector<TaskPtr> tooLate;
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
    // A run that its deadline would interrupt wastes a slot and leaves its outcome unknown.
    if (task->mWasQueued && !task->mMayHaveRun &&
        now + EstimatorOf(*task).MeanRunTime() > task->mDeadline) {
      tooLate.push_back(task);
      continue;
    }
    const bool idempotent = task->mRequest.mIdempotent;
    auto replica = picked[idempotent ? 1 : 0];
    if (replica->mHost->mWorker == task->mAvoidWorker) {
      replica = mPicker.Pick(aService, idempotent, task->mAvoidWorker, now);
    }
    ReserveReplica(*task, replica, now);
    if (idempotent || task->mRequest.mKey.empty() || task->mClaimHeld) {
      StartAttempt(*task);
    } else {
      StartClaim(*task);
    }
  }
  for (const auto& it : tooLate) {
    RefuseTooLate(*it, "no_capacity",
                  "the time left after waiting for a replica is too short for the request");
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
    EstimatorOf(aTask).RecordEnd(
      std::chrono::duration_cast<std::chrono::microseconds>(Now() - aTask.mReservedAt));
  }
}

template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
void
Router<S, T, W>::ReserveReplica(RequestTask& aTask, const ReplicaPtr& aReplica, TimePoint aNow)
{
  ReplicaPicker::Reserve(*aReplica);
  aTask.mReplica = aReplica;
  aTask.mReservedAt = aNow;
  EstimatorOf(aTask).RecordStart();
}

template<kv::KeyValueStore S, peer::PeerTransport T, RequestWorkers W>
RunTimeEstimator&
Router<S, T, W>::EstimatorOf(const RequestTask& aTask)
{
  return mRunTimeEstimators[aTask.mRequest.mService][aTask.mRequest.mIdempotent ? 1 : 0];
}

} // namespace lovagerock::routing
