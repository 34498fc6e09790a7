#pragma once

namespace lovagerock::http {

// Sets TCP_NODELAY, TCP keepalive (2 s idle, 1 s interval, 3 probes) and TCP_USER_TIMEOUT (5 s),
// so that a dead peer host is noticed while a slow live one is not cut. Errors are ignored: the
// options only shorten detection. A socket that has them already is left as it is.
void
SetSocketOptions(int aSocket);

} // namespace lovagerock::http
