#pragma once

#include "base/SocketAddress.h"

namespace lovagerock::integration {

// A loopback address whose port, and the aCount - 1 ports above it, were free just now. The ports
// come from blocks that belong to one test process each and lie outside the ports of outgoing
// connections, so that programs of tests that run at the same time never meet.
SocketAddress
FreeAddress(int aCount = 1);

} // namespace lovagerock::integration
