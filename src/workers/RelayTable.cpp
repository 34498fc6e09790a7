#include "workers/RelayTable.h"

#include <algorithm>
#include <string>
#include <utility>

namespace lovagerock::workers {

namespace detail {
namespace {

std::optional<RelayedChange>
ReadChange(const Json& aJson)
{
  auto address = SocketAddress::Parse(JsonValue(aJson, "address", std::string()));
  if (!address) {
    return std::nullopt;
  }
  RelayedChange change;
  change.mAddress = std::move(*address);
  change.mSuspected = JsonValue(aJson, "suspected", false);
  if (aJson.contains("state")) {
    auto state = ReadWorkerState(aJson["state"]);
    if (!state) {
      return std::nullopt;
    }
    change.mState = std::make_shared<const WorkerState>(std::move(*state));
  }
  return change;
}

void
ApplyChange(const RelayedChange& aChange,
            std::map<SocketAddress, std::shared_ptr<const WorkerState>>& aStates)
{
  if (aChange.mState) {
    aStates[aChange.mAddress] = aChange.mState;
  } else {
    aStates.erase(aChange.mAddress);
  }
}

} // namespace
} // namespace detail

Json
WriteRelayBatch(const RelayBatch& aBatch)
{
  Json changes = Json::array();
  for (const auto& it : aBatch.mChanges) {
    Json change{ { "address", it.mAddress.ToString() } };
    if (it.mState) {
      change["state"] = *it.mState;
    } else if (it.mSuspected) {
      change["suspected"] = true;
    }
    changes.push_back(std::move(change));
  }
  return { { "node", aBatch.mNode.Value() },
           { "incarnation", aBatch.mIncarnation },
           { "sequence", aBatch.mSequence },
           { "changes", std::move(changes) } };
}

std::optional<RelayBatch>
ReadRelayBatch(const Json& aJson)
{
  RelayBatch batch;
  batch.mNode = NodeId(JsonValue(aJson, "node", std::string()));
  batch.mIncarnation = JsonValue(aJson, "incarnation", std::uint64_t(0));
  batch.mSequence = JsonValue(aJson, "sequence", std::uint64_t(0));
  if (batch.mNode.IsEmpty() || !aJson.contains("changes") || !aJson["changes"].is_array()) {
    return std::nullopt;
  }
  for (const auto& it : aJson["changes"]) {
    auto change = detail::ReadChange(it);
    if (!change) {
      return std::nullopt;
    }
    batch.mChanges.push_back(std::move(*change));
  }
  return batch;
}

RelayTable::Result
RelayTable::ApplyBatch(const RelayBatch& aBatch)
{
  const auto it = mWatchers.find(aBatch.mNode);
  if (it == mWatchers.end() || it->second.mIncarnation != aBatch.mIncarnation ||
      !it->second.mSynced || aBatch.mSequence <= it->second.mSequence) {
    return Result::Ignored;
  }
  auto& watcher = it->second;
  if (aBatch.mSequence != watcher.mSequence + 1) {
    watcher.mSynced = false;
    return Result::Gap;
  }
  watcher.mSequence = aBatch.mSequence;
  for (const auto& change : aBatch.mChanges) {
    detail::ApplyChange(change, watcher.mStates);
  }
  ExtendValidity(watcher);
  return Result::Applied;
}

bool
RelayTable::ApplySnapshot(const RelayBatch& aSnapshot)
{
  auto& watcher = mWatchers[aSnapshot.mNode];
  if (aSnapshot.mIncarnation < watcher.mIncarnation ||
      (watcher.mSynced && aSnapshot.mIncarnation == watcher.mIncarnation &&
       aSnapshot.mSequence <= watcher.mSequence)) {
    return false;
  }
  if (aSnapshot.mIncarnation != watcher.mIncarnation) {
    watcher = {};
    watcher.mIncarnation = aSnapshot.mIncarnation;
  }
  watcher.mSequence = aSnapshot.mSequence;
  watcher.mSynced = true;
  watcher.mStates.clear();
  for (const auto& change : aSnapshot.mChanges) {
    detail::ApplyChange(change, watcher.mStates);
  }
  ExtendValidity(watcher);
  return true;
}

bool
RelayTable::Confirm(const NodeId& aNode, std::uint64_t aIncarnation, std::uint64_t aSequence,
                    TimePoint aSent)
{
  auto& watcher = mWatchers[aNode];
  if (aIncarnation < watcher.mIncarnation) {
    return false;
  }
  if (aIncarnation > watcher.mIncarnation) {
    const bool wasValid = watcher.mWasValid;
    watcher = {};
    watcher.mIncarnation = aIncarnation;
    watcher.mWasValid = wasValid;
  }
  // The batch that a confirmation names may arrive a little later over another connection. If it is
  // still missing at the next confirmation, it is lost.
  const bool lost = watcher.mSequence < watcher.mConfirmedSequence;
  if (aSent >= watcher.mConfirmedAt) {
    watcher.mConfirmedSequence = aSequence;
    watcher.mConfirmedAt = aSent;
  }
  ExtendValidity(watcher);
  return !watcher.mSynced || lost;
}

std::vector<NodeId>
RelayTable::TakeInvalidated(TimePoint aNow)
{
  std::vector<NodeId> invalidated;
  for (auto& [node, watcher] : mWatchers) {
    const bool isValid = watcher.mSynced && aNow < watcher.mValidUntil;
    if (std::exchange(watcher.mWasValid, isValid) && !isValid) {
      invalidated.push_back(node);
    }
  }
  std::erase_if(mWatchers, [&](const auto& aEntry) {
    constexpr Duration kRetention{ 60000 };
    return aNow - std::max(aEntry.second.mValidUntil, aEntry.second.mConfirmedAt) > kRetention;
  });
  return invalidated;
}

RelayedState
RelayTable::Find(const SocketAddress& aAddress, TimePoint aNow)
{
  for (auto& [node, watcher] : mWatchers) {
    if (!watcher.mSynced || aNow >= watcher.mValidUntil) {
      continue;
    }
    if (const auto it = watcher.mStates.find(aAddress); it != watcher.mStates.end()) {
      watcher.mWasValid = true;
      return { node, it->second };
    }
  }
  return {};
}

void
RelayTable::ExtendValidity(Watcher& aWatcher) const
{
  if (aWatcher.mSynced && aWatcher.mSequence >= aWatcher.mConfirmedSequence) {
    aWatcher.mValidUntil = aWatcher.mConfirmedAt + mValidity;
  }
}

} // namespace lovagerock::workers
