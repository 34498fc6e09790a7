#include "load/Caller.h"

#include "base/Json.h"
#include "http/HttpError.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <utility>

namespace lovagerock::load {

namespace detail {
namespace {

// The wait before an attempt after a lost connection; doubles up to the longest.
constexpr Duration kFirstBackoff{ 20 };
constexpr Duration kLongestBackoff{ 1000 };

// The members of a refusal.
struct Refusal
{
  std::string mError;
  std::string mRan;
  bool mRetry = false;
};

// Reads a refusal. An error status without the members of a refusal is one with unknown outcome,
// except for the statuses of the worker protocol's "Not-Run" field.
std::optional<Refusal>
ReadRefusal(const http::Response& aResponse)
{
  if (aResponse.mStatus < 400) {
    return std::nullopt;
  }
  const auto json = ParseJson(aResponse.mBody).value_or(Json::object());
  const bool notRun = aResponse.mHeaders.Get("Not-Run") == "true";
  Refusal refusal;
  refusal.mError = JsonValue(json, "error", "status_" + std::to_string(aResponse.mStatus));
  refusal.mRan = JsonValue(json, "ran", std::string(notRun ? "no" : "unknown"));
  refusal.mRetry = JsonValue(json, "retry", notRun);
  return refusal;
}

Duration
RetryAfter(const http::Response& aResponse)
{
  const auto text = aResponse.mHeaders.Get("Retry-After");
  int seconds = 0;
  std::from_chars(text.data(), text.data() + text.size(), seconds);
  return std::chrono::seconds(std::clamp(seconds, 0, 3600));
}

} // namespace
} // namespace detail

struct Caller::Pending
{
  CallSpec mSpec;
  Callback mCallback;
  CallResult mResult;
  TimePoint mBegin = std::chrono::steady_clock::now();
  Duration mBackoff = detail::kFirstBackoff;
  SocketAddress mTarget;
  Timer mTimer;
};

bool
CallResult::IsNotRun() const
{
  return std::ranges::all_of(mAttempts, [](const auto& aAttempt) { return aAttempt.mRan == "no"; });
}

Caller::Caller(EventLoop& aLoop, TargetRing aTargets, Random& aRandom)
  : mLoop(aLoop)
  , mTargets(std::move(aTargets))
  , mRandom(aRandom)
  , mClient(aLoop)
{
}

Caller::~Caller() = default;

void
Caller::Call(CallSpec aSpec, Callback aCallback)
{
  auto call = std::make_shared<Pending>();
  call->mSpec = std::move(aSpec);
  call->mCallback = std::move(aCallback);
  mPending.insert(call);
  Try(call);
}

void
Caller::Try(const PendingPtr& aCall)
{
  aCall->mTarget = mTargets.Next(std::chrono::steady_clock::now());
  http::ClientRequest request;
  request.mServer = aCall->mTarget;
  request.mMethod = aCall->mSpec.mMethod;
  request.mTarget = aCall->mSpec.mTarget;
  request.mHeaders = aCall->mSpec.mHeaders;
  request.mBody = aCall->mSpec.mBody;
  request.mDeadline = aCall->mSpec.mAttemptTime;
  mClient.Send(request, [this, aCall](std::error_code aError, http::Response aResponse) {
    OnEnd(aCall, aError, std::move(aResponse));
  });
}

void
Caller::OnEnd(const PendingPtr& aCall, std::error_code aError, http::Response aResponse)
{
  if (aError) {
    OnFailure(aCall, aError);
    return;
  }
  auto& result = aCall->mResult;
  result.mResponse = std::move(aResponse);
  const auto refusal = detail::ReadRefusal(result.mResponse);
  Attempt attempt;
  attempt.mRequestId = result.mResponse.mHeaders.Get("Request-Id");
  attempt.mStatus = result.mResponse.mStatus;
  attempt.mRan = refusal ? refusal->mRan : "yes";
  result.mAttempts.push_back(std::move(attempt));
  result.mError = refusal ? refusal->mError : std::string();
  if (refusal) {
    OnRefusal(aCall, refusal->mRetry);
  } else {
    Finish(aCall, CallResult::End::Answered);
  }
}

void
Caller::OnFailure(const PendingPtr& aCall, std::error_code aError)
{
  const bool sent = aError != http::HttpError::NotSent;
  aCall->mResult.mAttempts.push_back({ "", sent ? "unknown" : "no", 0 });
  aCall->mResult.mError = sent ? "connection_lost" : "not_sent";
  if (!sent) {
    mTargets.LeaveOut(aCall->mTarget, std::chrono::steady_clock::now());
  }
  if (!sent || aCall->mSpec.mReplayable) {
    const auto delay = mRandom.Jitter(aCall->mBackoff);
    aCall->mBackoff = std::min(aCall->mBackoff * 2, detail::kLongestBackoff);
    if (TryLater(aCall, delay)) {
      return;
    }
  }
  Finish(aCall, sent ? CallResult::End::Lost : CallResult::End::NotSent);
}

void
Caller::OnRefusal(const PendingPtr& aCall, bool aRetry)
{
  if (aRetry) {
    const auto delay =
      detail::RetryAfter(aCall->mResult.mResponse) + mRandom.Jitter(aCall->mBackoff);
    if (TryLater(aCall, delay)) {
      return;
    }
  }
  Finish(aCall, CallResult::End::Refused);
}

bool
Caller::TryLater(const PendingPtr& aCall, Duration aDelay)
{
  if (std::chrono::steady_clock::now() + aDelay > aCall->mBegin + aCall->mSpec.mGiveUp) {
    return false;
  }
  // The timer belongs to the call, so its task must not own the call.
  const std::weak_ptr<Pending> weak = aCall;
  aCall->mTimer = mLoop.After(aDelay, [this, weak] {
    if (const auto call = weak.lock()) {
      Try(call);
    }
  });
  return true;
}

void
Caller::Finish(const PendingPtr& aCall, CallResult::End aEnd)
{
  aCall->mResult.mEnd = aEnd;
  mPending.erase(aCall);
  aCall->mCallback(aCall->mResult);
}

} // namespace lovagerock::load
