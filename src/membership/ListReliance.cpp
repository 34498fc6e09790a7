#include "membership/ListReliance.h"

#include <algorithm>

namespace lovagerock::membership {

void
ListReliance::Assure(const NodeId& aNode, std::uint64_t aIncarnation,
                     const ListAssurance& aAssurance, std::uint64_t aOwn, TimePoint aSent,
                     TimePoint aNow)
{
  // The reader's read began after this time, because the answer was written after aSent.
  const auto read = aSent - aAssurance.mAge;
  const auto until = std::min(aSent + mSettings.mValidity, read + mSettings.mReadValidity);
  if (Counts(aNow)) {
    // An older content than this node's was the last one when the answer was written. A newer one
    // comes in a batch that may still be on its way; if it is lost, the validity ends.
    if (aNode == mNode && aIncarnation == mIncarnation && aAssurance.mSequence <= mSequence) {
      mValidUntil = std::max(mValidUntil, until);
    }
    return;
  }
  if (aAssurance.mHash == aOwn && aNow < until) {
    mNode = aNode;
    mIncarnation = aIncarnation;
    mSequence = aAssurance.mSequence;
    mValidUntil = until;
  }
}

ListReliance::Result
ListReliance::Take(const VmListBatch& aBatch, std::uint64_t aOwn, TimePoint aNow)
{
  if (!Counts(aNow) || aBatch.mNode != mNode || aBatch.mIncarnation != mIncarnation ||
      aBatch.mSequence <= mSequence) {
    return Result::Ignored;
  }
  if (aBatch.mSequence != mSequence + 1 || aBatch.mBase != aOwn) {
    End();
    return Result::Gap;
  }
  mSequence = aBatch.mSequence;
  return Result::Next;
}

} // namespace lovagerock::membership
