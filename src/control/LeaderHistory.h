#pragma once

#include "base/Ids.h"
#include "base/SocketAddress.h"
#include "base/Units.h"
#include "kv/PrefixStore.h"

#include <optional>
#include <vector>

namespace lovagerock::control {

// Identifies a leadership. Orders to workers carry it; a worker refuses orders with a lower token
// than the highest it has seen.
using FencingToken = StrongCount<struct FencingTokenTag>;

// A leadership that another node, or an earlier process of this one, may hold or have held.
struct FormerLeader
{
  FencingToken mToken;
  // Empty, and the address unset, if this node hasn't seen the leader's key.
  NodeId mNode;
  std::optional<SocketAddress> mAddress;
  // The leadership before it, as its claim says; 0 if that isn't known.
  FencingToken mPredecessor;
  // When this node first saw the claim, as BootTime(). The leadership had begun by then.
  Duration mSeenAt{ 0 };
  // The time of its lease in the store, as its claim says; 0 if that isn't known.
  Duration mLeaseTime{ 0 };
  // Whether it is known to have resigned. It may have been confirmed until the next claim then.
  bool mHasResigned = false;
};

// The latest leaderships that this node has seen, without a gap.
class LeaderHistory
{
public:
  // The store lists this as the last claim. There may have been others before it since this node
  // last heard of a claim.
  void OnListed(FencingToken aLast, Duration aNow);
  // The leadership was claimed after all that are known.
  void OnClaim(FencingToken aToken, Duration aNow);
  // The leader's key says who holds the leadership, and which one was the last before it.
  void OnLeader(FencingToken aToken, const NodeId& aNode,
                const std::optional<SocketAddress>& aAddress, FencingToken aPredecessor);
  // The claim names the time of the leadership's lease in the store.
  void OnLeaseTime(FencingToken aToken, Duration aTime);
  // Returns the leaderships before the given one, oldest first. No other one began between them.
  std::vector<FormerLeader> Before(FencingToken aToken) const;

private:
  std::vector<FormerLeader> mLeaders;
};

// For how long leaders keep workers' leases alive, on the clock of this process.
struct LeaseBounds
{
  // A leader renews leases until this time after the last confirmation of its leadership.
  Duration mOutageTolerance;
  // A lease ends at most this long after the last confirmation before its renewal, or ...
  Duration mLease;
  // ... this long after a renewal on the answers of witnesses; see LeaderWitnesses.
  Duration mWitnessedLease;
};

// A leadership that begins.
struct NewLeadership
{
  FencingToken mToken;
  // When it had begun at the latest.
  Duration mElectedAt{ 0 };
  // ClaimRecord::mBoundsLeasesSince of its claim. Earlier leaders may have renewed leases for
  // mLease at any time until mOutageTolerance after their successor's claim.
  FencingToken mBoundsLeasesSince;
};

// Bounds the leases of workers that earlier leaders have renewed, by what is known of the ends of
// their leaderships. All times are BootTime().
class EarlierLeases
{
public:
  // aLeaders are the leaderships before the present one, as LeaderHistory::Before() returns them.
  EarlierLeases(std::vector<FormerLeader> aLeaders, const NewLeadership& aPresent,
                const LeaseBounds& aBounds);

  // The leader sends nothing any more since aEndedAt at the latest. Leases that leaders before it
  // have renewed end by aEarlierUntil, as it told.
  void OnEnded(FencingToken aToken, Duration aEndedAt, Duration aEarlierUntil);
  // More than half of the witnesses of the record with that revision have answered the present
  // leader, so they refuse the calls of the leaders before it.
  void OnWitnessesAnswered(kv::Revision aRecord, Duration aNow);
  // The store says that leases which leaders before that one have renewed don't matter any more.
  void OnSettled(FencingToken aToken);
  // Returns how long leases may last that earlier leaders have renewed, or may still renew.
  Duration Remaining(Duration aNow) const;
  // Returns the leaders that may still act, as far as is known.
  std::vector<FormerLeader> Active(Duration aNow) const;

private:
  struct Entry
  {
    FormerLeader mLeader;
    // The leadership after it, and when that had begun at the latest.
    FencingToken mSuccessor;
    Duration mSuccessorAt{ 0 };
    // The latest time at which the leader may act.
    Duration mActsUntil{ 0 };
    // The same regarding renewals on the answers of witnesses.
    Duration mMayExtendUntil{ 0 };
    // When the leader is known to have ended, if it is.
    std::optional<Duration> mEndedAt;
    // When the last lease ends that leaders before it have renewed, if it told.
    std::optional<Duration> mEarlierUntil;
  };

  // Whether the leader renews leases as mBounds says.
  bool IsBounded(FencingToken aLeader) const;
  // Returns the last time at which the store may have confirmed the leader, which has a successor
  // since aSuccessorAt.
  static Duration ConfirmedUntil(const FormerLeader& aLeader, Duration aSuccessorAt);
  // Returns when the last lease ends that the leader may have renewed.
  Duration LeasesUntil(const Entry& aEntry) const;
  // The same of all leaders before one that was seen at that time.
  Duration LeasesUntilBefore(const FormerLeader& aFirst) const;

  LeaseBounds mBounds;
  FencingToken mBoundsLeasesSince;
  std::vector<Entry> mEntries;
  // When the last lease ends that was renewed by leaders before those.
  Duration mUnknownUntil{ 0 };
};

} // namespace lovagerock::control
