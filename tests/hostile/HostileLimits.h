#pragma once

#include "hostile/ConnectionFlood.h"

#include <cstddef>
#include <string>

namespace lovagerock::integration {

// For failure messages.
inline std::string
Describe(const ProcessUsage& aUsage)
{
  return std::to_string(aUsage.mPeakResidentBytes / 1024) + " KiB, " +
         std::to_string(aUsage.mDescriptors) + " descriptors";
}

// Whether the process has used more than the given memory at any time. Never with the sanitizers,
// which keep freed memory.
inline bool
IsOverMemory([[maybe_unused]] const ProcessUsage& aUsage,
             [[maybe_unused]] std::size_t aMaxResidentBytes)
{
#if defined(__SANITIZE_ADDRESS__)
  return false;
#else
  return aUsage.mPeakResidentBytes > aMaxResidentBytes;
#endif
}

} // namespace lovagerock::integration
