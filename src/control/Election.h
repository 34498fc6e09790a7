#pragma once

#include "base/BootClock.h"
#include "base/CallbackGuard.h"
#include "base/Json.h"
#include "base/Random.h"
#include "control/Backlog.h"
#include "control/ClaimRecord.h"
#include "control/Keys.h"
#include "control/LeaderHistory.h"
#include "control/LeadershipLease.h"
#include "control/PrefixWatch.h"
#include "control/Witnesses.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace lovagerock::control {

// Notifications to the owner of an election.
struct ElectionCallbacks
{
  std::function<void(FencingToken)> mOnElected;
  std::function<void(const char* aReason)> mOnLost;
};

// Elects one leader among the nodes: the one that creates a key that is bound to a store lease.
// Each leadership has a higher fencing token than all earlier ones.
//
// A leader that can't reach the store remains leader for mStoreOutageTolerance, because no other
// node can be elected in an outage of the whole store. If only this node is cut off, workers that a
// new leader has called refuse its orders by their fencing token.
//
// A claim is made on condition that this node knows the present records of witnesses and of the
// last resignation.
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
    watch.mOnConfirmed = [this](Duration) { ScheduleClaim(); };
    mWatch.emplace(aLoop, aStore, std::string(kLeaderPrefix), std::move(watch));
  }

  bool IsLeader() const { return mToken.has_value(); }
  // Whether the leader may stop runs and renew workers' leases. After a pause of this process or
  // its VM it may not until the store has confirmed the leadership, because another leader may have
  // been elected meanwhile.
  bool MayAct() const { return IsLeader() && mLease.MayAct(BootTime()); }
  // Whether the store has confirmed the leadership so recently that no other node can be elected
  // before an order that is sent now arrives.
  bool IsConfirmed() const { return IsLeader() && mLease.IsConfirmed(BootTime()); }
  // See LeadershipLease::ConfirmationAge().
  Duration ConfirmationAge() const { return mLease.ConfirmationAge(BootTime()); }
  FencingToken Token() const { return mToken.value_or(FencingToken()); }
  // This node's claim; all tokens in it are 0 if it isn't the last one.
  ClaimRecord OwnClaim() const { return mLastClaim.mToken == Token() ? mLastClaim : ClaimRecord(); }
  // The record of witnesses. At the time of the election it is the one that is stored.
  const WitnessRecord& Witnesses() const { return mWitnesses; }
  // The groups whose submissions the leader wants to be refused, as the store's record names them.
  const std::set<scheduler::JobGroup>& ClosedGroups() const { return mClosedGroups; }
  // The condition on a leader's writes: the leader key still is the one that this node wrote.
  kv::ConditionalWrites::Condition Condition() const
  {
    return { std::string(kLeaderKey), kv::Revision(Token().Value()) };
  }
  // The peer address of the current leader; unset if there is none or it is this node.
  const std::optional<SocketAddress>& LeaderAddress() const { return mAddress; }
  // Returns the leaderships before this node's that it has seen, oldest first. No other one began
  // after the first of them.
  std::vector<FormerLeader> FormerLeaders() const
  {
    auto leaders = mHistory.Before(Token());
    for (auto& it : leaders) {
      it.mHasResigned = it.mToken == mResigned;
    }
    return leaders;
  }
  // Whether this node has claimed the leadership and doesn't know the outcome yet.
  bool IsClaiming() const { return mIsClaiming; }
  // Gives up the leadership and removes the leader key, so that another node can take over at once.
  void Resign(const char* aReason)
  {
    if (IsLeader()) {
      kv::ConditionalWrites writes;
      writes.mConditions = { Condition() };
      writes.mWrites.push_back({ std::string(kResignedKey), std::to_string(Token().Value()), {} });
      writes.mDeletes.emplace_back(kLeaderKey);
      mStore.Write(writes, [](std::error_code aError, const kv::WriteOutcome&) {
        if (aError) {
          // The key is removed when the lease ends.
          LogEvent("resignation_not_stored", LogLevel::Warning).With("reason", aError.message());
        }
      });
      EndLeadership(aReason);
    }
  }
  // Resigns and makes no claims for kClaimPause, so that another node can lead.
  void StandBack(const char* aReason)
  {
    mNextClaimAt = BootTime() + kClaimPause;
    Resign(aReason);
  }
  // Resigns and makes no further claims.
  void Withdraw()
  {
    mIsWithdrawn = true;
    Resign("shutdown");
  }

