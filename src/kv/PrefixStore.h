#pragma once

#include "base/Units.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

namespace lovagerock::kv {

// A position in the service's history of changes; 0 is before all of them, and stands for "the key
// is absent" in conditions.
using Revision = StrongCount<struct RevisionTag>;
// A lease of the service, to which keys may be bound; 0 is none.
using StoreLease = StrongCount<struct StoreLeaseTag>;

// A lease as the service has granted it.
struct GrantedLease
{
  StoreLease mLease;
  // The time that the service applies, from the arrival of the call. It may be another one than was
  // asked for.
  Duration mTime{ 0 };
};

// A key with its value.
struct Item
{
  std::string mKey;
  std::string mValue;
  // The key's last change.
  Revision mRevision;
};

// One page of a listing.
struct ItemPage
{
  std::vector<Item> mItems;
  bool mHasMore = false;
  Revision mAsOf;
};

// A change of a key; without a value it was deleted.
struct ItemEvent
{
  std::string mKey;
  std::optional<std::string> mValue;
  Revision mRevision;
};

struct EventPage
{
  std::vector<ItemEvent> mEvents;
  // Where to go on.
  Revision mAsOf;
};

struct ConditionalWrites
{
  struct Condition
  {
    std::string mKey;
    Revision mRevision;
  };
  struct Write
  {
    std::string mKey;
    std::string mValue;
    StoreLease mLease;
  };

  std::vector<Condition> mConditions;
  std::vector<Write> mWrites;
  std::vector<std::string> mDeletes;
};

// The outcome of conditional writes, which take effect as a whole or not at all.
struct WriteOutcome
{
  bool mApplied = false;
  // The service's version with the writes, if they were applied.
  Revision mRevision;
  // If not applied: the present items of the conditions' keys.
  std::vector<Item> mPresent;
};

using ItemCallback = std::function<void(std::error_code, std::optional<Item>)>;
using PageCallback = std::function<void(std::error_code, ItemPage)>;
using EventsCallback = std::function<void(std::error_code, EventPage)>;
using WriteCallback = std::function<void(std::error_code, WriteOutcome)>;
using LeaseCallback = std::function<void(std::error_code, GrantedLease)>;
// Receives the time that the service applies from the renewal on; unset if it doesn't say, and the
// time is the same as before.
using RenewalCallback = std::function<void(std::error_code, std::optional<Duration>)>;

// Conditions and writes together, at most.
inline constexpr std::size_t kMaxTransactionEntries = 32;

// A key-value service with one history over all keys, watches of prefixes, and leases. Calls are
// asynchronous, callbacks run on the caller's loop and never inside the call. Errors are KvError;
// after OutcomeUnknown a write may still be applied later if its conditions hold then.
template<typename T>
concept PrefixStore = requires(T aStore, const std::string& aKey, Revision aAfter, Duration aTime,
                               const ConditionalWrites& aWrites, StoreLease aLease,
                               ItemCallback aOnItem, PageCallback aOnPage, EventsCallback aOnEvents,
                               WriteCallback aOnWrite, LeaseCallback aOnLease,
                               RenewalCallback aOnRenewal)
{
  // Reads one key; no item if it is absent.
  aStore.Get(aKey, aOnItem);
  // Reads the keys with a prefix that sort after a key.
  aStore.List(aKey, aKey, aOnPage);
  // Reads the changes below a prefix after a revision, waiting for the first one at most aTime.
  aStore.Watch(aKey, aAfter, aTime, aOnEvents);
  aStore.Write(aWrites, aOnWrite);
  // Asks for a lease of a time.
  aStore.GrantLease(aTime, aOnLease);
  // Starts the lease's time anew.
  aStore.RenewLease(aLease, aOnRenewal);
};

} // namespace lovagerock::kv
