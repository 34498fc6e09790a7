#pragma once

#include "base/Ids.h"

#include <optional>
#include <string>
#include <string_view>

namespace lovagerock::control {

// Keys of the nodes' data in the store.
inline constexpr std::string_view kLeaderPrefix = "leader/";
inline constexpr std::string_view kLeaderKey = "leader/node";
// Rewritten with each claim of the leadership, so that its revision is the last leader's token. Its
// value is a ClaimRecord.
inline constexpr std::string_view kLastLeaderKey = "leader/last";
// Rewritten by a leader that resigns; its value is that leadership's token. A leader that ends
// without it has not been confirmed for the time of its lease before the next claim.
inline constexpr std::string_view kResignedKey = "leader/resigned";
// The witnesses of the leaders, see Witness.
inline constexpr std::string_view kWitnessKey = "leader/witnesses";
// The groups whose submissions nodes refuse, see Backlog. Written by the leader.
inline constexpr std::string_view kClosedGroupsKey = "leader/closed";
// Requests of callers; the leader watches them.
inline constexpr std::string_view kRequestPrefix = "requests/";
inline constexpr std::string_view kJobPrefix = "requests/job/";
inline constexpr std::string_view kCancelPrefix = "requests/cancel/";
// Cancellations of jobs that weren't stored, see EarlyCancellations.
inline constexpr std::string_view kEarlyCancelPrefix = "requests/early-cancel/";
// Records that the leader writes.
inline constexpr std::string_view kRecordPrefix = "progress/";
inline constexpr std::string_view kProgressPrefix = "progress/job/";
// For each rack, the workers on which work may be started.
inline constexpr std::string_view kRackPrefix = "progress/rack/";
// The workers' speeds as the last leader has learned them.
inline constexpr std::string_view kSpeedsKey = "progress/speeds";
// The token of a leadership whose takeover was settled.
inline constexpr std::string_view kSettledKey = "progress/settled";
// Rewritten with each batch of progress, so that a batch that the store applies late has no effect.
inline constexpr std::string_view kBatchKey = "progress/batch";

inline std::string
KeyOf(std::string_view aPrefix, const JobId& aJob)
{
  return std::string(aPrefix) + aJob.Value();
}

// Returns the job id in a key with the prefix; nullopt if the key has another prefix.
inline std::optional<JobId>
JobOfKey(std::string_view aPrefix, std::string_view aKey)
{
  if (!aKey.starts_with(aPrefix)) {
    return std::nullopt;
  }
  return JobId(std::string(aKey.substr(aPrefix.size())));
}

} // namespace lovagerock::control
