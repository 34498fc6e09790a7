#pragma once

#include "base/EventLoop.h"
#include "base/LogRate.h"
#include "http/ClosingSockets.h"
#include "http/HangUpWatch.h"
#include "http/ReceiveBudget.h"
#include "http/RequestMemory.h"
#include "http/ServerLimits.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

struct bufferevent;
struct evconnlistener;
struct event;
struct evhttp_connection;

namespace lovagerock::http {

// What a server holds for its callers.
struct CallerCounts
{
  std::size_t mConnections = 0;
  // Connections that are not read because the receive budget is used up.
  std::size_t mWaiting = 0;
  // Bytes of the receive budget that are held.
  Bytes mReceiving;
  // Estimated memory of the requests that are being received or answered.
  Bytes mHeld;
  // Connections that were closed and requests that were refused because of a limit, by its name in
  // logs.
  std::map<std::string, std::uint64_t> mClosed;
  // Callers that were noticed to have closed their connection while their answer was pending.
  std::uint64_t mHungUp = 0;
};

namespace detail {
struct CallerConnection;
} // namespace detail

// The open connections of an evhttp server. Limits their number, and the bytes, the memory and the
// time of requests that are being received: a connection whose share of the receive budget is used
// up is not read until it gets more. While a request is being answered, little is read of the next
// one. Beyond a limit, a request is refused with 503, 408 or 413 before a handler sees it, and the
// connection is closed; an answer that is due is written first. Belongs to its loop; must outlive
// the evhttp server.
class CallerConnections
{
public:
  using Closed = std::function<void()>;

  CallerConnections(EventLoop& aLoop, const ServerLimits& aLimits);
  ~CallerConnections();
  CallerConnections(const CallerConnections&) = delete;
  CallerConnections& operator=(const CallerConnections&) = delete;

  // Sets the listening socket, whose connections evhttp accepts; null before it is closed.
  void SetListener(evconnlistener* aListener);
  // Makes the socket of a connection that evhttp is about to accept.
  bufferevent* Accept();
  // Notes that a whole request was read and is about to be answered. aClosed is called once if the
  // connection ends before OnAnswered(). If false, there is no memory for answering it.
  bool OnRequest(evhttp_connection* aConnection, Closed aClosed);
  // Notes that the answer was written.
  void OnAnswered(evhttp_connection* aConnection);

  // Watches for the caller's closing the connection while its answer is pending, until
  // Unwatch() or OnAnswered(); see HangUpWatch.
  void Watch(evhttp_connection* aConnection, bool aKnowsInterim);
  void Unwatch(evhttp_connection* aConnection);

  CallerCounts Counts() const;

private:
  using Connection = detail::CallerConnection;

  static void OnAccepted(int aSocket, short aWhat, void* aArgument);
  static void OnAcceptFailed(evconnlistener* aListener, void* aArgument);
  static void OnOverLimit(int aSocket, short aWhat, void* aArgument);
  static void OnClosed(evhttp_connection* aHttp, void* aArgument);
  void Add(bufferevent* aSocket);
  void Remove(Connection& aConnection);
  void OnBytes(Connection& aConnection, std::size_t aCount);
  void TakeBudget(Connection& aConnection);
  // Drops what was received and isn't read by evhttp yet, and has the connection refused.
  void Drop(Connection& aConnection, int aStatus, const char* aError);
  // Closes the connection that has been without a request for longest, if that is long enough.
  bool MakeRoom();
  void RefuseDropped();
  // Refuses the requests that have been received for longest until memory is no longer scarce.
  void FreeMemory();
  void OnHungUp(evhttp_connection* aHttp);
  void Resume(Connection& aConnection);
  // Answers with the status and closes; not to be called from a callback of evhttp.
  void Refuse(evhttp_connection* aHttp, const std::string& aAddress, int aStatus,
              std::string_view aError);
  // Counts and logs what was refused because of a limit.
  void Report(const std::string& aAddress, int aStatus, std::string_view aError);
  // Closes the connections that are over the time for receiving a request.
  void CheckTimes();
  Connection* Find(evhttp_connection* aHttp) const;

  EventLoop& mLoop;
  const ServerLimits mLimits;
  ReceiveBudget mBudget;
  RequestMemory mMemory;
  ClosingSockets mClosing;
  HangUpWatch mHangUps;
  std::vector<bufferevent*> mAccepted;
  // Connections that are to be refused, because what they sent was dropped.
  std::vector<ReceiveBudget::Holder> mDropped;
  event* mAcceptedEvent;
  event* mOverLimitEvent;
  evconnlistener* mListener = nullptr;
  // Lets the listener go on after it couldn't accept a connection.
  Timer mAcceptAgain;
  // No connection could be closed for a new one before this time.
  TimePoint mNoRoomUntil;
  TimePoint mNextMemorySearch;
  std::unordered_map<evhttp_connection*, std::unique_ptr<Connection>> mConnections;
  std::unordered_map<ReceiveBudget::Holder, Connection*> mByNumber;
  std::unordered_map<std::string, std::size_t> mByAddress;
  ReceiveBudget::Holder mLastNumber = 0;
  std::map<std::string, std::uint64_t> mClosedCounts;
  std::map<std::string, LogRate, std::less<>> mLogRates;
  LogRate mHangUpRate;
  std::uint64_t mHungUpCount = 0;
  Timer mTimeCheck;

  friend struct detail::CallerConnection;
};

} // namespace lovagerock::http
