#include "http/HttpClient.h"

#include "http/HttpError.h"
#include "http/SocketOptions.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <chrono>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace lovagerock::http {

namespace detail {

// evhttp's own inactivity timeout must never fire before the deadline of a call.
constexpr int kInactivityTimeoutSeconds = 24 * 3600;
constexpr std::size_t kMaxIdlePerServer = 64;
// An idle connection costs about 7 KiB. A gang's start opens one for each of its tasks on a worker,
// of which later calls use only one or two.
constexpr Duration kIdleCheckPeriod{ 5000 };

// Frees an evhttp connection. evhttp still uses a connection after its callbacks return, so it is
// only freed from the loop.
struct Connection
{
  Connection(EventLoop& aLoop, const SocketAddress& aServer)
    : mServer(aServer)
    , mBuffer(bufferevent_socket_new(aLoop.Base(), -1, BEV_OPT_CLOSE_ON_FREE))
    , mConnection(evhttp_connection_base_bufferevent_new(aLoop.Base(), nullptr, mBuffer,
                                                         aServer.Ip().c_str(), aServer.Port()))
  {
    evhttp_connection_set_timeout(mConnection, kInactivityTimeoutSeconds);
    evhttp_connection_set_retries(mConnection, 0);
    evhttp_connection_set_closecb(mConnection, &Connection::OnClosed, this);
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  ~Connection() { evhttp_connection_free(mConnection); }

  static void OnClosed(evhttp_connection*, void* aArgument)
  {
    static_cast<Connection*>(aArgument)->mIsClosed = true;
  }

  SocketAddress mServer;
  bufferevent* mBuffer;
  evhttp_connection* mConnection;
  TimePoint mOpened = std::chrono::steady_clock::now();
  // Whether either side has closed it. evhttp would open another one for the next call.
  bool mIsClosed = false;
  TimePoint mIdleSince;
};

using ConnectionPtr = std::unique_ptr<Connection>;

struct ClientState
{
  ClientState(EventLoop& aLoop, Duration aIdleLimit)
    : mLoop(aLoop)
    , mIdleLimit(aIdleLimit)
    , mIdleTimer(aLoop.Every(std::min(aIdleLimit, kIdleCheckPeriod), [this] { CloseUnused(); }))
  {
  }

  // Returns the idle connections to the server that are open; null if there is none.
  std::vector<ConnectionPtr>* OpenConnections(const SocketAddress& aServer)
  {
    const auto it = mIdle.find(aServer);
    if (it == mIdle.end()) {
      return nullptr;
    }
    std::erase_if(it->second, [](const auto& aIdle) { return aIdle->mIsClosed; });
    return it->second.empty() ? nullptr : &it->second;
  }

  // Closes the idle connections to the server that were opened before the time. A path that goes
  // silent takes all connections of that time with it, and later ones are sound.
  void CloseSuspect(const SocketAddress& aServer, TimePoint aOpenedBefore)
  {
    const auto it = mIdle.find(aServer);
    if (it == mIdle.end()) {
      return;
    }
    std::erase_if(it->second,
                  [aOpenedBefore](const auto& aIdle) { return aIdle->mOpened < aOpenedBefore; });
    if (it->second.empty()) {
      mIdle.erase(it);
    }
  }

  // Closes connections that were idle for longer than the limit.
  void CloseUnused()
  {
    const auto limit = std::chrono::steady_clock::now() - mIdleLimit;
    for (auto& [server, idle] : mIdle) {
      std::erase_if(idle, [limit](const auto& aIdle) { return aIdle->mIdleSince < limit; });
    }
    std::erase_if(mIdle, [](const auto& aServer) { return aServer.second.empty(); });
  }

