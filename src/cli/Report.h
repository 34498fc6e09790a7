#pragma once

#include "cli/AdminClient.h"
#include "cli/Console.h"
#include "cli/ExitCode.h"
#include "config/Problem.h"

#include <string>
#include <vector>

namespace lovagerock::cli {

// Prints the problems of a file, as JSON on standard output if asked for, and gives Refused.
ExitCode
ReportProblems(const std::vector<config::Problem>& aProblems, bool aJson, const Console& aConsole);

// Prints why a call did not succeed and gives the exit status: Refused for a refusal, Unreachable
// if no node answered or is ready. Problems of a file get the file's name.
ExitCode
ReportFailure(const CallResult& aResult, const std::string& aFile, bool aJson,
              const Console& aConsole);

} // namespace lovagerock::cli
