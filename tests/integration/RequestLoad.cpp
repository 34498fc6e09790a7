#include "integration/RequestLoad.h"

#include "http/HttpError.h"
#include "integration/TestFailure.h"

namespace lovagerock::integration {

void
RequireAnswered(const LoadedRequest& aRequest)
{
  Require(aRequest.mResult.Is(200) && aRequest.mResult.mResponse.mBody == aRequest.mKey,
          aRequest.mKey + ": " + aRequest.mResult.Describe());
}

RequestLoad::RequestLoad(LocalSystem& aSystem, const LoadOptions& aOptions, Progress aProgress)
  : mSystem(aSystem)
  , mOptions(aOptions)
  , mProgress(std::move(aProgress))
  , mRequests(static_cast<std::size_t>(aOptions.mRequests))
  , mAvoided(static_cast<std::size_t>(aSystem.NodeCount()))
{
  for (std::size_t i = 0; i < mRequests.size(); ++i) {
    mRequests[i].mKey = "request-" + std::to_string(i);
    mRequests[i].mNode = static_cast<int>(i) % aSystem.NodeCount();
  }
}

const std::vector<LoadedRequest>&
RequestLoad::Run()
{
  for (int i = 0; i < mOptions.mWindow; ++i) {
    mLoop.Post([this] { SendNext(); });
  }
  mLoop.Run();
  Require(!mStalled, "load stalled after " + std::to_string(mEnded) + " requests");
  return mRequests;
}

void
RequestLoad::SendNext()
{
  mLimit = mLoop.After(kWaitLimit, [this] {
    mStalled = true;
    mLoop.Stop();
  });
  if (mNext == mRequests.size()) {
    if (mEnded == mOptions.mRequests) {
      mLoop.Stop();
    }
    return;
  }
  mProgress(mEnded);
  Send(mNext++);
}

int
RequestLoad::NextNode(int aNode) const
{
  for (int i = 0; i < mSystem.NodeCount(); ++i) {
    const int node = (aNode + i) % mSystem.NodeCount();
    if (!mAvoided[static_cast<std::size_t>(node)]) {
      return node;
    }
  }
  return aNode;
}

void
RequestLoad::Send(std::size_t aIndex)
{
  auto& it = mRequests[aIndex];
  it.mNode = NextNode(it.mNode);
  http::ClientRequest request;
  request.mServer = mSystem.NodeAddress(it.mNode);
  request.mMethod = http::Method::Post;
  request.mTarget = "/v1/services/echo/requests";
  request.mHeaders = { { "Authorization", std::string("Bearer ") + kToken },
                       { "Idempotent", mOptions.mIdempotent ? "true" : "false" } };
  if (mOptions.mKeyed) {
    request.mHeaders.Add("Idempotency-Key", it.mKey);
  }
  request.mBody = DumpJson({ { "run_ms", mOptions.mRunMs }, { "answer", it.mKey } });
  request.mDeadline = kWaitLimit;
  // A pooled connection may be closed by the node at the moment of its next use.
  request.mNewConnection = true;
  mClient.Send(request, [this, aIndex](std::error_code aError, http::Response aResponse) {
    OnResult(aIndex, { aError, std::move(aResponse) });
  });
}

bool
RequestLoad::IsNotRun(const CallResult& aResult) const
{
  return aResult.mError == make_error_code(http::HttpError::NotSent) ||
         (!aResult.mError && aResult.mResponse.mStatus != 200 &&
          JsonValue<std::string>(aResult.Body(), "ran", "") == "no" &&
          JsonValue(aResult.Body(), "retry", false));
}

void
RequestLoad::OnResult(std::size_t aIndex, CallResult aResult)
{
  auto& it = mRequests[aIndex];
  const bool closing = !aResult.mError && aResult.mResponse.mHeaders.Get("Connection") == "close";
  const bool notRun = IsNotRun(aResult);
  const bool lost = aResult.mError && !notRun;
  it.mLost += lost ? 1 : 0;
  if (aResult.mError || closing) {
    mAvoided[static_cast<std::size_t>(it.mNode)] = true;
  }
  const bool retryable = !aResult.mError && JsonValue(aResult.Body(), "retry", false);
  if (notRun || (mOptions.mKeyed && (lost || retryable))) {
    Retry(aIndex);
    return;
  }
  it.mResult = std::move(aResult);
  it.mDone = true;
  ++mEnded;
  SendNext();
}

void
RequestLoad::Retry(std::size_t aIndex)
{
  constexpr Duration kRetryDelay{ 100 };
  auto& it = mRequests[aIndex];
  it.mNode = (it.mNode + 1) % mSystem.NodeCount();
  mRetries.push_back(mLoop.After(kRetryDelay, [this, aIndex] { Send(aIndex); }));
}

} // namespace lovagerock::integration
