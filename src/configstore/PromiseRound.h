#pragma once

#include "base/Json.h"
#include "base/Random.h"
#include "base/Units.h"
#include "configstore/PromiseTable.h"
#include "membership/Membership.h"
#include "peer/PeerTransport.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <system_error>
#include <utility>

namespace lovagerock::configstore {

// Asks the members for their promises before a change is written, and answers such calls of others.
// Belongs to the transport's loop.
template<peer::PeerTransport Transport>
class PromiseRound
{
public:
  // Called once with true when more than half of the known members promised.
  using Callback = std::function<void(bool)>;
  // Gives the version in force.
  using VersionGetter = std::function<ConfigVersion()>;

  PromiseRound(Transport& aTransport, membership::Membership<Transport>& aMembership,
               PromiseTable& aTable, Duration aTimeout, VersionGetter aInForce)
    : mTransport(aTransport)
    , mMembership(aMembership)
    , mTable(aTable)
    , mTimeout(aTimeout)
    , mInForce(std::move(aInForce))
  {
    mTransport.Handle(kPrepare, [weak = std::weak_ptr(mAlive)](const Json& aBody,
                                                               const peer::ReplyFunction& aReply) {
      const auto self = weak.lock();
      aReply({ { "promised", self && (*self)->Promise(aBody) } });
    });
    mTransport.Handle(kAbandon, [weak = std::weak_ptr(mAlive)](const Json& aBody,
                                                               const peer::ReplyFunction& aReply) {
      if (const auto self = weak.lock()) {
        (*self)->mTable.Abandon(JsonValue<std::string>(aBody, "attempt", ""));
      }
      aReply(Json::object());
    });
  }

  // Asks all members for the version. The attempt must be unique. A single refusal ends the round,
  // because it shows that the version is taken.
  void Run(const std::string& aAttempt, ConfigVersion aVersion, Callback aCallback)
  {
    const auto round = std::make_shared<Round>();
    round->mCallback = std::move(aCallback);
    round->mNeeded = mMembership.KnownCount() / 2 + 1;
    const Json body{ { "attempt", aAttempt }, { "version", aVersion.Value() } };
    if (!Promise(body)) {
      Finish(round, false);
      return;
    }
    round->mPromised = 1;
    const auto members = mMembership.Members();
    round->mOpen = members.size() - 1;
    for (const auto& it : members) {
      if (it.mMember.mNode == mMembership.Self().mNode) {
        continue;
      }
      mTransport.Call(
        it.mMember.mAddress, kPrepare, body, mTimeout,
        [round](std::error_code aError, const Json& aAnswer) { Count(round, aError, aAnswer); });
    }
    Check(round);
  }

  // Tells the members that the attempt has no effect. It must not be called while its write may
  // still take effect.
  void Abandon(const std::string& aAttempt)
  {
    mTable.Abandon(aAttempt);
    for (const auto& it : mMembership.Members()) {
      if (it.mMember.mNode != mMembership.Self().mNode) {
        mTransport.Call(it.mMember.mAddress, kAbandon, { { "attempt", aAttempt } }, mTimeout,
                        [](std::error_code, const Json&) {});
      }
    }
  }

private:
  static constexpr const char* kPrepare = "config/prepare";
  static constexpr const char* kAbandon = "config/abandon";

  struct Round
  {
    Callback mCallback;
    std::size_t mNeeded = 0;
    std::size_t mPromised = 0;
    std::size_t mOpen = 0;
  };

  bool Promise(const Json& aBody)
  {
    const auto attempt = JsonValue<std::string>(aBody, "attempt", "");
    const ConfigVersion version(JsonValue<std::int64_t>(aBody, "version", 0));
    if (attempt.empty() || version <= mInForce()) {
      return false;
    }
    mTable.Add(attempt, version, std::chrono::steady_clock::now());
    return true;
  }

  static void
  Count(const std::shared_ptr<Round>& aRound, std::error_code aError, const Json& aAnswer)
  {
    --aRound->mOpen;
    if (!aError && !JsonValue(aAnswer, "promised", false)) {
      Finish(aRound, false);
      return;
    }
    aRound->mPromised += aError ? 0 : 1;
    Check(aRound);
  }

  static void Check(const std::shared_ptr<Round>& aRound)
  {
    if (aRound->mPromised >= aRound->mNeeded) {
      Finish(aRound, true);
    } else if (aRound->mOpen == 0) {
      Finish(aRound, false);
    }
  }

  static void Finish(const std::shared_ptr<Round>& aRound, bool aPromised)
  {
    if (const auto callback = std::exchange(aRound->mCallback, {})) {
      callback(aPromised);
    }
  }

  Transport& mTransport;
  membership::Membership<Transport>& mMembership;
  PromiseTable& mTable;
  Duration mTimeout;
  VersionGetter mInForce;
  std::shared_ptr<PromiseRound*> mAlive = std::make_shared<PromiseRound*>(this);
};

} // namespace lovagerock::configstore
