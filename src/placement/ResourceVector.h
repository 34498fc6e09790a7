#pragma once

#include "base/Resources.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <limits>

namespace lovagerock::placement {

// Resources as four 32-bit numbers, so that a scan over all workers stays in the processor's cache.
// Amounts are clamped to half of the 32-bit range, so that the sum of two doesn't overflow.
class ResourceVector
{
public:
  static constexpr int kSlots = 0;
  static constexpr int kAccelerators = 1;
  static constexpr int kCores = 2;
  static constexpr int kMemory = 3;
  static constexpr int kSize = 4;

  ResourceVector() = default;
  explicit ResourceVector(const Resources& aResources)
    : mValues{ Clamp(aResources.mSlots.Value()), Clamp(aResources.mAccelerators.Value()),
               Clamp(aResources.mCores.Value()), Clamp(aResources.mMemory.Value()) }
  {
  }

  bool operator==(const ResourceVector&) const = default;
  std::int32_t operator[](int aIndex) const { return mValues[aIndex]; }
  std::int32_t& operator[](int aIndex) { return mValues[aIndex]; }

  ResourceVector& operator+=(const ResourceVector& aOther)
  {
    for (int i = 0; i < kSize; ++i) {
      mValues[i] += aOther.mValues[i];
    }
    return *this;
  }
  ResourceVector& operator-=(const ResourceVector& aOther)
  {
    for (int i = 0; i < kSize; ++i) {
      mValues[i] -= aOther.mValues[i];
    }
    return *this;
  }
  friend ResourceVector operator+(ResourceVector aLeft, const ResourceVector& aRight)
  {
    return aLeft += aRight;
  }
  friend ResourceVector operator-(ResourceVector aLeft, const ResourceVector& aRight)
  {
    return aLeft -= aRight;
  }
  friend ResourceVector operator*(ResourceVector aLeft, int aFactor)
  {
    for (auto& it : aLeft.mValues) {
      it = Clamp(static_cast<std::int64_t>(it) * aFactor);
    }
    return aLeft;
  }

  bool FitsInto(const ResourceVector& aOther) const
  {
    return mValues[0] <= aOther.mValues[0] && mValues[1] <= aOther.mValues[1] &&
           mValues[2] <= aOther.mValues[2] && mValues[3] <= aOther.mValues[3];
  }

  // Returns the larger of slots and accelerators, at least 1.
  int Size() const { return std::max({ 1, mValues[kSlots], mValues[kAccelerators] }); }

  bool IsZero() const { return *this == ResourceVector(); }

  // Returns the component-wise minimum.
  static ResourceVector Min(ResourceVector aLeft, const ResourceVector& aRight)
  {
    for (int i = 0; i < kSize; ++i) {
      aLeft.mValues[i] = std::min(aLeft.mValues[i], aRight.mValues[i]);
    }
    return aLeft;
  }
  // Returns the vector with negative components replaced by 0.
  static ResourceVector Positive(ResourceVector aValue)
  {
    for (auto& it : aValue.mValues) {
      it = std::max(it, 0);
    }
    return aValue;
  }

  // Returns how many times aNeed fits into this vector, at most aLimit. aNeed must not be zero.
  int CountFitting(const ResourceVector& aNeed, int aLimit) const
  {
    if (!aNeed.FitsInto(*this)) {
      return 0;
    }
    int n = aLimit;
    for (int i = 0; i < kSize; ++i) {
      if (aNeed.mValues[i] > 0) {
        n = std::min(n, mValues[i] / aNeed.mValues[i]);
      }
    }
    return n;
  }

  Resources ToResources() const
  {
    return { Slots(mValues[kSlots]), Accelerators(mValues[kAccelerators]), Cores(mValues[kCores]),
             MemoryMiB(mValues[kMemory]) };
  }

private:
  static std::int32_t Clamp(std::int64_t aValue)
  {
    constexpr std::int64_t kMax = std::numeric_limits<std::int32_t>::max() / 2;
    return static_cast<std::int32_t>(std::clamp<std::int64_t>(aValue, 0, kMax));
  }

  std::array<std::int32_t, kSize> mValues{};
};

} // namespace lovagerock::placement
