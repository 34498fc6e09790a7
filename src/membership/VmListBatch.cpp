#include "membership/VmListBatch.h"

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
ReadVms(const Json& aBatch, const char* aKey)
{
  const auto json = JsonValue(aBatch, aKey, Json());
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
WriteVmListBatch(const VmListBatch& aBatch)
{
  return { { "node", aBatch.mNode.Value() },
           { "incarnation", aBatch.mIncarnation },
           { "sequence", aBatch.mSequence },
           { "base", aBatch.mBase },
           { "hash", aBatch.mHash },
           { "tag", aBatch.mEntityTag },
           { "changed", detail::WriteVms(aBatch.mDifference.mChanged) },
           { "removed", detail::WriteVms(aBatch.mDifference.mRemoved) } };
}

std::optional<VmListBatch>
ReadVmListBatch(const Json& aJson)
{
  VmListBatch batch;
  batch.mNode = NodeId(JsonValue(aJson, "node", std::string()));
  batch.mIncarnation = JsonValue(aJson, "incarnation", std::uint64_t(0));
  batch.mSequence = JsonValue(aJson, "sequence", std::uint64_t(0));
  batch.mBase = JsonValue(aJson, "base", std::uint64_t(0));
  batch.mHash = JsonValue(aJson, "hash", std::uint64_t(0));
  batch.mEntityTag = JsonValue(aJson, "tag", std::string());
  auto changed = detail::ReadVms(aJson, "changed");
  auto removed = detail::ReadVms(aJson, "removed");
  if (batch.mNode.IsEmpty() || batch.mSequence == 0 || !changed || !removed) {
    return std::nullopt;
  }
  batch.mDifference = { std::move(*changed), std::move(*removed) };
  return batch;
}

} // namespace lovagerock::membership
