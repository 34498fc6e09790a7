#pragma once

#include "base/EventLoop.h"
#include "base/LogEvent.h"
#include "peer/PeerTransport.h"
#include "workers/RelayTable.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <system_error>
#include <utility>
#include <vector>

namespace lovagerock::workers {

// Times of a StateRelay.
struct RelaySettings
{
  // Merges bursts of changes into one batch.
  Duration mFlushDelay{ 20 };
  // How long a heartbeat's answer assures that its sender watches. Heartbeats come every second.
  // With the check period and the first poll after it, a worker that falls silent together with its
  // watcher is noticed within 3 s.
  Duration mValidity{ 1300 };
  Duration mCheckPeriod{ 100 };
  Duration mCallTimeout{ 1000 };
};

// Relays the states of the workers that this node watches to the other nodes of its region, and
// keeps what they relay. Heartbeats carry the number of the last batch, so that a lost batch is
// noticed. Belongs to the transport's loop.
template<peer::PeerTransport Transport>
class StateRelay
{
public:
  struct Hooks
  {
    // Where batches go.
    std::function<std::vector<SocketAddress>()> mPeers;
    // Whether this node's polls are in time, which they aren't just after a pause.
    std::function<bool()> mIsTimely;
    // A watcher relayed a change.
    std::function<void(const NodeId&, const RelayedChange&)> mOnChange;
    // What a watcher relayed doesn't count any more, or all of it may have changed.
    std::function<void(const NodeId&)> mOnLapsed;
  };

  StateRelay(EventLoop& aLoop, Transport& aTransport, NodeId aNode, std::uint64_t aIncarnation,
             Hooks aHooks, const RelaySettings& aSettings = {})
    : mLoop(aLoop)
    , mTransport(aTransport)
    , mNode(std::move(aNode))
    , mIncarnation(aIncarnation)
    , mHooks(std::move(aHooks))
    , mSettings(aSettings)
    , mTable(aSettings.mValidity)
  {
    mTransport.Handle(kBatchMethod, [weak = std::weak_ptr(mAlive)](
                                      const Json& aBody, const peer::ReplyFunction& aReply) {
      if (const auto self = weak.lock()) {
        (*self)->OnBatch(aBody);
      }
      aReply(Json::object());
    });
    mTransport.Handle(
      kWholeMethod, [weak = std::weak_ptr(mAlive)](const Json&, const peer::ReplyFunction& aReply) {
        const auto self = weak.lock();
        aReply(self ? (*self)->WriteWhole() : Json::object());
      });
    mCheck = mLoop.Every(mSettings.mCheckPeriod, [this] { ReportLapsed(); });
  }
  StateRelay(const StateRelay&) = delete;
  StateRelay& operator=(const StateRelay&) = delete;

  // Offers a state to the other nodes, or withdraws it. What they know already isn't sent again.
  void Offer(const RelayedChange& aChange)
  {
    const auto it = mOffered.find(aChange.mAddress);
    if (aChange.mState) {
      if (it != mOffered.end() && it->second->Version() == aChange.mState->Version()) {
        return;
      }
      mOffered[aChange.mAddress] = aChange.mState;
    } else {
      if (it == mOffered.end()) {
        return;
      }
      mOffered.erase(it);
    }
    mUnsent[aChange.mAddress] = aChange;
    if (!mFlush.IsPending()) {
      mFlush = mLoop.After(mSettings.mFlushDelay, [this] { Flush(); });
    }
  }

  // The state of a worker that another node relays at present.
  RelayedState Find(const SocketAddress& aAddress)
  {
    return mTable.Find(aAddress, std::chrono::steady_clock::now());
  }

  // The payload of this node's heartbeats: the number of the last batch; null if it must not be
  // relied on.
  Json WritePayload()
  {
    if (!mHooks.mIsTimely()) {
      return nullptr;
    }
    Flush();
    return mSequence;
  }

