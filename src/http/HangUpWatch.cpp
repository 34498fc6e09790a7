#include "http/HangUpWatch.h"

#include <event2/event.h>

#include <poll.h>
#include <string_view>
#include <sys/socket.h>
#include <utility>
#include <vector>

namespace lovagerock::http {

namespace detail {
namespace {

constexpr Duration kPollPeriod{ 100 };
constexpr std::string_view kInterimAnswer = "HTTP/1.1 100 Continue\r\n\r\n";

} // namespace
} // namespace detail

struct HangUpWatch::Watched
{
  HangUpWatch* mOwner;
  evhttp_connection* mConnection;
  int mSocket;
  bool mMayProbe;
  event* mEvent;

  Watched(HangUpWatch* aOwner, evhttp_connection* aConnection, int aSocket, bool aMayProbe)
    : mOwner(aOwner)
    , mConnection(aConnection)
    , mSocket(aSocket)
    , mMayProbe(aMayProbe)
    , mEvent(event_new(aOwner->mLoop.Base(), aSocket, EV_READ | EV_CLOSED, OnSocket, this))
  {
    event_add(mEvent, nullptr);
  }
  Watched(const Watched&) = delete;
  Watched& operator=(const Watched&) = delete;
  ~Watched() { event_free(mEvent); }
};

HangUpWatch::HangUpWatch(EventLoop& aLoop, HungUp aHungUp)
  : mLoop(aLoop)
  , mHungUp(std::move(aHungUp))
{
}

HangUpWatch::~HangUpWatch() = default;

void
HangUpWatch::Start(evhttp_connection* aConnection, int aSocket, bool aKnowsInterim)
{
  Stop(aConnection);
  mWatched.emplace(aConnection,
                   std::make_unique<Watched>(this, aConnection, aSocket, aKnowsInterim));
}

void
HangUpWatch::Stop(evhttp_connection* aConnection)
{
  mPolled.erase(aConnection);
  mWatched.erase(aConnection);
  if (mPolled.empty()) {
    mPollTimer.Cancel();
  }
}

void
HangUpWatch::OnSocket(int, short, void* aArgument)
{
  auto* watched = static_cast<Watched*>(aArgument);
  auto* self = watched->mOwner;
  if (IsClosed(*watched)) {
    self->mHungUp(watched->mConnection);
    return;
  }
  // The event is not added again: a half-closed socket, or one with a next request that was sent
  // ahead, would raise it at once and for ever.
  self->mPolled.emplace(watched->mConnection, watched);
  if (!self->mPollTimer.IsPending()) {
    self->mPollTimer = self->mLoop.Every(detail::kPollPeriod, [self] { self->Poll(); });
  }
}

bool
HangUpWatch::IsClosed(Watched& aWatched)
{
  pollfd state{ aWatched.mSocket, POLLRDHUP, 0 };
  poll(&state, 1, 0);
  // POLLHUP needs both directions closed, and the server closes none while an answer is pending.
  if ((state.revents & (POLLERR | POLLHUP)) != 0) {
    return true;
  }
  if ((state.revents & POLLRDHUP) != 0 && std::exchange(aWatched.mMayProbe, false)) {
    send(aWatched.mSocket, detail::kInterimAnswer.data(), detail::kInterimAnswer.size(),
         MSG_NOSIGNAL | MSG_DONTWAIT);
  }
  return false;
}

void
HangUpWatch::Poll()
{
  std::vector<evhttp_connection*> closed;
  for (const auto& [connection, watched] : mPolled) {
    if (IsClosed(*watched)) {
      closed.push_back(connection);
    }
  }
  for (auto* it : closed) {
    mHungUp(it);
  }
}

} // namespace lovagerock::http
