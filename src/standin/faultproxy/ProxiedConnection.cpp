#include "standin/faultproxy/ProxiedConnection.h"

#include "http/SocketOptions.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <algorithm>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <utility>

namespace lovagerock::standin {

void
ProxiedConnection::Free::operator()(bufferevent* aEvent) const
{
  bufferevent_free(aEvent);
}

ProxiedConnection::ProxiedConnection(EventLoop& aLoop, int aSocket, const SocketAddress& aTarget,
                                     Faults& aFaults, std::function<void()> aOnClosed)
  : mFaults(aFaults)
  , mOnClosed(std::move(aOnClosed))
  , mCaller(bufferevent_socket_new(aLoop.Base(), aSocket,
                                   BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS))
  , mTarget(
      bufferevent_socket_new(aLoop.Base(), -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS))
  , mRequests(aLoop, mCaller.get(), mTarget.get())
  , mAnswers(aLoop, mTarget.get(), mCaller.get())
{
  http::SetSocketOptions(aSocket);
  for (auto* it : { mCaller.get(), mTarget.get() }) {
    bufferevent_setcb(it, OnRead, OnWritten, OnEvent, this);
    bufferevent_enable(it, EV_READ | EV_WRITE);
  }
  auto address = aTarget.ToNative();
  if (bufferevent_socket_connect(mTarget.get(), reinterpret_cast<sockaddr*>(&address),
                                 sizeof address) != 0) {
    mConnectFailed = aLoop.After(Duration(0), [this] { Close(); });
  }
}

ProxiedConnection::~ProxiedConnection() = default;

void
ProxiedConnection::SetSilent()
{
  mSilent = true;
  for (auto* it : { mCaller.get(), mTarget.get() }) {
    bufferevent_disable(it, EV_WRITE);
  }
}

void
ProxiedConnection::ResetOnClose()
{
  const linger option{ 1, 0 };
  for (auto* it : { mCaller.get(), mTarget.get() }) {
    setsockopt(bufferevent_getfd(it), SOL_SOCKET, SO_LINGER, &option, sizeof option);
  }
}

void
ProxiedConnection::OnRead(bufferevent* aEvent, void* aSelf)
{
  static_cast<ProxiedConnection*>(aSelf)->Transfer(aEvent);
}

void
ProxiedConnection::OnWritten(bufferevent* aEvent, void* aSelf)
{
  auto* self = static_cast<ProxiedConnection*>(aSelf);
  if (self->mClosed || self->mSilent) {
    return;
  }
  // Room has become free for the opposite side's bytes.
  const bool toCaller = aEvent == self->mCaller.get();
  self->Transfer(toCaller ? self->mTarget.get() : self->mCaller.get());
  if (!self->mClosed) {
    (toCaller ? self->mAnswers : self->mRequests).Flush();
    self->CloseIfDone();
  }
}

void
ProxiedConnection::OnEvent(bufferevent* aEvent, short aWhat, void* aSelf)
{
  auto* self = static_cast<ProxiedConnection*>(aSelf);
  if ((aWhat & BEV_EVENT_CONNECTED) != 0) {
    http::SetSocketOptions(bufferevent_getfd(aEvent));
  }
  if (!self->mClosed && (aWhat & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
    self->OnSourceEnded(aEvent, (aWhat & BEV_EVENT_ERROR) != 0);
  }
}

void
ProxiedConnection::Transfer(bufferevent* aSource)
{
  if (mClosed) {
    return;
  }
  if (mSilent) {
    // Read and discarded, so that the end of the side is noticed.
    auto* input = bufferevent_get_input(aSource);
    evbuffer_drain(input, evbuffer_get_length(input));
  } else if (aSource == mCaller.get()) {
    TransferRequest();
  } else {
    TransferAnswer();
  }
}

void
ProxiedConnection::TransferRequest()
{
  const auto waiting = evbuffer_get_length(bufferevent_get_input(mCaller.get()));
  const auto n = std::min(waiting, mRequests.Room());
  if (n == 0) {
    return;
  }
  if (!mRequestOpen) {
    mRequestOpen = true;
    if (mFaults.mDropAnswers > 0 && !mDropAnswer) {
      --mFaults.mDropAnswers;
      mDropAnswer = true;
    }
  }
  mRequestBytes += static_cast<std::int64_t>(n);
  mRequests.Take(n, mFaults.mLatency);
}

void
ProxiedConnection::TransferAnswer()
{
  auto n = std::min(evbuffer_get_length(bufferevent_get_input(mTarget.get())), mAnswers.Room());
  if (n == 0 || mCut) {
    return;
  }
  mRequestOpen = false;
  if (mDropAnswer) {
    Close();
    return;
  }
  if (mFaults.mCutAfterBytes > 0) {
    const auto left = std::max<std::int64_t>(0, mFaults.mCutAfterBytes - mAnswerBytes);
    mCut = n >= static_cast<std::size_t>(left);
    n = std::min(n, static_cast<std::size_t>(left));
  }
  mAnswerBytes += static_cast<std::int64_t>(n);
  mAnswers.Take(n, mFaults.mLatency);
  CloseIfDone();
}

void
ProxiedConnection::OnSourceEnded(bufferevent* aSource, bool aFailed)
{
  if (mSilent) {
    CloseSilentSide(aSource);
    return;
  }
  if (aFailed) {
    Close();
    return;
  }
  (aSource == mCaller.get() ? mRequests : mAnswers).End();
  CloseIfDone();
}

void
ProxiedConnection::CloseSilentSide(bufferevent* aSide)
{
  // The side is only disabled here: the pipes refer to it until this object ends.
  bufferevent_disable(aSide, EV_READ | EV_WRITE);
  auto& side = aSide == mCaller.get() ? mCallerEnded : mTargetEnded;
  side = true;
  if (mCallerEnded && mTargetEnded) {
    Close();
  }
}

void
ProxiedConnection::CloseIfDone()
{
  if ((mCut && mAnswers.IsDrained()) || (mRequests.IsClosed() && mAnswers.IsClosed())) {
    Close();
  }
}

void
ProxiedConnection::Close()
{
  if (!mClosed) {
    mClosed = true;
    mOnClosed();
  }
}

} // namespace lovagerock::standin
