#include "integration/HttpCaller.h"

#include "integration/TestFailure.h"

namespace lovagerock::integration {

std::string
CallResult::Describe() const
{
  return mError ? mError.message()
                : std::to_string(mResponse.mStatus) + " " + mResponse.mBody.substr(0, 500);
}

CallResult
HttpCaller::Call(const http::ClientRequest& aRequest)
{
  CallResult result;
  mClient.Send(aRequest, [&](std::error_code aError, http::Response aResponse) {
    result = { aError, std::move(aResponse) };
    mLoop.Stop();
  });
  mLoop.Run();
  return result;
}

CallResult
HttpCaller::Get(const SocketAddress& aServer, const std::string& aTarget,
                const http::Headers& aHeaders)
{
  http::ClientRequest request;
  request.mServer = aServer;
  request.mTarget = aTarget;
  request.mHeaders = aHeaders;
  request.mDeadline = kWaitLimit;
  // Nodes are killed and restarted between calls, so pooled connections may be dead.
  request.mNewConnection = true;
  return Call(request);
}

CallResult
HttpCaller::Post(const SocketAddress& aServer, const std::string& aTarget, const std::string& aBody,
                 const http::Headers& aHeaders)
{
  http::ClientRequest request;
  request.mServer = aServer;
  request.mMethod = http::Method::Post;
  request.mTarget = aTarget;
  request.mHeaders = aHeaders;
  request.mBody = aBody;
  request.mDeadline = kWaitLimit;
  request.mNewConnection = true;
  return Call(request);
}

} // namespace lovagerock::integration
