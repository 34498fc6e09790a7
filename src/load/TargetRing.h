#pragma once

#include "base/SocketAddress.h"
#include "base/Units.h"

#include <cstddef>
#include <vector>

namespace lovagerock::load {

// Chooses entry nodes in turn, as a platform's balancer does. A node that refuses connections is
// left out for a second.
class TargetRing
{
public:
  static constexpr Duration kLeaveOut{ 1000 };

  // There must be at least one target.
  explicit TargetRing(const std::vector<SocketAddress>& aTargets);

  // The next target that is not left out; if all are, the one whose time ends first.
  const SocketAddress& Next(TimePoint aNow);
  // Leaves a target out until kLeaveOut has passed.
  void LeaveOut(const SocketAddress& aTarget, TimePoint aNow);

private:
  // A target and the time until which it is left out.
  struct Entry
  {
    SocketAddress mAddress;
    TimePoint mUntil;
  };

  std::vector<Entry> mEntries;
  std::size_t mNext = 0;
};

} // namespace lovagerock::load
