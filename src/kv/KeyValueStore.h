#pragma once

#include "base/Units.h"

#include <concepts>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

namespace lovagerock::kv {

// The version of a key's value, given by the service; 0 stands for "the key is absent".
using ModifyIndex = std::uint64_t;

// A key with its value.
struct Entry
{
  std::string mKey;
  std::string mValue;
  ModifyIndex mModifyIndex = 0;
};

// One write of a transaction, or a write on its own.
struct Operation
{
  enum class Kind
  {
    // Sets the value if the key's version is mModifyIndex; 0 creates only.
    CompareAndSet,
    // Deletes the key if its version is mModifyIndex.
    CompareAndDelete,
    // Sets the value whatever the version is.
    Set,
    // Deletes the key whatever the version is.
    Delete,
    // Writes nothing; the key's version must be mModifyIndex, or the key absent if that is 0.
    Check,
  };

  Kind mKind = Kind::CompareAndSet;
  std::string mKey;
  std::string mValue;
  ModifyIndex mModifyIndex = 0;
};

// The service takes at most this many operations in one transaction.
inline constexpr std::size_t kMaxOperations = 64;
// The service takes values up to this size.
inline constexpr Bytes kMaxValue{ 1024 * 1024 };

// The outcome of a transaction, which takes effect as a whole or not at all.
struct TransactionResult
{
  bool mApplied = false;
  // If applied: the new version of each operation's key, in order (0 for deletes).
  std::vector<ModifyIndex> mModifyIndexes;
  // If not applied: positions of the operations whose comparison failed.
  std::vector<std::size_t> mFailed;
};

// The names that a listing found, in order.
struct NameList
{
  std::vector<std::string> mNames;
  // The highest version of the keys below the prefix; it also rises when one of them is deleted.
  ModifyIndex mIndex = 0;
};

using NamesCallback = std::function<void(std::error_code, NameList)>;
using GetCallback = std::function<void(std::error_code, std::optional<Entry>)>;
using ListCallback = std::function<void(std::error_code, std::vector<Entry>)>;
using TransactCallback = std::function<void(std::error_code, TransactionResult)>;

// The platform's key-value service as the modules use it. Calls are asynchronous, callbacks run on
// the caller's loop and never inside the call. Errors are KvError. Every call counts against the
// service's rate.
template<typename T>
concept KeyValueStore = requires(T aStore, const std::string& aKey,
                                 std::vector<Operation> aOperations, ModifyIndex aSince,
                                 Duration aWait, Bytes aLimit, GetCallback aOnGet,
                                 ListCallback aOnList, NamesCallback aOnNames,
                                 TransactCallback aOnTransact)
{
  // Reads one key; no entry if it is absent.
  aStore.Get(aKey, aOnGet);
  // Reads all keys with a prefix.
  aStore.List(aKey, aOnList);
  // The same, but fails with TooLarge if the answer would exceed aLimit.
  aStore.ListPage(aKey, aLimit, aOnList);
  // Reads the names of all keys with a prefix, without their values. Names are cut after the first
  // separator that follows the prefix, and equal ones are given once; an empty separator cuts none.
  // Fails with TooLarge if the answer would exceed aLimit.
  aStore.ListNames(aKey, aKey, aLimit, aOnNames);
  // Applies 1 to kMaxOperations writes as a whole.
  aStore.Transact(aOperations, aOnTransact);
  // Reads one key once its version differs from aSince, or after aWait.
  aStore.Watch(aKey, aSince, aWait, aOnGet);
};

} // namespace lovagerock::kv
