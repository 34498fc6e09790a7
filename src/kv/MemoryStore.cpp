#include "kv/MemoryStore.h"

#include "kv/KvError.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace lovagerock::kv {

namespace detail {
namespace {

// The size of an entry in an answer of the service, without its key and value.
constexpr std::size_t kEntryFrame = 90;

} // namespace
} // namespace detail

MemoryStore::MemoryStore(EventLoop& aLoop)
  : mLoop(aLoop)
{
}

void
MemoryStore::Get(const std::string& aKey, GetCallback aCallback)
{
  ++mCalls;
  const std::error_code ec = mAvailable ? std::error_code() : make_error_code(KvError::Unavailable);
  auto entry = mAvailable ? Find(aKey) : std::nullopt;
  mLoop.Post([=, callback = std::move(aCallback)] { callback(ec, entry); });
}

void
MemoryStore::List(const std::string& aPrefix, ListCallback aCallback)
{
  ListPage(aPrefix, Bytes(std::numeric_limits<std::int64_t>::max()), std::move(aCallback));
}

void
MemoryStore::ListPage(const std::string& aPrefix, Bytes aLimit, ListCallback aCallback)
{
  ++mCalls;
  std::vector<Entry> entries;
  std::size_t size = 0;
  for (auto it = mEntries.lower_bound(aPrefix);
       it != mEntries.end() && it->first.starts_with(aPrefix); ++it) {
    entries.push_back(it->second);
    size += detail::kEntryFrame + it->first.size() + it->second.mValue.size() * 4 / 3;
  }
  const auto ec = ListError(size, aLimit);
  if (ec) {
    entries.clear();
  }
  mLoop.Post([=, callback = std::move(aCallback)] { callback(ec, entries); });
}

void
MemoryStore::ListNames(const std::string& aPrefix, const std::string& aSeparator, Bytes aLimit,
                       NamesCallback aCallback)
{
  ++mCalls;
  NameList list;
  std::size_t size = 0;
  for (auto it = mEntries.lower_bound(aPrefix);
       it != mEntries.end() && it->first.starts_with(aPrefix); ++it) {
    list.mIndex = std::max(list.mIndex, it->second.mModifyIndex);
    const auto n =
      aSeparator.empty() ? std::string::npos : it->first.find(aSeparator, aPrefix.size());
    auto name = n == std::string::npos ? it->first : it->first.substr(0, n + aSeparator.size());
    if (list.mNames.empty() || list.mNames.back() != name) {
      size += name.size() + 3;
      list.mNames.push_back(std::move(name));
    }
  }
  const auto ec = ListError(size, aLimit);
  if (ec) {
    list = {};
  }
  mLoop.Post([=, callback = std::move(aCallback)] { callback(ec, list); });
}

void
MemoryStore::Transact(std::vector<Operation> aOperations, TransactCallback aCallback)
{
  ++mCalls;
  if (mHangs) {
    return;
  }
  TransactionResult result;
  std::error_code ec;
  if (!mAvailable) {
    ec = KvError::Unavailable;
  } else {
    for (std::size_t i = 0; i < aOperations.size(); ++i) {
      if (!Holds(aOperations[i])) {
        result.mFailed.push_back(i);
      }
    }
    result.mApplied = result.mFailed.empty();
  }
  if (result.mApplied) {
    for (const auto& it : aOperations) {
      result.mModifyIndexes.push_back(Apply(it));
    }
    NotifyWaiters();
  }
  if (!ec && std::exchange(mDownAfterWrite, false)) {
    mLostAnswers = 1;
    SetAvailable(false);
  }
  if (!ec && mLostAnswers > 0) {
    --mLostAnswers;
    ec = KvError::OutcomeUnknown;
    result = {};
  }
  mLoop.Post([=, callback = std::move(aCallback)] { callback(ec, result); });
}

void
MemoryStore::Watch(const std::string& aKey, ModifyIndex aSince, Duration aWait,
                   GetCallback aCallback)
{
  const auto entry = Find(aKey);
  if (!mAvailable || (entry ? entry->mModifyIndex : 0) != aSince) {
    Get(aKey, std::move(aCallback));
    return;
  }
  ++mCalls;
  const auto id = mNextWaiter++;
  auto timeout = mLoop.After(aWait, [this, id] { EndWaiter(id, {}); });
  mWaiters.emplace(id, Waiter{ aKey, aSince, std::move(aCallback), std::move(timeout) });
}

void
MemoryStore::SetAvailable(bool aAvailable)
{
  mAvailable = aAvailable;
  while (!mAvailable && !mWaiters.empty()) {
    EndWaiter(mWaiters.begin()->first, KvError::Unavailable);
  }
}

void
MemoryStore::LoseAnswers(int aCount)
{
  mLostAnswers = aCount;
}

void
MemoryStore::Restore(const std::string& aKey, const std::string& aValue, ModifyIndex aIndex)
{
  mEntries[aKey] = Entry{ aKey, aValue, aIndex };
  NotifyWaiters();
}

std::optional<Entry>
MemoryStore::Find(const std::string& aKey) const
{
  const auto it = mEntries.find(aKey);
  return it == mEntries.end() ? std::nullopt : std::optional(it->second);
}

bool
MemoryStore::Holds(const Operation& aOperation) const
{
  if (aOperation.mKind == Operation::Kind::Set || aOperation.mKind == Operation::Kind::Delete) {
    return true;
  }
  const auto entry = Find(aOperation.mKey);
  return (entry ? entry->mModifyIndex : 0) == aOperation.mModifyIndex;
}

std::error_code
MemoryStore::ListError(std::size_t aSize, Bytes aLimit) const
{
  if (!mAvailable) {
    return KvError::Unavailable;
  }
  const bool tooLarge = aSize > static_cast<std::size_t>(aLimit.Value());
  return tooLarge ? make_error_code(KvError::TooLarge) : std::error_code();
}

ModifyIndex
MemoryStore::Apply(const Operation& aOperation)
{
  if (aOperation.mKind == Operation::Kind::Check) {
    return aOperation.mModifyIndex;
  }
  ++mLastIndex;
  const bool isDelete = aOperation.mKind == Operation::Kind::Delete ||
                        aOperation.mKind == Operation::Kind::CompareAndDelete;
  if (isDelete) {
    mEntries.erase(aOperation.mKey);
    return 0;
  }
  mEntries[aOperation.mKey] = Entry{ aOperation.mKey, aOperation.mValue, mLastIndex };
  return mLastIndex;
}

void
MemoryStore::NotifyWaiters()
{
  std::vector<std::size_t> due;
  for (const auto& [id, waiter] : mWaiters) {
    const auto entry = Find(waiter.mKey);
    if ((entry ? entry->mModifyIndex : 0) != waiter.mSince) {
      due.push_back(id);
    }
  }
  for (const auto it : due) {
    EndWaiter(it, {});
  }
}

void
MemoryStore::EndWaiter(std::size_t aId, std::error_code aError)
{
  auto node = mWaiters.extract(aId);
  if (node.empty()) {
    return;
  }
  auto& waiter = node.mapped();
  auto entry = aError ? std::nullopt : Find(waiter.mKey);
  mLoop.Post([=, callback = std::move(waiter.mCallback)] { callback(aError, entry); });
}

} // namespace lovagerock::kv
