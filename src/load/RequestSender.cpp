#include "load/RequestSender.h"

#include "load/Payload.h"
#include "load/TraceFields.h"

#include <utility>

namespace lovagerock::load {

namespace detail {
namespace {

Outcome
JudgeRequest(const CallResult& aResult, const std::string& aExpected)
{
  switch (aResult.mEnd) {
    case CallResult::End::Answered:
      return CheckAnswer(aExpected, aResult.mResponse.mBody);
    case CallResult::End::Refused:
      return aResult.IsNotRun() ? Outcome::Refused : Outcome::Unknown;
    case CallResult::End::Lost:
    case CallResult::End::NotSent:
      break;
  }
  return aResult.IsNotRun() ? Outcome::Refused : Outcome::Lost;
}

Json
AttemptsToJson(const std::vector<Attempt>& aAttempts)
{
  auto list = Json::array();
  for (const auto& it : aAttempts) {
    list.push_back({ { client_trace::kId, it.mRequestId },
                     { client_trace::kRan, it.mRan },
                     { client_trace::kStatus, it.mStatus } });
  }
  return list;
}

} // namespace
} // namespace detail

RequestSender::RequestSender(Session& aSession)
  : mSession(aSession)
{
}

CallSpec
RequestSender::MakeCall(const RequestPlan& aPlan, const std::string& aToken) const
{
  const auto& deadline = mSession.mOptions.mDeadline;
  auto target = "/v1/services/" + http::EncodeComponent(aPlan.mService) + "/requests";
  const bool direct = !aPlan.mWorkerLease.empty();
  if (direct) {
    target += "/" + aToken;
  }
  auto call = mSession.NewCall(http::Method::Post, std::move(target), aPlan.mBearer);
  call.mHeaders.Add("Idempotent", aPlan.mIdempotent ? "true" : "false");
  call.mHeaders.Add("Content-Type", "application/json");
  if (direct) {
    call.mHeaders.Add("Lease-Id", aPlan.mWorkerLease);
    call.mHeaders.Add("Request-Timeout-Ms", std::to_string(deadline.count()));
  } else {
    call.mHeaders.Add("Idempotency-Key", aToken);
    call.mHeaders.Add("Deadline-Ms", std::to_string(deadline.count()));
  }
  // A key, or the request id in the worker protocol, makes every request replayable.
  call.mReplayable = true;
  return call;
}

void
RequestSender::Send(const RequestPlan& aPlan, Callback aDone)
{
  const auto token = mSession.NextToken();
  auto call = MakeCall(aPlan, token);
  call.mBody = MakePayload(token, aPlan.mRunTime, aPlan.mSize);
  auto expected = call.mBody;
  mSession.mCaller.Call(std::move(call), [this, aPlan, token, expected = std::move(expected),
                                          done = std::move(aDone)](const CallResult& aResult) {
    const auto latency = std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::steady_clock::now() - aPlan.mIntended);
    done(Record(aPlan, token, aResult, expected, latency), latency);
  });
}

Outcome
RequestSender::Record(const RequestPlan& aPlan, const std::string& aToken,
                      const CallResult& aResult, const std::string& aExpected,
                      std::chrono::microseconds aLatency)
{
  const auto outcome = detail::JudgeRequest(aResult, aExpected);
  mSession.mRequests.Add(outcome, aResult.mError, aLatency);
  mSession.mRequests.AddRetries(static_cast<std::int64_t>(aResult.mAttempts.size()) - 1);
  if (!mSession.mLog.IsOpen()) {
    return outcome;
  }
  const bool answered = aResult.mEnd == CallResult::End::Answered;
  mSession.mLog.Write(
    { { client_trace::kKind, client_trace::kRequestKind },
      { client_trace::kKey, aToken },
      { client_trace::kToken, aToken },
      { client_trace::kIdempotent, aPlan.mIdempotent },
      { client_trace::kOutcome, OutcomeName(outcome) },
      { client_trace::kError, aResult.mError },
      { client_trace::kAttempts, detail::AttemptsToJson(aResult.mAttempts) },
      { client_trace::kAnswerToken, answered ? TokenOf(aResult.mResponse.mBody) : "" },
      { client_trace::kLatency, aLatency.count() } });
  return outcome;
}

} // namespace lovagerock::load