private:
  void OnList(const std::map<std::string, kv::Item>& aItems)
  {
    if (const auto last = aItems.find(std::string(kLastLeaderKey)); last != aItems.end()) {
      OnLastClaim(last->second.mValue, last->second.mRevision);
      OnLastClaimListed();
    }
    for (const auto key : { kResignedKey, kWitnessKey, kClosedGroupsKey }) {
      const auto it = aItems.find(std::string(key));
      OnRecord(it == aItems.end() ? kv::Item{ std::string(key), "", {} } : it->second);
    }
    const auto it = aItems.find(std::string(kLeaderKey));
    if (it == aItems.end()) {
      OnLeaderAbsent();
    } else {
      OnLeaderPresent(it->second.mValue, it->second.mRevision);
    }
  }

  void OnEvent(const kv::ItemEvent& aEvent)
  {
    if (aEvent.mKey == kLastLeaderKey) {
      OnLastClaim(aEvent.mValue.value_or(""), aEvent.mRevision);
      OnClaimSeen(ReadClaimRecord(aEvent.mValue.value_or(""), aEvent.mRevision));
    }
    OnRecord({ aEvent.mKey, aEvent.mValue.value_or(""), aEvent.mRevision });
    if (aEvent.mKey != kLeaderKey) {
      return;
    }
    if (aEvent.mValue) {
      OnLeaderPresent(*aEvent.mValue, aEvent.mRevision);
    } else if (aEvent.mRevision > mLeaderRevision) {
      OnLeaderAbsent();
    }
  }

  void OnLastClaim(const std::string& aValue, kv::Revision aRevision)
  {
    if (aRevision.Value() > mLastClaim.mToken.Value()) {
      mLastClaim = ReadClaimRecord(aValue, aRevision);
    }
  }

  // The latest claim is the last one according to the store.
  void OnLastClaimListed()
  {
    mHistory.OnListed(mLastClaim.mToken, BootTime());
    mHistory.OnLeaseTime(mLastClaim.mToken, mLastClaim.mLeaseTime);
  }

  // The claim follows those that this node knows of.
  void OnClaimSeen(const ClaimRecord& aClaim)
  {
    mHistory.OnClaim(aClaim.mToken, BootTime());
    mHistory.OnLeaseTime(aClaim.mToken, aClaim.mLeaseTime);
  }

  // Takes a record that claims are conditional on, if it is one.
  void OnRecord(const kv::Item& aItem)
  {
    if (aItem.mKey == kResignedKey && aItem.mRevision >= mResignedRevision) {
      mResignedRevision = aItem.mRevision;
      mResigned = ReadResignation(aItem.mValue);
    } else if (aItem.mKey == kWitnessKey && aItem.mRevision > mWitnesses.mRevision) {
      const auto witnesses = ReadWitnesses(aItem.mValue);
      mWitnesses = { witnesses.value_or(std::vector<Witness>()), aItem.mRevision, !witnesses };
    } else if (aItem.mKey == kClosedGroupsKey && aItem.mRevision > mClosedGroupsRevision) {
      OnClosedGroups(aItem);
    }
  }

  void OnClosedGroups(const kv::Item& aItem)
  {
    mClosedGroupsRevision = aItem.mRevision;
    const auto groups = ReadClosedGroups(aItem.mValue);
    if (!groups) {
      LogEvent("closed_groups_malformed", LogLevel::Error).With("key", aItem.mKey);
    }
    mClosedGroups = groups.value_or(std::set<scheduler::JobGroup>());
  }

  // Returns the token of the leadership that was resigned; 0 if the text names none.
  static FencingToken ReadResignation(const std::string& aText)
  {
    const auto json = ParseJson(aText);
    return FencingToken(json && json->is_number_integer() ? json->get<std::int64_t>() : 0);
  }

  void OnLeaderPresent(const std::string& aValue, kv::Revision aRevision)
  {
    mLeaderRevision = aRevision;
    mIsVacant = false;
    mAddress.reset();
    const auto json = ParseJson(aValue);
    const NodeId node(json ? JsonValue(*json, "node", std::string()) : std::string());
    const auto address = json ? SocketAddress::Parse(JsonValue(*json, "address", std::string()))
                              : std::optional<SocketAddress>();
    mHistory.OnClaim(FencingToken(aRevision.Value()), BootTime());
    const FencingToken previous(json ? JsonValue(*json, "previous", std::int64_t{ 0 }) : 0);
    mHistory.OnLeader(FencingToken(aRevision.Value()), node, address, previous);
    const bool isOwn = mToken && aRevision.Value() == mToken->Value();
    if (mToken && aRevision.Value() > mToken->Value()) {
      EndLeadership("another_leader");
    }
    if (!isOwn) {
      mAddress = address;
    }
    LogEvent("leader_changed").With("node", node).With("token", aRevision);
  }

  void OnLeaderAbsent()
  {
    mIsVacant = true;
    mAddress.reset();
    if (mToken) {
      EndLeadership("lease_ended");
    }
    ScheduleClaim();
  }

  void ScheduleClaim()
  {
    if (!mIsVacant || mIsClaiming || mToken || mIsWithdrawn) {
      return;
    }
    mIsClaiming = true;
    mClaimTimer = mLoop.After(ClaimDelay(), [this] { Claim(); });
  }

  Duration ClaimDelay()
  {
    const double delayMs =
      kClaimDelayPerCoreMs / mSettings.mCores + kClaimDelayPerMbpsMs / mSettings.mLinkMbps;
    const auto pause = std::max(mNextClaimAt - BootTime(), Duration(0));
    return pause + Duration(static_cast<std::int64_t>(delayMs)) +
           Duration(static_cast<std::int64_t>(mRandom.Below(kClaimJitter.count())));
  }

  void Claim()
  {
    if (!mIsVacant || mIsWithdrawn) {
      mIsClaiming = false;
      return;
    }
    mClaimSentAt = BootTime();
    const auto time = std::max(kLeadershipLease, mSettings.mMinStoreLease);
    mStore.GrantLease(time, mGuard.Wrap([this](auto aError, const auto& aLease) {
      OnLeaseGranted(aError, aLease);
    }));
  }

  void OnLeaseGranted(std::error_code aError, const kv::GrantedLease& aLease)
  {
    const bool isUsable = !aError && LeadershipLease::IsLongEnough(aLease.mTime);
    if (!isUsable) {
      // A lease that isn't used ends by itself.
      mIsClaiming = false;
      LogEvent("claim_not_made", LogLevel::Warning)
        .With("reason", aError ? aError.message() : "lease_too_short")
        .With("lease_ms", aLease.mTime);
      return;
    }
    mGranted = aLease;
    WriteClaim();
  }

  void WriteClaim()
  {
    kv::ConditionalWrites writes;
    writes.mConditions = { { std::string(kLeaderKey), kv::Revision() },
                           { std::string(kLastLeaderKey), kv::Revision(mLastClaim.mToken.Value()) },
                           { std::string(kResignedKey), mResignedRevision },
                           { std::string(kWitnessKey), mWitnesses.mRevision } };
    const auto claim = WriteClaimRecord(mSettings.mNode, mLastClaim, mGranted.mTime);
    writes.mWrites.push_back({ std::string(kLastLeaderKey), claim, {} });
    writes.mWrites.push_back({ std::string(kLeaderKey),
                               DumpJson({ { "node", mSettings.mNode.Value() },
                                          { "address", mSettings.mPeers.ToString() },
                                          { "previous", mLastClaim.mToken.Value() } }),
                               mGranted.mLease });
    mStore.Write(
      writes, mGuard.Wrap([this, claim](std::error_code aError, const kv::WriteOutcome& aOutcome) {
        OnClaimed(claim, aError, aOutcome);
      }));
  }

  // aClaim is what was written as the last claim.
  void
  OnClaimed(const std::string& aClaim, std::error_code aError, const kv::WriteOutcome& aOutcome)
  {
    mIsClaiming = false;
    if (aError) {
      // The claim may have been applied. Nobody renews its lease, so the key expires.
      return;
    }
    if (!aOutcome.mApplied) {
      OnClaimRefused(aOutcome.mPresent);
      return;
    }
    OnLastClaim(aClaim, aOutcome.mRevision);
    OnClaimSeen(mLastClaim);
    mToken = FencingToken(aOutcome.mRevision.Value());
    mLeaderRevision = aOutcome.mRevision;
    mIsVacant = false;
    mLease = LeadershipLease(mGranted.mTime, mClaimSentAt, BootTime());
    RenewPeriodically();
    LogEvent("elected").With("token", *mToken).With("lease_ms", mGranted.mTime);
    mCallbacks.mOnElected(*mToken);
  }

  void RenewPeriodically()
  {
    mRenewalPeriod = mLease.RenewalPeriod();
    mRenewalTimer = mLoop.Every(mRenewalPeriod, [this] { Renew(); });
  }

  void OnClaimRefused(const std::vector<kv::Item>& aPresent)
  {
    bool isHeld = false;
    for (const auto& it : aPresent) {
      isHeld = isHeld || it.mKey == kLeaderKey;
      OnRecord(it);
      if (it.mKey == kLastLeaderKey) {
        OnLastClaim(it.mValue, it.mRevision);
        OnLastClaimListed();
      }
    }
    if (!isHeld) {
      // Another leadership began and ended without an event reaching this node.
      ScheduleClaim();
    }
  }

  void Renew()
  {
    const auto now = BootTime();
    if (mLease.OnRenewalSent(now)) {
      LogEvent("leader_paused", LogLevel::Warning).With("token", Token());
    }
    const auto tolerance = mSettings.mScheduler.mStoreOutageTolerance;
    if (mLease.ConfirmationAge(now) > tolerance - kLeadershipRenewal) {
      EndLeadership("store_unreachable");
      return;
    }
    mStore.RenewLease(mGranted.mLease,
                      mGuard.Wrap([this, now, token = mToken](auto aError, const auto& aTime) {
                        if (mToken == token) {
                          OnRenewed(aError, aTime, now);
                        }
                      }));
  }

  // aTime is the time that the store says applies from now on, if it says one.
  void OnRenewed(std::error_code aError, const std::optional<Duration>& aTime, Duration aSent)
  {
    if (aError == kv::KvError::LeaseEnded) {
      EndLeadership("lease_ended");
      return;
    }
    if (aError) {
      mLease.OnFailed(aSent);
      return;
    }
    if (aTime && !LeadershipLease::IsLongEnough(*aTime)) {
      StandBack("lease_too_short");
      return;
    }
    mLease.OnConfirmed(aSent, aTime);
    if (mLease.RenewalPeriod() != mRenewalPeriod) {
      LogEvent("leadership_lease_changed", LogLevel::Warning)
        .With("token", Token())
        .With("lease_ms", aTime.value_or(Duration(0)));
      RenewPeriodically();
    }
  }

  void EndLeadership(const char* aReason)
  {
    LogEvent("leadership_lost", LogLevel::Warning).With("token", Token()).With("reason", aReason);
    mToken.reset();
    mRenewalTimer.Cancel();
    mCallbacks.mOnLost(aReason);
  }

  EventLoop& mLoop;
  Store& mStore;
  Random& mRandom;
  const ControlSettings& mSettings;
  ElectionCallbacks mCallbacks;
  std::optional<PrefixWatch<Store>> mWatch;
  std::optional<FencingToken> mToken;
  // The store's lease of the present claim, and what follows from it while this node leads.
  kv::GrantedLease mGranted;
  LeadershipLease mLease;
  Duration mRenewalPeriod{ 0 };
  // The last seen revision of the leader key.
  kv::Revision mLeaderRevision;
  std::optional<SocketAddress> mAddress;
  // The latest claim that this node knows of.
  ClaimRecord mLastClaim;
  // The last leadership that ended by a resignation, and the revision of its record.
  FencingToken mResigned;
  kv::Revision mResignedRevision;
  WitnessRecord mWitnesses;
  std::set<scheduler::JobGroup> mClosedGroups;
  kv::Revision mClosedGroupsRevision;
  LeaderHistory mHistory;
  bool mIsVacant = false;
  bool mIsClaiming = false;
  bool mIsWithdrawn = false;
  // When the lease of the present claim was asked for, as BootTime().
  Duration mClaimSentAt{ 0 };
  // No claim is made before this BootTime().
  Duration mNextClaimAt{ 0 };
  Timer mRenewalTimer;
  Timer mClaimTimer;
  CallbackGuard mGuard;
};

} // namespace lovagerock::control
