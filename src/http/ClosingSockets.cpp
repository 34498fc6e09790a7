#include "http/ClosingSockets.h"

#include <event2/event.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <sys/socket.h>
#include <unistd.h>

namespace lovagerock::http {

namespace detail {

struct ClosingSocket
{
  ClosingSockets* mOwner = nullptr;
  std::list<ClosingSocket>::iterator mSelf;
  int mSocket = -1;
  event* mEvent = nullptr;
  TimePoint mEnd;

  ClosingSocket() = default;
  ClosingSocket(const ClosingSocket&) = delete;
  ClosingSocket& operator=(const ClosingSocket&) = delete;
  ~ClosingSocket()
  {
    if (mEvent) {
      event_free(mEvent);
    }
    close(mSocket);
  }
};

} // namespace detail

ClosingSockets::ClosingSockets(EventLoop& aLoop, std::size_t aMaxOpen)
  : mLoop(aLoop)
  , mMaxOpen(aMaxOpen)
{
}

ClosingSockets::~ClosingSockets() = default;

void
ClosingSockets::Close(int aSocket, std::string_view aAnswer)
{
  // The answer fits into the empty send buffer of the socket, or the caller doesn't read.
  if (send(aSocket, aAnswer.data(), aAnswer.size(), MSG_NOSIGNAL | MSG_DONTWAIT) < 0 ||
      shutdown(aSocket, SHUT_WR) != 0) {
    close(aSocket);
    return;
  }
  if (mSockets.size() >= mMaxOpen) {
    mSockets.pop_front();
  }
  auto& socket = mSockets.emplace_back();
  socket.mOwner = this;
  socket.mSelf = std::prev(mSockets.end());
  socket.mSocket = aSocket;
  socket.mEnd = std::chrono::steady_clock::now() + kOpenLimit;
  socket.mEvent = event_new(mLoop.Base(), aSocket, EV_READ | EV_PERSIST, OnReadable, &socket);
  const timeval limit{ kOpenLimit.count() / 1000, (kOpenLimit.count() % 1000) * 1000 };
  event_add(socket.mEvent, &limit);
}

void
ClosingSockets::OnReadable(int aSocket, short aWhat, void* aArgument)
{
  auto* socket = static_cast<detail::ClosingSocket*>(aArgument);
  std::array<char, 16384> dropped; // NOLINT: not read
  const bool late = (aWhat & EV_TIMEOUT) != 0 || std::chrono::steady_clock::now() >= socket->mEnd;
  if (!late) {
    const auto n = recv(aSocket, dropped.data(), dropped.size(), MSG_DONTWAIT);
    if (n > 0 || (n < 0 && (errno == EAGAIN || errno == EINTR))) {
      return;
    }
  }
  socket->mOwner->mSockets.erase(socket->mSelf);
}

} // namespace lovagerock::http
