#include "placement/Topology.h"

#include <string>
#include <unordered_map>

namespace lovagerock::placement {

namespace detail {
namespace {

// Writes the key of the worker's domain at a level to aKey. It contains the names of the enclosing
// domains, because two availability zones may have racks of the same name.
void
AppendKey(std::string& aKey, const WorkerView& aWorker, Adjacency aLevel)
{
  aKey = aWorker.mRegion.Value();
  if (aLevel != Adjacency::Region) {
    aKey.append(1, '\0').append(aWorker.mZone.Value());
  }
  if (aLevel == Adjacency::Rack) {
    aKey.append(1, '\0').append(aWorker.mRack.Value());
  }
}

} // namespace
} // namespace detail

Topology::Topology(const std::vector<WorkerView>& aWorkers)
{
  const int count = static_cast<int>(aWorkers.size());
  auto& single = mDomains[static_cast<int>(Adjacency::Worker)];
  for (int i = 0; i < count; ++i) {
    single.push_back({ i });
    mDomainOf[static_cast<int>(Adjacency::Worker)].push_back(i);
  }
  for (const auto level : { Adjacency::Rack, Adjacency::Zone, Adjacency::Region }) {
    auto& domains = mDomains[static_cast<int>(level)];
    auto& domainOf = mDomainOf[static_cast<int>(level)];
    std::unordered_map<std::string, int> index;
    std::string key;
    for (int i = 0; i < count; ++i) {
      detail::AppendKey(key, aWorkers[i], level);
      const auto [it, isNew] = index.try_emplace(key, static_cast<int>(domains.size()));
      if (isNew) {
        domains.emplace_back();
      }
      domains[it->second].push_back(i);
      domainOf.push_back(it->second);
    }
  }
}

} // namespace lovagerock::placement
