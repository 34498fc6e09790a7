#pragma once

#include "base/EventLoop.h"
#include "base/SocketAddress.h"
#include "peer/Http2Connection.h"
#include "peer/PeerSettings.h"
#include "peer/PeerTransport.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <system_error>

struct evconnlistener;

namespace lovagerock::peer {

// Accepts connections of peers and runs their calls.
class PeerListener
{
public:
  PeerListener(EventLoop& aLoop, const PeerSettings& aSettings, PeerCounters& aCounters);
  ~PeerListener();
  PeerListener(const PeerListener&) = delete;
  PeerListener& operator=(const PeerListener&) = delete;

  // Listens; port 0 picks a free port, which Address() then gives.
  std::error_code Listen(const SocketAddress& aAddress);
  const SocketAddress& Address() const { return mAddress; }
  void Handle(const std::string& aMethod, CallHandler aHandler);
  // Takes over an accepted socket.
  void Accept(int aSocket);

private:
  struct Accepted
  {
    std::shared_ptr<Http2Connection> mConnection;
    TimePoint mSince;
    bool mHasCalled = false;
  };

  // Closes the oldest connection on which no call came, if it had the time for one.
  bool MakeRoom();
  void Erase(std::uint64_t aConnection);
  void OnCall(std::uint64_t aConnection, std::int32_t aStream, const Http2Message& aMessage);

  EventLoop& mLoop;
  PeerSettings mSettings;
  PeerCounters& mCounters;
  SocketAddress mAddress;
  evconnlistener* mListener = nullptr;
  std::map<std::string, CallHandler> mHandlers;
  std::map<std::uint64_t, Accepted> mConnections;
  // Lets the listener go on after it couldn't accept a connection.
  Timer mAcceptAgain;
  std::uint64_t mNextConnection = 0;
};

} // namespace lovagerock::peer
