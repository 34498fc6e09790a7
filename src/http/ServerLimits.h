#pragma once

#include "base/Units.h"

#include <cstddef>

namespace lovagerock::http {

// Limits of a server against hostile or broken callers. A limit of 0 is none.
struct ServerLimits
{
  Bytes mMaxHeaders{ 16 * 1024 };
  Bytes mMaxBody{ 8 * 1024 * 1024 };
  // Time without a byte from the caller while a request is being read.
  Duration mReadTimeout{ 10000 };
  // Open connections, in all and from one address.
  std::size_t mMaxConnections = 0;
  std::size_t mMaxConnectionsPerAddress = 0;
  // Bytes of requests that are being received, over all connections. The first kFreeBytes of each
  // request don't count. At least LargestRequest().
  Bytes mMaxReceiving;
  // Time for receiving a request with its headers, from its first byte. Each mMinReceiveRate bytes
  // that were received add a second, so that a steady sender of this rate is never cut. Time that
  // the connection waits for mMaxReceiving doesn't count, but has the same limit by itself.
  Duration mReceiveLimit{ 0 };
  Bytes mMinReceiveRate{ 16 * 1024 };
  // Memory of requests that are being received or answered, over all connections; see
  // RequestMemory.
  Bytes mMaxHeld;
  // Time without a request after which a connection may be closed in favor of a new one, if there
  // are mMaxConnections.
  Duration mMinIdleTime{ 0 };
  // What the kernel may hold for a connection in each direction, which it doubles for its own use.
  // If not set, it grows with the traffic.
  Bytes mSocketBuffer;
  // Refused connections that stay open until the caller has read the refusal.
  std::size_t mMaxClosing = 128;

  // Small requests never wait for the budget. Larger than the largest header, so that a request
  // whose size is refused never waits either.
  static constexpr Bytes kFreeBytes{ 32 * 1024 };
  // The bytes that a connection asks the budget for at a time.
  static constexpr Bytes kReceiveStep{ 64 * 1024 };

  // Bytes that are read of a next request that is sent ahead, while a request is being answered.
  static constexpr Bytes kSentAhead{ 4 * 1024 };

  // The bytes of a request on the connection, beyond which it is refused: the body may take twice
  // its size in chunks.
  Bytes MaxOnWire() const { return mMaxHeaders + mMaxHeaders + mMaxBody + mMaxBody + kReceiveStep; }
  // The largest request with its headers and the rounding to whole steps.
  static constexpr Bytes LargestRequest(Bytes aMaxBody)
  {
    return aMaxBody + kReceiveStep + kReceiveStep;
  }
};

} // namespace lovagerock::http
