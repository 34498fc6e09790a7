#pragma once

#include "base/Units.h"

namespace lovagerock::http {

// Sets TCP_NODELAY, TCP keepalive (2 s idle, 1 s interval, 3 probes) and TCP_USER_TIMEOUT (5 s),
// so that a dead peer host is noticed while a slow live one is not cut. Errors are ignored: the
// options only shorten detection. A socket that has them already is left as it is.
void
SetSocketOptions(int aSocket);

// Limits what the kernel holds for a socket in each direction, and for those that a listening
// socket accepts.
void
LimitSocketBuffers(int aSocket, Bytes aBytes);

} // namespace lovagerock::http
