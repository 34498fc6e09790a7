#pragma once

#include "base/Ids.h"
#include "cli/AdminClient.h"
#include "cli/Console.h"
#include "cli/ExitCode.h"
#include "cli/Options.h"

#include <string>

namespace lovagerock::cli {

// Prints one view of the system: "config", "nodes", "queues", "placements" or "workers".
ExitCode
RunShow(const std::string& aView, const Options& aOptions, AdminClient& aClient,
        const Console& aConsole);

// Prints the state of a job and why it waits. Refused if the job is unknown.
ExitCode
RunWhy(const JobId& aJob, const Options& aOptions, AdminClient& aClient, const Console& aConsole);

} // namespace lovagerock::cli
