#pragma once

#include "base/EventLoop.h"
#include "base/Random.h"
#include "base/SocketAddress.h"
#include "peer/Http2Connection.h"
#include "peer/PeerSettings.h"
#include "peer/PeerTransport.h"

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace lovagerock::peer {

// The calls of this node to one peer, over one connection that is opened on demand.
class PeerLink
{
public:
  PeerLink(EventLoop& aLoop, const SocketAddress& aPeer, const PeerSettings& aSettings,
           PeerCounters& aCounters, Random& aRandom);

  void
  Call(const std::string& aMethod, std::string aBody, Duration aTimeout, CallCallback aCallback);

private:
  struct Pending
  {
    std::string mPath;
    std::string mBody;
    CallCallback mCallback;
    Timer mTimeout;
  };
  using Queue = std::list<std::shared_ptr<Pending>>;

  void Connect();
  void SendQueued();
  void OnMessage(std::int32_t aStream, const Http2Message& aMessage);
  void OnStreamLost(std::int32_t aStream, bool aRefused);
  void OnClosed();
  void OnTimeout(const std::shared_ptr<Pending>& aCall);
  void FailLater(CallCallback aCallback, std::error_code aError);

  EventLoop& mLoop;
  SocketAddress mPeer;
  PeerSettings mSettings;
  PeerCounters& mCounters;
  Random& mRandom;
  std::shared_ptr<Http2Connection> mConnection;
  // Calls without a stream yet.
  Queue mQueue;
  // Calls with an open stream.
  std::map<std::int32_t, std::shared_ptr<Pending>> mStreams;
  Duration mBackoff{ 0 };
  Timer mReconnect;
  // Expires with the link, so that posted failures of a destroyed link are dropped.
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace lovagerock::peer
