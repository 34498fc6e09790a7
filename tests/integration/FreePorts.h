#pragma once

#include "base/SocketAddress.h"

namespace lovagerock::integration {

// A loopback address whose port, and the aCount - 1 ports above it, were free just now. The system
// picks the first port, so that test programs that run at the same time rarely collide. Ports
// already handed out by this process are not given again.
SocketAddress
FreeAddress(int aCount = 1);

} // namespace lovagerock::integration
