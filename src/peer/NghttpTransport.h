#pragma once

#include "base/EventLoop.h"
#include "base/Random.h"
#include "base/SocketAddress.h"
#include "peer/PeerLink.h"
#include "peer/PeerListener.h"
#include "peer/PeerSettings.h"
#include "peer/PeerTransport.h"

#include <map>
#include <memory>
#include <string>
#include <system_error>

namespace lovagerock::peer {

// Calls between nodes over HTTP/2 without TLS: one connection per peer for the calls of this node,
// a stream per call, bodies in CBOR. Belongs to its loop. Errors are PeerError. Calls still open
// when the transport is destroyed end without a callback.
class NghttpTransport
{
public:
  NghttpTransport(EventLoop& aLoop, Random& aRandom, const PeerSettings& aSettings = {});

  // Listens for peers; port 0 picks a free port, which Address() then gives.
  std::error_code Listen(const SocketAddress& aAddress) { return mListener.Listen(aAddress); }
  const SocketAddress& Address() const { return mListener.Address(); }

  void Call(const SocketAddress& aPeer, const std::string& aMethod, const Json& aBody,
            Duration aTimeout, CallCallback aCallback);
  void Handle(const std::string& aMethod, CallHandler aHandler);
  // Drops the connection and the state of a peer that left. Its open calls end without a callback.
  void Forget(const SocketAddress& aPeer) { mLinks.erase(aPeer); }

  const PeerCounters& Counters() const { return mCounters; }

private:
  EventLoop& mLoop;
  Random& mRandom;
  PeerSettings mSettings;
  PeerCounters mCounters;
  PeerListener mListener;
  std::map<SocketAddress, std::unique_ptr<PeerLink>> mLinks;
  // Expires with the transport.
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

static_assert(PeerTransport<NghttpTransport>);

} // namespace lovagerock::peer
