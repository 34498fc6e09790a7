#include "membership/VmListUpdate.h"

#include <utility>
#include <vector>

namespace lovagerock::membership {

namespace detail {
namespace {

Json
WriteVms(const std::vector<Vm>& aVms)
{
  Json vms = Json::array();
  for (const auto& it : aVms) {
    vms.push_back({ { "address", it.mAddress.ToString() },
                    { "entry", it.mRole == Vm::Role::Entry },
                    { "leaving", it.mLeaving },
                    { "zone", it.mZone.Value() },
                    { "region", it.mRegion.Value() },
                    { "name", it.mName } });
  }
  return vms;
}

std::optional<std::vector<Vm>>
ReadVms(const Json& aUpdate, const char* aKey)
{
  const auto json = JsonValue(aUpdate, aKey, Json());
  if (!json.is_array()) {
    return std::nullopt;
  }
  std::vector<Vm> vms;
  for (const auto& it : json) {
    auto address = SocketAddress::Parse(JsonValue(it, "address", std::string()));
    if (!address) {
      return std::nullopt;
    }
    Vm vm;
    vm.mAddress = std::move(*address);
    vm.mRole = JsonValue(it, "entry", false) ? Vm::Role::Entry : Vm::Role::Worker;
    vm.mLeaving = JsonValue(it, "leaving", false);
    vm.mZone = ZoneId(JsonValue(it, "zone", std::string()));
    vm.mRegion = RegionId(JsonValue(it, "region", std::string()));
    vm.mName = JsonValue(it, "name", std::string());
    vms.push_back(std::move(vm));
  }
  return vms;
}

} // namespace
} // namespace detail

Json
WriteVmListUpdate(const VmListUpdate& aUpdate)
{
  return { { "node", aUpdate.mNode.Value() },
           { "incarnation", aUpdate.mIncarnation },
           { "sequence", aUpdate.mSequence },
           { "base", aUpdate.mBaseHash },
           { "hash", aUpdate.mHash },
           { "tag", aUpdate.mEntityTag },
           { "changed", detail::WriteVms(aUpdate.mDifference.mChanged) },
           { "removed", detail::WriteVms(aUpdate.mDifference.mRemoved) } };
}

std::optional<VmListUpdate>
ReadVmListUpdate(const Json& aJson)
{
  VmListUpdate update;
  update.mNode = NodeId(JsonValue(aJson, "node", std::string()));
  update.mIncarnation = JsonValue(aJson, "incarnation", std::uint64_t(0));
  update.mSequence = JsonValue(aJson, "sequence", std::uint64_t(0));
  update.mBaseHash = JsonValue(aJson, "base", std::uint64_t(0));
  update.mHash = JsonValue(aJson, "hash", std::uint64_t(0));
  update.mEntityTag = JsonValue(aJson, "tag", std::string());
  auto changed = detail::ReadVms(aJson, "changed");
  auto removed = detail::ReadVms(aJson, "removed");
  if (update.mNode.IsEmpty() || update.mSequence == 0 || !changed || !removed) {
    return std::nullopt;
  }
  update.mDifference = { std::move(*changed), std::move(*removed) };
  return update;
}

} // namespace lovagerock::membership
