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

// Collects promises for a version from the members before a change is written (the prepare phase),
// and answers the prepare and abandon calls of other nodes. A member promises only a version above
// the one that it has in force. Must be used on the transport's event loop only.
template<peer::PeerTransport Transport>
class PromiseRound
{
public:
  // Called once: with true when more than half of the known members promised, this node included;
  // with false on a refusal or when no answer is outstanding.
  using Callback = std::function<void(bool)>;
  // Returns the version in force.
  using VersionGetter = std::function<ConfigVersion()>;

  PromiseRound(Transport& aTransport, membership::Membership<Transport>& aMembership,
               PromiseTable& aTable, Duration aTimeout, VersionGetter aGetVersionInForce)
    : mTransport(aTransport)
    , mMembership(aMembership)
    , mTable(aTable)
    , mTimeout(aTimeout)
    , mGetVersionInForce(std::move(aGetVersionInForce))
  {
    mTransport.Handle(kPrepare, [weak = std::weak_ptr(mAlive)](const Json& aBody,
                                                               const peer::ReplyFunction& aReply) {
      const auto self = weak.lock();
      aReply({ { "promised", self && (*self)->GivePromise(aBody) } });
    });
    mTransport.Handle(kAbandon, [weak = std::weak_ptr(mAlive)](const Json& aBody,
                                                               const peer::ReplyFunction& aReply) {
      if (const auto self = weak.lock()) {
        (*self)->mTable.Abandon(JsonValue<std::string>(aBody, "attempt", ""));
      }
      aReply(Json::object());
    });
  }

  // Asks all members to promise aVersion. aAttempt must be unique among all attempts. A single
  // refusal ends the round, because it shows that the version is already taken.
  void Run(const std::string& aAttempt, ConfigVersion aVersion, Callback aCallback)
  {
    const auto round = std::make_shared<Round>();
    round->mCallback = std::move(aCallback);
    round->mNeeded = mMembership.KnownCount() / 2 + 1;
    const Json body{ { "attempt", aAttempt }, { "version", aVersion.Value() } };
    if (!GivePromise(body)) {
      Finish(round, false);
      return;
    }
    round->mPromised = 1;
    const auto members = mMembership.Members();
    round->mOutstanding = members.size() - 1;
    for (const auto& it : members) {
      if (it.mMember.mNode == mMembership.Self().mNode) {
        continue;
      }
      mTransport.Call(it.mMember.mAddress, kPrepare, body, mTimeout,
                      [round](std::error_code aError, const Json& aAnswer) {
                        CountAnswer(round, aError, aAnswer);
                      });
    }
    FinishIfDecided(round);
  }

  // Releases the promises of an attempt on all members. Must not be called while the write of the
  // attempt may still take effect.
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
    std::size_t mOutstanding = 0;
  };

  bool GivePromise(const Json& aBody)
  {
    const auto attempt = JsonValue<std::string>(aBody, "attempt", "");
    const ConfigVersion version(JsonValue<std::int64_t>(aBody, "version", 0));
    if (attempt.empty() || version <= mGetVersionInForce()) {
      return false;
    }
    mTable.Add(attempt, version, std::chrono::steady_clock::now());
    return true;
  }

  static void
  CountAnswer(const std::shared_ptr<Round>& aRound, std::error_code aError, const Json& aAnswer)
  {
    --aRound->mOutstanding;
    if (!aError && !JsonValue(aAnswer, "promised", false)) {
      Finish(aRound, false);
      return;
    }
    aRound->mPromised += aError ? 0 : 1;
    FinishIfDecided(aRound);
  }

  static void FinishIfDecided(const std::shared_ptr<Round>& aRound)
  {
    if (aRound->mPromised >= aRound->mNeeded) {
      Finish(aRound, true);
    } else if (aRound->mOutstanding == 0) {
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
  VersionGetter mGetVersionInForce;
  std::shared_ptr<PromiseRound*> mAlive = std::make_shared<PromiseRound*>(this);
};

} // namespace lovagerock::configstore
