#include "base/Random.h"

#include <array>
#include <cstdio>

namespace lovagerock {

std::uint64_t
Random::SystemSeed()
{
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

std::uint64_t
Random::Below(std::uint64_t aBound)
{
  return std::uniform_int_distribution<std::uint64_t>(0, aBound - 1)(mEngine);
}

double
Random::Fraction()
{
  return std::uniform_real_distribution<double>(0.0, 1.0)(mEngine);
}

Duration
Random::Jitter(Duration aBase)
{
  const auto half = aBase.count() / 2;
  const auto spread = static_cast<std::uint64_t>(half > 0 ? half : 1);
  return Duration(half + static_cast<std::int64_t>(Below(spread)));
}

std::string
Random::Token()
{
  std::array<char, 33> buf{};
  std::snprintf(buf.data(), buf.size(), "%016llx%016llx",
                static_cast<unsigned long long>(mEngine()),
                static_cast<unsigned long long>(mEngine()));
  return buf.data();
}

} // namespace lovagerock
