#pragma once

#include "base/SocketAddress.h"
#include "base/Units.h"
#include "configstore/Confirmation.h"
#include "configstore/PushMessage.h"
#include "membership/Membership.h"
#include "peer/PeerTransport.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <system_error>

namespace lovagerock::configstore {

// Pushes accepted configurations to the other members: as a patch to those that have the previous
// one, else whole.
template<peer::PeerTransport Transport>
class ConfigPush
{
public:
  using Pointer = std::shared_ptr<const AcceptedConfig>;

  static constexpr const char* kMethod = "config/push";

  ConfigPush(Transport& aTransport, membership::Membership<Transport>& aMembership,
             Duration aTimeout)
    : mTransport(aTransport)
    , mMembership(aMembership)
    , mTimeout(aTimeout)
  {
  }

  // Sends to all members at once. aBase is the configuration before it; null for none.
  void SendToAll(const Pointer& aBase, const Pointer& aNext, const Confirmation& aReports)
  {
    const auto patch = aBase ? WritePatch(*aBase, *aNext) : Json();
    for (const auto& it : mMembership.Members()) {
      if (it.mMember.mNode == mMembership.Self().mNode) {
        continue;
      }
      if (aBase && HasBase(it.mMember, *aBase, aReports)) {
        SendPatch(it.mMember.mAddress, patch, aNext);
      } else {
        SendWhole(it.mMember.mAddress, *aNext);
      }
    }
  }

  // Number of pushes sent so far.
  std::uint64_t Patches() const { return mPatches; }
  std::uint64_t WholeBodies() const { return mWholeBodies; }

private:
  // Whether the member probably has the base. Its answer to the last push is newer than its last
  // heartbeat when changes follow each other within a heartbeat period. A wrong guess is safe,
  // because a member refuses a patch of another base and then gets the whole body.
  bool HasBase(const membership::Member& aMember, const AcceptedConfig& aBase,
               const Confirmation& aReports) const
  {
    const auto answered = mAnswered.find(aMember.mAddress);
    if (answered != mAnswered.end() && answered->second == aBase.mHead.mVersion.Value()) {
      return true;
    }
    const auto* report = aReports.ReportOf(aMember.mNode);
    return report && report->mVersion == aBase.mHead.mVersion && report->mHash == aBase.mHead.mHash;
  }

  void SendPatch(const SocketAddress& aPeer, const Json& aPatch, const Pointer& aNext)
  {
    ++mPatches;
    mTransport.Call(
      aPeer, kMethod, aPatch, mTimeout,
      [weak = std::weak_ptr(mAlive), aPeer, aNext](std::error_code aError, const Json& aAnswer) {
        const auto self = weak.lock();
        const auto version = JsonValue<std::int64_t>(aAnswer, "version", 0);
        if (!self || aError) {
          return;
        }
        (*self)->mAnswered[aPeer] = version;
        if (version < aNext->mHead.mVersion.Value()) {
          (*self)->SendWhole(aPeer, *aNext);
        }
      });
  }

  // A lost push is made up for by the peer's own watch and by the versions in heartbeats.
  void SendWhole(const SocketAddress& aPeer, const AcceptedConfig& aConfig)
  {
    ++mWholeBodies;
    mTransport.Call(
      aPeer, kMethod, WriteWhole(aConfig), mTimeout,
      [weak = std::weak_ptr(mAlive), aPeer](std::error_code aError, const Json& aAnswer) {
        const auto self = weak.lock();
        if (self && !aError) {
          (*self)->mAnswered[aPeer] = JsonValue<std::int64_t>(aAnswer, "version", 0);
        }
      });
  }

  Transport& mTransport;
  membership::Membership<Transport>& mMembership;
  Duration mTimeout;
  // The version that each member answered to its last push, 0 for none.
  std::map<SocketAddress, std::int64_t> mAnswered;
  std::uint64_t mPatches = 0;
  std::uint64_t mWholeBodies = 0;
  std::shared_ptr<ConfigPush*> mAlive = std::make_shared<ConfigPush*>(this);
};

} // namespace lovagerock::configstore