  // Takes the payload that a member of the region sent in answer to a heartbeat.
  void ReadPayload(const NodeId& aNode, std::uint64_t aIncarnation, const SocketAddress& aAddress,
                   const Json& aPayload, TimePoint aSent)
  {
    if (aPayload.is_number_unsigned() &&
        mTable.Assure(aNode, aIncarnation, aPayload.template get<std::uint64_t>(), aSent)) {
      ReadWhole(aNode, aAddress);
    }
  }

private:
  static constexpr const char* kBatchMethod = "workers.changed";
  static constexpr const char* kWholeMethod = "workers.watched";

  void Flush()
  {
    mFlush.Cancel();
    if (mUnsent.empty()) {
      return;
    }
    RelayBatch batch{ mNode, mIncarnation, ++mSequence, {} };
    for (auto& it : std::exchange(mUnsent, {})) {
      batch.mChanges.push_back(std::move(it.second));
    }
    const auto body = WriteRelayBatch(batch);
    for (const auto& it : mHooks.mPeers()) {
      // A lost batch is noticed by the receiver.
      mTransport.Call(it, kBatchMethod, body, mSettings.mCallTimeout,
                      [](std::error_code, const Json&) {});
    }
  }

  Json WriteWhole()
  {
    Flush();
    RelayBatch whole{ mNode, mIncarnation, mSequence, {} };
    for (const auto& [address, state] : mOffered) {
      whole.mChanges.push_back({ address, state, false });
    }
    return WriteRelayBatch(whole);
  }

  void OnBatch(const Json& aBody)
  {
    const auto batch = ReadRelayBatch(aBody);
    const auto result = batch ? mTable.Take(*batch) : RelayTable::Result::Ignored;
    if (result == RelayTable::Result::Gap) {
      ReportLapsed();
    }
    if (result == RelayTable::Result::Applied) {
      for (const auto& it : batch->mChanges) {
        mHooks.mOnChange(batch->mNode, it);
      }
    }
  }

  void ReadWhole(const NodeId& aNode, const SocketAddress& aAddress)
  {
    if (!mReading.insert(aNode).second) {
      return;
    }
    mTransport.Call(
      aAddress, kWholeMethod, Json::object(), mSettings.mCallTimeout,
      [weak = std::weak_ptr(mAlive), aNode](std::error_code aError, const Json& aBody) {
        if (const auto self = weak.lock()) {
          (*self)->mReading.erase(aNode);
          (*self)->OnWhole(aError ? std::nullopt : ReadRelayBatch(aBody));
        }
      });
  }

  void OnWhole(const std::optional<RelayBatch>& aWhole)
  {
    if (aWhole && mTable.Replace(*aWhole)) {
      LogEvent("worker_states_read")
        .With("member", aWhole->mNode)
        .With("workers", aWhole->mChanges.size());
      // Single changes aren't known, so whoever relied on the watcher looks for itself first.
      mHooks.mOnLapsed(aWhole->mNode);
    }
  }

  void ReportLapsed()
  {
    for (const auto& it : mTable.TakeLapsed(std::chrono::steady_clock::now())) {
      LogEvent("watcher_lapsed").With("member", it);
      mHooks.mOnLapsed(it);
    }
  }

  EventLoop& mLoop;
  Transport& mTransport;
  NodeId mNode;
  std::uint64_t mIncarnation;
  Hooks mHooks;
  RelaySettings mSettings;
  RelayTable mTable;
  // What the other nodes may rely on, with the batches sent and mUnsent.
  std::map<SocketAddress, std::shared_ptr<const WorkerState>> mOffered;
  std::map<SocketAddress, RelayedChange> mUnsent;
  std::uint64_t mSequence = 0;
  std::set<NodeId> mReading;
  Timer mFlush;
  Timer mCheck;
  // Expires with the relay, whose handlers and calls the transport may outlive.
  std::shared_ptr<StateRelay*> mAlive = std::make_shared<StateRelay*>(this);
};

} // namespace lovagerock::workers
