#pragma once

#include "base/Units.h"
#include "retention/Deletion.h"
#include "retention/FirstSeen.h"

#include <cstdint>
#include <vector>

namespace lovagerock::retention {

// The claims, in any state, that are older than the limit. Unreadable ones and ones without a time
// count from when they were first seen.
std::vector<Deletion>
FindExpiredClaims(const std::vector<kv::Entry>& aEntries, Duration aLimit, std::int64_t aNow,
                  FirstSeen& aSeen);

// The change records that are older than the limit; those without a time count from when they were
// first seen.
std::vector<Deletion>
FindExpiredChanges(const std::vector<kv::Entry>& aEntries, Duration aLimit, std::int64_t aNow,
                   FirstSeen& aSeen);

} // namespace lovagerock::retention
