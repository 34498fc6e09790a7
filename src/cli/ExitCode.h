#pragma once

namespace lovagerock::cli {

// The exit status of the operators' command line.
enum class ExitCode
{
  // The command was done.
  Done = 0,
  // The file is invalid or has entries without effect, the change conflicts with another one, or
  // the thing asked for is unknown.
  Refused = 1,
  // The command line is wrong, or the file can't be read.
  Usage = 2,
  // No node could be reached, or none is ready. Nothing was changed.
  Unreachable = 3,
  // The change may or may not have been accepted.
  OutcomeUnknown = 4,
};

} // namespace lovagerock::cli
