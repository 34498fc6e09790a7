#include "retention/DeletionQueue.h"

#include <algorithm>
#include <set>
#include <utility>

namespace lovagerock::retention {

void
DeletionQueue::Reset(std::vector<Deletion> aDeletions)
{
  mDeletions = std::move(aDeletions);
  mNext = 0;
}

std::size_t
DeletionQueue::BatchSize() const
{
  return std::min(mDeletions.size() - mNext, kv::kMaxOperations);
}

std::vector<kv::Operation>
DeletionQueue::NextBatch() const
{
  std::vector<kv::Operation> operations;
  for (std::size_t i = mNext; i < mNext + BatchSize(); ++i) {
    const auto& it = mDeletions[i];
    operations.push_back({ kv::Operation::Kind::CompareAndDelete, it.mKey, "", it.mModifyIndex });
  }
  return operations;
}

void
DeletionQueue::OnApplied(SweepReport& aReport)
{
  for (const auto end = mNext + BatchSize(); mNext < end; ++mNext) {
    aReport.CountDeleted(mDeletions[mNext].mKind);
  }
}

void
DeletionQueue::OnRefused(const std::vector<std::size_t>& aPositions, SweepReport& aReport)
{
  std::set<std::string> keys;
  for (const auto position : aPositions) {
    keys.insert(mDeletions.at(mNext + position).mKey);
  }
  const auto isDropped = [&](const Deletion& aDeletion) { return keys.contains(aDeletion.mKey); };
  const auto begin = mDeletions.begin() + static_cast<std::ptrdiff_t>(mNext);
  const auto end = std::remove_if(begin, mDeletions.end(), isDropped);
  aReport.mSkipped += mDeletions.end() - end;
  mDeletions.erase(end, mDeletions.end());
}

} // namespace lovagerock::retention
