#pragma once

#include "kv/PrefixStore.h"

#include <string>
#include <unordered_set>
#include <vector>

namespace lovagerock::control {

// The records that a batch had when it was taken and that aren't known to be stored yet. Each may
// be stored as the batch has it or in a newer form, by whatever transaction: until all of them are,
// nothing may be done that relies on the batch.
class AwaitedRecords
{
public:
  // Awaits all keys that are written or deleted.
  AwaitedRecords(const std::vector<kv::ConditionalWrites::Write>& aWrites,
                 const std::vector<std::string>& aDeletes)
    : mKeys(aDeletes.begin(), aDeletes.end())
  {
    for (const auto& it : aWrites) {
      mKeys.insert(it.mKey);
    }
  }

  // The key was written or deleted as the batch has it, or in a newer form.
  void OnStored(const std::string& aKey) { mKeys.erase(aKey); }
  bool Contains(const std::string& aKey) const { return mKeys.contains(aKey); }
  bool IsEmpty() const { return mKeys.empty(); }

private:
  std::unordered_set<std::string> mKeys;
};

} // namespace lovagerock::control
