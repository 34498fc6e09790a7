#pragma once

#include "cli/Console.h"

namespace lovagerock::cli {

// Runs the operators' command line and gives its exit status, one of ExitCode. The first argument
// is the program's name.
int
RunCommandLine(int aCount, const char* const* aArguments, const Console& aConsole);

} // namespace lovagerock::cli
