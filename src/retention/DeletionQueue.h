#pragma once

#include "retention/Deletion.h"
#include "retention/SweepReport.h"

#include <cstddef>
#include <string>
#include <vector>

namespace lovagerock::retention {

// The expired keys that are still to be deleted, in order, taken in batches of one transaction.
class DeletionQueue
{
public:
  // Replaces the content of the queue.
  void Reset(std::vector<Deletion> aDeletions);
  bool IsEmpty() const { return mNext == mDeletions.size(); }

  // Returns the operations of the next transaction, and the same ones again until OnApplied() or
  // OnRefused() is called.
  std::vector<kv::Operation> NextBatch() const;
  // Called when the batch was applied: counts its keys as deleted and advances to the next batch.
  void OnApplied(SweepReport& aReport);
  // Removes the keys at these positions of the batch, whose version checks failed, and counts them
  // as skipped.
  void OnRefused(const std::vector<std::size_t>& aPositions, SweepReport& aReport);

private:
  std::size_t BatchSize() const;

  std::vector<Deletion> mDeletions;
  std::size_t mNext = 0;
};

} // namespace lovagerock::retention
