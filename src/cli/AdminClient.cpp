#include "cli/AdminClient.h"

#include "http/HttpError.h"

#include <algorithm>
#include <utility>

namespace lovagerock::cli {

namespace detail {
namespace {

CallOutcome
OutcomeOf(std::error_code aError)
{
  if (!aError) {
    return CallOutcome::Answered;
  }
  return aError == http::HttpError::NotSent ? CallOutcome::NotSent : CallOutcome::Lost;
}

Duration
TimeUntil(TimePoint aEnd)
{
  return std::chrono::duration_cast<Duration>(aEnd - std::chrono::steady_clock::now());
}

} // namespace
} // namespace detail

bool
CallResult::Is(int aStatus) const
{
  return mOutcome == CallOutcome::Answered && mStatus == aStatus && mBody.is_object();
}

AdminClient::AdminClient(std::vector<SocketAddress> aNodes)
  : mClient(mLoop)
  , mNodes(std::move(aNodes))
{
}

CallResult
AdminClient::CallNode(const SocketAddress& aNode, http::Method aMethod, const std::string& aTarget,
                      const std::string& aBody, Duration aTimeout)
{
  http::ClientRequest request;
  request.mServer = aNode;
  request.mMethod = aMethod;
  request.mTarget = aTarget;
  request.mBody = aBody;
  request.mDeadline = std::max(aTimeout, Duration(1));
  // An older connection to the node may have gone silent.
  request.mNewConnection = true;
  CallResult result;
  result.mNode = aNode;
  mClient.Send(request, [&](std::error_code aError, const http::Response& aResponse) {
    result.mOutcome = detail::OutcomeOf(aError);
    result.mError = aError;
    result.mStatus = aResponse.mStatus;
    if (auto body = ParseJson(aResponse.mBody); !aError && body && body->is_object()) {
      result.mBody = std::move(*body);
    }
    mLoop.Stop();
  });
  mLoop.Run();
  return result;
}

CallResult
AdminClient::Query(http::Method aMethod, const std::string& aTarget, const std::string& aBody,
                   Duration aTimeout)
{
  const auto end = std::chrono::steady_clock::now() + aTimeout;
  CallResult last;
  for (std::size_t i = 0; i < mNodes.size(); ++i) {
    const auto share = detail::TimeUntil(end) / static_cast<int>(mNodes.size() - i);
    auto result = CallNode(mNodes[i], aMethod, aTarget, aBody, share);
    const bool answered = result.mOutcome == CallOutcome::Answered;
    if (answered && result.mStatus < 500) {
      return result;
    }
    if (answered || last.mOutcome != CallOutcome::Answered) {
      last = std::move(result);
    }
  }
  return last;
}

void
AdminClient::Pause(Duration aTime)
{
  const auto timer = mLoop.After(aTime, [this] { mLoop.Stop(); });
  mLoop.Run();
}

} // namespace lovagerock::cli
