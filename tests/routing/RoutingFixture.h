#pragma once

#include "base/LogEvent.h"
#include "http/HttpServer.h"
#include "kv/MemoryStore.h"
#include "routing/RequestApi.h"
#include "routing/Router.h"
#include "support/LocalAddress.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <system_error>
#include <unordered_map>
#include <vector>

namespace lovagerock::routing::test {

// A fake worker on an HTTP server. Each test sets its behavior.
struct TestWorker
{
  http::HttpServer mServer;
  std::string mName;
  std::string mIncarnation = "1";
  // The phases that probes and tombstones of requests report; if not set, the actual phase. On a
  // busy machine the router may probe any request, so a fixed phase must not contradict the test.
  std::optional<workers::RequestPhase> mPhase;
  std::optional<workers::RequestPhase> mDropPhase;
  // Called when a probe arrives. The probe is answered after mProbeDelay.
  std::function<void()> mOnProbe;
  Duration mProbeDelay{ 0 };
  bool mReachable = true;
  std::function<void(const http::Request&, const http::Responder&)> mOnRequest =
    [](const http::Request& aRequest, const http::Responder& aResponder) {
      aResponder.Send({ 200, {}, "answer to " + aRequest.mBody });
    };
  std::string mFetchedBody = "kept";
  // Ids of the requests that arrived, and of those that got a tombstone.
  std::vector<std::string> mRequests;
  std::vector<std::string> mDropped;
  std::vector<http::Responder> mHeldResponders;

  TestWorker(EventLoop& aLoop, std::string aName)
    : mServer(aLoop)
    , mName(std::move(aName))
  {
    mServer.Handle(http::Method::Post, "/v1/services/{service}/requests/{id}",
                   [this](const http::Request& aRequest, const http::Responder& aResponder) {
                     const auto id = aRequest.PathParameter("id");
                     if (std::ranges::find(mDropped, id) != mDropped.end()) {
                       aResponder.Send({ 503, { { "Not-Run", "true" } }, "" });
                       return;
                     }
                     mRequests.push_back(id);
                     mOnRequest(aRequest, aResponder);
                   });
    mServer.Handle(http::Method::Get, "/v1/requests/{id}/answer",
                   [this](const http::Request&, const http::Responder& aResponder) {
                     aResponder.Send({ 200, {}, mFetchedBody });
                   });
    cr_assert_not(mServer.Listen(testing::LocalAddress()));
  }

  workers::RequestPhase ActualPhase(const RequestId& aId) const
  {
    const bool arrived = std::ranges::find(mRequests, aId.Value()) != mRequests.end();
    return arrived ? workers::RequestPhase::Running : workers::RequestPhase::Unknown;
  }

  // Accepts requests without responding. Their responders are stored in mHeldResponders.
  void HoldRequests()
  {
    mOnRequest = [this](const http::Request&, const http::Responder& aResponder) {
      mHeldResponders.push_back(aResponder);
    };
  }

  workers::WorkerState State(int aSlots, bool aReclaimable) const
  {
    workers::WorkerState state;
    state.mWorker = WorkerId(mName);
    state.mIncarnation = mIncarnation;
    state.mConnections = 64;
    workers::LeaseState lease;
    lease.mLease = LeaseId("lease-" + mName);
    lease.mKind = workers::LeaseKind::Service;
    lease.mPhase = workers::LeasePhase::Running;
    lease.mResources.mSlots = Slots(aSlots);
    lease.mReclaimable = aReclaimable;
    lease.mService = ServiceId("s");
    state.mLeases.push_back(lease);
    return state;
  }
};

// Implements the worker calls of the router with the test workers.
struct TestWorkers
{
  EventLoop& mLoop;
  std::vector<std::unique_ptr<TestWorker>> mWorkers;
  std::vector<Timer> mProbeTimers{};

