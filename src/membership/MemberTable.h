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
  // A member is live while it was heard within this time. A node that did not run for longer is
  // unsure.
  Duration mLiveTimeout{ 3000 };
  // A member stays known for this time after it was last heard.
  Duration mKnownTimeout{ 60000 };
};

// The members as this node sees them, without any transport. All times are given by the caller
// and never go back.
class MemberTable
{
public:
  MemberTable(Member aSelf, const MembershipSettings& aSettings, TimePoint aNow);

  // Notes a heartbeat or an answer to one. Those of an older incarnation are ignored.
  void Hear(const Member& aMember, TimePoint aNow);
  // Notes the answer to a heartbeat that was sent at the given time.
  void HearAnswer(const Member& aMember, TimePoint aSent, TimePoint aNow);
  // Takes over a newly read VM list.
  void SetVmList(const std::vector<Vm>& aVms, TimePoint aNow);
  void SetLeaving() { mSelf.mLeaving = true; }
  // Forgets members that are no longer known and notices a pause of this node. Must be called
  // before each use of the table and at least each heartbeat period.
  void Advance(TimePoint aNow);

  const Member& Self() const { return mSelf; }
  // Whether this node does not know if others took it for dead: after its start and after a pause,
  // until a member answers a heartbeat sent since then.
  bool IsUnsure() const { return mUnsure; }
  // All members that were heard and are still known, this node included, by id.
  std::vector<MemberView> Members(TimePoint aNow) const;
  // Number of known nodes: in the VM list or heard within the known timeout, this node included.
  std::size_t KnownCount() const;
  // Ids of the live members, this node included, that take new work; of all regions if empty.
  std::vector<NodeId> LiveNodes(const RegionId& aRegion, TimePoint aNow) const;
  // Where heartbeats go: all known nodes but this one.
  std::set<SocketAddress> HeartbeatTargets() const;

private:
  struct Heard
  {
    Member mMember;
    TimePoint mAt;
  };

  MemberState StateOf(const Heard& aHeard, TimePoint aNow) const;

  Member mSelf;
  MembershipSettings mSettings;
  std::map<NodeId, Heard> mHeard;
  // Peer addresses of entry nodes in the VM list, without this node's.
  std::set<SocketAddress> mListed;
  TimePoint mLastAdvance;
  // Answers to heartbeats sent before this time don't end the doubt: they may have waited in a
  // socket during the pause.
  TimePoint mUnsureSince;
  bool mUnsure = true;
  bool mStarting = true;
};

} // namespace lovagerock::membership
