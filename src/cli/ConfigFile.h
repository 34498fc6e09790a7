#pragma once

#include "cli/Console.h"
#include "cli/ExitCode.h"
#include "config/DocumentReader.h"

#include <string>

namespace lovagerock::cli {

// Reads a file into aText. Prints the reason and gives Usage if it can't be read. A file above the
// size limit is cut just above it, so that the check refuses it.
ExitCode
ReadConfigFile(const std::string& aPath, std::string& aText, const Console& aConsole);

// A file that was read and checked.
struct LoadedFile
{
  std::string mText;
  config::ReadResult mResult;
};

// Reads a file and checks it without a node. Prints its problems.
ExitCode
LoadConfigFile(const std::string& aPath, LoadedFile& aFile, bool aJson, const Console& aConsole);
ExitCode
LoadConfigFile(const std::string& aPath, std::string& aText, bool aJson, const Console& aConsole);

} // namespace lovagerock::cli
