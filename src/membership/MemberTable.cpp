#include "membership/MemberTable.h"

#include "base/LogEvent.h"

#include <utility>

namespace lovagerock::membership {

MemberTable::MemberTable(Member aSelf, const MembershipSettings& aSettings, TimePoint aNow)
  : mSelf(std::move(aSelf))
  , mSettings(aSettings)
  , mLastAdvance(aNow)
  , mUnsureSince(aNow)
{
}

void
MemberTable::Hear(const Member& aMember, TimePoint aNow)
{
  if (aMember.mNode == mSelf.mNode) {
    return;
  }
  auto [it, isNew] = mHeard.try_emplace(aMember.mNode, Heard{ aMember, aNow });
  auto& heard = it->second;
  if (aMember.mIncarnation < heard.mMember.mIncarnation) {
    return;
  }
  // Heartbeats may arrive out of order, and a node that is leaving does not come back without a
  // restart.
  const bool leaving =
    !isNew && heard.mMember.mLeaving && aMember.mIncarnation == heard.mMember.mIncarnation;
  if (isNew || aMember.mIncarnation > heard.mMember.mIncarnation) {
    LogEvent("member_joined")
      .With("member", aMember.mNode)
      .With("incarnation", aMember.mIncarnation)
      .With("address", aMember.mAddress.ToString());
  }
  heard = { aMember, aNow };
  heard.mMember.mLeaving = aMember.mLeaving || leaving;
  // A node that took over the address of another has replaced it.
  std::erase_if(mHeard, [&aMember](const auto& aEntry) {
    const auto& other = aEntry.second.mMember;
    return other.mNode != aMember.mNode && other.mAddress == aMember.mAddress &&
           other.mIncarnation < aMember.mIncarnation;
  });
}

void
MemberTable::HearAnswer(const Member& aMember, TimePoint aSent, TimePoint aNow)
{
  Hear(aMember, aNow);
  if (aMember.mNode != mSelf.mNode && aSent >= mUnsureSince) {
    mUnsure = false;
    mStarting = false;
  }
}

void
MemberTable::SetVmList(const std::vector<Vm>& aVms, TimePoint aNow)
{
  Advance(aNow);
  mListed.clear();
  for (const auto& it : aVms) {
    if (it.mRole == Vm::Role::Entry && it.mAddress != mSelf.mAddress) {
      mListed.insert(it.mAddress);
    }
  }
  // The only node there is has nobody to hear.
  if (mListed.empty() && mHeard.empty()) {
    mUnsure = false;
    mStarting = false;
  }
}

void
MemberTable::Advance(TimePoint aNow)
{
  if (aNow - mLastAdvance > mSettings.mLiveTimeout) {
    LogEvent("resumed_after_pause", LogLevel::Warning)
      .With("pause_ms", std::chrono::duration_cast<Duration>(aNow - mLastAdvance));
    mUnsure = true;
    mStarting = false;
    mUnsureSince = aNow;
  }
  mLastAdvance = aNow;
  // A node that starts while all others are down must be able to work.
  if (mStarting && aNow - mUnsureSince > mSettings.mLiveTimeout) {
    mUnsure = false;
    mStarting = false;
  }
  std::erase_if(
    mHeard, [&](const auto& aEntry) { return aNow - aEntry.second.mAt > mSettings.mKnownTimeout; });
}

MemberState
MemberTable::StateOf(const Heard& aHeard, TimePoint aNow) const
{
  if (aNow - aHeard.mAt > mSettings.mLiveTimeout) {
    return MemberState::Suspected;
  }
  return aHeard.mMember.mLeaving ? MemberState::Leaving : MemberState::Live;
}

std::vector<MemberView>
MemberTable::Members(TimePoint aNow) const
{
  std::map<NodeId, MemberView> views;
  views[mSelf.mNode] = { mSelf, mSelf.mLeaving ? MemberState::Leaving : MemberState::Live };
  for (const auto& [node, heard] : mHeard) {
    views[node] = { heard.mMember, StateOf(heard, aNow) };
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
  auto targets = mListed;
  for (const auto& it : mHeard) {
    targets.insert(it.second.mMember.mAddress);
  }
  return targets;
}

} // namespace lovagerock::membership
