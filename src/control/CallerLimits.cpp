#include "control/CallerLimits.h"

#include <algorithm>
#include <sys/resource.h>

namespace lovagerock::control {

namespace {

constexpr std::int64_t kBytesPerMiB = 1024 * 1024;
// For a machine whose settings don't tell its memory.
constexpr MemoryMiB kDefaultMemory{ 512 };
// Four times what callers send.
constexpr Bytes kMaxCallerBody{ 1024 * 1024 };
constexpr Bytes kMaxCallerHeaders{ 8 * 1024 };
constexpr Bytes kMaxReadinessBody{ 4 * 1024 };
constexpr Bytes kMinHeld{ 4 * kBytesPerMiB };
constexpr Bytes kCallerSocketBuffer{ 32 * 1024 };
constexpr Bytes kPeerSocketBuffer{ 128 * 1024 };
constexpr Duration kReceiveLimit{ 10000 };
constexpr Duration kMinIdleTime{ 1000 };
// Calls between nodes have a few; only answers are large.
constexpr std::size_t kMaxPeerCallValues = 1024;
// Longer than any timeout of a call between nodes.
constexpr Duration kMaxPeerCallTime{ 30000 };
// The process may be allowed more than any machine of a deployment.
constexpr rlim_t kMaxDescriptors = 65536;

// A part of the descriptors: aParts of 64, but at least aLeast. The parts of all listeners leave a
// quarter for the store, the workers and the process itself.
std::size_t
PartOfDescriptors(const ControlSettings& aSettings, std::size_t aParts, std::size_t aLeast)
{
  constexpr std::size_t kParts = 64;
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  auto descriptors = static_cast<std::size_t>(std::min<rlim_t>(limit.rlim_cur, kMaxDescriptors));
  if (aSettings.mFileDescriptors > 0) {
    descriptors = std::min(descriptors, static_cast<std::size_t>(aSettings.mFileDescriptors));
  }
  return std::max(descriptors * aParts / kParts, aLeast);
}

// A fraction of the machine's memory.
Bytes
PartOfMemory(const ControlSettings& aSettings, std::int64_t aDivisor)
{
  const auto memory = aSettings.mMemory > MemoryMiB(0) ? aSettings.mMemory : kDefaultMemory;
  return std::max(Bytes(memory.Value() * kBytesPerMiB / aDivisor), kMinHeld);
}

} // namespace

http::ServerLimits
MakeCallerLimits(const ControlSettings& aSettings)
{
  http::ServerLimits limits;
  limits.mMaxHeaders = kMaxCallerHeaders;
  limits.mMaxBody = kMaxCallerBody;
  limits.mMaxConnections = PartOfDescriptors(aSettings, 32, 16);
  limits.mMaxClosing = PartOfDescriptors(aSettings, 2, 4);
  limits.mMaxHeld = PartOfMemory(aSettings, 4);
  limits.mMaxReceiving = PartOfMemory(aSettings, 8);
  limits.mReceiveLimit = kReceiveLimit;
  limits.mMinIdleTime = kMinIdleTime;
  limits.mSocketBuffer = kCallerSocketBuffer;
  return limits;
}

http::ServerLimits
MakeReadinessLimits(const ControlSettings& aSettings)
{
  http::ServerLimits limits;
  limits.mMaxHeaders = kMaxCallerHeaders;
  limits.mMaxBody = kMaxReadinessBody;
  limits.mMaxConnections = PartOfDescriptors(aSettings, 1, 8);
  limits.mMaxClosing = PartOfDescriptors(aSettings, 1, 4);
  limits.mMaxHeld = PartOfMemory(aSettings, 32);
  limits.mReceiveLimit = kReceiveLimit;
  limits.mMinIdleTime = kMinIdleTime;
  limits.mSocketBuffer = kCallerSocketBuffer;
  return limits;
}

peer::PeerSettings
MakePeerLimits(const ControlSettings& aSettings)
{
  peer::PeerSettings limits;
  // Each node keeps a connection to the leader, so this bounds the number of nodes.
  limits.mMaxConnections = PartOfDescriptors(aSettings, 12, 16);
  limits.mMaxHeld = PartOfMemory(aSettings, 8);
  limits.mMaxCallValues = kMaxPeerCallValues;
  limits.mMaxCallTime = kMaxPeerCallTime;
  limits.mSocketBuffer = kPeerSocketBuffer;
  return limits;
}

Bytes
MaxBacklog(const ControlSettings& aSettings)
{
  return aSettings.mBacklogMemory > MemoryMiB(0)
           ? Bytes(aSettings.mBacklogMemory.Value() * kBytesPerMiB)
           : PartOfMemory(aSettings, 4);
}

std::size_t
MaxOrders(const ControlSettings& aSettings)
{
  return PartOfDescriptors(aSettings, 6, 8);
}

} // namespace lovagerock::control
