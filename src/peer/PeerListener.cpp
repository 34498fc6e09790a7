#include "peer/PeerListener.h"

#include "base/LogEvent.h"
#include "http/SocketOptions.h"
#include "peer/Cbor.h"
#include "peer/PeerError.h"

#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <netinet/in.h>
#include <unistd.h>
#include <utility>

namespace lovagerock::peer {

namespace detail {
namespace {

constexpr int kBacklog = 128;
// A node connects in order to make a call.
constexpr Duration kMinIdleTime{ 1000 };
constexpr Duration kAcceptPause{ 100 };

void
OnAccept(evconnlistener*, evutil_socket_t aSocket, sockaddr*, int, void* aUser)
{
  static_cast<PeerListener*>(aUser)->Accept(static_cast<int>(aSocket));
}

void
OnAcceptFailed(evconnlistener* aListener, void*)
{
  // Without descriptors the listener would raise the same error at once and for ever.
  LogEvent("accept_failed", LogLevel::Warning).With("reason", std::strerror(errno));
  evconnlistener_disable(aListener);
}

// Answers at most once, and not at all once the connection is gone.
ReplyFunction
MakeReply(const std::shared_ptr<Http2Connection>& aConnection, std::int32_t aStream, Bytes aMaxBody)
{
  return [weak = std::weak_ptr(aConnection), aStream, aMaxBody,
          done = std::make_shared<bool>(false)](const Json& aAnswer) {
    const auto connection = weak.lock();
    if (!connection || std::exchange(*done, true)) {
      return;
    }
    auto body = EncodeCbor(aAnswer);
    const bool fits = body.size() <= static_cast<std::size_t>(aMaxBody.Value());
    connection->SendAnswer(aStream, fits ? 200 : 500, fits ? std::move(body) : std::string());
  };
}

} // namespace
} // namespace detail

PeerListener::PeerListener(EventLoop& aLoop, const PeerSettings& aSettings, PeerCounters& aCounters)
  : mLoop(aLoop)
  , mSettings(aSettings)
  , mCounters(aCounters)
{
}

PeerListener::~PeerListener()
{
  if (mListener) {
    evconnlistener_free(mListener);
  }
}

std::error_code
PeerListener::Listen(const SocketAddress& aAddress)
{
  auto address = aAddress.ToNative();
  mListener = evconnlistener_new_bind(mLoop.Base(), detail::OnAccept, this,
                                      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, detail::kBacklog,
                                      reinterpret_cast<sockaddr*>(&address), sizeof address);
  if (!mListener) {
    return PeerError::ListenFailed;
  }
  evconnlistener_set_error_cb(mListener, detail::OnAcceptFailed);
  mAcceptAgain = mLoop.Every(detail::kAcceptPause, [this] { evconnlistener_enable(mListener); });
  if (mSettings.mSocketBuffer > Bytes(0)) {
    http::LimitSocketBuffers(evconnlistener_get_fd(mListener), mSettings.mSocketBuffer);
  }
  socklen_t n = sizeof address;
  getsockname(evconnlistener_get_fd(mListener), reinterpret_cast<sockaddr*>(&address), &n);
  mAddress = SocketAddress(aAddress.Ip(), ntohs(address.sin_port));
  return {};
}

void
PeerListener::Handle(const std::string& aMethod, CallHandler aHandler)
{
  mHandlers["/" + aMethod] = std::move(aHandler);
}

void
PeerListener::Accept(int aSocket)
{
  if (mConnections.size() >= mSettings.mMaxConnections && !MakeRoom()) {
    close(aSocket);
    mCounters.Refuse("too_many_connections");
    return;
  }
  const auto id = mNextConnection++;
  auto* buf = bufferevent_socket_new(mLoop.Base(), aSocket, BEV_OPT_CLOSE_ON_FREE);
  Http2Events events;
  events.mOnConnected = [] {};
  events.mOnMessage = [this, id](std::int32_t aStream, const Http2Message& aMessage) {
    OnCall(id, aStream, aMessage);
  };
  events.mOnStreamLost = [](std::int32_t, bool) {};
  events.mOnClosed = [this, id] { Erase(id); };
  auto connection = std::make_shared<Http2Connection>(mLoop, Http2Connection::Role::Server, buf,
                                                      mSettings, mCounters, std::move(events));
  mConnections[id] = { connection, std::chrono::steady_clock::now() };
  mCounters.mAccepted = mConnections.size();
  connection->Start(true);
}

bool
PeerListener::MakeRoom()
{
  // The connections are in the order of their acceptance.
  const auto it = std::find_if(mConnections.begin(), mConnections.end(),
                               [](const auto& aEntry) { return !aEntry.second.mHasCalled; });
  if (it == mConnections.end() ||
      std::chrono::steady_clock::now() - it->second.mSince < detail::kMinIdleTime) {
    return false;
  }
  it->second.mConnection->Refuse("idle_connection_closed");
  Erase(it->first);
  return true;
}

void
PeerListener::Erase(std::uint64_t aConnection)
{
  mConnections.erase(aConnection);
  mCounters.mAccepted = mConnections.size();
}

void
PeerListener::OnCall(std::uint64_t aConnection, std::int32_t aStream, const Http2Message& aMessage)
{
  const auto it = mConnections.find(aConnection);
  if (it == mConnections.end()) {
    return;
  }
  it->second.mHasCalled = true;
  const auto connection = it->second.mConnection;
  const auto handler = mHandlers.find(aMessage.mPath);
  if (handler == mHandlers.end()) {
    connection->SendAnswer(aStream, 404, {});
    return;
  }
  auto body = DecodeCbor(aMessage.mBody, mSettings.mMaxCallValues);
  if (!body) {
    connection->Close("malformed_body");
    return;
  }
  handler->second(std::move(*body), detail::MakeReply(connection, aStream, mSettings.mMaxBody));
}

} // namespace lovagerock::peer
