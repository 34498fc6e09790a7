#pragma once

#include "base/Adjacency.h"
#include "base/Ids.h"
#include "base/Units.h"

#include <optional>

namespace lovagerock::config {

// A guarantee, unique in its account.
using GuaranteeId = StrongId<struct GuaranteeTag>;
// A number of copies of a shape.
using Copies = StrongCount<struct CopiesTag>;
// A number of workers.
using WorkerCount = StrongCount<struct WorkerCountTag>;

// A shape of accelerators that an account can always reclaim: mCount copies, each of mWorkers
// adjacent workers with mAcceleratorsPerWorker accelerators.
struct Guarantee
{
  GuaranteeId mName;
  Copies mCount;
  WorkerCount mWorkers;
  Accelerators mAcceleratorsPerWorker;
  Adjacency mAdjacency = Adjacency::Rack;
  // The zone that all copies must be in; any zone if absent.
  std::optional<ZoneId> mZone;

  bool operator==(const Guarantee&) const = default;

  // The accelerators of all copies together.
  Accelerators Total() const
  {
    return Accelerators(mCount.Value() * mWorkers.Value() * mAcceleratorsPerWorker.Value());
  }
};

} // namespace lovagerock::config
