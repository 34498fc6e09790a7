#pragma once

#include "base/Units.h"

#include <algorithm>

namespace lovagerock::scheduler {

// Thousandths of a processor core.
using MilliCores = StrongCount<struct MilliCoresTag>;

// An amount of worker resources: what a worker has, what is free on it, or what a task needs.
struct Capacity
{
  MilliCores mCpu;
  MemoryMiB mMemory;
  Accelerators mAccelerators;

  bool operator==(const Capacity&) const = default;

  // Whether this amount is at most aOther in every component.
  bool FitsInto(const Capacity& aOther) const
  {
    return mCpu <= aOther.mCpu && mMemory <= aOther.mMemory &&
           mAccelerators <= aOther.mAccelerators;
  }
  // Returns how many times this amount fits into aOther, but at most aLimit.
  int CopiesIn(const Capacity& aOther, int aLimit) const
  {
    std::int64_t n = aLimit;
    const auto bound = [&n](std::int64_t aNeed, std::int64_t aAvailable) {
      if (aNeed > 0) {
        n = std::min(n, aAvailable < 0 ? 0 : aAvailable / aNeed);
      }
    };
    bound(mCpu.Value(), aOther.mCpu.Value());
    bound(mMemory.Value(), aOther.mMemory.Value());
    bound(mAccelerators.Value(), aOther.mAccelerators.Value());
    return static_cast<int>(n);
  }
  Capacity& operator+=(const Capacity& aOther)
  {
    mCpu += aOther.mCpu;
    mMemory += aOther.mMemory;
    mAccelerators += aOther.mAccelerators;
    return *this;
  }
  Capacity& operator-=(const Capacity& aOther)
  {
    mCpu -= aOther.mCpu;
    mMemory -= aOther.mMemory;
    mAccelerators -= aOther.mAccelerators;
    return *this;
  }
  // Returns the smaller amount of each component.
  static Capacity Min(const Capacity& aLeft, const Capacity& aRight)
  {
    return { std::min(aLeft.mCpu, aRight.mCpu), std::min(aLeft.mMemory, aRight.mMemory),
             std::min(aLeft.mAccelerators, aRight.mAccelerators) };
  }
  friend Capacity operator+(Capacity aLeft, const Capacity& aRight) { return aLeft += aRight; }
  friend Capacity operator-(Capacity aLeft, const Capacity& aRight) { return aLeft -= aRight; }
};

} // namespace lovagerock::scheduler
