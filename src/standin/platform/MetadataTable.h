#pragma once

#include "base/Units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lovagerock::standin {

// A key of the stand-in metadata store.
struct MetadataItem
{
  std::string mKey;
  std::string mValue;
  // The revisions of its last change and of its creation.
  std::int64_t mRevision = 0;
  std::int64_t mCreated = 0;
  // The lease that the key is bound to; 0 is none.
  std::int64_t mLease = 0;
};

// A change of a key; without an item it was removed.
struct MetadataEvent
{
  std::string mKey;
  std::int64_t mRevision = 0;
  std::optional<MetadataItem> mItem;
};

// Writes that take effect together, if all expected keys have the expected revisions; revision 0
// expects that there is no such key.
struct MetadataTransaction
{
  struct Expected
  {
    std::string mKey;
    std::int64_t mRevision = 0;
  };
  struct Write
  {
    std::string mKey;
    std::string mValue;
    std::int64_t mLease = 0;
  };

  std::vector<Expected> mExpected;
  std::vector<Write> mWrites;
  std::vector<std::string> mRemoves;
};

enum class CommitResult
{
  Committed,
  // An expected key has another revision.
  Conflict,
  // A write names a lease that doesn't exist.
  NoLease,
};

// The data of the stand-in metadata store, without any transport: one revision over all keys, a
// history of changes, and leases.
class MetadataTable
{
public:
  std::int64_t Revision() const { return mRevision; }
  std::optional<MetadataItem> Get(const std::string& aKey) const;
  // The keys with the prefix that sort after a key, at most aLimit.
  std::vector<MetadataItem>
  Range(const std::string& aPrefix, const std::string& aAfter, std::size_t aLimit) const;
  CommitResult Commit(const MetadataTransaction& aTransaction);
  // The changes below the prefix after the revision; nothing if that history was discarded.
  std::optional<std::vector<MetadataEvent>>
  EventsAfter(const std::string& aPrefix, std::int64_t aRevision) const;
  void DiscardHistory();

  std::int64_t GrantLease(Duration aTime, TimePoint aNow);
  // Starts the lease's time anew, as another one if that is given. Returns the time that applies;
  // nullopt if there is no such lease.
  std::optional<Duration>
  RenewLease(std::int64_t aLease, TimePoint aNow, std::optional<Duration> aTime = std::nullopt);
  // Ends the lease and removes its keys.
  void EndLease(std::int64_t aLease);
  void ExpireLeases(TimePoint aNow);
  // Ends all leases, as in an outage during which they run out.
  void EndAllLeases();

private:
  struct Lease
  {
    Duration mTime;
    TimePoint mEnd;
  };

  std::int64_t mRevision = 1;
  std::int64_t mDiscarded = 0;
  std::int64_t mLastLease = 0;
  std::map<std::string, MetadataItem> mItems;
  std::vector<MetadataEvent> mHistory;
  std::map<std::int64_t, Lease> mLeases;
};

} // namespace lovagerock::standin
