#pragma once

#include "base/SocketAddress.h"

#include <string>
#include <unistd.h>

namespace lovagerock::testing {

// An address of which the system chooses the port, on a loopback IP that no other process uses.
// With an IP shared by all test processes, a port that one test closed could be taken by another
// test at once, which then got and answered requests that were not its own.
inline SocketAddress
LocalAddress()
{
  const auto pid = static_cast<unsigned>(getpid());
  return { "127." + std::to_string(1 + (pid >> 16U) % 64) + "." + std::to_string(pid >> 8U & 255U) +
             "." + std::to_string(pid & 255U),
           0 };
}

} // namespace lovagerock::testing
