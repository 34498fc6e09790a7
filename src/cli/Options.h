#pragma once

#include "base/Ids.h"
#include "base/SocketAddress.h"
#include "base/Units.h"

#include <optional>
#include <string>
#include <vector>

namespace lovagerock::cli {

// The flags that all commands share.
struct Options
{
  std::vector<SocketAddress> mAdmin;
  // The time for each step of a command. A configuration is in force everywhere within 11 s.
  Duration mTimeout{ 11000 };
  // Prints the JSON of the operators' API in place of tables.
  bool mJson = false;
};

// The arguments of "check".
struct CheckOptions
{
  std::string mFile;
  // Another file to compare the file with; empty for none.
  std::string mAgainst;
  // Asks no node.
  bool mIsOffline = false;
};

// The arguments of "apply".
struct ApplyOptions
{
  std::string mFile;
  // The version that the file was made from; the version in force if absent.
  std::optional<ConfigVersion> mBase;
  // A new id is generated if this is empty.
  ChangeId mChange;
  std::string mOperator;
};

} // namespace lovagerock::cli
