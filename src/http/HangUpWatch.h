#pragma once

#include "base/EventLoop.h"

#include <functional>
#include <memory>
#include <unordered_map>

struct event;
struct evhttp_connection;

namespace lovagerock::http {

// Notices callers that close their connection while their answer is pending and evhttp doesn't
// read. A caller that only closes its sending direction looks the same at first, so it is sent an
// interim "100 Continue": the host of a caller that is gone answers with a reset, a live caller
// ignores it. HTTP/1.0 knows no interim answers; such a caller counts as live until its connection
// fails. Belongs to its loop.
class HangUpWatch
{
public:
  using HungUp = std::function<void(evhttp_connection*)>;

  // aHungUp is called for a watched connection that is closed, and may destroy it.
  HangUpWatch(EventLoop& aLoop, HungUp aHungUp);
  ~HangUpWatch();
  HangUpWatch(const HangUpWatch&) = delete;
  HangUpWatch& operator=(const HangUpWatch&) = delete;

  // Watches a connection on which nothing is read or written until Stop().
  void Start(evhttp_connection* aConnection, int aSocket, bool aKnowsInterim);
  void Stop(evhttp_connection* aConnection);

private:
  struct Watched;

  static void OnSocket(int aSocket, short aWhat, void* aArgument);
  // Whether the connection is closed; sends the interim answer if that can tell.
  static bool IsClosed(Watched& aWatched);
  void Poll();

  EventLoop& mLoop;
  HungUp mHungUp;
  std::unordered_map<evhttp_connection*, std::unique_ptr<Watched>> mWatched;
  // The connections that are checked periodically, because their sockets stay readable.
  std::unordered_map<evhttp_connection*, Watched*> mPolled;
  Timer mPollTimer;
};

} // namespace lovagerock::http
