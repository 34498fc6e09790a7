#include "retention/JobListing.h"

#include "jobs/JobRecord.h"

#include <algorithm>
#include <charconv>
#include <iterator>

namespace lovagerock::retention {

namespace detail {
namespace {

// The parts of a key between its slashes.
std::vector<std::string_view>
SplitKey(std::string_view aKey)
{
  std::vector<std::string_view> parts;
  while (true) {
    const auto n = aKey.find('/');
    parts.push_back(aKey.substr(0, n));
    if (n == std::string_view::npos) {
      return parts;
    }
    aKey.remove_prefix(n + 1);
  }
}

// The attempt in the "<attempt>.<task>" part of a piece's key.
std::optional<int>
ReadAttempt(std::string_view aPart)
{
  int attempt = 0;
  const auto* end = aPart.data() + aPart.size();
  const auto result = std::from_chars(aPart.data(), end, attempt);
  const bool read = result.ec == std::errc() && result.ptr != end && *result.ptr == '.';
  return read ? std::optional(attempt) : std::nullopt;
}

} // namespace
} // namespace detail

void
JobListing::AddPieces(const std::vector<kv::Entry>& aEntries)
{
  for (const auto& it : aEntries) {
    const auto parts = detail::SplitKey(it.mKey);
    if (parts.size() == 4) {
      mJobs[std::string(parts[1])].mPieces.push_back(
        { it.mKey, it.mModifyIndex, detail::ReadAttempt(parts[2]) });
    }
  }
}

void
JobListing::AddLive(const std::vector<kv::Entry>& aEntries)
{
  AddRecords(aEntries, true);
}

void
JobListing::AddDone(const std::vector<kv::Entry>& aEntries)
{
  AddRecords(aEntries, false);
}

void
JobListing::AddRecords(const std::vector<kv::Entry>& aEntries, bool aLive)
{
  for (const auto& it : aEntries) {
    const auto parts = detail::SplitKey(it.mKey);
    if (parts.size() != 3) {
      continue;
    }
    Record record{ it.mKey, it.mModifyIndex, aLive, std::nullopt, 0, false };
    if (const auto read = jobs::ReadJobRecord(it)) {
      record.mAttempt = read->mAttempt;
      record.mEndedMs = read->mEndedMs;
    }
    mJobs[std::string(parts[2])].mRecords.push_back(std::move(record));
  }
}

// Attempts of a live job only go up, and its record may be older than its pieces.
bool
JobListing::RefersTo(const Record& aRecord, const Piece& aPiece)
{
  if (aRecord.mExpired) {
    return false;
  }
  if (!aRecord.mAttempt || !aPiece.mAttempt) {
    return true;
  }
  return aRecord.mLive ? *aPiece.mAttempt >= *aRecord.mAttempt
                       : *aPiece.mAttempt == *aRecord.mAttempt;
}

std::vector<Deletion>
JobListing::FindExpired(const RegionId& aRegion, Duration aLimit, std::int64_t aNow,
                        FirstSeen& aSeen)
{
  const auto isOld = [&](const auto& aItem, std::int64_t aTime) {
    const auto since = aTime > 0 ? aTime : aSeen.Since(aItem.mKey, aItem.mModifyIndex, aNow);
    return aNow - since >= aLimit.count();
  };
  const auto own = "done/" + aRegion.Value() + "/";
  std::vector<Deletion> expired;
  std::vector<Deletion> orphans;
  for (auto& [id, job] : mJobs) {
    std::vector<Deletion> records;
    for (auto& it : job.mRecords) {
      it.mExpired = it.mKey.starts_with(own) && isOld(it, it.mEndedMs);
      if (it.mExpired) {
        records.push_back({ DeletionKind::Job, it.mKey, it.mModifyIndex, id });
      }
    }
    for (const auto& it : job.mPieces) {
      const bool used = std::any_of(job.mRecords.begin(), job.mRecords.end(),
                                    [&](const Record& aRecord) { return RefersTo(aRecord, it); });
      if (!used && !records.empty()) {
        expired.push_back({ DeletionKind::Piece, it.mKey, it.mModifyIndex, id });
      } else if (!used && isOld(it, 0)) {
        orphans.push_back({ DeletionKind::Orphan, it.mKey, it.mModifyIndex, id });
      }
    }
    std::move(records.begin(), records.end(), std::back_inserter(expired));
  }
  aSeen.EndPass();
  std::move(orphans.begin(), orphans.end(), std::back_inserter(expired));
  return expired;
}

} // namespace lovagerock::retention
