#include "standin/vmlist/TargetTable.h"

#include <algorithm>

namespace lovagerock::standin {

namespace detail {
namespace {

bool
AreLabels(const Json& aLabels)
{
  return aLabels.is_object() && std::all_of(aLabels.begin(), aLabels.end(),
                                            [](const Json& aValue) { return aValue.is_string(); });
}

// Adds the targets of one group; false if it is malformed.
bool
ReadGroup(const Json& aGroup, std::map<SocketAddress, Json>& aTargets)
{
  const auto labels = JsonValue(aGroup, "labels", Json::object());
  const auto targets = JsonValue(aGroup, "targets", Json());
  if (!AreLabels(labels) || !targets.is_array()) {
    return false;
  }
  for (const auto& it : targets) {
    const auto address =
      it.is_string() ? SocketAddress::Parse(it.get<std::string>()) : std::nullopt;
    if (!address) {
      return false;
    }
    aTargets[*address] = labels;
  }
  return true;
}

} // namespace
} // namespace detail

TargetTable::TargetTable(Duration aLag)
  : mLag(aLag)
{
}

bool
TargetTable::Load(std::string_view aText)
{
  const auto json = ParseJson(aText);
  if (!json || !json->is_array()) {
    return false;
  }
  std::map<SocketAddress, Json> targets;
  for (const auto& it : *json) {
    if (!detail::ReadGroup(it, targets)) {
      return false;
    }
  }
  mVisible = std::move(targets);
  return true;
}

bool
TargetTable::Set(const SocketAddress& aAddress, const Json& aLabels, TimePoint aNow)
{
  if (!detail::AreLabels(aLabels)) {
    return false;
  }
  mPending.push_back({ aNow + mLag, aAddress, aLabels });
  return true;
}

void
TargetTable::Erase(const SocketAddress& aAddress, TimePoint aNow)
{
  mPending.push_back({ aNow + mLag, aAddress, std::nullopt });
}

Json
TargetTable::Visible(TimePoint aNow)
{
  while (!mPending.empty() && mPending.front().mDue <= aNow) {
    auto& change = mPending.front();
    if (change.mLabels) {
      mVisible[change.mAddress] = std::move(*change.mLabels);
    } else {
      mVisible.erase(change.mAddress);
    }
    mPending.pop_front();
  }
  Json groups = Json::array();
  for (const auto& [address, labels] : mVisible) {
    groups.push_back({ { "targets", Json::array({ address.ToString() }) }, { "labels", labels } });
  }
  return groups;
}

} // namespace lovagerock::standin
