#pragma once

#include <ostream>

namespace lovagerock::load {

// Exit statuses of the load tool.
inline constexpr int kExitClean = 0;
// An answer was lost, wrong, truncated or doubled, or the traces break a rule.
inline constexpr int kExitFault = 1;

// Runs the load tool and returns its exit status; kExitUsage for invalid arguments or files.
int
RunCommandLine(int aCount, const char* const* aArguments, std::ostream& aOut, std::ostream& aErr);

} // namespace lovagerock::load
