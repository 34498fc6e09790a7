#include "retention/JobDeletion.h"

#include <algorithm>

namespace lovagerock::retention {

using Kind = kv::Operation::Kind;

JobDeletion
JobDeletion::ForExpiredJob(const std::string& aJob, const std::set<std::string>& aRegions,
                           const std::string& aRecordKey, kv::ModifyIndex aIndex)
{
  auto deletion = ForOrphanedPieces(aJob, aRegions);
  for (auto& it : deletion.mChecks) {
    it.mModifyIndex = it.mKey == aRecordKey ? aIndex : 0;
  }
  deletion.mIsOrphan = false;
  deletion.mRecord.push_back({ Kind::CompareAndDelete, aRecordKey, "", aIndex });
  return deletion;
}

JobDeletion
JobDeletion::ForRecordOnly(const std::string& aRecordKey, kv::ModifyIndex aIndex)
{
  JobDeletion deletion;
  deletion.mRecord.push_back({ Kind::CompareAndDelete, aRecordKey, "", aIndex });
  return deletion;
}

JobDeletion
JobDeletion::ForOrphanedPieces(const std::string& aJob, const std::set<std::string>& aRegions)
{
  JobDeletion deletion;
  deletion.mIsOrphan = true;
  for (const auto* kind : { "jobs/", "done/" }) {
    for (const auto& it : aRegions) {
      auto key = std::string(kind).append(it).append("/").append(aJob);
      deletion.mChecks.push_back({ Kind::Check, std::move(key), "", 0 });
    }
  }
  return deletion;
}

void
JobDeletion::AddPiece(const std::string& aKey, kv::ModifyIndex aIndex)
{
  const auto kind = aIndex == 0 ? Kind::Delete : Kind::CompareAndDelete;
  mDeletes.push_back({ kind, aKey, "", aIndex });
}

std::size_t
JobDeletion::BatchSize() const
{
  return std::min(mDeletes.size() - mNext, kv::kMaxOperations - mChecks.size() - mRecord.size());
}

std::vector<kv::Operation>
JobDeletion::NextBatch() const
{
  auto operations = mChecks;
  const auto begin = mDeletes.begin() + static_cast<std::ptrdiff_t>(mNext);
  operations.insert(operations.end(), begin, begin + static_cast<std::ptrdiff_t>(BatchSize()));
  if (mNext + BatchSize() == mDeletes.size()) {
    operations.insert(operations.end(), mRecord.begin(), mRecord.end());
  }
  return operations;
}

void
JobDeletion::OnApplied(SweepReport& aReport)
{
  for (const auto end = mNext + BatchSize(); mNext < end; ++mNext) {
    aReport.CountDeleted(mIsOrphan ? DeletionKind::Orphan : DeletionKind::Piece);
  }
  if (mNext == mDeletes.size() && !mRecord.empty()) {
    mRecord.clear();
    aReport.CountDeleted(DeletionKind::Job);
  }
}

} // namespace lovagerock::retention
