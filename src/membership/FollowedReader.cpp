#include "membership/FollowedReader.h"

#include <algorithm>

namespace lovagerock::membership {

void
FollowedReader::AcceptStatus(const NodeId& aNode, std::uint64_t aIncarnation,
                             const VmListStatus& aStatus, std::uint64_t aOwnHash, TimePoint aSent,
                             TimePoint aNow)
{
  // The reader's last read began no earlier than this, because it wrote the answer after aSent.
  const auto read = aSent - aStatus.mAge;
  const auto until = std::min(aSent + mSettings.mValidity, read + mSettings.mReadValidity);
  if (IsValid(aNow)) {
    // A status with an older version than this node's still confirms: that version was the latest
    // one when the answer was written. A newer version doesn't: its update may still be in transit,
    // and if it was lost, the validity must run out.
    if (aNode == mNode && aIncarnation == mIncarnation && aStatus.mSequence <= mSequence) {
      mValidUntil = std::max(mValidUntil, until);
    }
    return;
  }
  if (aStatus.mHash == aOwnHash && aNow < until) {
    mNode = aNode;
    mIncarnation = aIncarnation;
    mSequence = aStatus.mSequence;
    mValidUntil = until;
  }
}

FollowedReader::Result
FollowedReader::AcceptUpdate(const VmListUpdate& aUpdate, std::uint64_t aOwnHash, TimePoint aNow)
{
  if (!IsValid(aNow) || aUpdate.mNode != mNode || aUpdate.mIncarnation != mIncarnation ||
      aUpdate.mSequence <= mSequence) {
    return Result::Ignored;
  }
  if (aUpdate.mSequence != mSequence + 1 || aUpdate.mBaseHash != aOwnHash) {
    Reset();
    return Result::Gap;
  }
  mSequence = aUpdate.mSequence;
  return Result::Next;
}

} // namespace lovagerock::membership
