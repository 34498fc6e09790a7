#include "standin/faultproxy/FaultProxy.h"

#include "base/LogEvent.h"

#include <event2/listener.h>
#include <event2/util.h>

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace lovagerock::standin {

namespace detail {
namespace {

constexpr int kBacklog = 512;

std::error_code
LastError()
{
  return { errno, std::generic_category() };
}

} // namespace
} // namespace detail

void
FaultProxy::FreeListener::operator()(evconnlistener* aListener) const
{
  evconnlistener_free(aListener);
}

FaultProxy::FaultProxy(EventLoop& aLoop, const SocketAddress& aTarget)
  : mLoop(aLoop)
  , mTarget(aTarget)
{
}

FaultProxy::~FaultProxy()
{
  if (mReservation >= 0) {
    close(mReservation);
  }
}

std::error_code
FaultProxy::Listen(const SocketAddress& aAddress)
{
  const auto ec = ReservePort(aAddress);
  return ec ? ec : StartListening();
}

std::error_code
FaultProxy::ReservePort(const SocketAddress& aAddress)
{
  mReservation = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(mReservation, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  setsockopt(mReservation, SOL_SOCKET, SO_REUSEPORT, &on, sizeof on);
  auto address = aAddress.ToNative();
  socklen_t n = sizeof address;
  if (bind(mReservation, reinterpret_cast<sockaddr*>(&address), n) != 0 ||
      getsockname(mReservation, reinterpret_cast<sockaddr*>(&address), &n) != 0) {
    return detail::LastError();
  }
  mAddress = SocketAddress(aAddress.Ip(), ntohs(address.sin_port));
  return {};
}

std::error_code
FaultProxy::StartListening()
{
  auto address = mAddress.ToNative();
  constexpr unsigned kFlags =
    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE | LEV_OPT_REUSEABLE_PORT;
  mListener.reset(evconnlistener_new_bind(mLoop.Base(), OnAccept, this, kFlags, detail::kBacklog,
                                          reinterpret_cast<sockaddr*>(&address), sizeof address));
  return mListener ? std::error_code() : detail::LastError();
}

std::error_code
FaultProxy::Change(const FaultChange& aChange)
{
  mFaults.mLatency = aChange.mLatency.value_or(mFaults.mLatency);
  mFaults.mCutAfterBytes = aChange.mCutAfterBytes.value_or(mFaults.mCutAfterBytes);
  mFaults.mDropAnswers = aChange.mDropAnswers.value_or(mFaults.mDropAnswers);
  if (aChange.mSilence) {
    SetSilence(*aChange.mSilence);
  }
  if (aChange.mReset) {
    Reset();
  }
  mFaults.mRefuseNew = aChange.mRefuseNew.value_or(mFaults.mRefuseNew);
  if (mFaults.mRefuseNew) {
    mListener.reset();
  } else if (!mListener) {
    return StartListening();
  }
  return {};
}

void
FaultProxy::SetSilence(Silence aSilence)
{
  mFaults.mSilenceNew = aSilence == Silence::All;
  if (aSilence == Silence::None) {
    return;
  }
  for (const auto& [id, connection] : mConnections) {
    connection->SetSilent();
  }
}

void
FaultProxy::Reset()
{
  for (const auto& [id, connection] : mConnections) {
    connection->ResetOnClose();
    mRequestBytes += connection->RequestBytes();
    mAnswerBytes += connection->AnswerBytes();
  }
  mConnections.clear();
}

void
FaultProxy::OnAccept(evconnlistener* /*aListener*/, int aSocket, sockaddr* /*aAddress*/,
                     int /*aLength*/, void* aSelf)
{
  static_cast<FaultProxy*>(aSelf)->Accept(aSocket);
}

void
FaultProxy::Accept(int aSocket)
{
  const auto id = ++mAccepted;
  // The connection is removed after its callback has returned.
  auto closed = [this, id, alive = std::weak_ptr<bool>(mAlive)] {
    mLoop.Post([this, id, alive] {
      if (!alive.expired()) {
        Remove(id);
      }
    });
  };
  auto connection =
    std::make_unique<ProxiedConnection>(mLoop, aSocket, mTarget, mFaults, std::move(closed));
  if (mFaults.mSilenceNew) {
    connection->SetSilent();
  }
  mConnections.emplace(id, std::move(connection));
}

void
FaultProxy::Remove(std::uint64_t aId)
{
  const auto it = mConnections.find(aId);
  if (it != mConnections.end()) {
    mRequestBytes += it->second->RequestBytes();
    mAnswerBytes += it->second->AnswerBytes();
    mConnections.erase(it);
  }
}

Json
FaultProxy::Stats() const
{
  auto requestBytes = mRequestBytes;
  auto answerBytes = mAnswerBytes;
  std::int64_t silent = 0;
  for (const auto& [id, connection] : mConnections) {
    requestBytes += connection->RequestBytes();
    answerBytes += connection->AnswerBytes();
    silent += connection->IsSilent() ? 1 : 0;
  }
  return { { "map", mAddress.ToString() },
           { "target", mTarget.ToString() },
           { "accepted", mAccepted },
           { "open", mConnections.size() },
           { "silent", silent },
           { "request_bytes", requestBytes },
           { "answer_bytes", answerBytes },
           { "latency_ms", mFaults.mLatency.count() },
           { "refuse_new", mFaults.mRefuseNew },
           { "silence_new", mFaults.mSilenceNew },
           { "cut_after_bytes", mFaults.mCutAfterBytes },
           { "drop_answers", mFaults.mDropAnswers } };
}

} // namespace lovagerock::standin
