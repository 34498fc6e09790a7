#include "http/CallerConnections.h"

#include "base/LogEvent.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>

#include <chrono>
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
  // Bytes read of the request that is being received, and how many may be read.
  Bytes mReceived;
  Bytes mAllowed = ServerLimits::kFreeBytes;
  bool mPaused = false;
  // Whether a request was handed over and its answer isn't written yet.
  bool mAnswering = false;
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
    const Duration earned(mReceived.Value() * 1000 / aLimits.mMinReceiveRate.Value());
    return aNow - mStarted - mWaited > aLimits.mReceiveLimit + earned;
  }
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

Bytes
BudgetBytes(const ServerLimits& aLimits)
{
  constexpr Bytes kNoLimit{ std::numeric_limits<std::int64_t>::max() / 2 };
  return aLimits.mMaxReceiving == Bytes(0) ? kNoLimit : aLimits.mMaxReceiving;
}

std::string
RefusalText(int aStatus, std::string_view aError)
{
  const std::string body = R"({"error":")" + std::string(aError) + R"(","ran":"no","retry":true})";
  return "HTTP/1.1 " + std::to_string(aStatus) +
         (aStatus == 408 ? " Request Timeout" : " Service Unavailable") +
         "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\nRetry-After: 1\r\nConnection: close\r\n\r\n" + body;
}

} // namespace
} // namespace detail

CallerConnections::CallerConnections(EventLoop& aLoop, const ServerLimits& aLimits)
  : mLoop(aLoop)
  , mLimits(aLimits)
  , mBudget(detail::BudgetBytes(aLimits), ServerLimits::LargestRequest(aLimits.mMaxBody),
            [this](ReceiveBudget::Holder aHolder) { Resume(*mByNumber.at(aHolder)); })
  , mClosing(aLoop)
  , mHangUps(aLoop, [this](evhttp_connection* aHttp) { OnHungUp(aHttp); })
  , mAcceptedEvent(event_new(aLoop.Base(), -1, 0, OnAccepted, this))
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
  const auto fromAddress = mByAddress.find(address);
  if (mLimits.mMaxConnections > 0 && mConnections.size() >= mLimits.mMaxConnections) {
    Refuse(http, address, 503, "too_many_connections");
    return;
  }
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
  evbuffer_add_cb(bufferevent_get_input(aSocket), Connection::OnInput, connection.get());
  evhttp_connection_set_closecb(http, OnClosed, connection.get());
  ++mByAddress[address];
  mByNumber.emplace(connection->mNumber, connection.get());
  mConnections.emplace(http, std::move(connection));
}

void
CallerConnections::OnClosed(evhttp_connection*, void* aArgument)
{
  auto* connection = static_cast<Connection*>(aArgument);
  connection->mOwner->Remove(*connection);
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
  if (aConnection.mReceived == Bytes(0)) {
    aConnection.mStarted = std::chrono::steady_clock::now();
    aConnection.mWaited = {};
  }
  aConnection.mReceived += Bytes(static_cast<std::int64_t>(aCount));
  while (!aConnection.mPaused &&
         aConnection.mReceived + detail::kLargestRead > aConnection.mAllowed) {
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

void
CallerConnections::OnRequest(evhttp_connection* aConnection, Closed aClosed)
{
  auto* connection = Find(aConnection);
  if (!connection) {
    return;
  }
  connection->mClosed = std::move(aClosed);
  connection->mAnswering = true;
  const auto left = evbuffer_get_length(bufferevent_get_input(connection->mSocket));
  connection->mReceived = Bytes(static_cast<std::int64_t>(left));
  // A next request that was sent ahead stays within what one read brings, because evhttp doesn't
  // read while a request is being answered.
  if (connection->mAllowed != ServerLimits::kFreeBytes || connection->mPaused) {
    connection->mAllowed = ServerLimits::kFreeBytes;
    connection->mPaused = false;
    mBudget.Release(connection->mNumber);
  }
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
    connection->mWaited = {};
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
  if (const auto* connection = Find(aHttp)) {
    LogEvent("caller_hung_up").With("address", connection->mAddress);
  }
  evhttp_connection_free(aHttp);
}

CallerCounts
CallerConnections::Counts() const
{
  return { mConnections.size(), mBudget.Waiting(), mBudget.Held(), mClosedCounts, mHungUpCount };
}

void
CallerConnections::Refuse(evhttp_connection* aHttp, const std::string& aAddress, int aStatus,
                          std::string_view aError)
{
  ++mClosedCounts[std::string(aError)];
  LogEvent("caller_connection_refused", LogLevel::Warning)
    .With("address", aAddress)
    .With("reason", aError)
    .With("status", aStatus)
    .With("connections", mConnections.size());
  // evhttp closes its own descriptor; the copy keeps the socket open for the answer.
  const int copy = dup(bufferevent_getfd(evhttp_connection_get_bufferevent(aHttp)));
  if (copy >= 0) {
    mClosing.Close(copy, detail::RefusalText(aStatus, aError));
  }
  evhttp_connection_free(aHttp);
}

void
CallerConnections::CheckTimes()
{
  const auto now = std::chrono::steady_clock::now();
  std::vector<Connection*> late;
  for (const auto& [http, connection] : mConnections) {
    if (!connection->mAnswering && connection->mReceived > Bytes(0) &&
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
