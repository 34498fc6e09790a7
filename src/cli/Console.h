#pragma once

#include <istream>
#include <ostream>

namespace lovagerock::cli {

// The standard streams of a command.
struct Console
{
  std::istream& mIn;
  std::ostream& mOut;
  std::ostream& mErr;
};

} // namespace lovagerock::cli
