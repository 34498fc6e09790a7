#pragma once

#include "base/Ids.h"
#include "kv/PrefixStore.h"

#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lovagerock::control {

// Keys of what the nodes keep in the store.
inline constexpr std::string_view kLeaderPrefix = "leader/";
inline constexpr std::string_view kLeaderKey = "leader/node";
// What callers asked for; the leader watches it.
inline constexpr std::string_view kRequestPrefix = "requests/";
inline constexpr std::string_view kJobPrefix = "requests/job/";
inline constexpr std::string_view kCancelPrefix = "requests/cancel/";
// What the leader writes.
inline constexpr std::string_view kRecordPrefix = "progress/";
inline constexpr std::string_view kProgressPrefix = "progress/job/";
// The workers of each rack on which work may be started.
inline constexpr std::string_view kRackPrefix = "progress/rack/";
// Rewritten with each batch of progress, so that a batch that is carried out late has no effect.
// Holds the version of the leader's key, so that it tells which leader stored progress last.
inline constexpr std::string_view kBatchKey = "progress/batch";

inline std::string
WriteBatchOwner(kv::Revision aLeader)
{
  return std::to_string(aLeader.Value());
}

// The leader that wrote the batch key; nothing if its value is malformed.
inline std::optional<kv::Revision>
ReadBatchOwner(std::string_view aText)
{
  std::int64_t leader = 0;
  const auto result = std::from_chars(aText.data(), aText.data() + aText.size(), leader);
  return result.ec == std::errc() ? std::optional(kv::Revision(leader)) : std::nullopt;
}

inline std::string
KeyOf(std::string_view aPrefix, const JobId& aJob)
{
  return std::string(aPrefix) + aJob.Value();
}

// The job of a key below the prefix; nothing if the key isn't below it.
inline std::optional<JobId>
JobOfKey(std::string_view aPrefix, std::string_view aKey)
{
  if (!aKey.starts_with(aPrefix)) {
    return std::nullopt;
  }
  return JobId(std::string(aKey.substr(aPrefix.size())));
}

} // namespace lovagerock::control
