#pragma once

#include <chrono>
#include <compare>
#include <cstdint>

namespace lovagerock {

// Durations inside the process, in milliseconds.
using Duration = std::chrono::milliseconds;
// A point on the monotonic clock.
using TimePoint = std::chrono::steady_clock::time_point;

// A whole number whose type is distinct for each Tag.
template<typename Tag>
class StrongCount
{
public:
  constexpr StrongCount() = default;
  constexpr explicit StrongCount(std::int64_t aValue)
    : mValue(aValue)
  {
  }

  constexpr std::int64_t Value() const { return mValue; }
  // clang-tidy 14 takes the zero of a rewritten comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  constexpr auto operator<=>(const StrongCount&) const = default;

  constexpr StrongCount& operator+=(StrongCount aOther)
  {
    mValue += aOther.mValue;
    return *this;
  }
  constexpr StrongCount& operator-=(StrongCount aOther)
  {
    mValue -= aOther.mValue;
    return *this;
  }
  friend constexpr StrongCount operator+(StrongCount aLeft, StrongCount aRight)
  {
    return aLeft += aRight;
  }
  friend constexpr StrongCount operator-(StrongCount aLeft, StrongCount aRight)
  {
    return aLeft -= aRight;
  }

private:
  std::int64_t mValue = 0;
};

// A size in bytes.
using Bytes = StrongCount<struct BytesTag>;
// A number of accelerators.
using Accelerators = StrongCount<struct AcceleratorsTag>;
// A number of worker slots; a slot runs one task or request.
using Slots = StrongCount<struct SlotsTag>;
// A number of processor cores.
using Cores = StrongCount<struct CoresTag>;
// An amount of memory in MiB.
using MemoryMiB = StrongCount<struct MemoryMiBTag>;
// The version of a configuration; 0 means none.
using ConfigVersion = StrongCount<struct ConfigVersionTag>;

} // namespace lovagerock
