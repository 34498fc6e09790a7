#pragma once

#include "base/EventLoop.h"
#include "kv/KeyValueStore.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace lovagerock::kv {

// A key-value store in memory with the service's semantics and its faults, for tests. Values
// outlive outages. Belongs to its loop.
class MemoryStore
{
public:
  explicit MemoryStore(EventLoop& aLoop);

  void Get(const std::string& aKey, GetCallback aCallback);
  void List(const std::string& aPrefix, ListCallback aCallback);
  void ListPage(const std::string& aPrefix, Bytes aLimit, ListCallback aCallback);
  void ListNames(const std::string& aPrefix, const std::string& aSeparator, Bytes aLimit,
                 NamesCallback aCallback);
  void Transact(std::vector<Operation> aOperations, TransactCallback aCallback);
  void Watch(const std::string& aKey, ModifyIndex aSince, Duration aWait, GetCallback aCallback);

  // While unavailable every call fails with Unavailable and no effect.
  void SetAvailable(bool aAvailable);
  // The next transactions take effect, but their callers get OutcomeUnknown.
  void LoseAnswers(int aCount);
  // The next transaction takes effect, its caller gets OutcomeUnknown, and the store is unavailable
  // from then on.
  void GoDownAfterWrite() { mDownAfterWrite = true; }
  // From now on transactions have no effect and their callers get no answer, as at a service that
  // accepts calls and hangs.
  void Hang() { mHangs = true; }
  // Number of calls so far.
  std::size_t Calls() const { return mCalls; }
  // Writes a value directly, as a restored backup would.
  void Restore(const std::string& aKey, const std::string& aValue, ModifyIndex aIndex);

private:
  struct Waiter
  {
    std::string mKey;
    ModifyIndex mSince;
    GetCallback mCallback;
    Timer mTimeout;
  };

  std::optional<Entry> Find(const std::string& aKey) const;
  bool Holds(const Operation& aOperation) const;
  std::error_code ListError(std::size_t aSize, Bytes aLimit) const;
  ModifyIndex Apply(const Operation& aOperation);
  void NotifyWaiters();
  void EndWaiter(std::size_t aId, std::error_code aError);

  EventLoop& mLoop;
  std::map<std::string, Entry> mEntries;
  std::map<std::size_t, Waiter> mWaiters;
  std::size_t mNextWaiter = 0;
  ModifyIndex mLastIndex = 0;
  std::size_t mCalls = 0;
  int mLostAnswers = 0;
  bool mDownAfterWrite = false;
  bool mAvailable = true;
  bool mHangs = false;
};

static_assert(KeyValueStore<MemoryStore>);

} // namespace lovagerock::kv
