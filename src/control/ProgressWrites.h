#pragma once

#include "kv/PrefixStore.h"
#include "scheduler/Orders.h"

#include <set>
#include <string>
#include <vector>

namespace lovagerock::control {

// Moves the writes of the jobs to the front.
void
PutFirst(const std::set<JobId>& aJobs, std::vector<scheduler::ProgressWrite>& aWrites);

// Returns the writes of the jobs' progress.
std::vector<kv::ConditionalWrites::Write>
WritesOf(const std::vector<scheduler::ProgressWrite>& aProgress);

// The changes of rack records: those of racks without workers are deleted.
struct RackChanges
{
  std::vector<kv::ConditionalWrites::Write> mWrites;
  std::vector<std::string> mDeletes;
};

RackChanges
ChangesOf(const std::vector<scheduler::RackWrite>& aRacks);

// Returns all keys of the jobs. Progress keys come last, so that no job record is ever listed after
// its progress has been deleted.
std::vector<std::string>
KeysOf(const std::vector<JobId>& aJobs);

} // namespace lovagerock::control
