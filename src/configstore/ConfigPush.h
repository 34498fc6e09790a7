#pragma once

#include "base/SocketAddress.h"
#include "base/Units.h"
#include "configstore/Confirmation.h"
#include "configstore/PushMessage.h"
#include "membership/Membership.h"
#include "peer/PeerTransport.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <system_error>
#include <utility>

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

  // Called once when more than half of the known members have the configuration, this node
  // included, or when no answer is outstanding.
  using Callback = std::function<void()>;

  // Sends at once to all members that don't have it. aBase is the configuration before it; null for
  // none. Calls back even if this object is destroyed.
  void SendToAll(const Pointer& aBase, const Pointer& aNext, const Confirmation& aReports,
                 Callback aCallback)
  {
    const auto patch = aBase ? WritePatch(*aBase, *aNext) : Json();
    const auto round = std::make_shared<Round>();
    round->mVersion = aNext->mHead.mVersion;
    round->mNeeded = mMembership.KnownCount() / 2 + 1;
    round->mHave = 1;
    round->mCallback = std::move(aCallback);
    // Kept open until all are sent.
    round->mOpen = 1;
    for (const auto& it : mMembership.Members()) {
      if (it.mMember.mNode == mMembership.Self().mNode) {
        continue;
      }
      const auto* report = aReports.ReportOf(it.mMember.mNode);
      if (report && report->mVersion >= aNext->mHead.mVersion) {
        ++round->mHave;
        continue;
      }
      ++round->mOpen;
      if (aBase && HasBase(it.mMember, *aBase, aReports)) {
        SendPatch(it.mMember.mAddress, patch, aNext, round);
      } else {
        SendWhole(it.mMember.mAddress, *aNext, round);
      }
    }
    Count(*round, ConfigVersion());
  }

  // Number of pushes sent so far.
  std::uint64_t Patches() const { return mPatches; }
  std::uint64_t WholeBodies() const { return mWholeBodies; }

private:
  // The members that a configuration was sent to.
  struct Round
  {
    ConfigVersion mVersion;
    std::size_t mNeeded = 0;
    std::size_t mHave = 0;
    std::size_t mOpen = 0;
    Callback mCallback;
  };

  // Counts an answer with the version that the member has now; 0 for none.
  static void Count(Round& aRound, ConfigVersion aVersion)
  {
    --aRound.mOpen;
    aRound.mHave += aVersion >= aRound.mVersion ? 1 : 0;
    if (aRound.mHave >= aRound.mNeeded || aRound.mOpen == 0) {
      if (const auto callback = std::exchange(aRound.mCallback, {})) {
        callback();
      }
    }
  }

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

  void SendPatch(const SocketAddress& aPeer, const Json& aPatch, const Pointer& aNext,
                 const std::shared_ptr<Round>& aRound)
  {
    ++mPatches;
    mTransport.Call(aPeer, kMethod, aPatch, mTimeout,
                    [weak = std::weak_ptr(mAlive), aPeer, aNext, aRound](std::error_code aError,
                                                                         const Json& aAnswer) {
                      const auto self = weak.lock();
                      const auto version = VersionIn(aError, aAnswer);
                      if (!self || aError) {
                        Count(*aRound, version);
                        return;
                      }
                      (*self)->mAnswered[aPeer] = version.Value();
                      if (version < aNext->mHead.mVersion) {
                        (*self)->SendWhole(aPeer, *aNext, aRound);
                      } else {
                        Count(*aRound, version);
                      }
                    });
  }

  // A lost push is made up for by the peer's own watch and by the versions in heartbeats.
  void SendWhole(const SocketAddress& aPeer, const AcceptedConfig& aConfig,
                 const std::shared_ptr<Round>& aRound)
  {
    ++mWholeBodies;
    mTransport.Call(
      aPeer, kMethod, WriteWhole(aConfig), mTimeout,
      [weak = std::weak_ptr(mAlive), aPeer, aRound](std::error_code aError, const Json& aAnswer) {
        const auto self = weak.lock();
        const auto version = VersionIn(aError, aAnswer);
        if (self && !aError) {
          (*self)->mAnswered[aPeer] = version.Value();
        }
        Count(*aRound, version);
      });
  }

  static ConfigVersion VersionIn(std::error_code aError, const Json& aAnswer)
  {
    return ConfigVersion(aError ? 0 : JsonValue<std::int64_t>(aAnswer, "version", 0));
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
