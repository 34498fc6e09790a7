#pragma once

#include "base/EventLoop.h"
#include "base/LogEvent.h"
#include "base/Random.h"
#include "membership/FollowedReader.h"
#include "membership/VmList.h"
#include "membership/VmListUpdate.h"
#include "peer/PeerTransport.h"

#include <chrono>
#include <functional>
#include <memory>
#include <system_error>
#include <utility>
#include <vector>

namespace lovagerock::membership {

// Time limits of a SharedVmList.
struct SharedVmListSettings
{
  FollowedReaderSettings mFollowedReader;
  // Period of the check whether the followed reader is still valid.
  Duration mCheckPeriod{ 100 };
  // Deadline of the calls that send an update to the other nodes.
  Duration mCallTimeout{ 1000 };
  // Maximum time between two reads of its own by a node that follows a reader. These reads detect a
  // reader that keeps answering but no longer notices changes. The time is jittered, so that the
  // nodes don't all read at once.
  Duration mOwnReadPeriod{ 300000 };
};

// Maintains a node's copy of the VM list. One node of the region, the reader, reads the list from
// the platform in each read period and sends the changes to the others, which follow it. A node
// without a valid reader reads the list itself. Must only be used on the transport's event loop.
template<peer::PeerTransport Transport>
class SharedVmList
{
public:
  struct Hooks
  {
    // Whether this node is the reader by its own view of the members.
    std::function<bool()> mIsReader;
    // Addresses of the nodes that the reader sends its updates to.
    std::function<std::vector<SocketAddress>()> mPeers;
  };

  SharedVmList(EventLoop& aLoop, Transport& aTransport, Random& aRandom, NodeId aNode,
               std::uint64_t aIncarnation, Hooks aHooks, const VmListSettings& aListSettings,
               VmList::ReadCallback aOnRead, const SharedVmListSettings& aSettings = {})
    : mTransport(aTransport)
    , mRandom(aRandom)
    , mNode(std::move(aNode))
    , mIncarnation(aIncarnation)
    , mHooks(std::move(aHooks))
    , mSettings(aSettings)
    , mFollowedReader(aSettings.mFollowedReader)
    , mList(aLoop, aListSettings, std::move(aOnRead))
  {
    mList.SkipIf([this] { return ShouldSkipRead(); });
    mList.OnChange([this](const VmSet& aBefore) { OnChange(aBefore); });
    mTransport.Handle(kMethod, [weak = std::weak_ptr(mAlive)](const Json& aBody,
                                                              const peer::ReplyFunction& aReply) {
      if (const auto self = weak.lock()) {
        (*self)->OnReaderUpdate(aBody);
      }
      aReply(Json::object());
    });
    mCheckTimer = aLoop.Every(mSettings.mCheckPeriod, [this] { CheckReader(); });
  }
  SharedVmList(const SharedVmList&) = delete;
  SharedVmList& operator=(const SharedVmList&) = delete;

  // Returns the payload for this node's answers to heartbeats; null unless it is the reader and has
  // read the list.
  Json WritePayload() const
  {
    if (!mList.LastRead() || !mHooks.mIsReader()) {
      return nullptr;
    }
    return WriteVmListStatus(
      { mSequence, mList.Content().Hash(),
        std::chrono::ceil<Duration>(std::chrono::steady_clock::now() - *mList.LastRead()) });
  }

  // Processes the payload that a member of the region sent in answer to the heartbeat of time
  // aSent.
  void ReadPayload(const NodeId& aNode, std::uint64_t aIncarnation, const Json& aPayload,
                   TimePoint aSent)
  {
    const auto status = ReadVmListStatus(aPayload);
    if (!status || !mList.LastRead() || mHooks.mIsReader()) {
      return;
    }
    const auto before = mFollowedReader.Node();
    mFollowedReader.AcceptStatus(aNode, aIncarnation, *status, mList.Content().Hash(), aSent,
                                 std::chrono::steady_clock::now());
    if (mFollowedReader.Node() != before) {
      ScheduleOwnRead();
      LogEvent("vm_list_reader").With("member", mFollowedReader.Node());
    }
  }

