#pragma once

#include "base/EventLoop.h"
#include "base/Random.h"
#include "config/ConfigFixture.h"
#include "configstore/ConfigStore.h"
#include "kv/KvError.h"
#include "kv/MemoryStore.h"
#include "membership/Membership.h"
#include "peer/PeerError.h"
#include "peer/PeerTransport.h"

#include <criterion/criterion.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace lovagerock::configstore {

// One node's connection to the shared key-value service. It can be cut without affecting other
// nodes.
class StoreLink
{
public:
  StoreLink(EventLoop& aLoop, kv::MemoryStore& aStore)
    : mLoop(aLoop)
    , mStore(aStore)
  {
  }

  void Get(const std::string& aKey, kv::GetCallback aCallback)
  {
    if (mStaleHead && aKey == kHeadKey) {
      mLoop.Post([stale = mStaleHead, callback = std::move(aCallback)] { callback({}, stale); });
      mStaleHead.reset();
      return;
    }
    ++mReads[aKey];
    mStore.Get(aKey, FailIfDown(std::move(aCallback)));
  }
  void List(const std::string& aPrefix, kv::ListCallback aCallback)
  {
    mStore.List(aPrefix, FailIfDown(std::move(aCallback)));
  }
  void ListPage(const std::string& aPrefix, Bytes aLimit, kv::ListCallback aCallback)
  {
    mStore.ListPage(aPrefix, aLimit, FailIfDown(std::move(aCallback)));
  }
  void ListNames(const std::string& aPrefix, const std::string& aSeparator, Bytes aLimit,
                 kv::NamesCallback aCallback)
  {
    mStore.ListNames(aPrefix, aSeparator, aLimit, FailIfDown(std::move(aCallback)));
  }
  void Transact(std::vector<kv::Operation> aOperations, kv::TransactCallback aCallback)
  {
    if (mBeforeTransact) {
      std::exchange(mBeforeTransact, {})();
    }
    ++mWrites;
    if (mUp) {
      mStore.Transact(std::move(aOperations), std::move(aCallback));
    } else {
      mLoop.Post([callback = std::move(aCallback)] { callback(kv::KvError::Unavailable, {}); });
    }
  }
  void
  Watch(const std::string& aKey, kv::ModifyIndex aSince, Duration aWait, kv::GetCallback aCallback)
  {
    mStore.Watch(aKey, aSince, aWait, FailIfDown(std::move(aCallback)));
  }

  bool mUp = true;
  // If set, the answer of the next read of the head.
  std::optional<kv::Entry> mStaleHead;
  std::function<void()> mBeforeTransact;
  int mWrites = 0;
  std::map<std::string, int> mReads;

private:
  template<typename Result>
  std::function<void(std::error_code, Result)>
  FailIfDown(std::function<void(std::error_code, Result)> aCallback)
  {
    return [this, callback = std::move(aCallback)](std::error_code aError, Result aResult) {
      callback(mUp ? aError : make_error_code(kv::KvError::Unavailable), mUp ? aResult : Result());
    };
  }

  EventLoop& mLoop;
  kv::MemoryStore& mStore;
};

// An in-memory transport. The link between any two nodes can be cut.
class FakeTransport
{
public:
  struct Network
  {
    std::map<SocketAddress, FakeTransport*> mNodes;
    std::set<std::pair<SocketAddress, SocketAddress>> mCutLinks;
  };

  FakeTransport(EventLoop& aLoop, Network& aNetwork, SocketAddress aAddress)
    : mLoop(aLoop)
    , mNetwork(aNetwork)
    , mAddress(std::move(aAddress))
  {
    mNetwork.mNodes[mAddress] = this;
  }
  ~FakeTransport() { mNetwork.mNodes.erase(mAddress); }
  FakeTransport(const FakeTransport&) = delete;
  FakeTransport& operator=(const FakeTransport&) = delete;

  void Handle(const std::string& aMethod, peer::CallHandler aHandler)
  {
    mHandlers[aMethod] = std::move(aHandler);
  }
  void Call(const SocketAddress& aPeer, const std::string& aMethod, const Json& aBody, Duration,
            peer::CallCallback aCallback)
  {
    if (mNetwork.mCutLinks.contains(std::minmax(mAddress, aPeer))) {
      mLoop.Post([callback = std::move(aCallback)] { callback(peer::PeerError::NotSent, {}); });
      return;
    }
    mLoop.Post([this, aPeer, aMethod, aBody, callback = std::move(aCallback)] {
      const auto peer = mNetwork.mNodes.find(aPeer);
      if (peer == mNetwork.mNodes.end()) {
        callback(peer::PeerError::NotSent, {});
        return;
      }
      peer->second->mHandlers.at(aMethod)(aBody, [this, callback](const Json& aAnswer) {
        mLoop.Post([callback, aAnswer] { callback({}, aAnswer); });
      });
    });
  }

private:
  EventLoop& mLoop;
  Network& mNetwork;
  SocketAddress mAddress;
  std::map<std::string, peer::CallHandler> mHandlers;
};

