#include "control/LeaderHistory.h"

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
  mLeaders.push_back({ aToken, NodeId(), std::nullopt, FencingToken(), aNow });
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

EarlierLeases::EarlierLeases(std::vector<FormerLeader> aLeaders, Duration aElectedAt,
                             Duration aOutageTolerance, Duration aLease)
  : mUnknownUntil((aLeaders.empty() ? aElectedAt : aLeaders.front().mSeenAt) + aOutageTolerance +
                  aLease)
  , mLease(aLease)
{
  for (std::size_t i = 0; i < aLeaders.size(); ++i) {
    const auto successor = i + 1 < aLeaders.size() ? aLeaders[i + 1].mSeenAt : aElectedAt;
    mEntries.push_back({ std::move(aLeaders[i]), successor + aOutageTolerance, std::nullopt });
  }
}

void
EarlierLeases::OnEnded(FencingToken aToken, Duration aEndedAt, Duration aEarlierUntil)
{
  for (auto& it : mEntries) {
    if (it.mLeader.mToken == aToken) {
      it.mActsUntil = std::min(it.mActsUntil, aEndedAt);
      it.mEarlierUntil = std::min(it.mEarlierUntil.value_or(Duration::max()), aEarlierUntil);
    }
  }
}

Duration
EarlierLeases::Remaining(Duration aNow) const
{
  auto until = mUnknownUntil;
  for (const auto& it : mEntries) {
    until = std::min(until, it.mEarlierUntil.value_or(until));
    until = std::max(until, it.mActsUntil + mLease);
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

} // namespace lovagerock::control
