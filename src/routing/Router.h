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
#include "routing/ReplicaPicker.h"
#include "routing/RequestTask.h"
#include "routing/ResponseCache.h"
#include "routing/RetryBudget.h"
#include "routing/RoutingMetrics.h"
#include "routing/RoutingTable.h"
#include "routing/RunTimeEstimator.h"
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

// The part of the worker protocol that request routing needs. Every WorkerApi satisfies it.
template<typename T>
concept RequestWorkers = requires(T aApi, const SocketAddress& aWorker, const RequestId& aRequest)
{
  aApi.FindRequest(aWorker, aRequest, workers::PhaseCallback());
  aApi.DropRequest(aWorker, aRequest, workers::PhaseCallback());
  aApi.RefuseUnknownRequest(aWorker, aRequest, workers::PhaseCallback());
  aApi.Poll(aWorker, std::uint64_t(), Duration(), workers::PollCallback());
};

// Settings of a Router.
struct RouterOptions
{
  NodeId mNode;
  // Identifies this node's process; changes with each restart.
  std::string mIncarnation;
  // Address at which this node accepts calls from other nodes.
  SocketAddress mPeer;
  ZoneId mZone;
  // Request bodies that may be held in memory at once; requests beyond this are refused.
  Bytes mMaxBuffered{ 64 * 1024 * 1024 };
  std::string mClaimPrefix = "lovagerock/claims/";
  // If an attempt's connection delivers nothing for this long, the worker is probed over a new
  // connection.
  Duration mProbeInterval{ 2000 };
  // If a worker reports nothing about an idempotent request for this long, the attempt is
  // abandoned.
  Duration mUnresponsiveLimit{ 6000 };
  // Time that a drain waits for claims to be recorded after the last request has ended.
  Duration mDrainLimit{ 10000 };
};

// Routes requests to workers, with one RequestTask per request. Every submitted request gets
// exactly one final response. Not thread-safe: use it only on its event loop. Must be destroyed
// before the objects passed to its constructor.
template<kv::KeyValueStore Store, peer::PeerTransport Transport, RequestWorkers Workers>
class Router
{
public:
  Router(EventLoop& aLoop, http::HttpClient& aClient, Store& aStore, Transport& aTransport,
         Workers& aWorkers, Random& aRandom, RoutingMetrics& aMetrics, RouterOptions aOptions);
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;

  // Accepts a request and sends the final response through aResponder.
  void Submit(RouteRequest aRequest, const http::Responder& aResponder);

  // Updates a worker's state. A suspected or leaving worker gets no new requests.
  void
  UpdateWorker(const workers::WorkerState& aState, const SocketAddress& aAddress, bool aSuspected);
  void RemoveWorker(const WorkerId& aWorker);
  // Sets the number of live entry nodes, which share the workers' connections.
  void SetLiveNodes(int aCount);

  // Sets a function that must return true for requests to be sent to workers; otherwise they stay
  // in the queue. Resume() must be called when its result may have changed to true.
  void SetSendCheck(std::function<bool()> aMaySend) { mMaySend = std::move(aMaySend); }
  void Resume() { DispatchAll(); }

  // Refuses new requests, waits until all requests have ended and their claims are recorded, and
  // then calls back once. Stops waiting for claims after mDrainLimit, in case the key-value service
  // is down.
  void Drain(std::function<void()> aCallback);
  std::size_t ActiveRequests() const { return mTasks.size(); }
  std::size_t QueueLength() const { return mQueue.Length(); }

private:
  using TaskPtr = std::shared_ptr<RequestTask>;

  // Wraps a callback so that it does nothing once this object is destroyed.
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
  // Wraps a callback of the current call to the worker, so that results of earlier calls are
  // ignored.
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

  // Life cycle of a request (RouterRequests.h).
  TaskPtr Find(RequestNumber aNumber) const;
  bool JoinByKey(RequestTask& aTask);
  void Join(RequestTask& aTask, RequestTask& aPrimary);
  void Schedule(RequestTask& aTask, TimePoint aTime);
  void OnWake(RequestNumber aNumber);
  void RunDueAction(RequestTask& aTask, TimePoint aNow);
  void OnDeadline(RequestTask& aTask);
  void OnCallerGone(RequestTask& aTask);
  void Retry(RequestTask& aTask, std::string aReason, bool aNotRun);
  void Refuse(RequestTask& aTask, const Refusal& aRefusal);
  void Finish(RequestTask& aTask, FinalResponse aFinal);
  void CheckDrained();

