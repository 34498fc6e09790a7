#include "http/CallerConnections.h"

#include "base/LogEvent.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/listener.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <limits>
#include <unistd.h>
#include <utility>

namespace lovagerock::http {

namespace detail {

struct CallerConnection
{
  CallerConnections* mOwner = nullptr;
  ReceiveBudget::Holder mNumber = 0;
  evhttp_connection* mHttp = nullptr;
  bufferevent* mSocket = nullptr;
  std::string mAddress;
  // What is held of requests, and how many bytes may be read of the one that is being received.
  RequestMemory::Share mShare;
  Bytes mAllowed = ServerLimits::kFreeBytes;
  bool mPaused = false;
  // Whether a request was handed over and its answer isn't written yet.
  bool mAnswering = false;
  // The refusal that is due once nothing is being answered; the status is 0 if there is none.
  int mRefusalStatus = 0;
  const char* mRefusal = "";
  // When the connection was accepted, its last answer written or its present request begun.
  TimePoint mQuietSince;
  // When the first byte of the request came, and how long the connection was not read since.
  TimePoint mStarted;
  TimePoint mPausedAt;
  TimePoint::duration mWaited{ 0 };
  CallerConnections::Closed mClosed;

  bool IsLate(const ServerLimits& aLimits, TimePoint aNow) const
  {
    if (mPaused) {
      return mWaited + (aNow - mPausedAt) > aLimits.mReceiveLimit;
    }
    const Duration earned(mShare.mReceived.Value() * 1000 / aLimits.mMinReceiveRate.Value());
    return aNow - mStarted - mWaited > aLimits.mReceiveLimit + earned;
  }
  bool IsReceiving() const { return !mAnswering && mShare.mReceived > Bytes(0); }
  static void OnInput(evbuffer*, const evbuffer_cb_info* aInfo, void* aArgument)
  {
    auto* connection = static_cast<CallerConnection*>(aArgument);
    if (aInfo->n_added > 0) {
      connection->mOwner->OnBytes(*connection, aInfo->n_added);
    }
  }
};

namespace {

constexpr Duration kTimeCheckPeriod{ 250 };
// libevent reads at most this much at a time.
constexpr Bytes kLargestRead{ 16 * 1024 };
// Connections that are accepted before they are counted against the limit.
constexpr std::size_t kMaxAccepted = 16;
constexpr Duration kAcceptPause{ 100 };
// Spares a search for requests or connections to close for each one that comes.
constexpr Duration kSearchPause{ 100 };
// Requests that are received for less than this are not refused in favor of others.
constexpr Duration kMinReceiveTime{ 1000 };

Bytes
BudgetBytes(const ServerLimits& aLimits)
{
  constexpr Bytes kNoLimit{ std::numeric_limits<std::int64_t>::max() / 2 };
  return aLimits.mMaxReceiving == Bytes(0) ? kNoLimit : aLimits.mMaxReceiving;
}

const char*
StatusText(int aStatus)
{
  switch (aStatus) {
    case 408:
      return " Request Timeout";
    case 413:
      return " Payload Too Large";
    default:
      return " Service Unavailable";
  }
}

std::string
RefusalText(int aStatus, std::string_view aError)
{
  // The same request would be too large again.
  const bool mayRetry = aStatus != 413;
  const std::string body = R"({"error":")" + std::string(aError) + R"(","ran":"no","retry":)" +
                           (mayRetry ? "true}" : "false}");
  return "HTTP/1.1 " + std::to_string(aStatus) + StatusText(aStatus) +
         "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
         (mayRetry ? "\r\nRetry-After: 1" : "") + "\r\nConnection: close\r\n\r\n" + body;
}

} // namespace
} // namespace detail

CallerConnections::CallerConnections(EventLoop& aLoop, const ServerLimits& aLimits)
  : mLoop(aLoop)
  , mLimits(aLimits)
  , mBudget(detail::BudgetBytes(aLimits), ServerLimits::LargestRequest(aLimits.mMaxBody),
            [this](ReceiveBudget::Holder aHolder) { Resume(*mByNumber.at(aHolder)); })
  , mMemory(aLimits.mMaxHeld, aLimits.mMaxHeaders)
  , mClosing(aLoop, aLimits.mMaxClosing)
  , mHangUps(aLoop, [this](evhttp_connection* aHttp) { OnHungUp(aHttp); })
  , mAcceptedEvent(event_new(aLoop.Base(), -1, 0, OnAccepted, this))
  , mOverLimitEvent(event_new(aLoop.Base(), -1, 0, OnOverLimit, this))
{
  if (mLimits.mReceiveLimit > Duration(0)) {
    mTimeCheck = mLoop.Every(detail::kTimeCheckPeriod, [this] { CheckTimes(); });
  }
}

CallerConnections::~CallerConnections()
{
  for (auto* it : mAccepted) {
    bufferevent_decref(it);
  }
  event_free(mAcceptedEvent);
  event_free(mOverLimitEvent);
}

void
CallerConnections::SetListener(evconnlistener* aListener)
{
  mListener = aListener;
  mAcceptAgain.Cancel();
  if (mListener) {
    evconnlistener_set_error_cb(mListener, OnAcceptFailed);
    mAcceptAgain = mLoop.Every(detail::kAcceptPause, [this] { evconnlistener_enable(mListener); });
  }
}

void
CallerConnections::OnAcceptFailed(evconnlistener* aListener, void*)
{
  // Without descriptors the listener would raise the same error at once and for ever.
  LogEvent("accept_failed", LogLevel::Warning).With("reason", std::strerror(errno));
  evconnlistener_disable(aListener);
}

bufferevent*
CallerConnections::Accept()
{
  auto* socket = bufferevent_socket_new(mLoop.Base(), -1, BEV_OPT_CLOSE_ON_FREE);
  if (!socket) {
    return nullptr;
  }
  // evhttp sets the socket and its own callbacks up after this call. The event runs before the
  // loop looks at the sockets again, so nothing is read before.
  bufferevent_incref(socket);
  mAccepted.push_back(socket);
  event_active(mAcceptedEvent, EV_TIMEOUT, 0);
  // Callers that connect faster than they are counted would use up the descriptors.
  if (mListener && mAccepted.size() >= detail::kMaxAccepted) {
    evconnlistener_disable(mListener);
  }
  return socket;
}

void
CallerConnections::OnAccepted(int, short, void* aArgument)
{
  auto* self = static_cast<CallerConnections*>(aArgument);
  for (auto* it : std::exchange(self->mAccepted, {})) {
    self->Add(it);
    bufferevent_decref(it);
  }
  if (self->mListener) {
    evconnlistener_enable(self->mListener);
  }
}

void
CallerConnections::Add(bufferevent* aSocket)
{
  // evhttp gives a server no connection object before the first request, but it is the argument of
  // the callbacks that evhttp sets. They are null if evhttp gave the connection up.
  bufferevent_data_cb read = nullptr;
  void* argument = nullptr;
  bufferevent_getcb(aSocket, &read, nullptr, nullptr, &argument);
  if (!read || !argument) {
    return;
  }
  auto* http = static_cast<evhttp_connection*>(argument);
  char* ip = nullptr;
  std::uint16_t port = 0;
  evhttp_connection_get_peer(http, &ip, &port);
  const std::string address = ip ? ip : "";
  if (mLimits.mMaxConnections > 0 && mConnections.size() >= mLimits.mMaxConnections &&
      !MakeRoom()) {
    Refuse(http, address, 503, "too_many_connections");
    return;
  }
  const auto fromAddress = mByAddress.find(address);
  if (mLimits.mMaxConnectionsPerAddress > 0 && fromAddress != mByAddress.end() &&
      fromAddress->second >= mLimits.mMaxConnectionsPerAddress) {
    Refuse(http, address, 503, "too_many_connections_of_address");
    return;
  }
  auto connection = std::make_unique<Connection>();
  connection->mOwner = this;
  connection->mNumber = ++mLastNumber;
  connection->mHttp = http;
  connection->mSocket = aSocket;
  connection->mAddress = address;
  connection->mQuietSince = std::chrono::steady_clock::now();
  evbuffer_add_cb(bufferevent_get_input(aSocket), Connection::OnInput, connection.get());
  evhttp_connection_set_closecb(http, OnClosed, connection.get());
  ++mByAddress[address];
  mByNumber.emplace(connection->mNumber, connection.get());
  mConnections.emplace(http, std::move(connection));
}

bool
CallerConnections::MakeRoom()
{
  const auto now = std::chrono::steady_clock::now();
  if (mLimits.mMinIdleTime == Duration(0) || now < mNoRoomUntil) {
    return false;
  }
  const Connection* longest = nullptr;
  for (const auto& [http, connection] : mConnections) {
    if (!connection->mAnswering && (!longest || connection->mQuietSince < longest->mQuietSince)) {
      longest = connection.get();
    }
  }
  if (!longest || now - longest->mQuietSince < mLimits.mMinIdleTime) {
    mNoRoomUntil = now + detail::kSearchPause;
    return false;
  }
  Refuse(longest->mHttp, longest->mAddress, 503, "idle_connection_closed");
  return true;
}

void
CallerConnections::OnClosed(evhttp_connection*, void* aArgument)
{
  auto* connection = static_cast<Connection*>(aArgument);
  auto* self = connection->mOwner;
  // evhttp refuses a request by itself if it is malformed or too large, and closes at once. What
  // the caller still sends would reset the connection and take the refusal with it.
  if (connection->IsReceiving() && connection->mRefusalStatus == 0) {
    const int copy = dup(bufferevent_getfd(connection->mSocket));
    if (copy >= 0) {
      self->mClosing.Close(copy, {});
    }
  }
  self->Remove(*connection);
}

void
CallerConnections::Remove(Connection& aConnection)
{
  evbuffer_remove_cb(bufferevent_get_input(aConnection.mSocket), Connection::OnInput, &aConnection);
  mHangUps.Stop(aConnection.mHttp);
  const auto address = mByAddress.find(aConnection.mAddress);
  if (--address->second == 0) {
    mByAddress.erase(address);
  }
  const auto closed = std::move(aConnection.mClosed);
  const auto number = aConnection.mNumber;
  mMemory.Release(aConnection.mShare);
  mByNumber.erase(number);
  mConnections.erase(aConnection.mHttp);
  mBudget.Release(number);
  if (closed) {
    closed();
  }
}

void
CallerConnections::OnBytes(Connection& aConnection, std::size_t aCount)
{
  if (aConnection.mShare.mReceived == Bytes(0)) {
    aConnection.mStarted = std::chrono::steady_clock::now();
    aConnection.mQuietSince = aConnection.mStarted;
    aConnection.mWaited = {};
  }
  auto* input = bufferevent_get_input(aConnection.mSocket);
  if (aConnection.mRefusalStatus != 0) {
    evbuffer_drain(input, evbuffer_get_length(input));
    return;
  }
  if (!mMemory.Receive(aConnection.mShare, Bytes(static_cast<std::int64_t>(aCount)),
                       CountLines(input, aCount))) {
    Drop(aConnection, 503, "request_memory_used_up");
    return;
  }
  if (mLimits.mMaxBody > Bytes(0) && aConnection.mShare.mReceived > mLimits.MaxOnWire()) {
    Drop(aConnection, 413, "request_too_large");
    return;
  }
  if (mMemory.IsScarce()) {
    event_active(mOverLimitEvent, EV_TIMEOUT, 0);
  }
  if (!aConnection.mAnswering) {
    TakeBudget(aConnection);
  }
}

void
CallerConnections::Drop(Connection& aConnection, int aStatus, const char* aError)
{
  aConnection.mRefusalStatus = aStatus;
  aConnection.mRefusal = aError;
  // Called while the socket is read, so the connection is closed later.
  auto* input = bufferevent_get_input(aConnection.mSocket);
  evbuffer_drain(input, evbuffer_get_length(input));
  bufferevent_disable(aConnection.mSocket, EV_READ);
  mDropped.push_back(aConnection.mNumber);
  event_active(mOverLimitEvent, EV_TIMEOUT, 0);
}

void
CallerConnections::OnOverLimit(int, short, void* aArgument)
{
  auto* self = static_cast<CallerConnections*>(aArgument);
  self->RefuseDropped();
  self->FreeMemory();
}

void
CallerConnections::RefuseDropped()
{
  for (const auto number : std::exchange(mDropped, {})) {
    const auto it = mByNumber.find(number);
    // An answer that is due is written first; see OnAnswered().
    if (it != mByNumber.end() && !it->second->mAnswering) {
      auto& connection = *it->second;
      Refuse(connection.mHttp, connection.mAddress, connection.mRefusalStatus, connection.mRefusal);
    }
  }
}

void
CallerConnections::FreeMemory()
{
  const auto now = std::chrono::steady_clock::now();
  if (!mMemory.IsScarce() || now < mNextMemorySearch) {
    return;
  }
  mNextMemorySearch = now + detail::kSearchPause;
  const auto newest = now - detail::kMinReceiveTime;
  std::vector<const Connection*> old;
  for (const auto& [http, connection] : mConnections) {
    if (connection->IsReceiving() && connection->mStarted < newest) {
      old.push_back(connection.get());
    }
  }
  std::sort(old.begin(), old.end(), [](const auto* aLeft, const auto* aRight) {
    return aLeft->mStarted < aRight->mStarted;
  });
  for (const auto* it : old) {
    if (!mMemory.IsScarce()) {
      return;
    }
    Refuse(it->mHttp, it->mAddress, 503, "request_memory_used_up");
  }
}

void
CallerConnections::TakeBudget(Connection& aConnection)
{
  while (!aConnection.mPaused &&
         aConnection.mShare.mReceived + detail::kLargestRead > aConnection.mAllowed) {
    if (mBudget.Take(aConnection.mNumber, ServerLimits::kReceiveStep)) {
      aConnection.mAllowed += ServerLimits::kReceiveStep;
    } else {
      aConnection.mPaused = true;
      aConnection.mPausedAt = std::chrono::steady_clock::now();
      bufferevent_disable(aConnection.mSocket, EV_READ);
    }
  }
}

void
CallerConnections::Resume(Connection& aConnection)
{
  aConnection.mAllowed += ServerLimits::kReceiveStep;
  aConnection.mPaused = false;
  aConnection.mWaited += std::chrono::steady_clock::now() - aConnection.mPausedAt;
  bufferevent_enable(aConnection.mSocket, EV_READ);
}

bool
CallerConnections::OnRequest(evhttp_connection* aConnection, Closed aClosed)
{
  auto* connection = Find(aConnection);
  if (!connection) {
    return true;
  }
  connection->mClosed = std::move(aClosed);
  connection->mAnswering = true;
  auto* input = bufferevent_get_input(connection->mSocket);
  const auto left = evbuffer_get_length(input);
  const bool fits = mMemory.StartAnswer(connection->mShare, Bytes(static_cast<std::int64_t>(left)),
                                        CountLines(input, left));
  // evhttp reads into the buffer, and takes nothing out of it, while it writes the answer. A next
  // request that was sent ahead stays within what one read brings, or within this limit.
  bufferevent_setwatermark(connection->mSocket, EV_READ, 0,
                           static_cast<std::size_t>(ServerLimits::kSentAhead.Value()));
  if (connection->mAllowed != ServerLimits::kFreeBytes || connection->mPaused) {
    connection->mAllowed = ServerLimits::kFreeBytes;
    connection->mPaused = false;
    mBudget.Release(connection->mNumber);
  }
  if (!fits) {
    Report(connection->mAddress, 503, "request_memory_used_up");
  }
  return fits;
}

void
CallerConnections::OnAnswered(evhttp_connection* aConnection)
{
  if (auto* connection = Find(aConnection)) {
    mHangUps.Stop(aConnection);
    connection->mClosed = nullptr;
    connection->mAnswering = false;
    // A next request that was sent ahead starts now.
    connection->mStarted = std::chrono::steady_clock::now();
    connection->mQuietSince = connection->mStarted;
    connection->mWaited = {};
    mMemory.EndAnswer(connection->mShare);
    bufferevent_setwatermark(connection->mSocket, EV_READ, 0, 0);
    if (connection->mRefusalStatus != 0) {
      mDropped.push_back(connection->mNumber);
      event_active(mOverLimitEvent, EV_TIMEOUT, 0);
    }
  }
}

void
CallerConnections::Watch(evhttp_connection* aConnection, bool aKnowsInterim)
{
  if (const auto* connection = Find(aConnection)) {
    mHangUps.Start(aConnection, bufferevent_getfd(connection->mSocket), aKnowsInterim);
  }
}

void
CallerConnections::Unwatch(evhttp_connection* aConnection)
{
  mHangUps.Stop(aConnection);
}

void
CallerConnections::OnHungUp(evhttp_connection* aHttp)
{
  ++mHungUpCount;
  const auto* connection = Find(aHttp);
  if (connection && mHangUpRate.Allows(std::chrono::steady_clock::now())) {
    LogEvent("caller_hung_up").With("address", connection->mAddress);
  }
  evhttp_connection_free(aHttp);
}

CallerCounts
CallerConnections::Counts() const
{
  return { mConnections.size(), mBudget.Waiting(), mBudget.Held(),
           mMemory.Held(),      mClosedCounts,     mHungUpCount };
}

void
CallerConnections::Refuse(evhttp_connection* aHttp, const std::string& aAddress, int aStatus,
                          std::string_view aError)
{
  Report(aAddress, aStatus, aError);
  if (auto* connection = Find(aHttp)) {
    connection->mRefusalStatus = aStatus;
  }
  // evhttp closes its own descriptor; the copy keeps the socket open for the answer.
  const int copy = dup(bufferevent_getfd(evhttp_connection_get_bufferevent(aHttp)));
  if (copy >= 0) {
    mClosing.Close(copy, detail::RefusalText(aStatus, aError));
  }
  evhttp_connection_free(aHttp);
}

void
CallerConnections::Report(const std::string& aAddress, int aStatus, std::string_view aError)
{
  const std::string error(aError);
  ++mClosedCounts[error];
  auto& rate = mLogRates[error];
  if (rate.Allows(std::chrono::steady_clock::now())) {
    LogEvent("caller_connection_refused", LogLevel::Warning)
      .With("address", aAddress)
      .With("reason", aError)
      .With("status", aStatus)
      .With("connections", mConnections.size())
      .With("held_bytes", mMemory.Held())
      .With("omitted", rate.TakeOmitted());
  }
}

void
CallerConnections::CheckTimes()
{
  const auto now = std::chrono::steady_clock::now();
  std::vector<Connection*> late;
  for (const auto& [http, connection] : mConnections) {
    if (!connection->mAnswering && connection->mShare.mReceived > Bytes(0) &&
        connection->IsLate(mLimits, now)) {
      late.push_back(connection.get());
    }
  }
  for (auto* it : late) {
    // Closing one may let another go on, but removes no other.
    if (!it->IsLate(mLimits, now)) {
      continue;
    }
    if (it->mPaused) {
      Refuse(it->mHttp, it->mAddress, 503, "receive_budget_used_up");
    } else {
      Refuse(it->mHttp, it->mAddress, 408, "request_timeout");
    }
  }
}

CallerConnections::Connection*
CallerConnections::Find(evhttp_connection* aHttp) const
{
  const auto it = mConnections.find(aHttp);
  return it == mConnections.end() ? nullptr : it->second.get();
}

} // namespace lovagerock::http
