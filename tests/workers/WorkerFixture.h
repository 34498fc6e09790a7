#pragma once

#include "standin/worker/WorkerServer.h"
#include "support/LocalAddress.h"
#include "workers/HttpWorkerApi.h"
#include "workers/WorkerMonitor.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

namespace lovagerock::workers {

// A simulated worker, a client and a monitor on one loop.
struct WorkerFixture
{
  EventLoop mLoop;
  Random mRandom{ 7 };
  standin::Counters mCounters;
  standin::TraceFile mTrace;
  std::unique_ptr<standin::WorkerServer> mWorker;
  http::HttpClient mClient{ mLoop };
  HttpWorkerApi mApi{ mClient };
  SocketAddress mAddress = testing::LocalAddress();
  Fence mFence{ 1, NodeId("n") };
  std::vector<WorkerChange> mChanges;
  std::function<bool()> mStopCondition;
  Mailbox<WorkerChange> mMailbox{ mLoop, [this](WorkerChange aChange) {
                                   mChanges.push_back(std::move(aChange));
                                   if (mStopCondition && mStopCondition()) {
                                     mLoop.Stop();
                                   }
                                 } };
  WorkerMonitor<HttpWorkerApi> mMonitor{ mLoop, mApi, mRandom, mMailbox.GetAddress() };
  Timer mLimit = mLoop.After(Duration(60000), [] { cr_assert_fail("test did not finish"); });

  WorkerFixture() { StartWorker("first"); }

  void StartWorker(const char* aIncarnation)
  {
    standin::WorkerSettings settings;
    settings.mWorker = WorkerId("w");
    settings.mIncarnation = aIncarnation;
    settings.mCapacity.mAccelerators = Accelerators(8);
    mWorker = std::make_unique<standin::WorkerServer>(mLoop, settings, mCounters, mTrace);
    cr_assert_not(mWorker->Listen(mAddress));
    mAddress = mWorker->Address();
  }
  void Wait(std::function<bool()> aUntil)
  {
    mStopCondition = std::move(aUntil);
    mLoop.Run();
  }
  LeaseRequest Lease(const char* aId) const
  {
    LeaseRequest request;
    request.mLease = LeaseId(aId);
    request.mFence = mFence;
    request.mTtl = Duration(5000);
    request.mResources.mAccelerators = Accelerators(8);
    request.mPayload = R"({"answer":"42"})";
    return request;
  }
  std::error_code Reserve(const LeaseRequest& aRequest)
  {
    std::error_code result;
    mApi.Reserve(mAddress, aRequest, [&](std::error_code aError, const LeaseState&) {
      result = aError;
      mLoop.Stop();
    });
    mLoop.Run();
    return result;
  }
  bool HasHealth(WorkerHealth aHealth) const
  {
    return !mChanges.empty() && mChanges.back().mView.Health() == aHealth;
  }
  void Post(const char* aFaults)
  {
    http::ClientRequest request;
    request.mServer = mAddress;
    request.mMethod = http::Method::Post;
    request.mTarget = "/v1/faults";
    request.mBody = aFaults;
    mClient.Send(request, [](std::error_code, const http::Response&) {});
  }
};

// Records the aSince arguments of the monitor's polls. mModifyAnswer may replace the version in an
// answer that reports no change.
struct RecordingApi : HttpWorkerApi
{
  using HttpWorkerApi::HttpWorkerApi;

  std::vector<std::uint64_t> mSince;
  std::function<void(PollAnswer&)> mModifyAnswer;

  void
  Poll(const SocketAddress& aWorker, std::uint64_t aSince, Duration aWait, PollCallback aCallback)
  {
    mSince.push_back(aSince);
    HttpWorkerApi::Poll(
      aWorker, aSince, aWait,
      [this, callback = std::move(aCallback)](std::error_code aError, PollAnswer aAnswer) {
        if (mModifyAnswer && !aAnswer.mState) {
          mModifyAnswer(aAnswer);
        }
        callback(aError, std::move(aAnswer));
      });
  }
  long FullReads() const { return std::count(mSince.begin(), mSince.end(), 0U); }
};

} // namespace lovagerock::workers
