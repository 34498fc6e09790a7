#pragma once

#include "base/EventLoop.h"
#include "base/Ids.h"
#include "base/Json.h"
#include "membership/Member.h"
#include "membership/MemberTable.h"
#include "membership/Rendezvous.h"
#include "membership/VmList.h"
#include "peer/PeerTransport.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <system_error>
#include <utility>
#include <vector>

namespace lovagerock::membership {

// Keeps the members by a heartbeat each period to every known entry node. Other modules add
// payloads to the answers. Belongs to the transport's loop.
template<peer::PeerTransport Transport>
class Membership
{
public:
  // Gives this node's payload for an answer; null if there is none.
  using PayloadWriter = std::function<Json()>;
  // Takes a member's payload. aSent is when this node sent the heartbeat that was answered, so the
  // content of the payload is at most as old as it says plus the time since then.
  using PayloadReader =
    std::function<void(const Member& aMember, const Json& aPayload, TimePoint aSent)>;
  using ChangeCallback = std::function<void()>;

  Membership(EventLoop& aLoop, Transport& aTransport, Member aSelf,
             const MembershipSettings& aSettings = {})
    : mLoop(aLoop)
    , mTransport(aTransport)
    , mSettings(aSettings)
    , mTable(std::move(aSelf), aSettings, Clock::now())
  {
    mTransport.Handle(kMethod, [weak = std::weak_ptr(mAlive)](const Json& aBody,
                                                              const peer::ReplyFunction& aReply) {
      if (const auto self = weak.lock()) {
        (*self)->OnHeartbeat(aBody, aReply);
      }
    });
    mTimer = mLoop.Every(mSettings.mHeartbeatPeriod, [this] { SendHeartbeats(); });
    // Finds lapsed members between heartbeats.
    mCheckTimer = mLoop.Every(mSettings.mHeartbeatPeriod / 4, [this] { Update(); });
  }
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  // Adds a payload under a name that is unique among the modules.
  void AddPayload(const std::string& aName, PayloadWriter aWriter, PayloadReader aReader)
  {
    mPayloads[aName] = { std::move(aWriter), std::move(aReader) };
  }
  // Calls back, from the loop, after a member or its state or IsUnsure() has changed.
  void OnChange(ChangeCallback aCallback) { mCallbacks.push_back(std::move(aCallback)); }

  // Takes over a newly read VM list; new nodes get a heartbeat at once.
  void SetVmList(const std::vector<Vm>& aVms)
  {
    const auto before = mTable.HeartbeatTargets();
    mTable.SetVmList(aVms, Clock::now());
    for (const auto& it : mTable.HeartbeatTargets()) {
      if (!before.contains(it)) {
        SendHeartbeat(it);
      }
    }
    Update();
  }

  // Tells all members at once that this node takes no new work.
  void SetLeaving()
  {
    mTable.SetLeaving();
    SendHeartbeats();
  }

  const Member& Self() const { return mTable.Self(); }
  std::vector<MemberView> Members() { return Now().Members(mLastNow); }
  std::vector<NodeId> LiveNodes(const RegionId& aRegion = {})
  {
    return Now().LiveNodes(aRegion, mLastNow);
  }
  std::size_t KnownCount() { return Now().KnownCount(); }
  bool IsUnsure() { return Now().IsUnsure(); }

  // The live member of the region that owns the key, or of all regions if the region is empty.
  // Empty if there is none. Whoever acts as owner must also check IsUnsure().
  NodeId OwnerOf(const std::string& aKey, const RegionId& aRegion = {})
  {
    return RendezvousOwner(aKey, LiveNodes(aRegion));
  }

private:
  using Clock = std::chrono::steady_clock;
  static constexpr const char* kMethod = "heartbeat";

  struct Payload
  {
    PayloadWriter mWriter;
    PayloadReader mReader;
  };

  // The table advanced to the present, so that a pause is noticed before anything is decided.
  MemberTable& Now()
  {
    mLastNow = Clock::now();
    mTable.Advance(mLastNow);
    return mTable;
  }

  void SendHeartbeats()
  {
    for (const auto& it : Now().HeartbeatTargets()) {
      SendHeartbeat(it);
    }
    Update();
  }

  void SendHeartbeat(const SocketAddress& aTarget)
  {
    const auto sent = Clock::now();
    mTable.Advance(sent);
    mTransport.Call(
      aTarget, kMethod, WriteMember(mTable.Self()), mSettings.mLiveTimeout,
      [weak = std::weak_ptr(mAlive), sent](std::error_code aError, const Json& aAnswer) {
        const auto self = weak.lock();
        if (self && !aError) {
          (*self)->OnAnswer(aAnswer, sent);
        }
      });
  }

  void OnHeartbeat(const Json& aBody, const peer::ReplyFunction& aReply)
  {
    if (const auto member = ReadMember(aBody)) {
      Now().Hear(*member, mLastNow);
      Update();
    }
    auto answer = WriteMember(mTable.Self());
    for (const auto& [name, payload] : mPayloads) {
      // Left out if there is nothing to say, because every exchange would carry it.
      if (auto value = payload.mWriter(); !value.is_null()) {
        answer["payload"][name] = std::move(value);
      }
    }
    aReply(std::move(answer));
  }

  void OnAnswer(const Json& aAnswer, TimePoint aSent)
  {
    const auto member = ReadMember(aAnswer);
    if (!member) {
      return;
    }
    Now().HearAnswer(*member, aSent, mLastNow);
    const auto payloads = JsonValue(aAnswer, "payload", Json::object());
    for (const auto& [name, payload] : mPayloads) {
      if (payloads.contains(name)) {
        payload.mReader(*member, payloads[name], aSent);
      }
    }
    Update();
  }

  // Notifies of changes since the last call.
  void Update()
  {
    auto& table = Now();
    auto view = std::pair(table.Members(mLastNow), table.IsUnsure());
    if (view == mNotified) {
      return;
    }
    mNotified = std::move(view);
    mLoop.Post([weak = std::weak_ptr(mAlive)] {
      if (const auto self = weak.lock()) {
        for (const auto& it : (*self)->mCallbacks) {
          it();
        }
      }
    });
  }

  EventLoop& mLoop;
  Transport& mTransport;
  MembershipSettings mSettings;
  MemberTable mTable;
  TimePoint mLastNow;
  std::map<std::string, Payload> mPayloads;
  std::vector<ChangeCallback> mCallbacks;
  std::pair<std::vector<MemberView>, bool> mNotified;
  Timer mTimer;
  Timer mCheckTimer;
  // Expires with the membership, whose handler and calls the transport may outlive.
  std::shared_ptr<Membership*> mAlive = std::make_shared<Membership*>(this);
};

} // namespace lovagerock::membership
