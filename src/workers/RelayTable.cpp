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
Apply(const RelayedChange& aChange,
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
RelayTable::Take(const RelayBatch& aBatch)
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
    detail::Apply(change, watcher.mStates);
  }
  Extend(watcher);
  return Result::Applied;
}

bool
RelayTable::Replace(const RelayBatch& aWhole)
{
  auto& watcher = mWatchers[aWhole.mNode];
  if (aWhole.mIncarnation < watcher.mIncarnation ||
      (watcher.mSynced && aWhole.mIncarnation == watcher.mIncarnation &&
       aWhole.mSequence <= watcher.mSequence)) {
    return false;
  }
  if (aWhole.mIncarnation != watcher.mIncarnation) {
    watcher = {};
    watcher.mIncarnation = aWhole.mIncarnation;
  }
  watcher.mSequence = aWhole.mSequence;
  watcher.mSynced = true;
  watcher.mStates.clear();
  for (const auto& change : aWhole.mChanges) {
    detail::Apply(change, watcher.mStates);
  }
  Extend(watcher);
  return true;
}

bool
RelayTable::Assure(const NodeId& aNode, std::uint64_t aIncarnation, std::uint64_t aSequence,
                   TimePoint aSent)
{
  auto& watcher = mWatchers[aNode];
  if (aIncarnation < watcher.mIncarnation) {
    return false;
  }
  if (aIncarnation > watcher.mIncarnation) {
    const bool counted = watcher.mCounted;
    watcher = {};
    watcher.mIncarnation = aIncarnation;
    watcher.mCounted = counted;
  }
  // The batch that an assurance names may come over another connection a little later. One that
  // is still missing at the next assurance is lost.
  const bool lost = watcher.mSequence < watcher.mAssured;
  if (aSent >= watcher.mAssuredAt) {
    watcher.mAssured = aSequence;
    watcher.mAssuredAt = aSent;
  }
  Extend(watcher);
  return !watcher.mSynced || lost;
}

std::vector<NodeId>
RelayTable::TakeLapsed(TimePoint aNow)
{
  std::vector<NodeId> lapsed;
  for (auto& [node, watcher] : mWatchers) {
    const bool counts = watcher.mSynced && aNow < watcher.mValidUntil;
    if (std::exchange(watcher.mCounted, counts) && !counts) {
      lapsed.push_back(node);
    }
  }
  std::erase_if(mWatchers, [&](const auto& aEntry) {
    constexpr Duration kKept{ 60000 };
    return aNow - std::max(aEntry.second.mValidUntil, aEntry.second.mAssuredAt) > kKept;
  });
  return lapsed;
}

RelayedState
RelayTable::Find(const SocketAddress& aAddress, TimePoint aNow)
{
  for (auto& [node, watcher] : mWatchers) {
    if (!watcher.mSynced || aNow >= watcher.mValidUntil) {
      continue;
    }
    if (const auto it = watcher.mStates.find(aAddress); it != watcher.mStates.end()) {
      watcher.mCounted = true;
      return { node, it->second };
    }
  }
  return {};
}

void
RelayTable::Extend(Watcher& aWatcher) const
{
  if (aWatcher.mSynced && aWatcher.mSequence >= aWatcher.mAssured) {
    aWatcher.mValidUntil = aWatcher.mAssuredAt + mValidity;
  }
}

} // namespace lovagerock::workers
