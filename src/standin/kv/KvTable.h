#pragma once

#include "base/Units.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lovagerock::standin {

// A key of the table as Consul describes it.
struct KvItem
{
  std::string mKey;
  std::string mValue;
  std::uint64_t mFlags = 0;
  std::uint64_t mCreateIndex = 0;
  std::uint64_t mModifyIndex = 0;
  std::uint64_t mLockIndex = 0;
  // The session that holds the key's lock; empty if none.
  std::string mSession;
};

// One operation of a transaction.
struct KvOperation
{
  enum class Verb
  {
    Set,
    Cas,
    Delete,
    DeleteCas,
    CheckIndex,
    CheckNotExists,
    Get
  };

  Verb mVerb = Verb::Set;
  std::string mKey;
  std::string mValue;
  std::uint64_t mFlags = 0;
  std::uint64_t mIndex = 0;
};

// The outcome of a transaction: results if there are no errors, else no effect.
struct KvTransaction
{
  struct Error
  {
    std::size_t mOperation;
    std::string mWhat;
  };

  std::vector<KvItem> mResults;
  std::vector<Error> mErrors;
};

// The data and the semantics of the stand-in key-value service, without any transport. Indexes
// only grow. Copyable, so that a copy serves as a snapshot.
class KvTable
{
public:
  static constexpr std::size_t kMaxValue = 1024 * 1024;
  static constexpr std::size_t kMaxOperations = 64;

  std::optional<KvItem> Get(const std::string& aKey) const;
  std::vector<KvItem> List(const std::string& aPrefix) const;
  // The names of the keys with the prefix, each cut after the first separator that follows the
  // prefix and given once; an empty separator cuts none.
  std::vector<std::string>
  ListNames(const std::string& aPrefix, const std::string& aSeparator) const;
  // The index of a key's last change, deletions included; 1 if it never existed.
  std::uint64_t IndexOf(const std::string& aKey) const;
  // The highest IndexOf() of all keys with the prefix.
  std::uint64_t IndexOfPrefix(const std::string& aPrefix) const;

  // Sets a value; with aCas only if the key has that index (0: is absent). False if not applied.
  bool Put(const std::string& aKey, const std::string& aValue, std::optional<std::uint64_t> aCas);
  // Deletes a key; with aCas only if it has that index. An absent key counts as deleted.
  bool Delete(const std::string& aKey, std::optional<std::uint64_t> aCas);
  void DeletePrefix(const std::string& aPrefix);
  KvTransaction Transact(const std::vector<KvOperation>& aOperations);

  // Creates a session whose locks are released when it ends; deleted with it if aDeletesKeys.
  // A TTL of 0 never lapses.
  std::string CreateSession(Duration aTtl, bool aDeletesKeys, TimePoint aNow);
  bool RenewSession(const std::string& aSession, TimePoint aNow);
  bool DestroySession(const std::string& aSession);
  // Ends the sessions whose TTL has lapsed; true if there was one.
  bool ExpireSessions(TimePoint aNow);
  std::optional<Duration> SessionTtl(const std::string& aSession) const;
  bool Acquire(const std::string& aKey, const std::string& aValue, const std::string& aSession);
  bool Release(const std::string& aKey, const std::string& aValue, const std::string& aSession);

  // Goes back to the data of a snapshot. Indexes keep growing, as after a restore into a cluster
  // that goes on.
  void Restore(const KvTable& aSnapshot);

private:
  struct Session
  {
    Duration mTtl;
    TimePoint mRenewed;
    bool mDeletesKeys;
  };

  // A key before an operation of a transaction, to undo the operation.
  struct KeyState
  {
    std::string mKey;
    std::optional<KvItem> mItem;
    std::optional<std::uint64_t> mTombstone;
  };

  bool HasIndex(const std::string& aKey, std::uint64_t aIndex) const;
  std::string Check(const KvOperation& aOperation) const;
  std::optional<KvItem> Apply(const KvOperation& aOperation, std::uint64_t aIndex);
  KvItem& Write(const std::string& aKey, const std::string& aValue, std::uint64_t aIndex);
  void Erase(const std::string& aKey, std::uint64_t aIndex);
  KeyState StateOf(const std::string& aKey) const;
  void Undo(const std::vector<KeyState>& aStates);

  std::map<std::string, KvItem> mItems;
  // Index at which each deleted key was deleted.
  std::map<std::string, std::uint64_t> mTombstones;
  std::map<std::string, Session> mSessions;
  std::uint64_t mLastIndex = 1;
  std::uint64_t mLastSession = 0;
};

} // namespace lovagerock::standin
