#pragma once

#include "base/EventLoop.h"
#include "base/Hash.h"
#include "base/LogEvent.h"
#include "base/Random.h"
#include "http/HttpClient.h"
#include "http/HttpError.h"
#include "routing/AdmissionQueue.h"
#include "routing/ClaimResolver.h"
#include "routing/ClaimStore.h"
#include "routing/DeadlineWheel.h"
#include "routing/KeptAnswers.h"
#include "routing/ReplicaPicker.h"
#include "routing/RequestTask.h"
#include "routing/RetryBudget.h"
#include "routing/RoutingMetrics.h"
#include "routing/RoutingTable.h"
#include "routing/RunTimes.h"
#include "workers/WorkerApi.h"

#include <array>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lovagerock::routing {

// The part of the worker protocol that the request path needs; every WorkerApi has it.
template<typename T>
concept RequestWorkers = requires(T aApi, const SocketAddress& aWorker, const RequestId& aRequest)
{
  aApi.FindRequest(aWorker, aRequest, workers::PhaseCallback());
  aApi.DropRequest(aWorker, aRequest, workers::PhaseCallback());
  aApi.Poll(aWorker, std::uint64_t(), Duration(), workers::PollCallback());
};

// Settings of a Router.
struct RouterOptions
{
  NodeId mNode;
  // Differs after each restart of the node.
  std::string mIncarnation;
  // Where this node answers peer calls.
  SocketAddress mPeer;
  ZoneId mZone;
  // Request bodies held at once; more are refused.
  Bytes mMaxBuffered{ 64 * 1024 * 1024 };
  std::string mClaimPrefix = "lovagerock/claims/";
  // A request without a sign of life for this long is asked about over a new connection.
  Duration mProbeInterval{ 2000 };
  // A worker that gives no answer about a request for this long is given up.
  Duration mSilentLimit{ 6000 };
  // Time that a drain waits for the key-value service after the last request.
  Duration mDrainLimit{ 10000 };
};

// Routes requests to workers, with one task per request. Every submitted request gets exactly one
// final answer. Belongs to its loop, and must be destroyed before the objects that it was given.
template<kv::KeyValueStore Store, peer::PeerTransport Transport, RequestWorkers Workers>
class Router
{
public:
  Router(EventLoop& aLoop, http::HttpClient& aClient, Store& aStore, Transport& aTransport,
         Workers& aWorkers, Random& aRandom, RoutingMetrics& aMetrics, RouterOptions aOptions);
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;

  // Takes over a request and its responder.
  void Submit(RouteRequest aRequest, const http::Responder& aResponder);

  // Takes a worker's new state; a suspected or leaving worker gets no new work from now on.
  void
  UpdateWorker(const workers::WorkerState& aState, const SocketAddress& aAddress, bool aSuspected);
  void RemoveWorker(const WorkerId& aWorker);
  // Sets the number of live entry nodes, which share the workers' connections.
  void SetLiveNodes(int aCount);

  // Sends nothing to workers while the function returns false; requests wait in the queue. After it
  // may return true again, Resume() must be called.
  void SetSendCheck(std::function<bool()> aMaySend) { mMaySend = std::move(aMaySend); }
  void Resume() { DispatchAll(); }

  // Refuses new requests, waits until all requests have ended and their claims are recorded, and
  // calls back once. If the key-value service is down, claims are given up after mDrainLimit.
  void Drain(std::function<void()> aCallback);
  std::size_t ActiveRequests() const { return mTasks.size(); }
  std::size_t QueueLength() const { return mQueue.Length(); }

private:
  using TaskPtr = std::shared_ptr<RequestTask>;

  // Wraps a callback so that it does nothing after this object's end.
  template<typename Function>
  auto Guarded(Function aFunction)
  {
    return [function = std::move(aFunction),
            alive = std::weak_ptr<int>(mAlive)](auto&&... aArguments) mutable {
      if (!alive.expired()) {
        function(std::forward<decltype(aArguments)>(aArguments)...);
      }
    };
  }
  // Wraps a callback of the present attempt, so that late results of earlier ones are dropped.
  template<typename Function>
  auto ForCall(const RequestTask& aTask, Function aFunction)
  {
    return Guarded([this, number = aTask.mNumber, generation = aTask.mGeneration,
                    function = std::move(aFunction)](auto&&... aArguments) mutable {
      const auto task = Find(number);
      if (task && task->mGeneration == generation) {
        function(*task, std::forward<decltype(aArguments)>(aArguments)...);
      }
    });
  }
  static TimePoint Now() { return std::chrono::steady_clock::now(); }

