#pragma once

#include "base/EventLoop.h"
#include "base/LogEvent.h"
#include "base/Random.h"
#include "membership/ListReliance.h"
#include "membership/VmList.h"
#include "membership/VmListBatch.h"
#include "peer/PeerTransport.h"

#include <chrono>
#include <functional>
#include <memory>
#include <system_error>
#include <utility>
#include <vector>

namespace lovagerock::membership {

// Times of a SharedVmList.
struct SharedVmListSettings
{
  RelianceSettings mReliance;
  Duration mCheckPeriod{ 100 };
  Duration mCallTimeout{ 1000 };
  // Longest time between two own reads while another node's are relied on. They find a reader whose
  // answers don't change any more. The time is jittered, so that the nodes don't read together.
  Duration mOwnReadPeriod{ 300000 };
};

// Keeps the VM list of a node. One node of the region, the reader, reads it often and sends its
// changes to the others. A node reads for itself whenever it can't rely on a reader. Belongs to the
// transport's loop.
template<peer::PeerTransport Transport>
class SharedVmList
{
public:
  struct Hooks
  {
    // Whether this node is the reader, as far as it knows.
    std::function<bool()> mOwns;
    // Where changes go.
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
    , mReliance(aSettings.mReliance)
    , mList(aLoop, aListSettings, std::move(aOnRead))
  {
    mList.SkipIf([this] { return MayRest(); });
    mList.OnChange([this](const VmSet& aBefore) { OnChange(aBefore); });
    mTransport.Handle(kMethod, [weak = std::weak_ptr(mAlive)](const Json& aBody,
                                                              const peer::ReplyFunction& aReply) {
      if (const auto self = weak.lock()) {
        (*self)->OnBatch(aBody);
      }
      aReply(Json::object());
    });
    mCheck = aLoop.Every(mSettings.mCheckPeriod, [this] { Check(); });
  }
  SharedVmList(const SharedVmList&) = delete;
  SharedVmList& operator=(const SharedVmList&) = delete;

  // The payload of this node's heartbeats; null unless it is the reader.
  Json WritePayload() const
  {
    if (!mList.LastRead() || !mHooks.mOwns()) {
      return nullptr;
    }
    return WriteListAssurance(
      { mSequence, mList.Content().Hash(),
        std::chrono::ceil<Duration>(std::chrono::steady_clock::now() - *mList.LastRead()) });
  }

  // Takes the payload that a member of the region sent in answer to a heartbeat.
  void ReadPayload(const NodeId& aNode, std::uint64_t aIncarnation, const Json& aPayload,
                   TimePoint aSent)
  {
    const auto assurance = ReadListAssurance(aPayload);
    if (!assurance || !mList.LastRead() || mHooks.mOwns()) {
      return;
    }
    const auto before = mReliance.Reader();
    mReliance.Assure(aNode, aIncarnation, *assurance, mList.Content().Hash(), aSent,
                     std::chrono::steady_clock::now());
    if (mReliance.Reader() != before) {
      PlanOwnRead();
      LogEvent("vm_list_reader").With("member", mReliance.Reader());
    }
  }

  const VmList& List() const { return mList; }
  // Whether this node relies on another node's reads.
  bool IsRelayed() const { return mReliance.Counts(std::chrono::steady_clock::now()); }

private:
  static constexpr const char* kMethod = "vms.changed";

  bool MayRest()
  {
    const auto now = std::chrono::steady_clock::now();
    if (!mReliance.Counts(now) || mHooks.mOwns()) {
      return false;
    }
    if (now < mOwnRead) {
      return true;
    }
    PlanOwnRead();
    return false;
  }

  void PlanOwnRead()
  {
    mOwnRead = std::chrono::steady_clock::now() + mRandom.Jitter(mSettings.mOwnReadPeriod);
  }

  void Check()
  {
    if (!mReliance.Reader().IsEmpty() && (!IsRelayed() || mHooks.mOwns())) {
      ReadAlone(mHooks.mOwns() ? "became_reader" : "lapsed");
    }
  }

  void ReadAlone(const char* aReason)
  {
    LogEvent("vm_list_read_alone").With("reason", aReason);
    mReliance.End();
    mList.ReadNow();
  }

  // An own read brought another list.
  void OnChange(const VmSet& aBefore)
  {
    ++mSequence;
    // The list is not the reader's, so the reader's next change doesn't belong to it.
    if (!mReliance.Reader().IsEmpty()) {
      LogEvent("vm_list_read_alone").With("reason", "list_differs");
      mReliance.End();
    }
    if (!mList.LastRead() || !mHooks.mOwns()) {
      return;
    }
    const VmListBatch batch{ mNode,
                             mIncarnation,
                             mSequence,
                             aBefore.Hash(),
                             mList.Content().Hash(),
                             mList.EntityTag(),
                             mList.Content().Since(aBefore) };
    const auto body = WriteVmListBatch(batch);
    for (const auto& it : mHooks.mPeers()) {
      // A lost batch is noticed by the receiver.
      mTransport.Call(it, kMethod, body, mSettings.mCallTimeout,
                      [](std::error_code, const Json&) {});
    }
  }

  void OnBatch(const Json& aBody)
  {
    const auto batch = ReadVmListBatch(aBody);
    if (!batch) {
      return;
    }
    const auto result =
      mReliance.Take(*batch, mList.Content().Hash(), std::chrono::steady_clock::now());
    if (result == ListReliance::Result::Gap) {
      ReadAlone("gap");
    }
    if (result != ListReliance::Result::Next) {
      return;
    }
    auto content = mList.Content().With(batch->mDifference);
    if (content.Hash() != batch->mHash) {
      ReadAlone("hash_differs");
      return;
    }
    ++mSequence;
    mList.Replace(std::move(content), batch->mEntityTag);
  }

  Transport& mTransport;
  Random& mRandom;
  NodeId mNode;
  std::uint64_t mIncarnation;
  Hooks mHooks;
  SharedVmListSettings mSettings;
  ListReliance mReliance;
  // Number of this node's content, which changes by its own reads and by batches.
  std::uint64_t mSequence = 1;
  TimePoint mOwnRead;
  VmList mList;
  Timer mCheck;
  // Expires with the list, whose handler the transport may outlive.
  std::shared_ptr<SharedVmList*> mAlive = std::make_shared<SharedVmList*>(this);
};

} // namespace lovagerock::membership
