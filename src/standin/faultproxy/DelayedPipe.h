#pragma once

#include "base/EventLoop.h"
#include "base/Units.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <string>

struct bufferevent;

namespace lovagerock::standin {

// The most bytes that one direction of a connection holds for its receiver. Beyond it the proxy
// stops reading from the sender.
inline constexpr std::size_t kPipeLimit = std::size_t{ 64 } * 1024;

// One direction of a proxied connection: passes bytes from one socket to the other, delayed by the
// latency. Belongs to its loop; doesn't own the sockets.
class DelayedPipe
{
public:
  DelayedPipe(EventLoop& aLoop, bufferevent* aSource, bufferevent* aTarget);

  // Number of bytes that may be taken from the source now.
  std::size_t Room() const;
  // Takes the given number of bytes from the source and delivers them after the latency.
  void Take(std::size_t aBytes, Duration aLatency);
  // Ends the direction: the target is told once all bytes taken so far are written.
  void End();
  // Tells the target of the end if it is due. Called when the target's buffer has run empty.
  void Flush();
  // Whether all bytes taken so far have been written to the target.
  bool IsDrained() const;
  // Whether the target has been told of the end.
  bool IsClosed() const { return mClosed; }

private:
  using TimePoint = std::chrono::steady_clock::time_point;

  struct Chunk
  {
    TimePoint mDue;
    std::string mBytes;
  };

  void DeliverDue();
  void Schedule();

  EventLoop& mLoop;
  bufferevent* mSource;
  bufferevent* mTarget;
  std::deque<Chunk> mChunks;
  std::size_t mQueued = 0;
  bool mEnded = false;
  bool mClosed = false;
  Timer mTimer;
};

} // namespace lovagerock::standin
