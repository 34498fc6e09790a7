#pragma once

#include "base/Hash.h"

#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace lovagerock::retention {

// Stores a value per key from one pass over the keys to the next. A key that is not set during a
// complete pass is removed. Keys are stored as hashes, which takes about 40 bytes per key instead
// of 150 with the text.
template<typename Value>
class PassMap
{
public:
  // Returns the value set in this pass or else in the previous one; null if there is none.
  const Value* Find(std::string_view aKey) const
  {
    const auto hash = HashText(aKey);
    const auto it = mCurrent.find(hash);
    if (it != mCurrent.end()) {
      return &it->second;
    }
    const auto previous = mPrevious.find(hash);
    return previous == mPrevious.end() ? nullptr : &previous->second;
  }

  // Sets the key's value in this pass.
  void Set(std::string_view aKey, Value aValue)
  {
    const auto hash = HashText(aKey);
    mPrevious.erase(hash);
    mCurrent[hash] = std::move(aValue);
  }

  // Removes the keys that were not set in this pass, unless the pass was cut short.
  void EndPass(bool aComplete)
  {
    if (!aComplete) {
      mCurrent.merge(mPrevious);
    }
    mPrevious = std::exchange(mCurrent, {});
  }

private:
  std::unordered_map<std::uint64_t, Value> mPrevious;
  std::unordered_map<std::uint64_t, Value> mCurrent;
};

} // namespace lovagerock::retention
