#pragma once

#include "placement/ClusterSnapshot.h"

#include <array>
#include <vector>

namespace lovagerock::placement {

// The workers of each rack, zone and region by their position in the snapshot. A domain of level
// Adjacency::Worker is a single worker.
class Topology
{
public:
  static constexpr int kLevels = 4;

  explicit Topology(const std::vector<WorkerView>& aWorkers);

  // The domains of a level in the order in which the snapshot first names them.
  const std::vector<std::vector<int>>& Domains(Adjacency aLevel) const
  {
    return mDomains[static_cast<int>(aLevel)];
  }
  // The domain of a worker at a level.
  int DomainOf(Adjacency aLevel, int aWorker) const
  {
    return mDomainOf[static_cast<int>(aLevel)][aWorker];
  }

private:
  std::array<std::vector<std::vector<int>>, kLevels> mDomains;
  std::array<std::vector<int>, kLevels> mDomainOf;
};

} // namespace lovagerock::placement
