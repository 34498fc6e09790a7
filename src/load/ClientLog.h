#pragma once

#include "base/Json.h"

#include <fstream>
#include <string>
#include <system_error>

namespace lovagerock::load {

// The trace of a run as its caller saw it: one JSON line per request or job.
class ClientLog
{
public:
  // Overwrites the file.
  std::error_code Open(const std::string& aPath);
  bool IsOpen() const { return mFile.is_open(); }
  // Writes one line; does nothing if no file is open.
  void Write(const Json& aLine);

private:
  std::ofstream mFile;
};

} // namespace lovagerock::load
