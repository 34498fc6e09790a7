#include "standin/faultproxy/DelayedPipe.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <algorithm>
#include <sys/socket.h>
#include <utility>

namespace lovagerock::standin {

using std::chrono::steady_clock;

DelayedPipe::DelayedPipe(EventLoop& aLoop, bufferevent* aSource, bufferevent* aTarget)
  : mLoop(aLoop)
  , mSource(aSource)
  , mTarget(aTarget)
{
  // Reading from the source stops when its buffer is full, so the sender is slowed down.
  bufferevent_setwatermark(mSource, EV_READ, 0, kPipeLimit);
}

std::size_t
DelayedPipe::Room() const
{
  const auto held = mQueued + evbuffer_get_length(bufferevent_get_output(mTarget));
  return held < kPipeLimit ? kPipeLimit - held : 0;
}

void
DelayedPipe::Take(std::size_t aBytes, Duration aLatency)
{
  if (aBytes == 0) {
    return;
  }
  Chunk chunk{ steady_clock::now() + aLatency, std::string(aBytes, '\0') };
  bufferevent_read(mSource, chunk.mBytes.data(), aBytes);
  // A lowered latency doesn't reorder bytes.
  if (!mChunks.empty()) {
    chunk.mDue = std::max(chunk.mDue, mChunks.back().mDue);
  }
  mQueued += aBytes;
  mChunks.push_back(std::move(chunk));
  DeliverDue();
}

void
DelayedPipe::DeliverDue()
{
  const auto now = steady_clock::now();
  while (!mChunks.empty() && mChunks.front().mDue <= now) {
    const auto& bytes = mChunks.front().mBytes;
    bufferevent_write(mTarget, bytes.data(), bytes.size());
    mQueued -= bytes.size();
    mChunks.pop_front();
  }
  Schedule();
}

void
DelayedPipe::Schedule()
{
  if (mChunks.empty()) {
    mTimer.Cancel();
    return;
  }
  if (!mTimer.IsPending()) {
    const auto wait = mChunks.front().mDue - steady_clock::now();
    mTimer = mLoop.After(std::chrono::ceil<Duration>(wait), [this] { DeliverDue(); });
  }
}

void
DelayedPipe::End()
{
  mEnded = true;
  Flush();
}

void
DelayedPipe::Flush()
{
  const bool taken = evbuffer_get_length(bufferevent_get_input(mSource)) == 0;
  if (mEnded && !mClosed && taken && IsDrained()) {
    shutdown(bufferevent_getfd(mTarget), SHUT_WR);
    mClosed = true;
  }
}

bool
DelayedPipe::IsDrained() const
{
  return mChunks.empty() && evbuffer_get_length(bufferevent_get_output(mTarget)) == 0;
}

} // namespace lovagerock::standin