  TestWorker& Add()
  {
    mWorkers.push_back(
      std::make_unique<TestWorker>(mLoop, "w" + std::to_string(mWorkers.size() + 1)));
    return *mWorkers.back();
  }
  TestWorker& At(const SocketAddress& aAddress)
  {
    for (const auto& it : mWorkers) {
      if (it->mServer.Address() == aAddress) {
        return *it;
      }
    }
    return *mWorkers.front();
  }
  static std::error_code Error(const TestWorker& aWorker)
  {
    return aWorker.mReachable ? std::error_code() : make_error_code(std::errc::timed_out);
  }
  void
  FindRequest(const SocketAddress& aWorker, const RequestId& aId, workers::PhaseCallback aCallback)
  {
    const auto& worker = At(aWorker);
    if (worker.mOnProbe) {
      worker.mOnProbe();
    }
    const auto phase = worker.mPhase.value_or(worker.ActualPhase(aId));
    mProbeTimers.push_back(
      mLoop.After(worker.mProbeDelay, [=, ec = Error(worker)] { aCallback(ec, phase); }));
  }
  void
  DropRequest(const SocketAddress& aWorker, const RequestId& aId, workers::PhaseCallback aCallback)
  {
    auto& worker = At(aWorker);
    worker.mDropped.push_back(aId.Value());
    const auto phase = worker.mDropPhase.value_or(worker.ActualPhase(aId));
    mLoop.Post([=, ec = Error(worker)] { aCallback(ec, phase); });
  }
  void RefuseUnknownRequest(const SocketAddress& aWorker, const RequestId& aId,
                            workers::PhaseCallback aCallback)
  {
    auto& worker = At(aWorker);
    const auto phase = worker.mDropPhase.value_or(worker.ActualPhase(aId));
    if (phase == workers::RequestPhase::Unknown) {
      worker.mDropped.push_back(aId.Value());
    }
    mLoop.Post([=, ec = Error(worker)] { aCallback(ec, phase); });
  }
  void Poll(const SocketAddress& aWorker, std::uint64_t, Duration, workers::PollCallback aCallback)
  {
    const auto& worker = At(aWorker);
    mLoop.Post([=, ec = Error(worker), state = worker.State(1, false)] {
      aCallback(ec, { state, {} });
    });
  }
};

// Peer calls between the nodes of one test.
struct TestNetwork
{
  EventLoop& mLoop;
  std::unordered_map<SocketAddress, std::map<std::string, peer::CallHandler>> mHandlers;
};

struct TestTransport
{
  TestNetwork& mNetwork;
  SocketAddress mAddress;

  void Call(const SocketAddress& aPeer, const std::string& aMethod, const Json& aBody, Duration,
            peer::CallCallback aCallback)
  {
    mNetwork.mLoop.Post([this, aPeer, aMethod, aBody, aCallback] {
      const auto node = mNetwork.mHandlers.find(aPeer);
      if (node == mNetwork.mHandlers.end()) {
        aCallback(make_error_code(std::errc::host_unreachable), {});
        return;
      }
      node->second.at(aMethod)(aBody, [aCallback](Json aReply) { aCallback({}, aReply); });
    });
  }
  void Handle(const std::string& aMethod, peer::CallHandler aHandler)
  {
    mNetwork.mHandlers[mAddress][aMethod] = std::move(aHandler);
  }
};

using TestRouter = Router<kv::MemoryStore, TestTransport, TestWorkers>;

inline RouterOptions
TestOptions(int aNode)
{
  RouterOptions options;
  options.mNode = NodeId("n" + std::to_string(aNode));
  options.mIncarnation = "1";
  options.mPeer = SocketAddress("127.0.0.1", static_cast<std::uint16_t>(aNode));
  options.mProbeInterval = Duration(50);
  options.mUnresponsiveLimit = Duration(150);
  return options;
}

// An entry node with the accounts a and b (tokens "a" and "b") and the service s.
struct TestNode
{
  http::HttpServer mServer;
  TestTransport mTransport;
  prometheus::Registry mRegistry;
  RoutingMetrics mMetrics{ mRegistry };
  TestRouter mRouter;
  RequestApi mApi;

  TestNode(EventLoop& aLoop, http::HttpClient& aClient, kv::MemoryStore& aStore,
           TestNetwork& aNetwork, TestWorkers& aWorkers, Random& aRandom, int aNode,
           std::optional<std::string>& aGate, ServicePolicy& aPolicy)
    : mServer(aLoop)
    , mTransport{ aNetwork, TestOptions(aNode).mPeer }
    , mRouter(aLoop, aClient, aStore, mTransport, aWorkers, aRandom, mMetrics, TestOptions(aNode))
    , mApi(
        Directory(aPolicy), [&aGate] { return aGate; },
        [this](RouteRequest aRequest, const http::Responder& aResponder) {
          mRouter.Submit(std::move(aRequest), aResponder);
        },
        aRandom)
  {
    mApi.Register(mServer);
    cr_assert_not(mServer.Listen(testing::LocalAddress()));
  }