  // Admission (RouterAdmission.h).
  void Enqueue(RequestTask& aTask, bool aIsNew);
  // Whether the request would probably miss its deadline, given the expected wait for a replica and
  // a typical run time.
  bool WouldMissDeadline(const RequestTask& aTask, TimePoint aNow) const;
  void RefuseTooLate(RequestTask& aTask, const std::string& aError, const std::string& aMessage);
  void Dispatch(const ServiceId& aService);
  void DispatchAll();
  void ReserveReplica(RequestTask& aTask, const ReplicaPtr& aReplica, TimePoint aNow);
  void ReleaseReplica(RequestTask& aTask);
  RunTimeEstimator& EstimatorOf(const RequestTask& aTask);

  // Attempts at workers (RouterAttempts.h).
  void StartAttempt(RequestTask& aTask);
  void OpenCall(RequestTask& aTask, http::ClientRequest& aRequest);
  void CloseCall(RequestTask& aTask);
  void OnResponseHeaders(RequestTask& aTask, int aStatus, const http::Headers& aHeaders);
  void OnResponseData(RequestTask& aTask, std::string_view aData);
  void OnCallEnd(RequestTask& aTask, std::error_code aError);
  void OnResponseEnd(RequestTask& aTask);
  void OnConnectionLost(RequestTask& aTask);
  void RecordOutcome(RequestTask& aTask, bool aSuccess);
  void Probe(RequestTask& aTask);
  void OnProbe(RequestTask& aTask, std::error_code aError, workers::RequestPhase aPhase);
  void OnRequestUnknown(RequestTask& aTask);
  void OnTombstoneResult(RequestTask& aTask, std::error_code aError, workers::RequestPhase aPhase);
  void CheckIncarnation(RequestTask& aTask);
  void OnProbeFailed(RequestTask& aTask);
  void FetchResponse(RequestTask& aTask);
  void DropAtWorker(RequestTask& aTask);

  // Claims (RouterClaims.h).
  void StartClaim(RequestTask& aTask);
  void OnClaim(RequestTask& aTask, const ClaimResult& aResult);
  void OnClaimExists(RequestTask& aTask);
  void QueryHolder(RequestTask& aTask);
  void OnHolderStatus(RequestTask& aTask, HolderStatus aHolderStatus, FinalResponse aFinal);
  void RereadClaim(RequestTask& aTask, HolderStatus aHolderStatus);
  void OnClaimUnchanged(RequestTask& aTask, HolderStatus aHolderStatus);
  void AnswerClaimQuery(const std::string& aKey, const std::string& aToken,
                        const typename ClaimResolver<Transport>::ReplyCallback& aReply);
  void SettleClaim(const RequestTask& aTask, const FinalResponse& aFinal, bool aHasBody);
  // Sends the refusal of a request that was not run once the release of its claim is recorded. If
  // this node crashed after the refusal but before the release, the caller's retry would get
  // "outcome_unknown".
  void SendAfterRelease(const TaskPtr& aTask, const FinalResponse& aFinal);
  Claim NewClaim(const RequestTask& aTask);

  // Declared first, because the initializers of other members use it.
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
  // By service. Index 0 holds the non-idempotent requests, index 1 the idempotent ones, which may
  // also use reclaimable replicas.
  std::unordered_map<ServiceId, std::array<RunTimeEstimator, 2>> mRunTimeEstimators;
  ClaimStore<Store> mClaims;
  ClaimResolver<Transport> mResolver;
  ResponseCache mResponseCache;
  std::unordered_map<RequestNumber, TaskPtr> mTasks;
  // By claim key, the request that other requests with the same key join.
  std::unordered_map<std::string, RequestNumber> mPrimaryByKey;
  RequestNumber mLastNumber = 0;
  Bytes mBuffered;
  std::function<void()> mOnDrained;
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
