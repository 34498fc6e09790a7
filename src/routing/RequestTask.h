#pragma once

#include "http/HttpClient.h"
#include "http/Responder.h"
#include "kv/KeyValueStore.h"
#include "routing/AdmissionQueue.h"
#include "routing/Claim.h"
#include "routing/FinalAnswer.h"
#include "routing/Replica.h"
#include "routing/RouteRequest.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lovagerock::routing {

// Where a request stands.
enum class RequestState
{
  // Waits for a free replica.
  Queued,
  // Waits for its claim, or for the outcome of another request with the same key.
  Claiming,
  // Was handed to a worker; no byte of the answer went to the caller.
  Sending,
  // Part of the answer went to the caller.
  Streaming,
  // The worker's connection is silent or was cut; the worker is asked over a new connection.
  Probing,
  // Waits for the backoff before the next attempt.
  Retrying,
  // Has its one final answer.
  Done,
};

// The name in logs.
std::string_view
RequestStateName(RequestState aState);

// One request of a caller: its state, its attempt and its answer so far. Owned by the Router, which
// makes all decisions; the task keeps the rules of the answer towards the caller.
class RequestTask
{
public:
  RequestTask(RequestNumber aNumber, RouteRequest aRequest, const http::Responder& aResponder,
              TimePoint aNow);

  const RequestNumber mNumber;
  RouteRequest mRequest;
  const TimePoint mStarted;
  const TimePoint mDeadline;

  // Key under which requests with the same idempotency key meet; empty without one.
  std::string mClaimKey;
  std::string mFingerprint;
  // The claim that this request holds or waits for.
  std::optional<Claim> mClaim;
  kv::ModifyIndex mClaimIndex = 0;
  bool mClaimHeld = false;
  // Questions to the holder of the claim that stayed without an answer.
  int mUnreachable = 0;

  // The present attempt; mGeneration also counts the calls that fetch an answer, so that results
  // of earlier calls are told apart.
  int mAttempt = 0;
  int mGeneration = 0;
  ReplicaPtr mReplica;
  // When the replica was reserved.
  TimePoint mReserved;
  http::CallHandle mCall;
  bool mCallOpen = false;
  bool mFetching = false;
  // The worker said that the attempt was refused without running, or cancelled while running.
  bool mNotRun = false;
  bool mCancelled = false;
  // The worker knew the request, so that its not knowing it later doesn't mean "not run".
  bool mSeen = false;
  // The worker no longer had the answer when it was fetched.
  bool mAnswerLost = false;
  // A tombstone was set after the request had started at the worker.
  bool mDropped = false;
  bool mProbeOpen = false;
  int mDoneProbes = 0;
  // The last sign of life of the attempt, and of the worker about the attempt.
  TimePoint mLastActivity;
  TimePoint mLastContact;
  // When the retry, or the next question to the holder of the claim, is due.
  TimePoint mRetryAt;
  TimePoint mNextWake = TimePoint::max();
  // Whether the request waited for a replica.
  bool mWaited = false;
  std::string mRetryReason = "new";
  WorkerId mAvoid;
  // Whether an earlier or the present attempt may have run.
  bool mMayHaveRun = false;

  // Receive the final answer; others with the same key and nodes that asked for the claim.
  std::vector<std::function<void(const FinalAnswer&)>> mJoiners;

  RequestState State() const { return mState; }
  // Moves to a state; only the transitions of the state machine are allowed.
  void SetState(RequestState aState);
  // Whether the request is with a worker.
  bool IsAtWorker() const;
  // The id of the present attempt at the worker.
  RequestId AttemptId() const;

  // Takes the head of a worker's answer. Answers of more than kMaxCollected bytes or of unknown
  // size stream to the caller; others are collected, so that a cut answer can still be replaced.
  void TakeHeaders(int aStatus, const http::Headers& aHeaders);
  // Takes a piece of the answer and stops reading from the worker while the caller is slower.
  void TakeData(std::string_view aData);
  // Forgets an answer of which nothing went to the caller.
  void ResetAnswer();
  // Whether part of the answer went to the caller.
  bool IsAnswerStarted() const { return mStreaming; }
  // Whether reading from the worker is stopped because the caller is slower.
  bool IsPaused() const;
  // The status of the worker's answer; 0 before its head.
  int AnswerStatus() const { return mAnswer.mStatus; }
  // Cuts the caller's connection, so that a part of an answer never looks complete.
  void AbortCaller();
  // Sends the final answer to the caller, or completes the streamed one.
  void SendFinal(const FinalAnswer& aFinal);
  // The worker's complete answer. The body of a streamed answer is present only if it was kept.
  FinalAnswer TakeAnswer();
  bool IsAnswerKept() const { return mKept; }

private:
  struct Flow;

  void Forward(std::string_view aData);

  RequestState mState = RequestState::Queued;
  std::optional<http::Responder> mResponder;
  http::Response mAnswer;
  bool mStreaming = false;
  bool mKept = true;
  std::size_t mUnwritten = 0;
  std::shared_ptr<Flow> mFlow;
};

// Larger answers stream to the caller.
inline constexpr std::size_t kMaxCollected = 16 * 1024;
// Answers of keyed requests are kept for retries up to this size.
inline constexpr std::size_t kMaxKept = 1024 * 1024;

} // namespace lovagerock::routing
