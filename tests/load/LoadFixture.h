#pragma once

#include "http/HttpServer.h"
#include "load/JobLoad.h"
#include "load/RequestLoad.h"
#include "support/LocalAddress.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

namespace lovagerock::load::tests {

inline constexpr std::uint64_t kSeed = 1;

// An entry node that answers as a test tells it to, and a session that calls it.
struct LoadFixture
{
  EventLoop mLoop;
  http::HttpServer mServer{ mLoop };
  SessionOptions mOptions;
  std::unique_ptr<Session> mSession;
  Timer mLimit;
  // The idempotency keys in order of arrival.
  std::vector<std::string> mKeys;

  LoadFixture()
  {
    cr_assert_not(mServer.Listen(testing::LocalAddress()));
    mOptions.mTargets = { mServer.Address() };
    mOptions.mSeed = kSeed;
    mLimit = mLoop.After(Duration(60000), [] { cr_assert_fail("test did not finish"); });
  }

  // Answers service requests; the handler gets the number of the request from 0.
  void OnRequest(std::function<void(int, const http::Request&, const http::Responder&)> aHandler)
  {
    mServer.Handle(http::Method::Post, "/v1/services/{service}/requests",
                   [this, aHandler](const http::Request& aRequest, const http::Responder& aTo) {
                     mKeys.emplace_back(aRequest.mHeaders.Get("Idempotency-Key"));
                     aHandler(static_cast<int>(mKeys.size()) - 1, aRequest, aTo);
                   });
  }

  Tally& RunRequests(int aCount, int aConnections = 1)
  {
    RequestLoadOptions options;
    options.mPlan.mService = "condition";
    options.mPlan.mSize = 300;
    options.mCount = aCount;
    options.mTime = Duration(0);
    options.mConnections = aConnections;
    options.mNonIdempotentPercent = 50;
    mSession = std::make_unique<Session>(mLoop, mOptions);
    RequestLoad load(*mSession, options, [this] { mLoop.Stop(); });
    mLoop.Post([&load] { load.Start(); });
    mLoop.Run();
    return mSession->mRequests;
  }

  Tally& RunJobs(int aCount, int aTasks)
  {
    JobLoadOptions options;
    options.mCount = aCount;
    options.mPlan.mTasks = aTasks;
    mSession = std::make_unique<Session>(mLoop, mOptions);
    JobLoad load(*mSession, options, [this] { mLoop.Stop(); });
    mLoop.Post([&load] { load.Start(); });
    mLoop.Run();
    return mSession->mJobs;
  }
};

} // namespace lovagerock::load::tests
