#include "standin/platform/MetadataTable.h"

#include <algorithm>

namespace lovagerock::standin {

std::optional<MetadataItem>
MetadataTable::Get(const std::string& aKey) const
{
  const auto it = mItems.find(aKey);
  return it == mItems.end() ? std::nullopt : std::optional(it->second);
}

std::vector<MetadataItem>
MetadataTable::Range(const std::string& aPrefix, const std::string& aAfter,
                     std::size_t aLimit) const
{
  std::vector<MetadataItem> items;
  for (auto it = mItems.upper_bound(std::max(aPrefix, aAfter)); it != mItems.end(); ++it) {
    if (!it->first.starts_with(aPrefix) || items.size() == aLimit) {
      break;
    }
    items.push_back(it->second);
  }
  // The prefix may be a key itself.
  if (const auto own = mItems.find(aPrefix); own != mItems.end() && aAfter < aPrefix) {
    items.insert(items.begin(), own->second);
    items.resize(std::min(items.size(), aLimit));
  }
  return items;
}

CommitResult
MetadataTable::Commit(const MetadataTransaction& aTransaction)
{
  for (const auto& it : aTransaction.mExpected) {
    const auto item = mItems.find(it.mKey);
    if ((item == mItems.end() ? 0 : item->second.mRevision) != it.mRevision) {
      return CommitResult::Conflict;
    }
  }
  for (const auto& it : aTransaction.mWrites) {
    if (it.mLease != 0 && !mLeases.contains(it.mLease)) {
      return CommitResult::NoLease;
    }
  }
  ++mRevision;
  for (const auto& it : aTransaction.mWrites) {
    auto& item = mItems[it.mKey];
    const auto created = item.mCreated == 0 ? mRevision : item.mCreated;
    item = { it.mKey, it.mValue, mRevision, created, it.mLease };
    mHistory.push_back({ it.mKey, mRevision, item });
  }
  for (const auto& it : aTransaction.mRemoves) {
    if (mItems.erase(it) > 0) {
      mHistory.push_back({ it, mRevision, std::nullopt });
    }
  }
  return CommitResult::Committed;
}

std::optional<std::vector<MetadataEvent>>
MetadataTable::EventsAfter(const std::string& aPrefix, std::int64_t aRevision) const
{
  if (aRevision < mDiscarded) {
    return std::nullopt;
  }
  std::vector<MetadataEvent> events;
  for (const auto& it : mHistory) {
    if (it.mRevision > aRevision && it.mKey.starts_with(aPrefix)) {
      events.push_back(it);
    }
  }
  return events;
}

void
MetadataTable::DiscardHistory()
{
  mDiscarded = mRevision;
  mHistory.clear();
}

std::int64_t
MetadataTable::GrantLease(Duration aTime, TimePoint aNow)
{
  mLeases[++mLastLease] = { aTime, aNow + aTime };
  return mLastLease;
}

std::optional<Duration>
MetadataTable::RenewLease(std::int64_t aLease, TimePoint aNow, std::optional<Duration> aTime)
{
  const auto it = mLeases.find(aLease);
  if (it == mLeases.end()) {
    return std::nullopt;
  }
  it->second.mTime = aTime.value_or(it->second.mTime);
  it->second.mEnd = aNow + it->second.mTime;
  return it->second.mTime;
}

void
MetadataTable::EndLease(std::int64_t aLease)
{
  mLeases.erase(aLease);
  MetadataTransaction removal;
  for (const auto& [key, item] : mItems) {
    if (item.mLease == aLease) {
      removal.mRemoves.push_back(key);
    }
  }
  if (!removal.mRemoves.empty()) {
    Commit(removal);
  }
}

void
MetadataTable::ExpireLeases(TimePoint aNow)
{
  std::vector<std::int64_t> ended;
  for (const auto& [id, lease] : mLeases) {
    if (lease.mEnd <= aNow) {
      ended.push_back(id);
    }
  }
  std::for_each(ended.begin(), ended.end(), [this](auto aLease) { EndLease(aLease); });
}

void
MetadataTable::EndAllLeases()
{
  ExpireLeases(TimePoint::max());
}

} // namespace lovagerock::standin
