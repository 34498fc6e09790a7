#pragma once

#include "base/Settings.h"

#include <cstdint>
#include <string>

namespace lovagerock::node {

// The settings of an entry node, by flag or environment variable.
struct NodeSettings
{
  NodeId mNode;
  RegionId mRegion;
  ZoneId mZone;
  SocketAddress mListen;
  SocketAddress mPeerListen;
  // Where other nodes reach mPeerListen, if that differs.
  SocketAddress mPeerAdvertise;
  SocketAddress mAdminListen;
  SocketAddress mKv;
  SocketAddress mVmList;
  std::string mKvPrefix = "lovagerock/";
  std::string mIsolatedMode = "refuse";
  std::int64_t mMaxBody = 8 * 1024 * 1024;
  std::int64_t mMaxBuffered = 64 * 1024 * 1024;
  Duration mReadTimeout{ 10000 };
  // Below the 1024 open files that a process usually may have, with room for the calls to workers.
  std::int64_t mMaxConnections = 640;
  std::int64_t mMaxConnectionsPerAddress = 512;
  std::int64_t mMaxReceiving = 32 * 1024 * 1024;
  Duration mReceiveLimit{ 30000 };
  std::int64_t mMinReceiveRate = 16 * 1024;
  // The operators' port, and the port for other nodes.
  std::int64_t mAdminMaxConnections = 64;
  std::int64_t mAdminMaxReceiving = 16 * 1024 * 1024;
  std::int64_t mAdminMaxHeld = 32 * 1024 * 1024;
  std::int64_t mPeerMaxConnections = 128;
  std::int64_t mPeerMaxHeld = 32 * 1024 * 1024;
  Duration mDrainAccept{ 2000 };
  Duration mReclaimDeadline{ 2000 };
  LogLevel mLogLevel = LogLevel::Info;
  // 0 takes a seed from the operating system.
  std::uint64_t mSeed = 0;

  // The peer address to tell other nodes.
  const SocketAddress& PeerAddress() const
  {
    return mPeerAdvertise.Ip().empty() ? mPeerListen : mPeerAdvertise;
  }
};

// Registers all settings.
void
AddNodeSettings(CLI::App& aApp, NodeSettings& aSettings);

} // namespace lovagerock::node
