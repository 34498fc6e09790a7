#pragma once

#include "base/Units.h"

#include <cstdint>
#include <random>
#include <string>

namespace lovagerock {

// The random number generator of a process. Its seed is logged at the start, so that a run can be
// repeated.
class Random
{
public:
  explicit Random(std::uint64_t aSeed)
    : mEngine(aSeed)
  {
  }

  // A seed from the operating system.
  static std::uint64_t SystemSeed();

  // A number in [0, aBound); aBound must be positive.
  std::uint64_t Below(std::uint64_t aBound);
  // A number in [0, 1).
  double Fraction();
  // A delay in [aBase / 2, aBase), to spread retries over time.
  Duration Jitter(Duration aBase);
  // A 128-bit token in hexadecimal.
  std::string Token();

private:
  std::mt19937_64 mEngine;
};

} // namespace lovagerock
