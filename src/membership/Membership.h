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

// Maintains the member table: sends a heartbeat to every known entry node in each heartbeat period
// and processes the answers. Other modules add payloads to the answers. Must only be used on the
// transport's event loop.
template<peer::PeerTransport Transport>
class Membership
{
public:
  // Returns this node's payload for an answer to a heartbeat; null if there is none.
  using PayloadWriter = std::function<Json()>;
  // Processes a member's payload. aSent is when this node sent the heartbeat that was answered, so
  // an age given in the payload has grown by at most the time since aSent.
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
    // Detects members whose live timeout expires between two heartbeats.
    mCheckTimer = mLoop.Every(mSettings.mHeartbeatPeriod / 4, [this] { Update(); });
  }
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  // Adds a payload to the answers, under a name that must be unique among the modules.
  void AddPayload(const std::string& aName, PayloadWriter aWriter, PayloadReader aReader)
  {
    mPayloads[aName] = { std::move(aWriter), std::move(aReader) };
  }
  // Registers a callback that the event loop calls after a member, its state or
  // IsViewUnconfirmed() has changed.
  void OnChange(ChangeCallback aCallback) { mCallbacks.push_back(std::move(aCallback)); }

  // Replaces the VM list by a newly read one and sends a heartbeat to new nodes at once.
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

  // Announces to all known nodes at once that this node takes no new work.
  void SetLeaving()
  {
    mTable.SetLeaving();
    SendHeartbeats();
  }

  const Member& Self() const { return mTable.Self(); }
  std::vector<MemberView> Members() { return AdvancedTable().Members(mLastNow); }
  std::vector<NodeId> LiveNodes(const RegionId& aRegion = {})
  {
    return AdvancedTable().LiveNodes(aRegion, mLastNow);
  }
  std::size_t KnownCount() { return AdvancedTable().KnownCount(); }
  bool IsViewUnconfirmed() { return AdvancedTable().IsViewUnconfirmed(); }

  // Returns the live member of a region that owns the key, or of all regions if aRegion is empty;
  // empty if there is none. Callers must also check IsViewUnconfirmed() before acting as the owner.
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

  // Returns the table after advancing it to the current time, so that a pause of this node is
  // detected before a caller decides on the members.
  MemberTable& AdvancedTable()
  {
    mLastNow = Clock::now();
    mTable.Advance(mLastNow);
    return mTable;
  }

  void SendHeartbeats()
  {
    for (const auto& it : AdvancedTable().HeartbeatTargets()) {
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
      AdvancedTable().RecordHeartbeat(*member, mLastNow);
      Update();
    }
    auto answer = WriteMember(mTable.Self());
    for (const auto& [name, payload] : mPayloads) {
      // Empty payloads are omitted, because every answer would carry them.
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
    AdvancedTable().RecordAnswer(*member, aSent, mLastNow);
    const auto payloads = JsonValue(aAnswer, "payload", Json::object());
    for (const auto& [name, payload] : mPayloads) {
      if (payloads.contains(name)) {
        payload.mReader(*member, payloads[name], aSent);
      }
    }
    Update();
  }

  // Notifies the callbacks if the members or IsViewUnconfirmed() have changed since the last call.
  void Update()
  {
    auto& table = AdvancedTable();
    auto view = std::pair(table.Members(mLastNow), table.IsViewUnconfirmed());
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
  // Guards the callbacks that the transport and the event loop may still call after this object is
  // destroyed.
  std::shared_ptr<Membership*> mAlive = std::make_shared<Membership*>(this);
};

} // namespace lovagerock::membership
