#pragma once

#include "base/Units.h"
#include "retention/Deletion.h"
#include "retention/FirstSeenTimes.h"

#include <cstdint>
#include <vector>

namespace lovagerock::retention {

// Returns the claims, in any state, that have reached the age aRetention. The age of claims that
// cannot be parsed or have no time counts from when they were first seen.
std::vector<Deletion>
FindExpiredClaims(const std::vector<kv::Entry>& aEntries, Duration aRetention, std::int64_t aNow,
                  FirstSeenTimes& aSeen);

// Returns the change records that have reached the age aRetention. The age of records that cannot
// be parsed or have no time counts from when they were first seen.
std::vector<Deletion>
FindExpiredChanges(const std::vector<kv::Entry>& aEntries, Duration aRetention, std::int64_t aNow,
                   FirstSeenTimes& aSeen);

} // namespace lovagerock::retention
