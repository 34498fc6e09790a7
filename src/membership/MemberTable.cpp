#include "membership/MemberTable.h"

#include "base/LogEvent.h"

#include <utility>

namespace lovagerock::membership {

MemberTable::MemberTable(Member aSelf, const MembershipSettings& aSettings, TimePoint aNow)
  : mSelf(std::move(aSelf))
  , mSettings(aSettings)
  , mLastAdvance(aNow)
  , mUnconfirmedSince(aNow)
{
}

void
MemberTable::RecordHeartbeat(const Member& aMember, TimePoint aNow)
{
  if (aMember.mNode == mSelf.mNode) {
    return;
  }
  auto [it, isNew] = mKnownMembers.try_emplace(aMember.mNode, KnownMember{ aMember, aNow });
  auto& known = it->second;
  if (aMember.mIncarnation < known.mMember.mIncarnation) {
    return;
  }
  // Heartbeats may arrive out of order, and a leaving node takes new work again only after a
  // restart, so a late heartbeat doesn't reset the leaving state.
  const bool leaving =
    !isNew && known.mMember.mLeaving && aMember.mIncarnation == known.mMember.mIncarnation;
  if (isNew || aMember.mIncarnation > known.mMember.mIncarnation) {
    LogEvent("member_joined")
      .With("member", aMember.mNode)
      .With("incarnation", aMember.mIncarnation)
      .With("address", aMember.mAddress.ToString());
  }
  known = { aMember, aNow };
  known.mMember.mLeaving = aMember.mLeaving || leaving;
  // A newer node on the same address has replaced the older one.
  std::erase_if(mKnownMembers, [&aMember](const auto& aEntry) {
    const auto& other = aEntry.second.mMember;
    return other.mNode != aMember.mNode && other.mAddress == aMember.mAddress &&
           other.mIncarnation < aMember.mIncarnation;
  });
}

void
MemberTable::RecordAnswer(const Member& aMember, TimePoint aSent, TimePoint aNow)
{
  RecordHeartbeat(aMember, aNow);
  if (aMember.mNode != mSelf.mNode && aSent >= mUnconfirmedSince) {
    mViewUnconfirmed = false;
    mStarting = false;
  }
}

void
MemberTable::SetVmList(const std::vector<Vm>& aVms, TimePoint aNow)
{
  Advance(aNow);
  mListedAddresses.clear();
  for (const auto& it : aVms) {
    if (it.mRole == Vm::Role::Entry && it.mAddress != mSelf.mAddress) {
      mListedAddresses.insert(it.mAddress);
    }
  }
  // Without any other node, nobody can answer.
  if (mListedAddresses.empty() && mKnownMembers.empty()) {
    mViewUnconfirmed = false;
    mStarting = false;
  }
}

void
MemberTable::Advance(TimePoint aNow)
{
  if (aNow - mLastAdvance > mSettings.mLiveTimeout) {
    LogEvent("resumed_after_pause", LogLevel::Warning)
      .With("pause_ms", std::chrono::duration_cast<Duration>(aNow - mLastAdvance));
    mViewUnconfirmed = true;
    mStarting = false;
    mUnconfirmedSince = aNow;
  }
  mLastAdvance = aNow;
  // A node that starts while all others are down must still become able to work.
  if (mStarting && aNow - mUnconfirmedSince > mSettings.mLiveTimeout) {
    mViewUnconfirmed = false;
    mStarting = false;
  }
  std::erase_if(mKnownMembers, [&](const auto& aEntry) {
    return aNow - aEntry.second.mLastHeard > mSettings.mKnownTimeout;
  });
}

MemberState
MemberTable::StateOf(const KnownMember& aKnownMember, TimePoint aNow) const
{
  if (aNow - aKnownMember.mLastHeard > mSettings.mLiveTimeout) {
    return MemberState::Suspected;
  }
  return aKnownMember.mMember.mLeaving ? MemberState::Leaving : MemberState::Live;
}

std::vector<MemberView>
MemberTable::Members(TimePoint aNow) const
{
  std::map<NodeId, MemberView> views;
  views[mSelf.mNode] = { mSelf, mSelf.mLeaving ? MemberState::Leaving : MemberState::Live };
  for (const auto& [node, known] : mKnownMembers) {
    views[node] = { known.mMember, StateOf(known, aNow) };
  }
  std::vector<MemberView> members;
  members.reserve(views.size());
  for (auto& it : views) {
    members.push_back(std::move(it.second));
  }
  return members;
}

std::size_t
MemberTable::KnownCount() const
{
  return HeartbeatTargets().size() + 1;
}

std::vector<NodeId>
MemberTable::LiveNodes(const RegionId& aRegion, TimePoint aNow) const
{
  std::vector<NodeId> nodes;
  for (const auto& it : Members(aNow)) {
    if (it.mState == MemberState::Live && (aRegion.IsEmpty() || it.mMember.mRegion == aRegion)) {
      nodes.push_back(it.mMember.mNode);
    }
  }
  return nodes;
}

std::set<SocketAddress>
MemberTable::HeartbeatTargets() const
{
  auto targets = mListedAddresses;
  for (const auto& it : mKnownMembers) {
    targets.insert(it.second.mMember.mAddress);
  }
  return targets;
}

} // namespace lovagerock::membership
