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
  return CallAll({ aRequest }).front();
}

std::vector<CallResult>
HttpCaller::CallAll(const std::vector<http::ClientRequest>& aRequests)
{
  std::vector<CallResult> results(aRequests.size());
  std::size_t open = aRequests.size();
  for (std::size_t i = 0; i < aRequests.size(); ++i) {
    mClient.Send(aRequests[i], [&, i](std::error_code aError, http::Response aResponse) {
      results[i] = { aError, std::move(aResponse) };
      if (--open == 0) {
        mLoop.Stop();
      }
    });
  }
  mLoop.Run();
  return results;
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
  return Call(MakePost(aServer, aTarget, aBody, aHeaders));
}

http::ClientRequest
HttpCaller::MakePost(const SocketAddress& aServer, const std::string& aTarget,
                     const std::string& aBody, const http::Headers& aHeaders)
{
  http::ClientRequest request;
  request.mServer = aServer;
  request.mMethod = http::Method::Post;
  request.mTarget = aTarget;
  request.mHeaders = aHeaders;
  request.mBody = aBody;
  request.mDeadline = kWaitLimit;
  request.mNewConnection = true;
  return request;
}

} // namespace lovagerock::integration