  static AccountDirectory Directory(const ServicePolicy& aPolicy)
  {
    AccountDirectory directory;
    directory.mFindAccount = [](const std::string& aDigest) -> std::optional<AccountPolicy> {
      for (const std::string name : { "a", "b", "stranger" }) {
        if (Sha256Hex(name) == aDigest) {
          return AccountPolicy{ AccountId(name), 1 };
        }
      }
      return std::nullopt;
    };
    directory.mFindService = [&aPolicy](const ServiceId& aService) {
      return aService == aPolicy.mService ? std::optional(aPolicy) : std::nullopt;
    };
    return directory;
  }
};

// The outcome of a request as its caller sees it.
struct Outcome
{
  bool mEnded = false;
  std::error_code mError;
  http::Response mResponse;

  Json Body() const { return ParseJson(mResponse.mBody).value_or(Json()); }
  std::string Ran() const { return JsonValue<std::string>(Body(), "ran", ""); }
  std::string Error() const { return JsonValue<std::string>(Body(), "error", ""); }
};
using OutcomePtr = std::shared_ptr<Outcome>;

struct Fixture
{
  EventLoop mLoop;
  Random mRandom{ 1 };
  http::HttpClient mClient{ mLoop };
  kv::MemoryStore mStore{ mLoop };
  TestNetwork mNetwork{ mLoop, {} };
  TestWorkers mWorkers{ mLoop, {} };
  std::optional<std::string> mGate;
  ServicePolicy mPolicy;
  std::vector<std::unique_ptr<TestNode>> mNodes;
  http::CallHandle mLastCall;
  Timer mLimit;

  explicit Fixture(int aWorkers = 1)
  {
    ConfigureLogging(LogLevel::Error, "test", "");
    mPolicy.mService = ServiceId("s");
    mPolicy.mCallers = { AccountId("a"), AccountId("b") };
    for (int i = 0; i < aWorkers; ++i) {
      mWorkers.Add();
    }
    AddNode();
    mLimit = mLoop.After(Duration(60000), [] { cr_assert_fail("test did not finish"); });
  }

  TestNode& AddNode()
  {
    mNodes.push_back(std::make_unique<TestNode>(mLoop, mClient, mStore, mNetwork, mWorkers, mRandom,
                                                static_cast<int>(mNodes.size()) + 1, mGate,
                                                mPolicy));
    Publish(*mNodes.back(), 8, false);
    return *mNodes.back();
  }
  TestWorker& Worker(std::size_t aIndex = 0) { return *mWorkers.mWorkers[aIndex]; }
  TestRouter& Router() { return mNodes[0]->mRouter; }

  // Updates a node with the state of all workers.
  void Publish(TestNode& aNode, int aSlots, bool aReclaimable)
  {
    for (const auto& it : mWorkers.mWorkers) {
      aNode.mRouter.UpdateWorker(it->State(aSlots, aReclaimable), it->mServer.Address(), false);
    }
  }

  OutcomePtr Start(http::Headers aHeaders, const std::string& aBody = "x",
                   const std::string& aAccount = "a", std::size_t aNode = 0)
  {
    http::ClientRequest request;
    request.mServer = mNodes[aNode]->mServer.Address();
    request.mMethod = http::Method::Post;
    request.mTarget = "/v1/services/s/requests";
    request.mHeaders = std::move(aHeaders);
    request.mHeaders.Add("Authorization", "Bearer " + aAccount);
    request.mBody = aBody;
    request.mDeadline = Duration(60000);
    auto outcome = std::make_shared<Outcome>();
    mLastCall = mClient.Send(request, [outcome](std::error_code aError, http::Response aResponse) {
      *outcome = { true, aError, std::move(aResponse) };
    });
    return outcome;
  }
  // Runs the event loop until the condition holds. The test fails after the time limit mLimit.
  void Until(const std::function<bool()>& aCondition)
  {
    const auto timer = mLoop.Every(Duration(1), [&] {
      if (aCondition()) {
        mLoop.Stop();
      }
    });
    mLoop.Run();
  }
  Outcome Finish(const OutcomePtr& aOutcome)
  {
    Until([&] { return aOutcome->mEnded; });
    return *aOutcome;
  }
  Outcome
  Call(http::Headers aHeaders, const std::string& aBody = "x", const std::string& aAccount = "a")
  {
    return Finish(Start(std::move(aHeaders), aBody, aAccount));
  }
};

inline const http::Headers kNonIdempotent{ { "Idempotent", "false" } };
inline const http::Headers kKeyed{ { "Idempotent", "false" }, { "Idempotency-Key", "k" } };

} // namespace lovagerock::routing::test
