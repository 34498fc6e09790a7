#pragma once

#include "retention/Deletion.h"
#include "retention/SweepReport.h"

#include <cstddef>
#include <string>
#include <vector>

namespace lovagerock::retention {

// Expired keys that wait to be deleted, in order.
class DeletionQueue
{
public:
  // Replaces the queue.
  void Fill(std::vector<Deletion> aDeletions);
  bool IsEmpty() const { return mNext == mDeletions.size(); }

  // The operations of the next transaction; the same ones until their outcome is given.
  std::vector<kv::Operation> Batch() const;
  // The batch was applied.
  void Applied(SweepReport& aReport);
  // The batch was refused because these positions have another version by now.
  void Refused(const std::vector<std::size_t>& aPositions, SweepReport& aReport);

private:
  std::size_t BatchSize() const;

  std::vector<Deletion> mDeletions;
  std::size_t mNext = 0;
};

} // namespace lovagerock::retention
