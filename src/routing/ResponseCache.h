#pragma once

#include "routing/FinalResponse.h"

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>

namespace lovagerock::routing {

// Caches the responses to recent non-idempotent requests with an idempotency key, for retries on
// this node. Evicts the oldest when the total size exceeds 16 MiB. Not thread-safe.
class ResponseCache
{
public:
  struct Entry
  {
    std::string mToken;
    std::string mFingerprint;
    FinalResponse mFinalResponse;
  };

  // Caches a response under its claim key. Does nothing if the key already has one.
  void Add(const std::string& aKey, Entry aEntry);
  // Returns null if the key has no cached response.
  const Entry* Find(const std::string& aKey) const;

private:
  static constexpr std::size_t kMaxBytes = 16 * 1024 * 1024;

  std::unordered_map<std::string, Entry> mEntries;
  std::deque<std::string> mOrder;
  std::size_t mBytes = 0;
};

} // namespace lovagerock::routing
