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

// Returns the batch's writes, progress before racks as ProgressBatch requires; appends the keys of
// racks without workers to aDeletes.
std::vector<kv::ConditionalWrites::Write>
WritesOf(const scheduler::ProgressBatch& aBatch, std::vector<std::string>& aDeletes);

// Returns all keys of the jobs. Progress keys come last, so that no job record is ever listed after
// its progress has been deleted.
std::vector<std::string>
KeysOf(const std::vector<JobId>& aJobs);

} // namespace lovagerock::control
