#include "peer/PeerLink.h"

#include "peer/Cbor.h"
#include "peer/PeerError.h"

#include <event2/bufferevent.h>

#include <algorithm>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <utility>

namespace lovagerock::peer {

namespace detail {
namespace {

constexpr Duration kFirstBackoff{ 50 };

std::error_code
ReadStatus(const std::string& aStatus)
{
  if (aStatus == "200") {
    return {};
  }
  return aStatus == "404" ? PeerError::UnknownMethod : PeerError::Failed;
}

} // namespace
} // namespace detail

PeerLink::PeerLink(EventLoop& aLoop, const SocketAddress& aPeer, const PeerSettings& aSettings,
                   PeerCounters& aCounters, Random& aRandom)
  : mLoop(aLoop)
  , mPeer(aPeer)
  , mSettings(aSettings)
  , mCounters(aCounters)
  , mRandom(aRandom)
{
}

void
PeerLink::Call(const std::string& aMethod, std::string aBody, Duration aTimeout,
               CallCallback aCallback)
{
  if (mQueue.size() >= mSettings.mMaxQueued) {
    FailLater(std::move(aCallback), PeerError::Overloaded);
    return;
  }
  auto call = std::make_shared<Pending>();
  call->mPath = "/" + aMethod;
  call->mBody = std::move(aBody);
  call->mCallback = std::move(aCallback);
  call->mTimeout = mLoop.After(aTimeout, [this, weak = std::weak_ptr(call)] {
    if (const auto expired = weak.lock()) {
      OnTimeout(expired);
    }
  });
  mQueue.push_back(std::move(call));
  if (!mConnection) {
    Connect();
  } else {
    SendQueued();
  }
}

void
PeerLink::Connect()
{
  if (mReconnect.IsPending()) {
    return;
  }
  auto address = mPeer.ToNative();
  auto* buf = bufferevent_socket_new(mLoop.Base(), -1, BEV_OPT_CLOSE_ON_FREE);
  Http2Events events;
  events.mOnConnected = [this] {
    mBackoff = Duration(0);
    SendQueued();
  };
  events.mOnMessage = [this](std::int32_t aStream, const Http2Message& aMessage) {
    OnMessage(aStream, aMessage);
  };
  events.mOnStreamLost = [this](std::int32_t aStream, bool aRefused) {
    OnStreamLost(aStream, aRefused);
  };
  events.mOnClosed = [this] { OnClosed(); };
  mConnection = std::make_shared<Http2Connection>(mLoop, Http2Connection::Role::Client, buf,
                                                  mSettings, mCounters, std::move(events));
  mConnection->Start(false);
  if (bufferevent_socket_connect(buf, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    mConnection->Close("connect_failed");
  }
}

void
PeerLink::SendQueued()
{
  while (mConnection && mConnection->IsConnected() && !mQueue.empty() &&
         mStreams.size() < mSettings.mMaxStreams) {
    const auto call = mQueue.front();
    const auto stream = mConnection->SendCall(call->mPath, std::move(call->mBody));
    mQueue.pop_front();
    if (stream <= 0) {
      // No stream numbers are left on this connection.
      FailLater(std::move(call->mCallback), PeerError::NotSent);
      mConnection->Close("no_streams_left");
      return;
    }
    mStreams.emplace(stream, call);
  }
}

void
PeerLink::OnMessage(std::int32_t aStream, const Http2Message& aMessage)
{
  const auto node = mStreams.extract(aStream);
  if (node.empty()) {
    return;
  }
  const auto call = node.mapped();
  call->mTimeout.Cancel();
  auto ec = detail::ReadStatus(aMessage.mStatus);
  Json body;
  if (!ec) {
    auto decoded = DecodeCbor(aMessage.mBody);
    if (decoded) {
      body = std::move(*decoded);
    } else {
      ec = PeerError::OutcomeUnknown;
      mConnection->Close("malformed_body");
    }
  }
  SendQueued();
  // Last, because the callback may destroy this link.
  call->mCallback(ec, std::move(body));
}

void
PeerLink::OnStreamLost(std::int32_t aStream, bool aRefused)
{
  const auto node = mStreams.extract(aStream);
  if (node.empty()) {
    return;
  }
  const auto call = node.mapped();
  call->mTimeout.Cancel();
  SendQueued();
  call->mCallback(aRefused ? PeerError::NotSent : PeerError::OutcomeUnknown, {});
}

void
PeerLink::OnClosed()
{
  const auto connection = std::exchange(mConnection, nullptr);
  const auto streams = std::exchange(mStreams, {});
  for (const auto& [stream, call] : streams) {
    const bool sent = connection->IsSent(stream);
    call->mTimeout.Cancel();
    FailLater(std::move(call->mCallback), sent ? PeerError::OutcomeUnknown : PeerError::NotSent);
  }
  const auto queue = std::exchange(mQueue, {});
  for (const auto& it : queue) {
    it->mTimeout.Cancel();
    FailLater(std::move(it->mCallback), PeerError::NotSent);
  }
  mBackoff = std::min(mSettings.mMaxBackoff, std::max(detail::kFirstBackoff, mBackoff * 2));
  // Calls made before this delay ends wait in the queue.
  mReconnect = mLoop.After(mRandom.Jitter(mBackoff), [this] {
    if (!mQueue.empty()) {
      mReconnect.Cancel();
      Connect();
    }
  });
}

void
PeerLink::OnTimeout(const std::shared_ptr<Pending>& aCall)
{
  const auto queued = std::find(mQueue.begin(), mQueue.end(), aCall);
  if (queued != mQueue.end()) {
    mQueue.erase(queued);
    aCall->mCallback(PeerError::NotSent, {});
    return;
  }
  const auto it = std::find_if(mStreams.begin(), mStreams.end(),
                               [&aCall](const auto& aEntry) { return aEntry.second == aCall; });
  if (it == mStreams.end()) {
    return;
  }
  const bool sent = mConnection->IsSent(it->first);
  mConnection->Reset(it->first);
  mStreams.erase(it);
  SendQueued();
  aCall->mCallback(sent ? PeerError::OutcomeUnknown : PeerError::NotSent, {});
}

void
PeerLink::FailLater(CallCallback aCallback, std::error_code aError)
{
  mLoop.Post([callback = std::move(aCallback), aError, alive = std::weak_ptr<bool>(mAlive)] {
    if (alive.lock()) {
      callback(aError, {});
    }
  });
}

} // namespace lovagerock::peer
