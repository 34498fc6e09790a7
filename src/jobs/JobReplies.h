#pragma once

#include "base/Units.h"
#include "http/HttpMessage.h"
#include "jobs/JobRecord.h"

#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace lovagerock::jobs {

// Returns the JSON description of a job for its caller.
std::string
DescribeJob(const JobRecord& aRecord);

// Builds an error response with a machine-readable error code, a message, whether the job ran, and
// whether a retry makes sense.
http::Response
RefuseJob(int aStatus, std::string_view aError, std::string_view aMessage, std::string_view aRan,
          bool aRetry);

http::Response
RefuseUnauthorized();

// Builds the error response for a submitted job with the given problems.
http::Response
RefuseSpec(const std::vector<SpecProblem>& aProblems);

// Builds the error response for a JobError. aRan is reported only if the store is unavailable; with
// other errors it is unknown whether the job ran.
http::Response
RefuseForError(std::error_code aError, std::string_view aRan);

// Parses a waiting time in milliseconds and clamps it to [0, aMax]. Returns 0 if it is empty or
// malformed.
Duration
ReadWait(const std::string& aText, Duration aMax);

// Parses a task number. An empty text means task 0 of a single-task job. Returns nullopt if it is
// invalid.
std::optional<int>
ReadTask(const std::string& aText, int aTasks);

} // namespace lovagerock::jobs
