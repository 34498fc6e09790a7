#pragma once

#include "base/EventLoop.h"
#include "http/HttpClient.h"
#include "integration/LocalSystem.h"

#include <deque>
#include <functional>
#include <string>
#include <vector>

namespace lovagerock::integration {

// What a RequestLoad sends.
struct LoadOptions
{
  int mRequests = 300;
  // Calls open at once.
  int mWindow = 12;
  int mRunMs = 50;
  bool mIdempotent = false;
  // Sends a key with each request, and repeats it at the next node if the answer was lost.
  bool mKeyed = true;
};

// A request of a load and its outcome.
struct LoadedRequest
{
  std::string mKey;
  int mNode = 0;
  CallResult mResult;
  // Calls that ended without an answer after something was sent.
  int mLost = 0;
  bool mDone = false;
};

// Ends the test unless the request was answered with the whole answer of its own.
void
RequireAnswered(const LoadedRequest& aRequest);

// Callers that spread requests over all nodes. A call that was refused as not run goes to the next
// node. A node that refuses or asks for closed connections gets no further request, as behind a
// balancer.
class RequestLoad
{
public:
  // Called before each request is sent, with the number of requests that have ended.
  using Progress = std::function<void(int aEnded)>;

  RequestLoad(LocalSystem& aSystem, const LoadOptions& aOptions, Progress aProgress);

  // Runs until all requests have ended; ends the test after kWaitLimit without an end.
  const std::vector<LoadedRequest>& Run();

private:
  void SendNext();
  void Send(std::size_t aIndex);
  void Retry(std::size_t aIndex);
  void OnResult(std::size_t aIndex, CallResult aResult);
  bool IsNotRun(const CallResult& aResult) const;
  int NextNode(int aNode) const;

  LocalSystem& mSystem;
  LoadOptions mOptions;
  Progress mProgress;
  EventLoop mLoop;
  http::HttpClient mClient{ mLoop };
  std::vector<LoadedRequest> mRequests;
  std::vector<bool> mAvoided;
  std::size_t mNext = 0;
  int mEnded = 0;
  bool mStalled = false;
  std::deque<Timer> mRetries;
  Timer mLimit;
};

} // namespace lovagerock::integration
