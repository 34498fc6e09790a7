#include "base/Resources.h"

namespace lovagerock {

bool
Resources::FitsInto(const Resources& aOther) const
{
  return mSlots <= aOther.mSlots && mAccelerators <= aOther.mAccelerators &&
         mCores <= aOther.mCores && mMemory <= aOther.mMemory;
}

Resources&
Resources::operator+=(const Resources& aOther)
{
  mSlots += aOther.mSlots;
  mAccelerators += aOther.mAccelerators;
  mCores += aOther.mCores;
  mMemory += aOther.mMemory;
  return *this;
}

Resources&
Resources::operator-=(const Resources& aOther)
{
  mSlots -= aOther.mSlots;
  mAccelerators -= aOther.mAccelerators;
  mCores -= aOther.mCores;
  mMemory -= aOther.mMemory;
  return *this;
}

void
to_json(Json& aJson, const Resources& aResources)
{
  aJson = Json{ { "slots", aResources.mSlots.Value() },
                { "accelerators", aResources.mAccelerators.Value() },
                { "cores", aResources.mCores.Value() },
                { "memory_mb", aResources.mMemory.Value() } };
}

void
from_json(const Json& aJson, Resources& aResources)
{
  aResources.mSlots = Slots(JsonValue<std::int64_t>(aJson, "slots", 0));
  aResources.mAccelerators = Accelerators(JsonValue<std::int64_t>(aJson, "accelerators", 0));
  aResources.mCores = Cores(JsonValue<std::int64_t>(aJson, "cores", 0));
  aResources.mMemory = MemoryMiB(JsonValue<std::int64_t>(aJson, "memory_mb", 0));
}

} // namespace lovagerock
