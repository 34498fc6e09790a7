#pragma once

#include "base/EventLoop.h"
#include "base/Json.h"
#include "http/HttpClient.h"

#include <string>
#include <system_error>
#include <vector>

namespace lovagerock::integration {

// The outcome of a call.
struct CallResult
{
  std::error_code mError;
  http::Response mResponse;

  bool Is(int aStatus) const { return !mError && mResponse.mStatus == aStatus; }
  // The answer's JSON, or null.
  Json Body() const { return ParseJson(mResponse.mBody).value_or(Json()); }
  // A text for failure messages.
  std::string Describe() const;
};

// Makes HTTP calls and waits for their answers, with a loop of its own.
class HttpCaller
{
public:
  CallResult Call(const http::ClientRequest& aRequest);
  // Makes the calls at once and waits for all answers, which are in the order of the requests.
  std::vector<CallResult> CallAll(const std::vector<http::ClientRequest>& aRequests);
  CallResult
  Get(const SocketAddress& aServer, const std::string& aTarget, const http::Headers& aHeaders = {});
  CallResult Post(const SocketAddress& aServer, const std::string& aTarget,
                  const std::string& aBody, const http::Headers& aHeaders = {});

  // The request that Post() sends.
  static http::ClientRequest MakePost(const SocketAddress& aServer, const std::string& aTarget,
                                      const std::string& aBody, const http::Headers& aHeaders = {});

private:
  EventLoop mLoop;
  http::HttpClient mClient{ mLoop };
};

} // namespace lovagerock::integration
