#pragma once

#include "FakeStore.h"
#include "control/CallerApi.h"
#include "control/WriteRelay.h"
#include "http/HttpClient.h"
#include "http/HttpServer.h"
#include "peer/PeerError.h"
#include "support/LocalAddress.h"

#include <criterion/criterion.h>

#include <charconv>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <system_error>
#include <utility>
#include <vector>

namespace lovagerock::control {

// One node's access to a store that serves the other nodes.
class NodeStore
{
public:
  NodeStore(EventLoop& aLoop, FakeStore& aStore)
    : mLoop(aLoop)
    , mStore(aStore)
  {
  }

  void Get(const std::string& aKey, kv::ItemCallback aCallback)
  {
    ++mCalls;
    if (mError) {
      mLoop.Post([aCallback, error = mError] { aCallback(error, std::nullopt); });
    } else {
      mStore.Get(aKey, aCallback);
    }
  }

  void Write(const kv::ConditionalWrites& aWrites, kv::WriteCallback aCallback)
  {
    ++mCalls;
    if (mError) {
      mLoop.Post([aCallback, error = mError] { aCallback(error, {}); });
    } else if (mLosesAnswers) {
      mStore.Write(aWrites, [aCallback](std::error_code, const kv::WriteOutcome&) {
        aCallback(kv::KvError::OutcomeUnknown, {});
      });
    } else {
      mStore.Write(aWrites, aCallback);
    }
  }

  void List(const std::string& aPrefix, const std::string& aAfter, kv::PageCallback aCallback)
  {
    mStore.List(aPrefix, aAfter, std::move(aCallback));
  }
  void Watch(const std::string& aPrefix, kv::Revision aAfter, Duration aWait,
             kv::EventsCallback aCallback)
  {
    mStore.Watch(aPrefix, aAfter, aWait, std::move(aCallback));
  }
  void GrantLease(Duration aTime, kv::LeaseCallback aCallback)
  {
    mStore.GrantLease(aTime, std::move(aCallback));
  }
  void RenewLease(kv::StoreLease aLease, kv::RenewalCallback aCallback)
  {
    mStore.RenewLease(aLease, std::move(aCallback));
  }

  // The error of all reads and writes of the node.
  std::error_code mError;
  // Writes are made, and their outcome isn't told.
  bool mLosesAnswers = false;
  // Reads and writes of single keys.
  int mCalls = 0;

private:
  EventLoop& mLoop;
  FakeStore& mStore;
};

// The links between the nodes of a test.
struct FakeNetwork
{
  std::map<SocketAddress, std::map<std::string, peer::CallHandler>> mHandlers;
  // Nodes that no call reaches.
  std::set<SocketAddress> mGone;
  // Calls are carried out, and their answers are lost.
  bool mLosesAnswers = false;
  int mCalls = 0;
};

// One node's end of the network.
class FakePeers
{
public:
  FakePeers(EventLoop& aLoop, FakeNetwork& aNetwork, SocketAddress aOwn)
    : mLoop(aLoop)
    , mNetwork(aNetwork)
    , mOwn(std::move(aOwn))
  {
  }

  void Call(const SocketAddress& aPeer, const std::string& aMethod, const Json& aBody, Duration,
            peer::CallCallback aCallback)
  {
    ++mNetwork.mCalls;
    mLoop.Post([this, aPeer, aMethod, aBody, aCallback] {
      const auto node = mNetwork.mHandlers.find(aPeer);
      if (node == mNetwork.mHandlers.end() || mNetwork.mGone.contains(aPeer)) {
        aCallback(peer::PeerError::NotSent, {});
        return;
      }
      node->second.at(aMethod)(aBody, [this, aCallback](const Json& aReply) {
        mLoop.Post([aCallback, aReply, isLost = mNetwork.mLosesAnswers] {
          aCallback(isLost ? make_error_code(peer::PeerError::OutcomeUnknown) : std::error_code(),
                    isLost ? Json() : aReply);
        });
      });
    });
  }

  void Handle(const std::string& aMethod, peer::CallHandler aHandler)
  {
    mNetwork.mHandlers[mOwn][aMethod] = std::move(aHandler);
  }

private:
  EventLoop& mLoop;
  FakeNetwork& mNetwork;
  SocketAddress mOwn;
};

static_assert(kv::PrefixStore<NodeStore>);
static_assert(peer::PeerTransport<FakePeers>);

// A codec whose jobs all have one task.
struct FakeCodec
{
  static std::string Key(const http::Request& aRequest)
  {
    return std::string(aRequest.mHeaders.Get("Key"));
  }
  static Duration Timeout(const http::Request& aRequest)
  {
    const auto text = aRequest.mHeaders.Get("Deadline");
    int timeout = 30000;
    std::from_chars(text.data(), text.data() + text.size(), timeout);
    return Duration(timeout);
  }
  static std::optional<scheduler::JobSpec> ReadJob(const std::string&)
  {
    scheduler::JobSpec spec;
    spec.mSteps.emplace_back().mDemand.mAccelerators = Accelerators(1);
    return spec;
  }
  static std::optional<JobId> ReadJobId(const std::string& aText) { return JobId(aText); }
  static std::string WriteState(scheduler::JobState) { return "{}"; }
  static std::string WritePendingCount(int) { return "{}"; }
};

// The part of an entry node that accepts and relays writes. Takes the node at aLeader for the
// leader.
struct RelayNode
{
  using Relay = WriteRelay<NodeStore, FakePeers>;

