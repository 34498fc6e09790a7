#pragma once

#include "base/LogRate.h"
#include "base/Units.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

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
  // Values and keys in the body of a call that is received; 0 is no limit.
  std::size_t mMaxCallValues = 0;
  // Accepted connections.
  std::size_t mMaxConnections = 256;
  // Bytes of calls that are being received and of answers that are not sent yet, over all accepted
  // connections; 0 is no limit.
  Bytes mMaxHeld;
  // Time from the start of a call on an accepted connection until its answer is sent; 0 is no
  // limit.
  Duration mMaxCallTime{ 0 };
  // What the kernel may hold for an accepted connection in each direction. If not set, it grows
  // with the traffic.
  Bytes mSocketBuffer;
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
  // Accepted connections that are open, and what is held of their calls and answers.
  std::size_t mAccepted = 0;
  Bytes mHeld;
  // Accepted connections that were closed because of a limit, by its name in logs.
  std::map<std::string, std::uint64_t> mRefused;
  std::map<std::string, LogRate> mRefusalRates;

  // Counts and logs an accepted connection that is closed because of a limit.
  void Refuse(const std::string& aReason);
};

} // namespace lovagerock::peer
