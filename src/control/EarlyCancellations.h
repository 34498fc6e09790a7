#pragma once

#include "base/Ids.h"
#include "kv/PrefixStore.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace lovagerock::control {

// The writes that record a cancellation by an account of a job which isn't stored, or which the
// account may not see. It is acknowledged like that of a job that doesn't exist, but the submission
// may still be under way: unread by a node that stands still, or in a write that the store carries
// out late.
kv::ConditionalWrites
EarlyCancellationWrites(const JobId& aJob, const AccountId& aAccount, std::int64_t aNowMs);

// The recorded early cancellations as the leader knows them. Each one is for jobs of its account
// alone, because callers choose the ids of jobs. Records are kept for kEarlyCancellationTime.
class EarlyCancellations
{
public:
  // Takes the record if the key is that of one, and returns its job. aNowMs is the wall-clock time,
  // which counts for a record that doesn't tell a time or one that is still to come.
  std::optional<JobId>
  OnRecord(const std::string& aKey, const std::string& aValue, std::int64_t aNowMs);
  // Whether the account has cancelled the job before it was stored.
  bool Covers(const JobId& aJob, const AccountId& aAccount) const;
  // Returns the keys of the records that are to be deleted.
  std::vector<std::string> Expired(std::int64_t aNowMs) const;
  // Expired records were deleted. One that was written again since then stays.
  void RemoveExpired(const std::vector<std::string>& aKeys, std::int64_t aNowMs);
  std::size_t Count() const { return mRecordedMs.size(); }

private:
  // By key.
  std::unordered_map<std::string, std::int64_t> mRecordedMs;
};

} // namespace lovagerock::control