  RelayNode(EventLoop& aLoop, FakeStore& aStore, FakeNetwork& aNetwork, const Deployment& aSetup,
            const SocketAddress& aOwn, const SocketAddress& aLeader)
    : mStore(aLoop, aStore)
    , mPeers(aLoop, aNetwork, aOwn)
    , mLeader(aLeader)
    , mRelay(mStore, mPeers, aOwn, MakeRelayHooks())
    , mApi(aLoop, mStore, MakeCallerHooks(aSetup))
    , mServer(aLoop)
  {
    for (const auto method : { http::Method::Post, http::Method::Delete }) {
      mServer.Handle(
        method, "/{path*}",
        [this](const http::Request& aRequest, http::Responder aTo) { mApi.Handle(aRequest, aTo); });
    }
    cr_assert_not(mServer.Listen(testing::LocalAddress()));
  }

  // Makes the store reject the node for so long that it counts as unreachable.
  void CloseStore()
  {
    mStore.mError = kv::KvError::Unavailable;
    mIsStoreReachable = false;
  }

  RelayHooks MakeRelayHooks()
  {
    RelayHooks hooks;
    hooks.mLeader = [this] { return mLeader; };
    hooks.mIsStoreReachable = [this] { return mIsStoreReachable; };
    hooks.mMayRecordCancellation = [this] { return mMayRecordCancellations; };
    hooks.mOnOutcome = [this](RelayOutcome aOutcome) { mOutcomes.push_back(aOutcome); };
    return hooks;
  }

  CallerHooks MakeCallerHooks(const Deployment& aSetup)
  {
    CallerHooks hooks;
    hooks.mDeployment = [&aSetup] { return &aSetup; };
    hooks.mAreKeysCurrent = [] { return true; };
    hooks.mConfigurationAge = [] { return Duration(0); };
    hooks.mIsStoreReachable = [this] { return mIsStoreReachable; };
    hooks.mIsClosed = [this](const scheduler::JobGroup& aGroup) {
      return mClosed.contains(aGroup);
    };
    hooks.mMayRecordCancellation = [this] { return mMayRecordCancellations; };
    hooks.mOnJobRefused = [this](const char* aReason) { ++mRefused[aReason]; };
    hooks.mRelayWrite = [this](const RequestWrite& aWrite, std::vector<SocketAddress>& aAsked,
                               TimePoint aDeadline, RelayCallback aCallback) {
      return mRelay.Send(aWrite, aAsked, aDeadline, std::move(aCallback));
    };
    return hooks;
  }

  NodeStore mStore;
  FakePeers mPeers;
  std::optional<SocketAddress> mLeader;
  bool mIsStoreReachable = true;
  bool mMayRecordCancellations = true;
  std::vector<RelayOutcome> mOutcomes;
  // The groups whose submissions the node refuses, and the refusals by reason.
  std::set<scheduler::JobGroup> mClosed;
  std::map<std::string, int> mRefused;
  Relay mRelay;
  CallerApi<NodeStore, FakeCodec> mApi;
  http::HttpServer mServer;
};

// Nodes that take the first one for the leader, and a store that serves them.
struct RelayFixture
{
  explicit RelayFixture(int aNodes = 2)
  {
    mDeployment.mQueues.push_back({ "queue", testing::LocalAddress().Ip(), "/q/", false, {} });
    mDeployment.mKeys = { { "key", AccountId("account") }, { "other", AccountId("stranger") } };
    for (int i = 0; i < aNodes; ++i) {
      mNodes.push_back(
        std::make_unique<RelayNode>(mLoop, mStore, mNetwork, mDeployment, Address(i), Address(0)));
    }
    mLimit = mLoop.After(Duration(60000), [] { cr_assert_fail("test did not finish"); });
  }

  static SocketAddress Address(int aNode)
  {
    return { "127.0.0.1", static_cast<std::uint16_t>(7000 + aNode) };
  }

  RelayNode& Node(int aNode) { return *mNodes.at(static_cast<std::size_t>(aNode)); }

  http::Response Call(int aNode, http::Method aMethod, const std::string& aKey = "key",
                      const std::string& aDeadline = "30000")
  {
    http::ClientRequest request;
    request.mServer = Node(aNode).mServer.Address();
    request.mMethod = aMethod;
    request.mTarget = "/q/job";
    request.mDeadline = Duration(50000);
    request.mHeaders = { { "Key", aKey }, { "Deadline", aDeadline } };
    http::Response response;
    mClient.Send(request, [&](std::error_code aError, http::Response aResponse) {
      cr_assert_not(aError);
      response = std::move(aResponse);
      mLoop.Stop();
    });
    mLoop.Run();
    return response;
  }

  // Runs the loop until the condition holds; the test fails if it never does.
  template<typename Condition>
  void RunUntil(Condition aCondition)
  {
    const auto check = mLoop.Every(Duration(2), [this, &aCondition] {
      if (aCondition()) {
        mLoop.Stop();
      }
    });
    mLoop.Run();
  }

  // The number of records that accepted requests have left in the store.
  std::size_t Records() const { return mStore.mItems.size(); }

  EventLoop mLoop;
  FakeStore mStore{ mLoop };
  FakeNetwork mNetwork;
  Deployment mDeployment;
  std::vector<std::unique_ptr<RelayNode>> mNodes;
  http::HttpClient mClient{ mLoop };
  Timer mLimit;
};

} // namespace lovagerock::control
