#pragma once

#include "base/EventLoop.h"
#include "base/Json.h"
#include "base/SocketAddress.h"
#include "standin/faultproxy/Faults.h"
#include "standin/faultproxy/ProxiedConnection.h"

#include <cstdint>
#include <map>
#include <memory>
#include <system_error>

struct evconnlistener;
struct sockaddr;

namespace lovagerock::standin {

// Passes TCP connections from one address on to one target, with faults. Belongs to its loop.
class FaultProxy
{
public:
  FaultProxy(EventLoop& aLoop, const SocketAddress& aTarget);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  // Listens; port 0 picks a free port, which Address() then gives.
  std::error_code Listen(const SocketAddress& aAddress);
  const SocketAddress& Address() const { return mAddress; }
  const SocketAddress& Target() const { return mTarget; }

  // Applies a change. An error means that listening again failed; all else was applied.
  std::error_code Change(const FaultChange& aChange);

  // The faults in effect and counters, for the control port.
  Json Stats() const;

private:
  struct FreeListener
  {
    void operator()(evconnlistener* aListener) const;
  };

  static void
  OnAccept(evconnlistener* aListener, int aSocket, sockaddr* aAddress, int aLength, void* aSelf);

  std::error_code ReservePort(const SocketAddress& aAddress);
  std::error_code StartListening();
  void SetSilence(Silence aSilence);
  void Reset();
  void Accept(int aSocket);
  void Remove(std::uint64_t aId);

  EventLoop& mLoop;
  SocketAddress mTarget;
  SocketAddress mAddress;
  Faults mFaults;
  // A bound socket that never listens. It keeps the port while new connections are refused.
  int mReservation = -1;
  std::unique_ptr<evconnlistener, FreeListener> mListener;
  std::map<std::uint64_t, std::unique_ptr<ProxiedConnection>> mConnections;
  std::uint64_t mAccepted = 0;
  std::int64_t mRequestBytes = 0;
  std::int64_t mAnswerBytes = 0;
  // Ends the posted removals of a destroyed proxy.
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace lovagerock::standin
