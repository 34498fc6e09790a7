#pragma once

#include <chrono>
#include <cstdint>
#include <functional>

namespace lovagerock {

// Gives the wall clock in milliseconds since 1970.
using WallClock = std::function<std::int64_t()>;

// The system's wall clock in milliseconds since 1970.
inline std::int64_t
WallClockMs()
{
  using namespace std::chrono;
  return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

} // namespace lovagerock
