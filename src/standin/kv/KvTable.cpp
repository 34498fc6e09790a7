#include "standin/kv/KvTable.h"

#include <algorithm>

namespace lovagerock::standin {

std::optional<KvItem>
KvTable::Get(const std::string& aKey) const
{
  const auto it = mItems.find(aKey);
  return it == mItems.end() ? std::nullopt : std::optional(it->second);
}

std::vector<KvItem>
KvTable::List(const std::string& aPrefix) const
{
  std::vector<KvItem> items;
  for (auto it = mItems.lower_bound(aPrefix); it != mItems.end() && it->first.starts_with(aPrefix);
       ++it) {
    items.push_back(it->second);
  }
  return items;
}

std::vector<std::string>
KvTable::ListNames(const std::string& aPrefix, const std::string& aSeparator) const
{
  std::vector<std::string> names;
  auto it = mItems.lower_bound(aPrefix);
  while (it != mItems.end() && it->first.starts_with(aPrefix)) {
    const auto n =
      aSeparator.empty() ? std::string::npos : it->first.find(aSeparator, aPrefix.size());
    if (n == std::string::npos) {
      names.push_back(it->first);
      ++it;
      continue;
    }
    names.push_back(it->first.substr(0, n + aSeparator.size()));
    while (it != mItems.end() && it->first.starts_with(names.back())) {
      ++it;
    }
  }
  return names;
}

std::uint64_t
KvTable::IndexOf(const std::string& aKey) const
{
  if (const auto it = mItems.find(aKey); it != mItems.end()) {
    return it->second.mModifyIndex;
  }
  const auto it = mTombstones.find(aKey);
  return it == mTombstones.end() ? 1 : it->second;
}

std::uint64_t
KvTable::IndexOfPrefix(const std::string& aPrefix) const
{
  std::uint64_t index = 1;
  for (auto it = mItems.lower_bound(aPrefix); it != mItems.end() && it->first.starts_with(aPrefix);
       ++it) {
    index = std::max(index, it->second.mModifyIndex);
  }
  for (auto it = mTombstones.lower_bound(aPrefix);
       it != mTombstones.end() && it->first.starts_with(aPrefix); ++it) {
    index = std::max(index, it->second);
  }
  return index;
}

bool
KvTable::Put(const std::string& aKey, const std::string& aValue, std::optional<std::uint64_t> aCas)
{
  if (aCas && !HasIndex(aKey, *aCas)) {
    return false;
  }
  Write(aKey, aValue, ++mLastIndex);
  return true;
}

bool
KvTable::Delete(const std::string& aKey, std::optional<std::uint64_t> aCas)
{
  if (aCas && mItems.contains(aKey) && !HasIndex(aKey, *aCas)) {
    return false;
  }
  Erase(aKey, ++mLastIndex);
  return true;
}

void
KvTable::DeletePrefix(const std::string& aPrefix)
{
  for (const auto& it : List(aPrefix)) {
    Erase(it.mKey, ++mLastIndex);
  }
}

KvTransaction
KvTable::Transact(const std::vector<KvOperation>& aOperations)
{
  KvTransaction transaction;
  std::vector<KeyState> states;
  // All operations of a transaction share its index, and later ones see the effect of earlier ones.
  const auto index = ++mLastIndex;
  for (std::size_t i = 0; i < aOperations.size(); ++i) {
    auto what = Check(aOperations[i]);
    if (!what.empty()) {
      transaction.mErrors.push_back({ i, std::move(what) });
      continue;
    }
    states.push_back(StateOf(aOperations[i].mKey));
    if (auto result = Apply(aOperations[i], index)) {
      transaction.mResults.push_back(std::move(*result));
    }
  }
  if (!transaction.mErrors.empty()) {
    transaction.mResults.clear();
    Undo(states);
  }
  return transaction;
}

std::string
KvTable::CreateSession(Duration aTtl, bool aDeletesKeys, TimePoint aNow)
{
  auto session = "session-" + std::to_string(++mLastSession);
  mSessions[session] = Session{ aTtl, aNow, aDeletesKeys };
  return session;
}

bool
KvTable::RenewSession(const std::string& aSession, TimePoint aNow)
{
  const auto it = mSessions.find(aSession);
  if (it == mSessions.end()) {
    return false;
  }
  it->second.mRenewed = aNow;
  return true;
}

bool
KvTable::DestroySession(const std::string& aSession)
{
  const auto session = mSessions.extract(aSession);
  if (session.empty()) {
    return false;
  }
  for (const auto& it : List("")) {
    if (it.mSession != aSession) {
      continue;
    }
    if (session.mapped().mDeletesKeys) {
      Erase(it.mKey, ++mLastIndex);
    } else {
      Write(it.mKey, it.mValue, ++mLastIndex).mSession.clear();
    }
  }
  return true;
}

bool
KvTable::ExpireSessions(TimePoint aNow)
{
  std::vector<std::string> lapsed;
  for (const auto& [id, session] : mSessions) {
    if (session.mTtl > Duration(0) && aNow - session.mRenewed > session.mTtl) {
      lapsed.push_back(id);
    }
  }
  for (const auto& it : lapsed) {
    DestroySession(it);
  }
  return !lapsed.empty();
}

std::optional<Duration>
KvTable::SessionTtl(const std::string& aSession) const
{
  const auto it = mSessions.find(aSession);
  return it == mSessions.end() ? std::nullopt : std::optional(it->second.mTtl);
}

bool
KvTable::Acquire(const std::string& aKey, const std::string& aValue, const std::string& aSession)
{
  const auto item = Get(aKey);
  const auto holder = item ? item->mSession : std::string();
  if (!mSessions.contains(aSession) || (!holder.empty() && holder != aSession)) {
    return false;
  }
  auto& written = Write(aKey, aValue, ++mLastIndex);
  written.mLockIndex += holder.empty() ? 1 : 0;
  written.mSession = aSession;
  return true;
}

bool
KvTable::Release(const std::string& aKey, const std::string& aValue, const std::string& aSession)
{
  const auto item = Get(aKey);
  if (!item || item->mSession != aSession || aSession.empty()) {
    return false;
  }
  Write(aKey, aValue, ++mLastIndex).mSession.clear();
  return true;
}

void
KvTable::Restore(const KvTable& aSnapshot)
{
  const auto last = mLastIndex;
  const auto session = mLastSession;
  *this = aSnapshot;
  mLastIndex = last + 1;
  mLastSession = session;
}

bool
KvTable::HasIndex(const std::string& aKey, std::uint64_t aIndex) const
{
  const auto it = mItems.find(aKey);
  return (it == mItems.end() ? 0 : it->second.mModifyIndex) == aIndex;
}

std::string
KvTable::Check(const KvOperation& aOperation) const
{
  const bool present = mItems.contains(aOperation.mKey);
  switch (aOperation.mVerb) {
    case KvOperation::Verb::Cas:
      return HasIndex(aOperation.mKey, aOperation.mIndex)
               ? ""
               : "failed to set key \"" + aOperation.mKey + "\", index is stale";
    case KvOperation::Verb::DeleteCas:
      return !present || HasIndex(aOperation.mKey, aOperation.mIndex)
               ? ""
               : "failed to delete key \"" + aOperation.mKey + "\", index is stale";
    case KvOperation::Verb::CheckIndex:
      return present && HasIndex(aOperation.mKey, aOperation.mIndex)
               ? ""
               : "current modify index of key \"" + aOperation.mKey + "\" is not the given one";
    case KvOperation::Verb::CheckNotExists:
      return present ? "key \"" + aOperation.mKey + "\" exists" : "";
    case KvOperation::Verb::Get:
      return present ? "" : "key \"" + aOperation.mKey + "\" doesn't exist";
    case KvOperation::Verb::Set:
    case KvOperation::Verb::Delete:
      return {};
  }
  return {};
}

std::optional<KvItem>
KvTable::Apply(const KvOperation& aOperation, std::uint64_t aIndex)
{
  switch (aOperation.mVerb) {
    case KvOperation::Verb::Set:
    case KvOperation::Verb::Cas: {
      auto& item = Write(aOperation.mKey, aOperation.mValue, aIndex);
      item.mFlags = aOperation.mFlags;
      auto result = item;
      result.mValue.clear();
      return result;
    }
    case KvOperation::Verb::Delete:
    case KvOperation::Verb::DeleteCas:
      Erase(aOperation.mKey, aIndex);
      return std::nullopt;
    case KvOperation::Verb::CheckNotExists:
      return std::nullopt;
    case KvOperation::Verb::CheckIndex: {
      auto result = Get(aOperation.mKey);
      result->mValue.clear();
      return result;
    }
    case KvOperation::Verb::Get:
      return Get(aOperation.mKey);
  }
  return std::nullopt;
}

KvItem&
KvTable::Write(const std::string& aKey, const std::string& aValue, std::uint64_t aIndex)
{
  mTombstones.erase(aKey);
  auto& item = mItems[aKey];
  item.mKey = aKey;
  item.mValue = aValue;
  item.mModifyIndex = aIndex;
  if (item.mCreateIndex == 0) {
    item.mCreateIndex = aIndex;
  }
  return item;
}

void
KvTable::Erase(const std::string& aKey, std::uint64_t aIndex)
{
  if (mItems.erase(aKey) > 0) {
    mTombstones[aKey] = aIndex;
  }
}

KvTable::KeyState
KvTable::StateOf(const std::string& aKey) const
{
  const auto it = mTombstones.find(aKey);
  return { aKey, Get(aKey), it == mTombstones.end() ? std::nullopt : std::optional(it->second) };
}

void
KvTable::Undo(const std::vector<KeyState>& aStates)
{
  for (auto it = aStates.rbegin(); it != aStates.rend(); ++it) {
    mItems.erase(it->mKey);
    mTombstones.erase(it->mKey);
    if (it->mItem) {
      mItems[it->mKey] = *it->mItem;
    }
    if (it->mTombstone) {
      mTombstones[it->mKey] = *it->mTombstone;
    }
  }
}

} // namespace lovagerock::standin
