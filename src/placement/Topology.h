#pragma once

#include "placement/ClusterSnapshot.h"

#include <array>
#include <vector>

namespace lovagerock::placement {

// Groups workers, identified by their index in the snapshot, into domains: racks, availability
// zones and regions. A domain of level Adjacency::Worker is a single worker.
class Topology
{
public:
  static constexpr int kLevels = 4;

  explicit Topology(const std::vector<WorkerView>& aWorkers);

  // Returns the domains of a level, each a list of workers, in the order in which they first occur
  // in the snapshot.
  const std::vector<std::vector<int>>& Domains(Adjacency aLevel) const
  {
    return mDomains[static_cast<int>(aLevel)];
  }
  // Returns the index in Domains(aLevel) of the domain that contains the worker.
  int DomainOf(Adjacency aLevel, int aWorker) const
  {
    return mDomainOf[static_cast<int>(aLevel)][aWorker];
  }

private:
  std::array<std::vector<std::vector<int>>, kLevels> mDomains;
  std::array<std::vector<int>, kLevels> mDomainOf;
};

} // namespace lovagerock::placement
