#pragma once

#include "base/Units.h"

#include <cstdint>

namespace lovagerock::scheduler {

// Limits of the values that are accepted from outside. They are far above what occurs, and low
// enough that sums and products of accepted values don't overflow.

// The highest capacity of a worker, or demand of a task, in any unit.
inline constexpr std::int64_t kMaxAmount = 1'000'000'000;
// The longest duration, over 30 years.
inline constexpr Duration kMaxDuration{ 1'000'000'000'000 };
// The highest time in milliseconds, since 1970 or on a worker's clock; over 3000 years.
inline constexpr std::int64_t kMaxTimeMs = 100'000'000'000'000;
// The highest number that a worker gives to an end or to a version of its entry.
inline constexpr std::int64_t kMaxSequence = std::int64_t{ 1 } << 53;
// The highest number of a run.
inline constexpr int kMaxRun = 1'000'000'000;
inline constexpr double kMaxSlackFactor = 1000;
// The most tasks of a stored step, and the most occurrences of a job. What is accepted has lower
// limits, see JobLimits.
inline constexpr int kMaxTasks = 100'000;
inline constexpr int kMaxOccurrences = 1'000'000;
// The most occurrences of one job that are open at a time.
inline constexpr int kMaxOpenOccurrences = 16;
// The most tasks of the occurrences of one job that are open at a time, unless one occurrence has
// more. The record of their progress has to fit into a value of the store, 1 MiB.
inline constexpr int kMaxOpenTasks = 4096;

} // namespace lovagerock::scheduler
