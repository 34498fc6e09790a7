#pragma once

#include "base/CallbackGuard.h"
#include "base/Json.h"
#include "base/Random.h"
#include "control/Keys.h"
#include "control/PrefixWatch.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lovagerock::control {

// Orders to workers carry it; a worker obeys no lower one than it has seen.
using FencingToken = StrongCount<struct FencingTokenTag>;

// The last leadership that ended before this node was elected.
struct FormerLeader
{
  FencingToken mToken;
  // Unset if this node was the leader.
  std::optional<SocketAddress> mAddress;
};

// What the owner of an election wants to know.
struct ElectionCallbacks
{
  std::function<void(FencingToken)> mOnElected;
  std::function<void(const char* aReason)> mOnLost;
};

// Elects one leader among the nodes by a key that is bound to a lease of the store. Each
// leadership has a higher fencing token than all before.
//
// A leader that can't reach the store stays leader for the autonomy time, because in an outage of
// the whole store nobody else can be elected; workers' fencing keeps it from doing harm otherwise.
template<kv::PrefixStore Store>
class Election
{
public:
  Election(EventLoop& aLoop, Store& aStore, Random& aRandom, const ControlSettings& aSettings,
           ElectionCallbacks aCallbacks)
    : mLoop(aLoop)
    , mStore(aStore)
    , mRandom(aRandom)
    , mSettings(aSettings)
    , mCallbacks(std::move(aCallbacks))
  {
    WatchCallbacks watch;
    watch.mOnList = [this](const auto& aItems) { OnList(aItems); };
    watch.mOnEvent = [this](const auto& aEvent) { OnEvent(aEvent); };
    watch.mOnConfirmed = [this](Duration) { ConsiderClaim(); };
    mWatch.emplace(aLoop, aStore, std::string(kLeaderPrefix), std::move(watch));
  }

  bool IsLeader() const { return mToken.has_value(); }
  FencingToken Token() const { return mToken.value_or(FencingToken()); }
  // The condition under which a leader's writes are applied.
  kv::ConditionalWrites::Condition Condition() const
  {
    return { std::string(kLeaderKey), kv::Revision(Token().Value()) };
  }
  // Where the present leader takes calls of other nodes; nothing if there is none, or this node.
  const std::optional<SocketAddress>& LeaderAddress() const { return mAddress; }
  // Who led last before this node; nothing if there was none, or this node hasn't heard of it.
  std::optional<FormerLeader> Former() const
  {
    const bool isLast = mFormer && mFormer->mToken.Value() == mLastBefore.Value();
    return isLast ? mFormer : std::nullopt;
  }
  // When the store last confirmed the leadership.
  TimePoint ConfirmedAt() const { return mConfirmed; }

  // Gives the leadership up at once, so that another node takes over without waiting for the
  // lease's end.
  void Resign(const char* aReason)
  {
    if (IsLeader()) {
      mStore.EndLease(mLease, [](std::error_code aError) {
        if (aError) {
          LogEvent("lease_not_ended", LogLevel::Warning).With("reason", aError.message());
        }
      });
      Lose(aReason);
    }
  }
  // Stops taking part.
  void Withdraw()
  {
    mIsWithdrawn = true;
    Resign("shutdown");
  }

private:
  void OnList(const std::map<std::string, kv::Item>& aItems)
  {
    if (const auto last = aItems.find(std::string(kLastLeaderKey)); last != aItems.end()) {
      mLast = std::max(mLast, last->second.mRevision);
    }
    const auto it = aItems.find(std::string(kLeaderKey));
    if (it == aItems.end()) {
      OnVacant();
    } else {
      OnHeld(it->second.mValue, it->second.mRevision);
    }
  }

  void OnEvent(const kv::ItemEvent& aEvent)
  {
    if (aEvent.mKey == kLastLeaderKey) {
      mLast = std::max(mLast, aEvent.mRevision);
    }
    if (aEvent.mKey != kLeaderKey) {
      return;
    }
    if (aEvent.mValue) {
      OnHeld(*aEvent.mValue, aEvent.mRevision);
    } else if (aEvent.mRevision > mHolder) {
      OnVacant();
    }
  }

  void OnHeld(const std::string& aValue, kv::Revision aRevision)
  {
    mHolder = aRevision;
    mIsVacant = false;
    mAddress.reset();
    const auto json = ParseJson(aValue);
    const auto node = json ? JsonValue(*json, "node", std::string()) : std::string();
    const bool isOwn = mToken && aRevision.Value() == mToken->Value();
    if (mToken && aRevision.Value() > mToken->Value()) {
      Lose("another_leader");
    }
    if (json && !isOwn) {
      mAddress = SocketAddress::Parse(JsonValue(*json, "address", std::string()));
    }
    LogEvent("leader_changed").With("node", node).With("token", aRevision);
  }

  void OnVacant()
  {
    if (!mIsVacant && mHolder.Value() != 0) {
      mFormer = FormerLeader{ FencingToken(mHolder.Value()), mAddress };
    }
    mIsVacant = true;
    mAddress.reset();
    if (mToken) {
      Lose("lease_ended");
    }
    ConsiderClaim();
  }

