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

// Delays, periods and timeouts of a StateRelay.
struct RelaySettings
{
  // Delay before a batch is sent, so that bursts of changes go into one batch.
  Duration mFlushDelay{ 20 };
  // How long after a heartbeat was sent its answer proves that the answering node still watches its
  // workers. Heartbeats are sent every second. With mCheckPeriod and the first poll after it, a
  // worker that stops responding together with its watcher is detected within 3 s.
  Duration mValidity{ 1300 };
  Duration mCheckPeriod{ 100 };
  Duration mCallTimeout{ 1000 };
};

// Relays the states of the workers that this node watches to the other nodes of its region, and
// stores the states that they relay. Heartbeat answers carry the number of the last batch, so that
// a receiver detects a lost batch. Must be used on the transport's loop.
template<peer::PeerTransport Transport>
class StateRelay
{
public:
  struct Hooks
  {
    // Addresses that batches are sent to.
    std::function<std::vector<SocketAddress>()> mPeers;
    // Whether this node's polls are recent enough for others to rely on; false just after a pause
    // of the process.
    std::function<bool()> mArePollsCurrent;
    // Called for each change that a watcher relayed.
    std::function<void(const NodeId&, const RelayedChange&)> mOnChange;
    // Called when a watcher became invalid, or when its snapshot replaced its states, any of which
    // may have changed.
    std::function<void(const NodeId&)> mOnInvalidated;
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
    mTransport.Handle(kSnapshotMethod, [weak = std::weak_ptr(mAlive)](
                                         const Json&, const peer::ReplyFunction& aReply) {
      const auto self = weak.lock();
      aReply(self ? (*self)->WriteSnapshot() : Json::object());
    });
    mCheckTimer = mLoop.Every(mSettings.mCheckPeriod, [this] { ReportInvalidated(); });
  }
  StateRelay(const StateRelay&) = delete;
  StateRelay& operator=(const StateRelay&) = delete;

  // Publishes a state to the other nodes, or withdraws it. Does not send a version that was
  // published already.
  void Publish(const RelayedChange& aChange)
  {
    const auto it = mPublished.find(aChange.mAddress);
    if (aChange.mState) {
      if (it != mPublished.end() && it->second->Version() == aChange.mState->Version()) {
        return;
      }
      mPublished[aChange.mAddress] = aChange.mState;
    } else {
      if (it == mPublished.end()) {
        return;
      }
      mPublished.erase(it);
    }
    mUnsent[aChange.mAddress] = aChange;
    if (!mFlushTimer.IsPending()) {
      mFlushTimer = mLoop.After(mSettings.mFlushDelay, [this] { Flush(); });
    }
  }

  // Returns the state of a worker that another node currently relays.
  RelayedState Find(const SocketAddress& aAddress)
  {
    return mTable.Find(aAddress, std::chrono::steady_clock::now());
  }

  // Returns the payload of this node's heartbeat answers: the number of the last batch, or null if
  // other nodes must not rely on the published states.
  Json WritePayload()
  {
    if (!mHooks.mArePollsCurrent()) {
      return nullptr;
    }
    Flush();
    return mSequence;
  }

  // Processes the payload that a member of the region sent in answer to the heartbeat of aSent;
  // requests a snapshot if a batch of the member is missing.
  void ReadPayload(const NodeId& aNode, std::uint64_t aIncarnation, const SocketAddress& aAddress,
                   const Json& aPayload, TimePoint aSent)
  {
    if (aPayload.is_number_unsigned() &&
        mTable.Confirm(aNode, aIncarnation, aPayload.template get<std::uint64_t>(), aSent)) {
      RequestSnapshot(aNode, aAddress);
    }
  }

private:
  static constexpr const char* kBatchMethod = "workers.changed";
  static constexpr const char* kSnapshotMethod = "workers.watched";

  void Flush()
  {
    mFlushTimer.Cancel();
    if (mUnsent.empty()) {
      return;
    }
    RelayBatch batch{ mNode, mIncarnation, ++mSequence, {} };
    for (auto& it : std::exchange(mUnsent, {})) {
      batch.mChanges.push_back(std::move(it.second));
    }
    const auto body = WriteRelayBatch(batch);
    for (const auto& it : mHooks.mPeers()) {
      // Errors are ignored, because the receiver detects a lost batch by its number.
      mTransport.Call(it, kBatchMethod, body, mSettings.mCallTimeout,
                      [](std::error_code, const Json&) {});
    }
  }

  Json WriteSnapshot()
  {
    Flush();
    RelayBatch snapshot{ mNode, mIncarnation, mSequence, {} };
    for (const auto& [address, state] : mPublished) {
      snapshot.mChanges.push_back({ address, state, false });
    }
    return WriteRelayBatch(snapshot);
  }

  void OnBatch(const Json& aBody)
  {
    const auto batch = ReadRelayBatch(aBody);
    const auto result = batch ? mTable.ApplyBatch(*batch) : RelayTable::Result::Ignored;
    if (result == RelayTable::Result::Gap) {
      ReportInvalidated();
    }
    if (result == RelayTable::Result::Applied) {
      for (const auto& it : batch->mChanges) {
        mHooks.mOnChange(batch->mNode, it);
      }
    }
  }

  void RequestSnapshot(const NodeId& aNode, const SocketAddress& aAddress)
  {
    if (!mPendingSnapshots.insert(aNode).second) {
      return;
    }
    mTransport.Call(
      aAddress, kSnapshotMethod, Json::object(), mSettings.mCallTimeout,
      [weak = std::weak_ptr(mAlive), aNode](std::error_code aError, const Json& aBody) {
        if (const auto self = weak.lock()) {
          (*self)->mPendingSnapshots.erase(aNode);
          (*self)->OnSnapshot(aError ? std::nullopt : ReadRelayBatch(aBody));
        }
      });
  }

  void OnSnapshot(const std::optional<RelayBatch>& aSnapshot)
  {
    if (aSnapshot && mTable.ApplySnapshot(*aSnapshot)) {
      LogEvent("worker_states_read")
        .With("member", aSnapshot->mNode)
        .With("workers", aSnapshot->mChanges.size());
      // The snapshot does not tell which states changed, so all workers of the watcher are polled
      // again.
      mHooks.mOnInvalidated(aSnapshot->mNode);
    }
  }

  void ReportInvalidated()
  {
    for (const auto& it : mTable.TakeInvalidated(std::chrono::steady_clock::now())) {
      LogEvent("watcher_lapsed").With("member", it);
      mHooks.mOnInvalidated(it);
    }
  }

  EventLoop& mLoop;
  Transport& mTransport;
  NodeId mNode;
  std::uint64_t mIncarnation;
  Hooks mHooks;
  RelaySettings mSettings;
  RelayTable mTable;
  // The published states, including those in mUnsent.
  std::map<SocketAddress, std::shared_ptr<const WorkerState>> mPublished;
  std::map<SocketAddress, RelayedChange> mUnsent;
  std::uint64_t mSequence = 0;
  std::set<NodeId> mPendingSnapshots;
  Timer mFlushTimer;
  Timer mCheckTimer;
  // Expires with the relay, because the transport may run its handlers and callbacks after that.
  std::shared_ptr<StateRelay*> mAlive = std::make_shared<StateRelay*>(this);
};

} // namespace lovagerock::workers
