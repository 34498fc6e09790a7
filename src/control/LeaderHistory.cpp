#include "control/LeaderHistory.h"

#include "control/ControlSettings.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace lovagerock::control {

namespace {

// The most leaderships that are kept.
constexpr std::size_t kMaxLeaders = 32;

} // namespace

void
LeaderHistory::OnListed(FencingToken aLast, Duration aNow)
{
  if (!mLeaders.empty() && mLeaders.back().mToken != aLast) {
    mLeaders.clear();
  }
  OnClaim(aLast, aNow);
}

void
LeaderHistory::OnClaim(FencingToken aToken, Duration aNow)
{
  if (!mLeaders.empty() && aToken <= mLeaders.back().mToken) {
    return;
  }
  mLeaders.push_back({ aToken, NodeId(), std::nullopt, FencingToken(), aNow, Duration(0), false });
  if (mLeaders.size() > kMaxLeaders) {
    mLeaders.erase(mLeaders.begin());
  }
}

void
LeaderHistory::OnLeader(FencingToken aToken, const NodeId& aNode,
                        const std::optional<SocketAddress>& aAddress, FencingToken aPredecessor)
{
  for (auto& it : mLeaders) {
    if (it.mToken == aToken) {
      it.mNode = aNode;
      it.mAddress = aAddress;
      it.mPredecessor = aPredecessor;
    }
  }
}

void
LeaderHistory::OnLeaseTime(FencingToken aToken, Duration aTime)
{
  for (auto& it : mLeaders) {
    if (it.mToken == aToken) {
      it.mLeaseTime = aTime;
    }
  }
}

std::vector<FormerLeader>
LeaderHistory::Before(FencingToken aToken) const
{
  std::vector<FormerLeader> before;
  for (const auto& it : mLeaders) {
    if (it.mToken >= aToken) {
      break;
    }
    if (!before.empty() && it.mPredecessor != before.back().mToken) {
      // This node has missed claims between the two, or doesn't know.
      before.clear();
    }
    before.push_back(it);
  }
  return before;
}

EarlierLeases::EarlierLeases(std::vector<FormerLeader> aLeaders, const NewLeadership& aPresent,
                             const LeaseBounds& aBounds)
  : mBounds(aBounds)
  , mBoundsLeasesSince(aPresent.mBoundsLeasesSince)
{
  const FormerLeader present{ aPresent.mToken, {}, {}, {}, aPresent.mElectedAt, {}, false };
  mUnknownUntil = LeasesUntilBefore(aLeaders.empty() ? present : aLeaders.front());
  for (std::size_t i = 0; i < aLeaders.size(); ++i) {
    const auto& next = i + 1 < aLeaders.size() ? aLeaders[i + 1] : present;
    Entry entry{ aLeaders[i], next.mToken, next.mSeenAt, {}, {}, {}, {} };
    const bool isBounded = IsBounded(entry.mLeader.mToken);
    const bool hasResigned = entry.mLeader.mHasResigned;
    const auto confirmedUntil =
      isBounded ? ConfirmedUntil(entry.mLeader, next.mSeenAt) : next.mSeenAt;
    entry.mActsUntil =
      confirmedUntil + (isBounded && hasResigned ? Duration(0) : mBounds.mOutageTolerance);
    entry.mMayExtendUntil = entry.mActsUntil;
    mEntries.push_back(std::move(entry));
  }
}

void
EarlierLeases::OnEnded(FencingToken aToken, Duration aEndedAt, Duration aEarlierUntil)
{
  for (auto& it : mEntries) {
    if (it.mLeader.mToken == aToken) {
      it.mActsUntil = std::min(it.mActsUntil, aEndedAt);
      it.mEndedAt = std::min(it.mEndedAt.value_or(aEndedAt), aEndedAt);
      it.mEarlierUntil = std::min(it.mEarlierUntil.value_or(Duration::max()), aEarlierUntil);
    }
  }
}

void
EarlierLeases::OnWitnessesAnswered(kv::Revision aRecord, Duration aNow)
{
  for (auto& it : mEntries) {
    // A record that was written later may name other witnesses than the leader had.
    if (aRecord.Value() < it.mSuccessor.Value()) {
      it.mMayExtendUntil = std::min(it.mMayExtendUntil, aNow + kWitnessAnswerAge);
    }
  }
}

void
EarlierLeases::OnSettled(FencingToken aToken)
{
  if (!mEntries.empty() && aToken >= mEntries.front().mLeader.mToken) {
    mUnknownUntil = Duration(0);
  }
}

Duration
EarlierLeases::Remaining(Duration aNow) const
{
  auto until = mUnknownUntil;
  for (const auto& it : mEntries) {
    until = std::min(until, it.mEarlierUntil.value_or(until));
    until = std::max(until, LeasesUntil(it));
  }
  return std::max(until - aNow, Duration(0));
}

std::vector<FormerLeader>
EarlierLeases::Active(Duration aNow) const
{
  std::vector<FormerLeader> active;
  for (const auto& it : mEntries) {
    if (it.mActsUntil > aNow) {
      active.push_back(it.mLeader);
    }
  }
  return active;
}

bool
EarlierLeases::IsBounded(FencingToken aLeader) const
{
  return mBoundsLeasesSince.Value() > 0 && aLeader >= mBoundsLeasesSince;
}

Duration
EarlierLeases::ConfirmedUntil(const FormerLeader& aLeader, Duration aSuccessorAt)
{
  // The store lets the lease of one that doesn't resign run out before the next claim. If its time
  // isn't known, it may be shorter than any that this node could suppose.
  return aLeader.mHasResigned ? aSuccessorAt : aSuccessorAt - aLeader.mLeaseTime;
}

Duration
EarlierLeases::LeasesUntil(const Entry& aEntry) const
{
  const auto oneLeaseAfterItsEnd =
    aEntry.mEndedAt ? *aEntry.mEndedAt + mBounds.mLease : Duration::max();
  if (!IsBounded(aEntry.mLeader.mToken)) {
    return std::min(aEntry.mActsUntil + mBounds.mLease, oneLeaseAfterItsEnd);
  }
  const auto confirmed = ConfirmedUntil(aEntry.mLeader, aEntry.mSuccessorAt) + mBounds.mLease;
  const auto extended = aEntry.mMayExtendUntil + mBounds.mWitnessedLease;
  return std::min(std::max(confirmed, extended), oneLeaseAfterItsEnd);
}

Duration
EarlierLeases::LeasesUntilBefore(const FormerLeader& aFirst) const
{
  // An earlier one than the first of the row may be among them.
  return aFirst.mSeenAt + mBounds.mOutageTolerance + mBounds.mLease;
}

} // namespace lovagerock::control
