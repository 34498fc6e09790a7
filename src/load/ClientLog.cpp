#include "load/ClientLog.h"

namespace lovagerock::load {

std::error_code
ClientLog::Open(const std::string& aPath)
{
  mFile.open(aPath, std::ios::trunc);
  return mFile ? std::error_code() : std::make_error_code(std::errc::io_error);
}

void
ClientLog::Write(const Json& aLine)
{
  if (mFile.is_open()) {
    mFile << DumpJson(aLine) << '\n';
  }
}

} // namespace lovagerock::load
