#pragma once

#include "base/EventLoop.h"
#include "base/Random.h"
#include "http/HttpClient.h"
#include "load/TargetRing.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_set>
#include <vector>

namespace lovagerock::load {

// One call and how it may be repeated.
struct CallSpec
{
  http::Method mMethod = http::Method::Post;
  std::string mTarget;
  http::Headers mHeaders;
  std::string mBody;
  // Whether the same call may be sent again when its outcome is unknown: it is idempotent, or it
  // carries an idempotency key.
  bool mReplayable = false;
  // Time for one attempt.
  Duration mAttemptTime{ 32000 };
  // No attempt is started after this time from the call's begin.
  Duration mGiveUp{ 60000 };
};

// One attempt of a call as its answer described it.
struct Attempt
{
  // The answer's Request-Id; empty if there was none.
  std::string mRequestId;
  // "no", "unknown" or "partly" of a refusal, "yes" for an answer; "unknown" if the connection was
  // lost, "no" if it was never sent.
  std::string mRan;
  // 0 without an answer.
  int mStatus = 0;
};

// The end of a call.
struct CallResult
{
  enum class End
  {
    // The last attempt got an answer that is not a refusal.
    Answered,
    Refused,
    // The last attempt was sent and got no whole answer.
    Lost,
    // No byte of the last attempt was sent.
    NotSent,
  };

  End mEnd = End::NotSent;
  http::Response mResponse;
  // The reason of a refusal or of a lost connection.
  std::string mError;
  std::vector<Attempt> mAttempts;

  // Whether, by all answers, no attempt ran.
  bool IsNotRun() const;
};

// Makes calls as docs/callers-api.md asks careful callers to: a refusal that may be retried is
// retried after its Retry-After, and a lost connection is retried on another node if that is safe.
// Calls open at the destruction end without a callback.
class Caller
{
public:
  using Callback = std::function<void(const CallResult&)>;

  Caller(EventLoop& aLoop, TargetRing aTargets, Random& aRandom);
  ~Caller();
  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;

  void Call(CallSpec aSpec, Callback aCallback);

private:
  struct Pending;
  using PendingPtr = std::shared_ptr<Pending>;

  void Try(const PendingPtr& aCall);
  void OnEnd(const PendingPtr& aCall, std::error_code aError, http::Response aResponse);
  void OnFailure(const PendingPtr& aCall, std::error_code aError);
  void OnRefusal(const PendingPtr& aCall, bool aRetry);
  // Tries again after the delay; false if the call's time is over.
  bool TryLater(const PendingPtr& aCall, Duration aDelay);
  void Finish(const PendingPtr& aCall, CallResult::End aEnd);

  EventLoop& mLoop;
  TargetRing mTargets;
  Random& mRandom;
  http::HttpClient mClient;
  std::unordered_set<PendingPtr> mPending;
};

} // namespace lovagerock::load
