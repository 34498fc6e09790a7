#pragma once

#include "base/Json.h"
#include "scheduler/Job.h"

#include <optional>
#include <string>

namespace lovagerock::scheduler {

// The stored form of an accepted job.
std::string
WriteAcceptedJob(const AcceptedJob& aJob);
// Reads it; nothing if it is malformed.
std::optional<AcceptedJob>
ReadAcceptedJob(const std::string& aText);

// The stored form of a job's progress: what a scheduler that takes over must know and can't learn
// from the workers.
std::string
WriteProgress(const Job& aJob);
// Sets a new job's state from its stored progress; false if that is malformed.
bool
ReadProgress(const std::string& aText, Job& aJob);

// The state in a stored progress, without the rest; nothing if it is malformed.
std::optional<JobState>
ReadState(const std::string& aText);
// Reads a state's name.
std::optional<JobState>
ParseJobState(std::string_view aName);

} // namespace lovagerock::scheduler
