#pragma once

#include "base/Ids.h"
#include "base/SocketAddress.h"
#include "base/Units.h"

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
  // Returns the leaderships before the given one, oldest first. No other one began between them.
  std::vector<FormerLeader> Before(FencingToken aToken) const;

private:
  std::vector<FormerLeader> mLeaders;
};

// Bounds the leases of workers that earlier leaders have renewed, by what is known of the ends of
// their leaderships. All times are BootTime().
class EarlierLeases
{
public:
  // aLeaders are the leaderships before the present one, as LeaderHistory::Before() returns them.
  // A leader may act for aOutageTolerance after its successor's election; a lease lasts for aLease
  // after its last renewal.
  EarlierLeases(std::vector<FormerLeader> aLeaders, Duration aElectedAt, Duration aOutageTolerance,
                Duration aLease);

  // The leader sends nothing any more since aEndedAt at the latest. Leases that leaders before it
  // have renewed end by aEarlierUntil, as it told.
  void OnEnded(FencingToken aToken, Duration aEndedAt, Duration aEarlierUntil);
  // Returns how long leases may last that earlier leaders have renewed, or may still renew.
  Duration Remaining(Duration aNow) const;
  // Returns the leaders that may still act, as far as is known.
  std::vector<FormerLeader> Active(Duration aNow) const;

private:
  struct Entry
  {
    FormerLeader mLeader;
    // The latest time at which the leader may act.
    Duration mActsUntil{ 0 };
    // When the last lease ends that leaders before it have renewed, if it told.
    std::optional<Duration> mEarlierUntil;
  };

  std::vector<Entry> mEntries;
  // When the last lease ends that was renewed by leaders before those.
  Duration mUnknownUntil;
  Duration mLease;
};

} // namespace lovagerock::control
