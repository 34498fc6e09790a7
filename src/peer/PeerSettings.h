#pragma once

#include "base/Units.h"

#include <cstddef>
#include <cstdint>

namespace lovagerock::peer {

// Limits of the connections between nodes.
struct PeerSettings
{
  Duration mConnectTimeout{ 1000 };
  Duration mPingInterval{ 1000 };
  // Missed PING answers that close a connection.
  int mMaxMissedPings = 3;
  // Calls with an open stream, per peer.
  std::size_t mMaxStreams = 256;
  // Calls that wait for a connection or a stream, per peer; further calls fail with Overloaded.
  std::size_t mMaxQueued = 256;
  Bytes mMaxBody{ 8 * 1024 * 1024 };
  // Longest delay before a connection is tried again; the delays are jittered.
  Duration mMaxBackoff{ 1000 };
};

// Traffic since the start, over all connections of a node.
struct PeerCounters
{
  std::uint64_t mBytesSent = 0;
  std::uint64_t mBytesReceived = 0;
  // Calls and answers, without PINGs and other control frames.
  std::uint64_t mMessagesSent = 0;
  std::uint64_t mMessagesReceived = 0;
  std::uint64_t mConnectionsOpened = 0;
  std::uint64_t mConnectionsClosed = 0;
};

} // namespace lovagerock::peer