  const VmList& List() const { return mList; }
  // Whether this node follows a reader instead of reading the list itself.
  bool IsRelayed() const { return mFollowedReader.IsValid(std::chrono::steady_clock::now()); }

private:
  static constexpr const char* kMethod = "vms.changed";

  bool ShouldSkipRead()
  {
    const auto now = std::chrono::steady_clock::now();
    if (!mFollowedReader.IsValid(now) || mHooks.mIsReader()) {
      return false;
    }
    if (now < mNextOwnRead) {
      return true;
    }
    ScheduleOwnRead();
    return false;
  }

  void ScheduleOwnRead()
  {
    mNextOwnRead = std::chrono::steady_clock::now() + mRandom.Jitter(mSettings.mOwnReadPeriod);
  }

  void CheckReader()
  {
    if (!mFollowedReader.Node().IsEmpty() && (!IsRelayed() || mHooks.mIsReader())) {
      StopFollowing(mHooks.mIsReader() ? "became_reader" : "lapsed");
    }
  }

  // Stops following the reader and reads the list at once.
  void StopFollowing(const char* aReason)
  {
    LogEvent("vm_list_read_alone").With("reason", aReason);
    mFollowedReader.Reset();
    mList.ReadNow();
  }

  // Called when a read by this node has changed the list.
  void OnChange(const VmSet& aBefore)
  {
    ++mSequence;
    // This list differs from the reader's, so the reader's next update can't be applied to it.
    if (!mFollowedReader.Node().IsEmpty()) {
      LogEvent("vm_list_read_alone").With("reason", "list_differs");
      mFollowedReader.Reset();
    }
    if (!mList.LastRead() || !mHooks.mIsReader()) {
      return;
    }
    const VmListUpdate update{ mNode,
                               mIncarnation,
                               mSequence,
                               aBefore.Hash(),
                               mList.Content().Hash(),
                               mList.EntityTag(),
                               mList.Content().DifferenceSince(aBefore) };
    const auto body = WriteVmListUpdate(update);
    for (const auto& it : mHooks.mPeers()) {
      // Errors are ignored: the receiver detects a lost update by the gap in the sequence, or by a
      // status with a newer version, which no longer prolongs the reader's validity.
      mTransport.Call(it, kMethod, body, mSettings.mCallTimeout,
                      [](std::error_code, const Json&) {});
    }
  }

  void OnReaderUpdate(const Json& aBody)
  {
    const auto update = ReadVmListUpdate(aBody);
    if (!update) {
      return;
    }
    const auto result = mFollowedReader.AcceptUpdate(*update, mList.Content().Hash(),
                                                     std::chrono::steady_clock::now());
    if (result == FollowedReader::Result::Gap) {
      StopFollowing("gap");
    }
    if (result != FollowedReader::Result::Next) {
      return;
    }
    auto content = mList.Content().With(update->mDifference);
    if (content.Hash() != update->mHash) {
      StopFollowing("hash_differs");
      return;
    }
    ++mSequence;
    mList.Replace(std::move(content), update->mEntityTag);
  }

  Transport& mTransport;
  Random& mRandom;
  NodeId mNode;
  std::uint64_t mIncarnation;
  Hooks mHooks;
  SharedVmListSettings mSettings;
  FollowedReader mFollowedReader;
  // Version of this node's list; grows by one with each change, by an own read or a reader's
  // update.
  std::uint64_t mSequence = 1;
  // When this node reads the list itself although it follows a reader.
  TimePoint mNextOwnRead;
  VmList mList;
  Timer mCheckTimer;
  // Guards the handler that the transport may still call after this object is destroyed.
  std::shared_ptr<SharedVmList*> mAlive = std::make_shared<SharedVmList*>(this);
};

} // namespace lovagerock::membership
