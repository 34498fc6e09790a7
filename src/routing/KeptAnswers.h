#pragma once

#include "routing/FinalAnswer.h"

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>

namespace lovagerock::routing {

// The answers of recent keyed non-idempotent requests of this node, for retries. The oldest are
// dropped when all together exceed 16 MiB. Belongs to its loop.
class KeptAnswers
{
public:
  struct Entry
  {
    std::string mToken;
    std::string mFingerprint;
    FinalAnswer mAnswer;
  };

  // Keeps an answer under a claim key; the first answer of a key stays.
  void Add(const std::string& aKey, Entry aEntry);
  // Null if the key has no answer.
  const Entry* Find(const std::string& aKey) const;

private:
  static constexpr std::size_t kMaxBytes = 16 * 1024 * 1024;

  std::unordered_map<std::string, Entry> mEntries;
  std::deque<std::string> mOrder;
  std::size_t mBytes = 0;
};

} // namespace lovagerock::routing
