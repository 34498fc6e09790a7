#include "control/ProgressWrites.h"

#include "control/Keys.h"
#include "scheduler/RackRecord.h"

#include <algorithm>
#include <utility>

namespace lovagerock::control {

void
PutFirst(const std::set<JobId>& aJobs, std::vector<scheduler::ProgressWrite>& aWrites)
{
  std::stable_partition(aWrites.begin(), aWrites.end(),
                        [&aJobs](const auto& aIt) { return aJobs.contains(aIt.mJob); });
}

std::vector<kv::ConditionalWrites::Write>
WritesOf(const std::vector<scheduler::ProgressWrite>& aProgress)
{
  std::vector<kv::ConditionalWrites::Write> writes;
  writes.reserve(aProgress.size());
  for (const auto& it : aProgress) {
    writes.push_back({ KeyOf(kProgressPrefix, it.mJob), it.mText, {} });
  }
  return writes;
}

RackChanges
ChangesOf(const std::vector<scheduler::RackWrite>& aRacks)
{
  RackChanges changes;
  for (const auto& it : aRacks) {
    auto key = std::string(kRackPrefix) + it.mRack.Value();
    if (it.mWorkers.empty()) {
      changes.mDeletes.push_back(std::move(key));
    } else {
      changes.mWrites.push_back({ std::move(key), scheduler::WriteRackRecord(it.mWorkers), {} });
    }
  }
  return changes;
}

std::vector<std::string>
KeysOf(const std::vector<JobId>& aJobs)
{
  std::vector<std::string> keys;
  keys.reserve(3 * aJobs.size());
  for (const auto prefix : { kJobPrefix, kCancelPrefix, kProgressPrefix }) {
    for (const auto& job : aJobs) {
      keys.push_back(KeyOf(prefix, job));
    }
  }
  return keys;
}

} // namespace lovagerock::control
