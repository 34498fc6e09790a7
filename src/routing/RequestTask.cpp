#include "routing/RequestTask.h"

#include <array>
#include <cassert>
#include <charconv>
#include <cstdint>
#include <strings.h>
#include <utility>

namespace lovagerock::routing {

namespace detail {
namespace {

// Bytes written towards a caller before the worker has to wait for the caller.
constexpr std::size_t kMaxUnwritten = 256 * 1024;

constexpr unsigned
Bit(RequestState aState)
{
  return 1U << static_cast<unsigned>(aState);
}

// The states that may follow each state, in the order of RequestState.
constexpr std::array<unsigned, 7> kNextStates{
  Bit(RequestState::Claiming) | Bit(RequestState::Sending) | Bit(RequestState::Done),
  Bit(RequestState::Queued) | Bit(RequestState::Sending) | Bit(RequestState::Done),
  Bit(RequestState::Streaming) | Bit(RequestState::Probing) | Bit(RequestState::Retrying) |
    Bit(RequestState::Done),
  Bit(RequestState::Probing) | Bit(RequestState::Done),
  Bit(RequestState::Sending) | Bit(RequestState::Streaming) | Bit(RequestState::Retrying) |
    Bit(RequestState::Done),
  Bit(RequestState::Queued) | Bit(RequestState::Done),
  0,
};

bool
IsName(std::string_view aName, std::string_view aExpected)
{
  return aName.size() == aExpected.size() &&
         strncasecmp(aName.data(), aExpected.data(), aName.size()) == 0;
}

// Headers of the connection to the worker, which don't belong to the caller's connection.
bool
IsHopHeader(std::string_view aName)
{
  return IsName(aName, "Connection") || IsName(aName, "Transfer-Encoding") ||
         IsName(aName, "Keep-Alive") || IsName(aName, "Content-Length") || IsName(aName, "Date") ||
         IsName(aName, "Request-Id");
}

std::optional<std::size_t>
ContentLength(const http::Headers& aHeaders)
{
  const auto text = aHeaders.Get("Content-Length");
  std::size_t n = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
  return ec == std::errc() && end == text.data() + text.size() ? std::optional(n) : std::nullopt;
}

} // namespace
} // namespace detail

// Counts the pieces on the way to the caller while reading from the worker is stopped.
struct RequestTask::Flow
{
  http::CallHandle mCall;
  std::size_t mPieces = 0;
};

std::string_view
RequestStateName(RequestState aState)
{
  constexpr std::array<std::string_view, 7> kNames{ "queued",  "claiming", "sending", "streaming",
                                                    "probing", "retrying", "done" };
  return kNames[static_cast<std::size_t>(aState)];
}

RequestTask::RequestTask(RequestNumber aNumber, RouteRequest aRequest,
                         const http::Responder& aResponder, TimePoint aNow)
  : mNumber(aNumber)
  , mRequest(std::move(aRequest))
  , mStarted(aNow)
  , mDeadline(aNow + mRequest.mTimeout)
  , mLastActivity(aNow)
  , mLastContact(aNow)
  , mResponder(aResponder)
{
  mAnswer.mStatus = 0;
}

void
RequestTask::SetState(RequestState aState)
{
  assert(aState == mState ||
         (detail::kNextStates[static_cast<std::size_t>(mState)] & detail::Bit(aState)) != 0);
  mState = aState;
}

bool
RequestTask::IsAtWorker() const
{
  return mState == RequestState::Sending || mState == RequestState::Streaming ||
         mState == RequestState::Probing;
}

RequestId
RequestTask::AttemptId() const
{
  return RequestId(mRequest.mId.Value() + "." + std::to_string(mAttempt));
}

void
RequestTask::TakeHeaders(int aStatus, const http::Headers& aHeaders)
{
  ResetAnswer();
  mAnswer.mStatus = aStatus;
  for (const auto& [name, value] : aHeaders) {
    if (!detail::IsHopHeader(name)) {
      mAnswer.mHeaders.Add(name, value);
    }
  }
  mAnswer.mHeaders.Add("Request-Id", mRequest.mId.Value());
  const auto length = detail::ContentLength(aHeaders);
  if ((length && *length <= kMaxCollected) || !mResponder) {
    return;
  }
  auto headers = mAnswer.mHeaders;
  if (length) {
    headers.Add("Content-Length", std::to_string(*length));
  }
  mStreaming = true;
  mKept = !mRequest.mKey.empty() && (!length || *length <= kMaxKept);
  mResponder->Start(aStatus, headers);
}

void
RequestTask::TakeData(std::string_view aData)
{
  if (mStreaming) {
    Forward(aData);
  }
  if (mKept && mAnswer.mBody.size() + aData.size() > kMaxKept) {
    mKept = false;
    mAnswer.mBody = {};
  }
  if (mKept) {
    mAnswer.mBody += aData;
  }
}

void
RequestTask::ResetAnswer()
{
  mAnswer = {};
  mAnswer.mStatus = 0;
  mKept = true;
}

bool
RequestTask::IsPaused() const
{
  return mFlow && mFlow->mPieces > 0;
}

// The guard resumes reading when the server has written the piece, and also when it dropped the
// callback because the caller is gone: the worker's answer is then read to its end.
void
RequestTask::Forward(std::string_view aData)
{
  if (!mResponder) {
    return;
  }
  mUnwritten += aData.size();
  if (!IsPaused() && mUnwritten < detail::kMaxUnwritten) {
    mResponder->Write(aData);
    return;
  }
  if (!mFlow) {
    mFlow = std::make_shared<Flow>();
  }
  mFlow->mCall = mCall;
  if (mFlow->mPieces++ == 0) {
    mCall.Pause();
  }
  mUnwritten = 0;
  const std::shared_ptr<Flow> guard(mFlow.get(), [flow = mFlow](Flow*) {
    if (--flow->mPieces == 0) {
      flow->mCall.Resume();
    }
  });
  mResponder->Write(aData, [guard] {});
}

void
RequestTask::AbortCaller()
{
  if (mResponder) {
    mResponder->Abort();
    mResponder.reset();
  }
  mStreaming = false;
}

void
RequestTask::SendFinal(const FinalAnswer& aFinal)
{
  if (!mResponder) {
    return;
  }
  if (mStreaming) {
    mResponder->End();
  } else {
    mResponder->Send(aFinal.mResponse);
  }
  mResponder.reset();
}

FinalAnswer
RequestTask::TakeAnswer()
{
  return { "answered", std::exchange(mAnswer, {}), false };
}

} // namespace lovagerock::routing
