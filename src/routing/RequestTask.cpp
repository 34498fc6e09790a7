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

// After this many bytes, reading from the worker pauses until the caller's connection has taken
// them.
constexpr std::size_t kFlowControlBytes = 256 * 1024;

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

// Headers that apply only to the connection to the worker, or that are set anew for the caller.
bool
IsHopByHopHeader(std::string_view aName)
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

// Counts the writes to the caller that must finish before reading from the worker resumes.
struct RequestTask::FlowControl
{
  http::CallHandle mCall;
  std::size_t mPendingWrites = 0;
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
  , mArrivedAt(aNow)
  , mDeadline(aNow + mRequest.mTimeout)
  , mLastActivity(aNow)
  , mLastContact(aNow)
  , mResponder(aResponder)
{
  mWorkerResponse.mStatus = 0;
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
RequestTask::BeginResponse(int aStatus, const http::Headers& aHeaders)
{
  ResetResponse();
  mWorkerResponse.mStatus = aStatus;
  for (const auto& [name, value] : aHeaders) {
    if (!detail::IsHopByHopHeader(name)) {
      mWorkerResponse.mHeaders.Add(name, value);
    }
  }
  mWorkerResponse.mHeaders.Add("Request-Id", mRequest.mId.Value());
  const auto length = detail::ContentLength(aHeaders);
  if ((length && *length <= kMaxBufferedBodyBytes) || !mResponder) {
    return;
  }
  auto headers = mWorkerResponse.mHeaders;
  if (length) {
    headers.Add("Content-Length", std::to_string(*length));
  }
  mStreaming = true;
  mBodyRetained = !mRequest.mKey.empty() && (!length || *length <= kMaxRetainedBodyBytes);
  mResponder->Start(aStatus, headers);
}

void
RequestTask::AppendToResponse(std::string_view aData)
{
  if (mStreaming) {
    ForwardToCaller(aData);
  }
  if (mBodyRetained && mWorkerResponse.mBody.size() + aData.size() > kMaxRetainedBodyBytes) {
    mBodyRetained = false;
    mWorkerResponse.mBody = {};
  }
  if (mBodyRetained) {
    mWorkerResponse.mBody += aData;
  }
}

void
RequestTask::ResetResponse()
{
  mWorkerResponse = {};
  mWorkerResponse.mStatus = 0;
  mBodyRetained = true;
}

bool
RequestTask::IsPaused() const
{
  return mFlowControl && mFlowControl->mPendingWrites > 0;
}

// The guard resumes reading when the server has written the data, and also when the server discards
// the callback because the caller has disconnected. The worker's response is then read to its end.
void
RequestTask::ForwardToCaller(std::string_view aData)
{
  if (!mResponder) {
    return;
  }
  mBytesSincePause += aData.size();
  if (!IsPaused() && mBytesSincePause < detail::kFlowControlBytes) {
    mResponder->Write(aData);
    return;
  }
  if (!mFlowControl) {
    mFlowControl = std::make_shared<FlowControl>();
  }
  mFlowControl->mCall = mCall;
  if (mFlowControl->mPendingWrites++ == 0) {
    mCall.Pause();
  }
  mBytesSincePause = 0;
  const std::shared_ptr<FlowControl> guard(mFlowControl.get(),
                                           [flowControl = mFlowControl](FlowControl*) {
                                             if (--flowControl->mPendingWrites == 0) {
                                               flowControl->mCall.Resume();
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
RequestTask::SendFinal(const FinalResponse& aFinal)
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

FinalResponse
RequestTask::TakeResponse()
{
  return { "answered", std::exchange(mWorkerResponse, {}), false };
}

} // namespace lovagerock::routing