  void ConsiderClaim()
  {
    if (!mIsVacant || mIsClaiming || mToken || mIsWithdrawn) {
      return;
    }
    mIsClaiming = true;
    mClaimTimer = mLoop.After(ClaimDelay(), [this] { Claim(); });
  }

  Duration ClaimDelay()
  {
    const double bySize =
      kClaimDelayPerCoreMs / mSettings.mCores + kClaimDelayPerMbpsMs / mSettings.mLinkMbps;
    return Duration(static_cast<std::int64_t>(bySize)) +
           Duration(static_cast<std::int64_t>(mRandom.Below(kClaimJitter.count())));
  }

  void Claim()
  {
    if (!mIsVacant || mIsWithdrawn) {
      mIsClaiming = false;
      return;
    }
    mRenewalSent = std::chrono::steady_clock::now();
    mStore.GrantLease(kLeadershipLease,
                      mGuard.Wrap([this](std::error_code aError, kv::StoreLease aLease) {
                        if (aError) {
                          mIsClaiming = false;
                          return;
                        }
                        mLease = aLease;
                        WriteClaim();
                      }));
  }

  void WriteClaim()
  {
    kv::ConditionalWrites writes;
    writes.mConditions = { { std::string(kLeaderKey), kv::Revision() },
                           { std::string(kLastLeaderKey), mLast } };
    writes.mWrites.push_back({ std::string(kLastLeaderKey), mSettings.mNode.Value(), {} });
    writes.mWrites.push_back({ std::string(kLeaderKey),
                               DumpJson({ { "node", mSettings.mNode.Value() },
                                          { "address", mSettings.mPeers.ToString() } }),
                               mLease });
    mStore.Write(writes,
                 mGuard.Wrap([this](std::error_code aError, const kv::WriteOutcome& aOutcome) {
                   OnClaimed(aError, aOutcome);
                 }));
  }

  void OnClaimed(std::error_code aError, const kv::WriteOutcome& aOutcome)
  {
    mIsClaiming = false;
    if (aError) {
      // The key may be held by a lease that nobody renews; it ends by itself.
      return;
    }
    if (!aOutcome.mApplied) {
      OnClaimRefused(aOutcome.mPresent);
      return;
    }
    mLastBefore = std::exchange(mLast, aOutcome.mRevision);
    mToken = FencingToken(aOutcome.mRevision.Value());
    mHolder = aOutcome.mRevision;
    mIsVacant = false;
    mConfirmed = mRenewalSent;
    mRenewal = mLoop.Every(kLeadershipRenewal, [this] { Renew(); });
    LogEvent("elected").With("token", *mToken);
    mCallbacks.mOnElected(*mToken);
  }

  void OnClaimRefused(const std::vector<kv::Item>& aPresent)
  {
    bool isHeld = false;
    for (const auto& it : aPresent) {
      isHeld = isHeld || it.mKey == kLeaderKey;
      if (it.mKey == kLastLeaderKey) {
        mLast = std::max(mLast, it.mRevision);
      }
    }
    if (!isHeld) {
      // A whole leadership has gone by unheard of.
      ConsiderClaim();
    }
  }

  void Renew()
  {
    const auto now = std::chrono::steady_clock::now();
    if (now - mConfirmed > mSettings.mScheduler.mAutonomy - kLeadershipRenewal) {
      Lose("store_unreachable");
      return;
    }
    mStore.RenewLease(mLease, mGuard.Wrap([this, now, token = mToken](std::error_code aError) {
      if (mToken == token) {
        OnRenewed(aError, now);
      }
    }));
  }

  void OnRenewed(std::error_code aError, TimePoint aSent)
  {
    if (!aError) {
      mConfirmed = std::max(mConfirmed, aSent);
    } else if (aError == kv::KvError::LeaseEnded) {
      Lose("lease_ended");
    }
  }

  void Lose(const char* aReason)
  {
    LogEvent("leadership_lost", LogLevel::Warning).With("token", Token()).With("reason", aReason);
    mToken.reset();
    mRenewal.Cancel();
    mCallbacks.mOnLost(aReason);
  }

  EventLoop& mLoop;
  Store& mStore;
  Random& mRandom;
  const ControlSettings& mSettings;
  ElectionCallbacks mCallbacks;
  std::optional<PrefixWatch<Store>> mWatch;
  std::optional<FencingToken> mToken;
  kv::StoreLease mLease;
  // The version of the leader's key that was last seen.
  kv::Revision mHolder;
  std::optional<SocketAddress> mAddress;
  std::optional<FormerLeader> mFormer;
  // The last claim of all that this node has heard of, and the last one before its own.
  kv::Revision mLast;
  kv::Revision mLastBefore;
  bool mIsVacant = false;
  bool mIsClaiming = false;
  bool mIsWithdrawn = false;
  TimePoint mRenewalSent;
  TimePoint mConfirmed;
  Timer mRenewal;
  Timer mClaimTimer;
  CallbackGuard mGuard;
};

} // namespace lovagerock::control
