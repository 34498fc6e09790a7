#include "load/TargetRing.h"

#include <algorithm>

namespace lovagerock::load {

TargetRing::TargetRing(const std::vector<SocketAddress>& aTargets)
{
  for (const auto& it : aTargets) {
    mEntries.push_back({ it, TimePoint() });
  }
}

const SocketAddress&
TargetRing::Next(TimePoint aNow)
{
  for (std::size_t i = 0; i < mEntries.size(); ++i) {
    const auto& entry = mEntries[mNext++ % mEntries.size()];
    if (entry.mUntil <= aNow) {
      return entry.mAddress;
    }
  }
  return std::ranges::min_element(mEntries, {}, &Entry::mUntil)->mAddress;
}

void
TargetRing::LeaveOut(const SocketAddress& aTarget, TimePoint aNow)
{
  const auto it = std::ranges::find(mEntries, aTarget, &Entry::mAddress);
  if (it != mEntries.end()) {
    it->mUntil = aNow + kLeaveOut;
  }
}

} // namespace lovagerock::load