  // Life of a request (RouterRequests.h).
  TaskPtr Find(RequestNumber aNumber) const;
  bool JoinByKey(RequestTask& aTask);
  void Join(RequestTask& aTask, RequestTask& aPrimary);
  void Schedule(RequestTask& aTask, TimePoint aTime);
  void OnWake(RequestNumber aNumber);
  void OnDue(RequestTask& aTask, TimePoint aNow);
  void OnDeadline(RequestTask& aTask);
  void OnCallerGone(RequestTask& aTask);
  void Retry(RequestTask& aTask, std::string aReason, bool aNotRun);
  void Refuse(RequestTask& aTask, const Refusal& aRefusal);
  void Finish(RequestTask& aTask, FinalAnswer aFinal);
  void CheckDrained();

  // Admission (RouterAdmission.h).
  void Enqueue(RequestTask& aTask, bool aIsNew);
  // Whether the wait leaves too little time for a typical run.
  bool IsHopeless(const RequestTask& aTask, TimePoint aNow) const;
  void RefuseHopeless(RequestTask& aTask, const std::string& aError, const std::string& aMessage);
  void Dispatch(const ServiceId& aService);
  void DispatchAll();
  void ReserveReplica(RequestTask& aTask, const ReplicaPtr& aReplica, TimePoint aNow);
  void ReleaseReplica(RequestTask& aTask);
  RunTimes& TimesOf(const RequestTask& aTask);

  // Attempts at workers (RouterAttempts.h).
  void StartAttempt(RequestTask& aTask);
  void OpenCall(RequestTask& aTask, http::ClientRequest& aRequest);
  void CloseCall(RequestTask& aTask);
  void OnHead(RequestTask& aTask, int aStatus, const http::Headers& aHeaders);
  void OnData(RequestTask& aTask, std::string_view aData);
  void OnEnd(RequestTask& aTask, std::error_code aError);
  void OnAnswerEnd(RequestTask& aTask);
  void OnCut(RequestTask& aTask);
  void Report(RequestTask& aTask, bool aSuccess);
  void Probe(RequestTask& aTask);
  void OnProbe(RequestTask& aTask, std::error_code aError, workers::RequestPhase aPhase);
  void OnUnknown(RequestTask& aTask);
  void OnDropped(RequestTask& aTask, std::error_code aError, workers::RequestPhase aPhase);
  void CheckIncarnation(RequestTask& aTask);
  void OnSilent(RequestTask& aTask);
  void Fetch(RequestTask& aTask);
  void DropAtWorker(RequestTask& aTask);

  // Claims (RouterClaims.h).
  void StartClaim(RequestTask& aTask);
  void OnClaim(RequestTask& aTask, const ClaimResult& aResult);
  void OnClaimExists(RequestTask& aTask);
  void AskHolder(RequestTask& aTask);
  void OnHolderAnswer(RequestTask& aTask, HolderAnswer aAnswer, FinalAnswer aFinal);
  void ReadAgain(RequestTask& aTask, HolderAnswer aAnswer);
  void OnUnchanged(RequestTask& aTask, HolderAnswer aAnswer);
  void LookUp(const std::string& aKey, const std::string& aToken,
              const typename ClaimResolver<Transport>::ReplyCallback& aReply);
  void SettleClaim(const RequestTask& aTask, const FinalAnswer& aFinal, bool aWhole);
  // Refuses a request that was not run once the release of its claim is recorded. If this node
  // died between the refusal and the release, the caller's retry would get "outcome_unknown".
  void SendAfterRelease(const TaskPtr& aTask, const FinalAnswer& aFinal);
  Claim NewClaim(const RequestTask& aTask);

  // First, because the initializers of other members use it.
  std::shared_ptr<int> mAlive = std::make_shared<int>();
  EventLoop& mLoop;
  http::HttpClient& mClient;
  Workers& mWorkers;
  Random& mRandom;
  RoutingMetrics& mMetrics;
  RouterOptions mOptions;
  RoutingTable mTable;
  ReplicaPicker mPicker;
  AdmissionQueue mQueue;
  RetryBudget mBudget;
  // By service; index 1 has the idempotent requests, which may use other replicas.
  std::unordered_map<ServiceId, std::array<RunTimes, 2>> mTimes;
  ClaimStore<Store> mClaims;
  ClaimResolver<Transport> mResolver;
  KeptAnswers mKept;
  std::unordered_map<RequestNumber, TaskPtr> mTasks;
  // Running requests by claim key.
  std::unordered_map<std::string, RequestNumber> mByKey;
  RequestNumber mLastNumber = 0;
  Bytes mBuffered;
  std::function<void()> mDrained;
  TimePoint mDrainEnd = TimePoint::max();
  std::function<bool()> mMaySend = [] { return true; };
  bool mDraining = false;
  Timer mDrainTimer;
  DeadlineWheel mWheel;
};

} // namespace lovagerock::routing

#include "routing/RouterAdmission.h"
#include "routing/RouterAttempts.h"
#include "routing/RouterClaims.h"
#include "routing/RouterRequests.h"
