#pragma once

#include "base/Json.h"
#include "scheduler/Job.h"

#include <optional>
#include <string>

namespace lovagerock::scheduler {

// Serializes an accepted job for the store.
std::string
WriteAcceptedJob(const AcceptedJob& aJob);
// Parses a stored job; returns nullopt if it is malformed.
std::optional<AcceptedJob>
ReadAcceptedJob(const std::string& aText);

// Serializes a job's progress for the store: the state that a scheduler needs when it takes over
// and can't learn from the workers.
std::string
WriteProgress(const Job& aJob);
// Sets the state of a newly created job from its stored progress. Returns false if the progress is
// malformed; the job may then be partly changed.
bool
ReadProgress(const std::string& aText, Job& aJob);

// Returns the job state from a stored progress; nullopt if it is malformed.
std::optional<JobState>
ReadState(const std::string& aText);
// The inverse of JobStateName(); nullopt for an unknown name.
std::optional<JobState>
ParseJobState(std::string_view aName);

} // namespace lovagerock::scheduler