static_assert(kv::KeyValueStore<StoreLink>);
static_assert(peer::PeerTransport<FakeTransport>);

// Times shorter than the defaults, so that the tests don't wait for seconds.
inline ConfigStoreSettings
ShortTimes()
{
  ConfigStoreSettings settings;
  settings.mConfirmation = { Duration(800), Duration(500), Duration(500) };
  settings.mWatchWait = Duration(400);
  settings.mReadPeriod = Duration(60);
  settings.mRetryDelay = Duration(60);
  settings.mPushWait = Duration(40);
  settings.mOutcomeReadDelay = Duration(20);
  return settings;
}

using TestStore = ConfigStore<StoreLink, FakeTransport>;

struct Node
{
  StoreLink mLink;
  FakeTransport mTransport;
  membership::Membership<FakeTransport> mMembership;
  TestStore mConfig;

  Node(EventLoop& aLoop, kv::MemoryStore& aStore, FakeTransport::Network& aNetwork, Random& aRandom,
       const membership::Member& aSelf)
    : mLink(aLoop, aStore)
    , mTransport(aLoop, aNetwork, aSelf.mAddress)
    , mMembership(aLoop, mTransport, aSelf, { Duration(40), Duration(500), Duration(60000) })
    , mConfig(aLoop, mLink, mTransport, mMembership, aRandom, ShortTimes())
  {
  }
};

// Nodes "0", "1", ... that share one service.
struct Cluster
{
  EventLoop mLoop;
  Random mRandom{ 1 };
  kv::MemoryStore mStore{ mLoop };
  FakeTransport::Network mNetwork;
  std::vector<std::unique_ptr<Node>> mNodes;
  Timer mLimit;

  explicit Cluster(int aNodes)
  {
    mLimit = mLoop.After(Duration(60000), [] { cr_assert_fail("test did not finish"); });
    for (int i = 0; i < aNodes; ++i) {
      Start(i);
    }
    WaitUntil([&] { return mNodes.back()->mMembership.Members().size() == mNodes.size(); });
  }

  static SocketAddress AddressOf(int aNode)
  {
    return { "127.0.0.1", static_cast<std::uint16_t>(7000 + aNode) };
  }

  void Start(int aNode)
  {
    membership::Member self;
    self.mNode = NodeId(std::to_string(aNode));
    self.mAddress = AddressOf(aNode);
    mNodes.push_back(std::make_unique<Node>(mLoop, mStore, mNetwork, mRandom, self));
    std::vector<membership::Vm> list(mNodes.size());
    for (std::size_t i = 0; i < list.size(); ++i) {
      list[i].mAddress = AddressOf(static_cast<int>(i));
    }
    for (const auto& it : mNodes) {
      it->mMembership.SetVmList(list);
    }
  }

  void CutLink(int aFirst, int aSecond)
  {
    mNetwork.mCutLinks.insert(std::minmax(AddressOf(aFirst), AddressOf(aSecond)));
  }

  void WaitUntil(const std::function<bool()>& aCondition)
  {
    const auto timer = mLoop.Every(Duration(5), [&] {
      if (aCondition()) {
        mLoop.Stop();
      }
    });
    mLoop.Run();
  }

  void WaitUntilAllHave(int aVersion)
  {
    WaitUntil([&] {
      return std::all_of(mNodes.begin(), mNodes.end(), [&](const auto& aNode) {
        return aNode->mConfig.Version() == ConfigVersion(aVersion);
      });
    });
  }

  void WaitUntilState(int aNode, ConfirmationState aState)
  {
    WaitUntil([&] { return mNodes[aNode]->mConfig.State() == aState; });
  }

  // Waits until every node is settled, which the ServiceDown state requires.
  void WaitUntilAllSettled()
  {
    WaitUntil([&] {
      return std::all_of(mNodes.begin(), mNodes.end(), [&](const auto& aNode) {
        return aNode->mConfig.CurrentReport().mSettled;
      });
    });
  }

  // Applies a change that sets the weight of an account and returns its outcome.
  ChangeOutcome Apply(int aNode, int aBase, const std::string& aChange, int aWeight = 3)
  {
    std::optional<ChangeOutcome> outcome;
    Begin(aNode, aBase, aChange, aWeight, outcome);
    WaitUntil([&] { return outcome.has_value(); });
    return *outcome;
  }
  void Begin(int aNode, int aBase, const std::string& aChange, int aWeight,
             std::optional<ChangeOutcome>& aOutcome)
  {
    const auto text = config::Replaced("weight: 2", "weight: " + std::to_string(aWeight));
    mNodes[aNode]->mConfig.Accept(
      { text, ConfigVersion(aBase), ChangeId(aChange), "operator-" + std::to_string(aNode) },
      [&aOutcome](const ChangeOutcome& aResult) { aOutcome = aResult; });
  }
  void ApplyFirst()
  {
    cr_assert(Apply(0, 0, "first").mKind == ChangeOutcome::Kind::Applied);
    WaitUntilAllHave(1);
  }
};

} // namespace lovagerock::configstore
