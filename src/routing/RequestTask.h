#pragma once

#include "http/HttpClient.h"
#include "http/Responder.h"
#include "kv/KeyValueStore.h"
#include "routing/AdmissionQueue.h"
#include "routing/Claim.h"
#include "routing/FinalResponse.h"
#include "routing/Replica.h"
#include "routing/RouteRequest.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lovagerock::routing {

// The state of a request.
enum class RequestState
{
  // Queued for a free replica.
  Queued,
  // Waits for its claim, or for the outcome of another request with the same key.
  Claiming,
  // Sent to a worker; nothing of the response has been sent to the caller yet.
  Sending,
  // Part of the response has been sent to the caller.
  Streaming,
  // The connection to the worker delivers nothing or was lost; the router queries the request's
  // phase at the worker over a new connection.
  Probing,
  // Waiting for the backoff delay before the next attempt.
  Retrying,
  // Has its final response.
  Done,
};

// Returns the name used in logs.
std::string_view
RequestStateName(RequestState aState);

// One request of a caller: its state, its current attempt and the response received so far. Owned
// by the Router, which makes all decisions. The task buffers or streams the response to the caller
// and ensures that the caller gets at most one.
class RequestTask
{
public:
  RequestTask(RequestNumber aNumber, RouteRequest aRequest, const http::Responder& aResponder,
              TimePoint aNow);

  const RequestNumber mNumber;
  RouteRequest mRequest;
  const TimePoint mArrivedAt;
  const TimePoint mDeadline;

  // Key of the claim, the same for all requests of an account with the same idempotency key. Empty
  // for requests without an idempotency key.
  std::string mClaimKey;
  std::string mFingerprint;
  // The claim that this request holds or waits for.
  std::optional<Claim> mClaim;
  kv::ModifyIndex mClaimIndex = 0;
  bool mClaimHeld = false;
  // Queries in a row to the holder of the claim that got no reply.
  int mUnreachableQueries = 0;

  // mAttempt is the number of the current attempt. mGeneration increases whenever a call to the
  // worker is opened or closed, so that late results of earlier calls and probes can be ignored.
  int mAttempt = 0;
  int mGeneration = 0;
  ReplicaPtr mReplica;
  // When the replica was reserved.
  TimePoint mReservedAt;
  http::CallHandle mCall;
  bool mCallOpen = false;
  bool mFetching = false;
  // Whether the worker reported that it refused the attempt without running it, or that it
  // cancelled the attempt while running it.
  bool mNotRun = false;
  bool mCancelled = false;
  // Whether the worker has shown that it received the attempt. If so, a later report that it
  // doesn't know the attempt doesn't prove that it was not run.
  bool mSeenByWorker = false;
  // Whether the worker no longer had the response when it was fetched.
  bool mResponseLost = false;
  // Whether the attempt was already running at the worker when its tombstone was to be set. A
  // tombstone makes the worker refuse the attempt if it arrives later.
  bool mTombstoneAfterStart = false;
  bool mProbeOpen = false;
  // Consecutive probes that reported the attempt as done while its response was still streaming.
  int mDoneProbes = 0;
  // When data last arrived on the connection of the attempt, and when the worker last reported
  // anything about the attempt.
  TimePoint mLastActivity;
  TimePoint mLastContact;
  // When the retry, or the next query to the holder of the claim, is due.
  TimePoint mRetryAt;
  TimePoint mNextWake = TimePoint::max();
  // Whether the request had to wait in the queue for a replica.
  bool mWasQueued = false;
  std::string mRetryReason = "new";
  WorkerId mAvoidWorker;
  // Whether an earlier attempt, or another request with the same idempotency key, may have run.
  bool mMayHaveRun = false;

  // Called with the final response: for other requests with the same idempotency key, and for nodes
  // that queried the claim.
  std::vector<std::function<void(const FinalResponse&)>> mJoiners;

  RequestState State() const { return mState; }
  // Changes the state. Asserts that the state machine allows the transition.
  void SetState(RequestState aState);
  // Whether the current attempt has been sent to a worker and has not ended.
  bool IsAtWorker() const;
  // Returns the id that the worker knows the current attempt by.
  RequestId AttemptId() const;

  // Handles the status and headers of a worker's response. A response with more than
  // kMaxBufferedBodyBytes bytes or of unknown size is streamed to the caller. Others are buffered,
  // so that a retry can replace a truncated response.
  void BeginResponse(int aStatus, const http::Headers& aHeaders);
  // Handles a part of the response body. Pauses reading from the worker while the caller is slower
  // to read.
  void AppendToResponse(std::string_view aData);
  // Discards the response received so far.
  void ResetResponse();
  // Whether part of the response has been sent to the caller.
  bool IsResponseStarted() const { return mStreaming; }
  // Whether reading from the worker is paused because the caller is slower.
  bool IsPaused() const;
  // HTTP status of the worker's response; 0 before its headers have arrived.
  int ResponseStatus() const { return mWorkerResponse.mStatus; }
  // Aborts the caller's connection, so that a truncated response never looks complete.
  void AbortCaller();
  // Sends the final response to the caller, or completes the streamed one.
  void SendFinal(const FinalResponse& aFinal);
  // Moves the worker's complete response out of the task. The body of a streamed response is
  // present only if IsBodyRetained().
  FinalResponse TakeResponse();
  bool IsBodyRetained() const { return mBodyRetained; }

private:
  struct FlowControl;

  void ForwardToCaller(std::string_view aData);

  RequestState mState = RequestState::Queued;
  std::optional<http::Responder> mResponder;
  http::Response mWorkerResponse;
  bool mStreaming = false;
  bool mBodyRetained = true;
  std::size_t mBytesSincePause = 0;
  std::shared_ptr<FlowControl> mFlowControl;
};

// Responses with larger bodies are streamed to the caller.
inline constexpr std::size_t kMaxBufferedBodyBytes = 16 * 1024;
// Response bodies up to this size are retained for retries with the same idempotency key.
inline constexpr std::size_t kMaxRetainedBodyBytes = 1024 * 1024;

} // namespace lovagerock::routing
