#pragma once

#include "base/Ids.h"
#include "base/SocketAddress.h"
#include "base/Units.h"
#include "membership/Member.h"
#include "membership/VmList.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace lovagerock::membership {

// Time limits of the membership.
struct MembershipSettings
{
  Duration mHeartbeatPeriod{ 1000 };
  // A member is live if a message from it arrived within this time. A node that was paused for
  // longer treats its own view as unconfirmed.
  Duration mLiveTimeout{ 3000 };
  // A member is removed when no message from it has arrived for this time.
  Duration mKnownTimeout{ 60000 };
};

// The members as this node sees them. Does no I/O. Callers pass the current time, which must never
// decrease.
class MemberTable
{
public:
  MemberTable(Member aSelf, const MembershipSettings& aSettings, TimePoint aNow);

  // Records a heartbeat, or an answer to one. Ignores those of an older incarnation of the node.
  void RecordHeartbeat(const Member& aMember, TimePoint aNow);
  // Records the answer to a heartbeat that this node sent at aSent.
  void RecordAnswer(const Member& aMember, TimePoint aSent, TimePoint aNow);
  // Replaces the addresses of listed entry nodes by those of a newly read VM list.
  void SetVmList(const std::vector<Vm>& aVms, TimePoint aNow);
  void SetLeaving() { mSelf.mLeaving = true; }
  // Removes members whose known timeout has expired, and detects a pause of this node. Must be
  // called before each use of the table and at least once per heartbeat period.
  void Advance(TimePoint aNow);

  const Member& Self() const { return mSelf; }
  // Whether the other nodes may have taken this node for dead: after its start and after a pause,
  // until a member answers a heartbeat that was sent since then. After its start, a node that finds
  // no other node in the VM list, or gets no answer within the live timeout, is confirmed as well.
  bool IsViewUnconfirmed() const { return mViewUnconfirmed; }
  // All known members, this node included, ordered by id.
  std::vector<MemberView> Members(TimePoint aNow) const;
  // Number of known nodes, this node included: those in the VM list and the known members.
  std::size_t KnownCount() const;
  // Ids of the live members of a region, this node included unless it is leaving; of all regions if
  // aRegion is empty.
  std::vector<NodeId> LiveNodes(const RegionId& aRegion, TimePoint aNow) const;
  // Addresses of all known nodes but this one, which heartbeats are sent to.
  std::set<SocketAddress> HeartbeatTargets() const;

private:
  struct KnownMember
  {
    Member mMember;
    TimePoint mLastHeard;
  };

  MemberState StateOf(const KnownMember& aKnownMember, TimePoint aNow) const;

  Member mSelf;
  MembershipSettings mSettings;
  std::map<NodeId, KnownMember> mKnownMembers;
  // Peer addresses of the entry nodes in the VM list, except this node's.
  std::set<SocketAddress> mListedAddresses;
  TimePoint mLastAdvance;
  // When this node started or resumed. Answers to heartbeats sent before this time don't confirm
  // the view: they may have waited in a socket during the pause.
  TimePoint mUnconfirmedSince;
  bool mViewUnconfirmed = true;
  // True from the start until the view is first confirmed or a pause is detected.
  bool mStarting = true;
};

} // namespace lovagerock::membership
