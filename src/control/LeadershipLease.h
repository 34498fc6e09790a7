#pragma once

#include "base/Units.h"
#include "control/ControlSettings.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace lovagerock::control {

// What a leader may conclude from its lease in the store: until when no other node can be elected,
// and whether this process has stood still for so long that one may have been. The store says for
// which time it applies the lease, and that may be another one than was asked for. All times are
// BootTime().
class LeadershipLease
{
public:
  // Whether a lease of that time leaves enough time to renew it and to send orders.
  static bool IsLongEnough(Duration aTime) { return aTime >= kMinLeadershipLease; }

  LeadershipLease() = default;
  // aTime is what the store applies, from the arrival of a call that was sent at aSent. The
  // leader's claim names it, and successors conclude from it when the leader was confirmed for the
  // last time.
  LeadershipLease(Duration aTime, Duration aSent, Duration aNow)
    : mClaimedTime(aTime)
    , mAppliedTime(aTime)
    , mLastRenewedAt(aSent)
    , mConfirmedAt(aSent)
    , mCheckedAt(aSent)
    , mRenewalSentAt(aNow)
  {
  }

  // How often the lease is to be renewed: several times within its time.
  Duration RenewalPeriod() const
  {
    const auto time = std::min(mAppliedTime, kLeadershipLease);
    return kLeadershipRenewal * time.count() / kLeadershipLease.count();
  }

  // The time since the store last confirmed the leadership. No other node is elected before it is
  // the time that the claim names, unless this one resigns.
  Duration ConfirmationAge(Duration aNow) const { return aNow - mConfirmedAt; }

  // Whether the store has confirmed the leadership so recently that no other node can be elected
  // before an order that is sent now arrives.
  bool IsConfirmed(Duration aNow) const
  {
    return !mHasPaused && ConfirmationAge(aNow) < mClaimedTime - kOrderTime;
  }

  // Whether the leader may act: within the lease's time, the store has confirmed a renewal, or
  // failed it without telling that the lease has ended, and this process hasn't stood still since.
  bool MayAct(Duration aNow) const { return !mHasPaused && aNow - mCheckedAt < mAppliedTime; }

  // A renewal is sent. Returns whether none was sent for so long that the lease may have ended:
  // then this process or its VM has stood still, and nothing counts but a renewal that is sent from
  // now on and confirmed.
  bool OnRenewalSent(Duration aNow)
  {
    const bool hasPaused =
      aNow - std::exchange(mRenewalSentAt, aNow) > mAppliedTime - RenewalPeriod();
    if (hasPaused) {
      mHasPaused = true;
      mPauseNoticedAt = aNow;
    }
    return hasPaused;
  }

  // The store has confirmed a renewal that was sent at aSent. aApplied is the time that it says
  // applies from then on; unset if it doesn't say, and the time is the same as before.
  void OnConfirmed(Duration aSent, std::optional<Duration> aApplied)
  {
    mCheckedAt = std::max(mCheckedAt, aSent);
    mHasPaused = mHasPaused && aSent < mPauseNoticedAt;
    if (aSent < mLastRenewedAt) {
      return;
    }
    mLastRenewedAt = aSent;
    mAppliedTime = aApplied.value_or(mAppliedTime);
    // Successors suppose that the lease lasts for the time that the claim names. If it is shorter
    // now, it ends when one would that was confirmed earlier, perhaps before it would have ended
    // without the renewal.
    mConfirmedAt = aSent - std::max(mClaimedTime - mAppliedTime, Duration(0));
  }

  // A renewal that was sent at aSent has failed, and the store didn't say that the lease has ended.
  void OnFailed(Duration aSent) { mCheckedAt = std::max(mCheckedAt, aSent); }

private:
  // Less than this leaves no time for a second renewal if the first one fails.
  static constexpr Duration kMinLeadershipLease = 5 * kOrderTime;

  Duration mClaimedTime{ 0 };
  // What the store has said last.
  Duration mAppliedTime{ 0 };
  // The send time of the last renewal that was confirmed, and the time that counts for it.
  Duration mLastRenewedAt{ 0 };
  Duration mConfirmedAt{ 0 };
  // The send time of the last renewal that was confirmed, or that failed without an end.
  Duration mCheckedAt{ 0 };
  Duration mRenewalSentAt{ 0 };
  Duration mPauseNoticedAt{ 0 };
  bool mHasPaused = false;
};

} // namespace lovagerock::control
