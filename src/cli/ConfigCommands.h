#pragma once

#include "base/Ids.h"
#include "cli/AdminClient.h"
#include "cli/Console.h"
#include "cli/ExitCode.h"
#include "cli/Options.h"

#include <string>

namespace lovagerock::cli {

// Checks a file here and then, unless offline, on a node, which also knows the workers. Refused if
// the file is invalid or has entries without effect; the warnings of a node don't count. Prints the
// differences to another file if one is given.
ExitCode
RunCheck(const CheckOptions& aArguments, const Options& aOptions, AdminClient& aClient,
         const Console& aConsole);

// Prints what a file would change in the configuration in force.
ExitCode
RunDiff(const std::string& aFile, const Options& aOptions, AdminClient& aClient,
        const Console& aConsole);

// Prints the version that a change produced. Refused if no such change is known.
ExitCode
RunChange(const ChangeId& aChange, const Options& aOptions, AdminClient& aClient,
          const Console& aConsole);

// Reads a token from standard input, without its end of line, and prints its SHA-256 digest.
ExitCode
RunHashToken(const Console& aConsole);

} // namespace lovagerock::cli
