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

// The JSON description of a job for its caller.
std::string
DescribeJob(const JobRecord& aRecord);

// A refusal with its machine-readable error, whether the job ran, and whether a retry makes sense.
http::Response
RefuseJob(int aStatus, std::string_view aError, std::string_view aMessage, std::string_view aRan,
          bool aRetry);

http::Response
RefuseUnauthorized();

// Lists the problems of a submitted job.
http::Response
RefuseSpec(const std::vector<SpecProblem>& aProblems);

// The refusal for a JobError.
http::Response
RefuseForError(std::error_code aError, std::string_view aRan);

// Reads a waiting time in milliseconds, cut to the longest one; 0 if absent or malformed.
Duration
ReadWait(const std::string& aText, Duration aLongest);

// Reads a task number; an absent one means task 0 of a single-task job. Nothing if it is invalid.
std::optional<int>
ReadTask(const std::string& aText, int aTasks);

} // namespace lovagerock::jobs
