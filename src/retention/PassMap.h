#pragma once

#include "base/Hash.h"

#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace lovagerock::retention {

// What is known of keys from one pass over them to the next. Keys that a whole pass doesn't name
// are forgotten. Keys are kept as hashes: about 40 bytes each, in place of 150 with their text.
template<typename Value>
class PassMap
{
public:
  // What an earlier part of this pass or the last pass knows; null if nothing.
  const Value* Find(std::string_view aKey) const
  {
    const auto hash = HashText(aKey);
    const auto it = mNext.find(hash);
    if (it != mNext.end()) {
      return &it->second;
    }
    const auto last = mLast.find(hash);
    return last == mLast.end() ? nullptr : &last->second;
  }

  // Names the key in this pass.
  void Keep(std::string_view aKey, Value aValue)
  {
    const auto hash = HashText(aKey);
    mLast.erase(hash);
    mNext[hash] = std::move(aValue);
  }

  // After a pass that was cut short nothing is forgotten.
  void EndPass(bool aComplete)
  {
    if (!aComplete) {
      mNext.merge(mLast);
    }
    mLast = std::exchange(mNext, {});
  }

private:
  std::unordered_map<std::uint64_t, Value> mLast;
  std::unordered_map<std::uint64_t, Value> mNext;
};

} // namespace lovagerock::retention
