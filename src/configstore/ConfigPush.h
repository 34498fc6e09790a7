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

// Pushes accepted configurations to the other members: a JSON patch to those that have the previous
// configuration, the full body to the others.
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

  // Sends aNext at once to all members that have not reported its version or a higher one. aBase is
  // the previous configuration; null for none. Calls back even if this object is destroyed.
  void SendToAll(const Pointer& aBase, const Pointer& aNext, const Confirmation& aReports,
                 Callback aCallback)
  {
    const auto patch = aBase ? WritePatch(*aBase, *aNext) : Json();
    const auto round = std::make_shared<Round>();
    round->mVersion = aNext->mHead.mVersion;
    round->mNeeded = mMembership.KnownCount() / 2 + 1;
    round->mUpToDate = 1;
    round->mCallback = std::move(aCallback);
    // One extra, so that the round cannot finish before all pushes are sent.
    round->mOutstanding = 1;
    for (const auto& it : mMembership.Members()) {
      if (it.mMember.mNode == mMembership.Self().mNode) {
        continue;
      }
      const auto* report = aReports.ReportOf(it.mMember.mNode);
      if (report && report->mVersion >= aNext->mHead.mVersion) {
        ++round->mUpToDate;
        continue;
      }
      ++round->mOutstanding;
      if (aBase && HasBase(it.mMember, *aBase, aReports)) {
        SendPatch(it.mMember.mAddress, patch, aNext, round);
      } else {
        SendFullBody(it.mMember.mAddress, *aNext, round);
      }
    }
    CountAnswer(*round, ConfigVersion());
  }

  // Number of pushes sent so far.
  std::uint64_t PatchCount() const { return mPatchCount; }
  std::uint64_t FullBodyCount() const { return mFullBodyCount; }

private:
  // Progress of sending one configuration to all members.
  struct Round
  {
    ConfigVersion mVersion;
    std::size_t mNeeded = 0;
    std::size_t mUpToDate = 0;
    std::size_t mOutstanding = 0;
    Callback mCallback;
  };

  // Counts an answer. aVersion is the version that the member has now; 0 for none or on error.
  static void CountAnswer(Round& aRound, ConfigVersion aVersion)
  {
    --aRound.mOutstanding;
    aRound.mUpToDate += aVersion >= aRound.mVersion ? 1 : 0;
    if (aRound.mUpToDate >= aRound.mNeeded || aRound.mOutstanding == 0) {
      if (const auto callback = std::exchange(aRound.mCallback, {})) {
        callback();
      }
    }
  }

  // Whether the member probably has aBase. Its answer to the last push is checked as well as its
  // last heartbeat, because it is newer when changes follow each other within a heartbeat period. A
  // wrong result is safe: a member refuses a patch for another base and is then sent the full body.
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
    ++mPatchCount;
    mTransport.Call(aPeer, kMethod, aPatch, mTimeout,
                    [weak = std::weak_ptr(mAlive), aPeer, aNext, aRound](std::error_code aError,
                                                                         const Json& aAnswer) {
                      const auto self = weak.lock();
                      const auto version = VersionIn(aError, aAnswer);
                      if (!self || aError) {
                        CountAnswer(*aRound, version);
                        return;
                      }
                      (*self)->mAnswered[aPeer] = version.Value();
                      if (version < aNext->mHead.mVersion) {
                        (*self)->SendFullBody(aPeer, *aNext, aRound);
                      } else {
                        CountAnswer(*aRound, version);
                      }
                    });
  }

  // A lost push is not repeated: the peer also finds the version by its own watch of the head and
  // by the versions in heartbeats.
  void SendFullBody(const SocketAddress& aPeer, const AcceptedConfig& aConfig,
                    const std::shared_ptr<Round>& aRound)
  {
    ++mFullBodyCount;
    mTransport.Call(
      aPeer, kMethod, WriteFullBody(aConfig), mTimeout,
      [weak = std::weak_ptr(mAlive), aPeer, aRound](std::error_code aError, const Json& aAnswer) {
        const auto self = weak.lock();
        const auto version = VersionIn(aError, aAnswer);
        if (self && !aError) {
          (*self)->mAnswered[aPeer] = version.Value();
        }
        CountAnswer(*aRound, version);
      });
  }

  static ConfigVersion VersionIn(std::error_code aError, const Json& aAnswer)
  {
    return ConfigVersion(aError ? 0 : JsonValue<std::int64_t>(aAnswer, "version", 0));
  }

  Transport& mTransport;
  membership::Membership<Transport>& mMembership;
  Duration mTimeout;
  // The version in each member's answer to its last push; 0 for none.
  std::map<SocketAddress, std::int64_t> mAnswered;
  std::uint64_t mPatchCount = 0;
  std::uint64_t mFullBodyCount = 0;
  std::shared_ptr<ConfigPush*> mAlive = std::make_shared<ConfigPush*>(this);
};

} // namespace lovagerock::configstore
