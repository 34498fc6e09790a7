#pragma once

#include "base/Json.h"
#include "base/Units.h"

namespace lovagerock {

// An amount of a worker's resources: a capacity, a demand or a use.
struct Resources
{
  Slots mSlots;
  Accelerators mAccelerators;
  Cores mCores;
  MemoryMiB mMemory;

  bool operator==(const Resources&) const = default;

  // Whether every component fits into the other amount.
  bool FitsInto(const Resources& aOther) const;
  Resources& operator+=(const Resources& aOther);
  Resources& operator-=(const Resources& aOther);
};

// The JSON members are slots, accelerators, cores and memory_mb; an absent one is 0.
void
to_json(Json& aJson, const Resources& aResources);
void
from_json(const Json& aJson, Resources& aResources);

} // namespace lovagerock