  EventLoop& mLoop;
  Duration mIdleLimit;
  std::unordered_map<SocketAddress, std::vector<ConnectionPtr>> mIdle;
  std::unordered_set<std::shared_ptr<CallState>> mCalls;
  Timer mIdleTimer;
};

struct CallState : std::enable_shared_from_this<CallState>
{
  std::weak_ptr<ClientState> mClient;
  ConnectionPtr mConnection;
  evhttp_request* mRequest = nullptr;
  evbuffer_cb_entry* mOutputWatch = nullptr;
  StreamCallbacks mCallbacks;
  bool mReusable = true;
  bool mStarting = false;
  bool mSent = false;
  bool mHeadersSeen = false;
  // The reason that evhttp gave for a failure.
  std::error_code mError;
  // See ClientRequest::mStallTimeout and ClientRequest::mDeadline.
  std::optional<Duration> mStallTimeout;
  TimePoint mLatestEnd;
  // The begin of the call, or the last time that a part of its answer arrived.
  TimePoint mLastReceived = std::chrono::steady_clock::now();
  Timer mConnectTimer;
  Timer mDeadline;
};

namespace {

void
OnOutputChanged(evbuffer*, const evbuffer_cb_info* aInfo, void* aArgument)
{
  auto* call = static_cast<CallState*>(aArgument);
  if (aInfo->n_deleted == 0 || call->mSent) {
    return;
  }
  call->mSent = true;
  call->mConnectTimer.Cancel();
  const auto fd = bufferevent_getfd(call->mConnection->mBuffer);
  if (fd >= 0) {
    SetSocketOptions(fd);
  }
}

void
KeepIdle(ClientState& aClient, ConnectionPtr aConnection)
{
  auto& idle = aClient.mIdle[aConnection->mServer];
  if (idle.size() < kMaxIdlePerServer) {
    aConnection->mIdleSince = std::chrono::steady_clock::now();
    idle.push_back(std::move(aConnection));
  }
}

void
DestroyLater(ClientState& aClient, ConnectionPtr aConnection)
{
  aClient.mLoop.Post([connection = std::shared_ptr<Connection>(std::move(aConnection))] {});
}

// Takes the call off its client. The connection is kept for reuse or freed later.
void
Release(const std::shared_ptr<CallState>& aCall, bool aReusable)
{
  if (aCall->mOutputWatch) {
    evbuffer_remove_cb_entry(bufferevent_get_output(aCall->mConnection->mBuffer),
                             aCall->mOutputWatch);
    aCall->mOutputWatch = nullptr;
  }
  aCall->mConnectTimer.Cancel();
  aCall->mDeadline.Cancel();
  aCall->mRequest = nullptr;
  const auto client = aCall->mClient.lock();
  if (!client) {
    return;
  }
  client->mCalls.erase(aCall);
  if (!aCall->mConnection) {
    return;
  }
  // A closed connection isn't kept: it would be freed by the next call, perhaps in this callback.
  if (aReusable && aCall->mReusable && !aCall->mConnection->mIsClosed) {
    KeepIdle(*client, std::move(aCall->mConnection));
  } else {
    DestroyLater(*client, std::move(aCall->mConnection));
  }
}

void
Finish(const std::shared_ptr<CallState>& aCall, std::error_code aError)
{
  const auto callbacks = std::exchange(aCall->mCallbacks, {});
  const bool starting = aCall->mStarting;
  const auto client = aCall->mClient.lock();
  Release(aCall, !aError);
  if (!callbacks.mOnEnd) {
    return;
  }
  if (starting && client) {
    client->mLoop.Post([callbacks, aError] { callbacks.mOnEnd(aError); });
  } else {
    callbacks.mOnEnd(aError);
  }
}

// Ends a call on our own account: evhttp doesn't call back for a cancelled request.
void
CancelRequest(CallState& aCall)
{
  if (auto* request = std::exchange(aCall.mRequest, nullptr)) {
    evhttp_cancel_request(request);
  }
}

// Whether nothing was received for the whole time in which the call waited for it. The answer of a
// call without a stall timeout may just be longer than its deadline.
bool
IsSilent(const CallState& aCall)
{
  if (!aCall.mHeadersSeen) {
    return aCall.mSent;
  }
  return aCall.mStallTimeout &&
         std::chrono::steady_clock::now() >= aCall.mLastReceived + *aCall.mStallTimeout;
}

void
OnTimeout(const std::weak_ptr<CallState>& aCall, HttpError aErrorIfSent)
{
  const auto call = aCall.lock();
  if (!call) {
    return;
  }
  const bool sent = call->mSent;
  const auto client = call->mClient.lock();
  if (client && IsSilent(*call)) {
    client->CloseSuspect(call->mConnection->mServer, call->mLastReceived);
  }
  CancelRequest(*call);
  Finish(call, sent ? aErrorIfSent : HttpError::NotSent);
}

// Starts the time until the call's deadline, or until its answer has stalled, anew.
void
RestartDeadline(const std::shared_ptr<CallState>& aCall, EventLoop& aLoop)
{
  const auto left =
    std::chrono::ceil<Duration>(aCall->mLatestEnd - std::chrono::steady_clock::now());
  const auto time = std::min(left, aCall->mStallTimeout.value_or(left));
  aCall->mDeadline =
    aLoop.After(std::max(time, Duration(0)), [call = std::weak_ptr<CallState>(aCall)] {
      OnTimeout(call, HttpError::DeadlineExceeded);
    });
}

// A part of the answer has arrived.
void
OnProgress(const std::shared_ptr<CallState>& aCall)
{
  aCall->mLastReceived = std::chrono::steady_clock::now();
  const auto client = aCall->mClient.lock();
  if (aCall->mStallTimeout && client) {
    RestartDeadline(aCall, client->mLoop);
  }
}

Headers
ReadHeaders(evhttp_request* aRequest)
{
  Headers headers;
  const auto* fields = evhttp_request_get_input_headers(aRequest);
  for (const auto* it = fields->tqh_first; it; it = it->next.tqe_next) {
    headers.Add(it->key, it->value);
  }
  return headers;
}

void
ReportHeaders(CallState& aCall, evhttp_request* aRequest)
{
  if (aCall.mHeadersSeen) {
    return;
  }
  aCall.mHeadersSeen = true;
  if (aCall.mCallbacks.mOnHeaders) {
    aCall.mCallbacks.mOnHeaders(evhttp_request_get_response_code(aRequest), ReadHeaders(aRequest));
  }
}

int
OnHeaders(evhttp_request* aRequest, void* aArgument)
{
  const auto call = static_cast<CallState*>(aArgument)->shared_from_this();
  OnProgress(call);
  ReportHeaders(*call, aRequest);
  return 0;
}

void
OnChunk(evhttp_request* aRequest, void* aArgument)
{
  const auto call = static_cast<CallState*>(aArgument)->shared_from_this();
  OnProgress(call);
  ReportHeaders(*call, aRequest);
  auto* input = evhttp_request_get_input_buffer(aRequest);
  std::string data(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, data.data(), data.size());
  if (call->mCallbacks.mOnData && !data.empty()) {
    call->mCallbacks.mOnData(data);
  }
}

void
OnError(evhttp_request_error aError, void* aArgument)
{
  auto* call = static_cast<CallState*>(aArgument);
  if (aError == EVREQ_HTTP_DATA_TOO_LONG) {
    call->mError = HttpError::AnswerTooLarge;
  }
}

void
OnComplete(evhttp_request* aRequest, void* aArgument)
{
  const auto call = static_cast<CallState*>(aArgument)->shared_from_this();
  call->mRequest = nullptr;
  if (!aRequest || evhttp_request_get_response_code(aRequest) == 0) {
    const auto error = call->mSent ? HttpError::NoAnswer : HttpError::NotSent;
    Finish(call, call->mError ? call->mError : make_error_code(error));
    return;
  }
  if (evbuffer_get_length(evhttp_request_get_input_buffer(aRequest)) > 0) {
    OnChunk(aRequest, aArgument);
  }
  ReportHeaders(*call, aRequest);
  Finish(call, {});
}

evhttp_cmd_type
Command(Method aMethod)
{
  switch (aMethod) {
    case Method::Get:
      return EVHTTP_REQ_GET;
    case Method::Post:
      return EVHTTP_REQ_POST;
    case Method::Put:
      return EVHTTP_REQ_PUT;
    case Method::Delete:
      return EVHTTP_REQ_DELETE;
  }
  return EVHTTP_REQ_GET;
}

ConnectionPtr
TakeConnection(ClientState& aClient, const ClientRequest& aRequest)
{
  auto* open = aRequest.mNewConnection ? nullptr : aClient.OpenConnections(aRequest.mServer);
  if (!open) {
    return std::make_unique<Connection>(aClient.mLoop, aRequest.mServer);
  }
  auto connection = std::move(open->back());
  open->pop_back();
  return connection;
}

void
FillRequest(evhttp_request* aTo, const ClientRequest& aRequest)
{
  auto* fields = evhttp_request_get_output_headers(aTo);
  evhttp_add_header(fields, "Host", aRequest.mServer.ToString().c_str());
  for (const auto& it : aRequest.mHeaders) {
    evhttp_add_header(fields, it.first.c_str(), it.second.c_str());
  }
  if (aRequest.mNewConnection) {
    evhttp_add_header(fields, "Connection", "close");
  }
  if (!aRequest.mBody.empty()) {
    // evhttp adds the length for POST and PUT only.
    evhttp_add_header(fields, "Content-Length", std::to_string(aRequest.mBody.size()).c_str());
    evbuffer_add(evhttp_request_get_output_buffer(aTo), aRequest.mBody.data(),
                 aRequest.mBody.size());
  }
}

void
StartTimers(const std::shared_ptr<CallState>& aCall, EventLoop& aLoop,
            const ClientRequest& aRequest)
{
  const std::weak_ptr<CallState> call = aCall;
  aCall->mConnectTimer = aLoop.After(std::min(aRequest.mConnectTimeout, aRequest.mDeadline),
                                     [call] { OnTimeout(call, HttpError::NoAnswer); });
  aCall->mStallTimeout = aRequest.mStallTimeout;
  aCall->mLatestEnd = std::chrono::steady_clock::now() + aRequest.mDeadline;
  RestartDeadline(aCall, aLoop);
}

void
StartCall(const std::shared_ptr<CallState>& aCall, const std::shared_ptr<ClientState>& aClient,
          const ClientRequest& aRequest)
{
  aCall->mClient = aClient;
  aCall->mReusable = !aRequest.mNewConnection;
  aCall->mConnection = TakeConnection(*aClient, aRequest);
  aClient->mCalls.insert(aCall);
  auto* connection = aCall->mConnection->mConnection;
  evhttp_connection_set_max_body_size(connection, aRequest.mMaxAnswer.Value());
  aCall->mOutputWatch = evbuffer_add_cb(bufferevent_get_output(aCall->mConnection->mBuffer),
                                        OnOutputChanged, aCall.get());
  StartTimers(aCall, aClient->mLoop, aRequest);
  auto* request = evhttp_request_new(OnComplete, aCall.get());
  evhttp_request_set_error_cb(request, OnError);
  evhttp_request_set_header_cb(request, OnHeaders);
  evhttp_request_set_chunked_cb(request, OnChunk);
  FillRequest(request, aRequest);
  aCall->mRequest = request;
  aCall->mStarting = true;
  const int result =
    evhttp_make_request(connection, request, Command(aRequest.mMethod), aRequest.mTarget.c_str());
  if (result != 0 && aCall->mRequest) {
    aCall->mRequest = nullptr;
    Finish(aCall, HttpError::NotSent);
  }
  aCall->mStarting = false;
}

} // namespace
} // namespace detail

std::string
EncodeComponent(std::string_view aText)
{
  char* encoded = evhttp_uriencode(aText.data(), static_cast<ev_ssize_t>(aText.size()), 0);
  std::string text(encoded ? encoded : "");
  free(encoded);
  return text;
}

void
CallHandle::Cancel() const
{
  const auto call = mCall.lock();
  if (!call) {
    return;
  }
  call->mCallbacks = {};
  // Deferred, because the caller may be inside one of the callbacks of this call.
  if (const auto client = call->mClient.lock()) {
    client->mLoop.Post([call] {
      if (call->mConnection) {
        detail::CancelRequest(*call);
        detail::Release(call, false);
      }
    });
  }
}

void
CallHandle::Pause() const
{
  const auto call = mCall.lock();
  if (call && call->mConnection) {
    bufferevent_disable(call->mConnection->mBuffer, EV_READ);
  }
}

void
CallHandle::Resume() const
{
  const auto call = mCall.lock();
  if (call && call->mConnection) {
    bufferevent_enable(call->mConnection->mBuffer, EV_READ);
  }
}

bool
CallHandle::IsSent() const
{
  const auto call = mCall.lock();
  return call && call->mSent;
}

HttpClient::HttpClient(EventLoop& aLoop, Duration aIdleLimit)
  : mState(std::make_shared<detail::ClientState>(aLoop, aIdleLimit))
{
}

HttpClient::~HttpClient()
{
  const auto calls = std::exchange(mState->mCalls, {});
  for (const auto& it : calls) {
    it->mCallbacks = {};
    detail::CancelRequest(*it);
    detail::Release(it, false);
  }
}

CallHandle
HttpClient::Send(const ClientRequest& aRequest, Callback aCallback)
{
  auto response = std::make_shared<Response>();
  StreamCallbacks callbacks;
  callbacks.mOnHeaders = [response](int aStatus, const Headers& aHeaders) {
    response->mStatus = aStatus;
    response->mHeaders = aHeaders;
  };
  callbacks.mOnData = [response](std::string_view aData) { response->mBody += aData; };
  callbacks.mOnEnd = [response, callback = std::move(aCallback)](std::error_code aError) {
    callback(aError, std::move(*response));
  };
  return Stream(aRequest, std::move(callbacks));
}

CallHandle
HttpClient::Stream(const ClientRequest& aRequest, StreamCallbacks aCallbacks)
{
  auto call = std::make_shared<detail::CallState>();
  call->mCallbacks = std::move(aCallbacks);
  detail::StartCall(call, mState, aRequest);
  return CallHandle(call);
}

bool
HttpClient::HasOpenConnection(const SocketAddress& aServer)
{
  return mState->OpenConnections(aServer) != nullptr;
}

void
HttpClient::CloseIdle(const SocketAddress& aServer)
{
  mState->mIdle.erase(aServer);
}

std::size_t
HttpClient::IdleConnections() const
{
  std::size_t n = 0;
  for (const auto& it : mState->mIdle) {
    n += it.second.size();
  }
  return n;
}

} // namespace lovagerock::http
