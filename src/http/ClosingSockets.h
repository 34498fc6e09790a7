#pragma once

#include "base/EventLoop.h"
#include "base/Units.h"

#include <cstddef>
#include <list>
#include <memory>
#include <string_view>

struct event;

namespace lovagerock::http {

namespace detail {
struct ClosingSocket;
} // namespace detail

// Sends a last answer on sockets whose request is not read, and closes them. What the caller still
// sends is read and dropped for a short time: closing with unread bytes would reset the connection,
// and the caller would lose the answer. Belongs to its loop.
class ClosingSockets
{
public:
  static constexpr Duration kOpenLimit{ 1000 };

  // More sockets than aMaxOpen are closed at once, the oldest first.
  ClosingSockets(EventLoop& aLoop, std::size_t aMaxOpen);
  ~ClosingSockets();
  ClosingSockets(const ClosingSockets&) = delete;
  ClosingSockets& operator=(const ClosingSockets&) = delete;

  // Takes over the socket.
  void Close(int aSocket, std::string_view aAnswer);
  std::size_t Open() const { return mSockets.size(); }

private:
  static void OnReadable(int aSocket, short aWhat, void* aArgument);

  EventLoop& mLoop;
  std::size_t mMaxOpen;
  std::list<detail::ClosingSocket> mSockets;
};

} // namespace lovagerock::http
