#pragma once

#include "standin/platform/JobTable.h"

#include <string>

namespace lovagerock::standin {

// A worker as it describes itself, in each of its lives.
struct WorkerSpec
{
  std::string mId;
  std::string mRack;
  Capacity mCapacity;
};

// The workers of the platform, which are all alike.
struct FleetShape
{
  int mWorkers = 3;
  int mWorkersPerRack = 1;
  Capacity mCapacity{ MilliCores(8000), MemoryMiB(8000), Accelerators(8) };

  // The worker with the number, counted from 0. A rack is named after its first worker.
  WorkerSpec Worker(int aNumber) const
  {
    const auto id = [](int aIndex) { return "worker-" + std::to_string(aIndex); };
    const int first = aNumber - aNumber % mWorkersPerRack;
    return { id(aNumber), "rack-" + id(first), mCapacity };
  }
};

} // namespace lovagerock::standin
