#pragma once

#include "base/EventLoop.h"
#include "base/SocketAddress.h"
#include "base/Units.h"
#include "http/HttpMessage.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

namespace lovagerock::http {

namespace detail {
struct ClientState;
struct CallState;
} // namespace detail

// One call to a server.
struct ClientRequest
{
  SocketAddress mServer;
  Method mMethod = Method::Get;
  // Path and query, already encoded.
  std::string mTarget;
  Headers mHeaders;
  std::string mBody;
  // Time for connecting; after it the call ends with NotSent.
  Duration mConnectTimeout{ 1000 };
  // Time for the whole call; after it the call ends with DeadlineExceeded or NotSent.
  Duration mDeadline{ 10000 };
  // The longest time without a byte of the answer, from the start of the call on; after it the call
  // ends as after mDeadline. Lets a long answer take its time on a slow link, while a dead
  // connection is noticed soon. Unset for no limit but mDeadline.
  std::optional<Duration> mStallTimeout;
  // Answers above this size end the call with AnswerTooLarge; not used for streamed answers.
  Bytes mMaxAnswer{ 64 * 1024 * 1024 };
  // Opens a connection that is closed after the call, in place of a pooled one.
  bool mNewConnection = false;
};

// Percent-encodes a path segment or a query value.
std::string
EncodeComponent(std::string_view aText);

// Controls a call in progress. Cancelling after the end has no effect. Destroying the handle does
// not cancel the call.
class CallHandle
{
public:
  CallHandle() = default;
  explicit CallHandle(std::weak_ptr<detail::CallState> aCall)
    : mCall(std::move(aCall))
  {
  }

  // Ends the call without a callback and closes its connection.
  void Cancel() const;
  // Stops reading a streamed answer until Resume(), so that memory stays bounded.
  void Pause() const;
  void Resume() const;
  // Whether a byte of the request was written to the connection.
  bool IsSent() const;

private:
  std::weak_ptr<detail::CallState> mCall;
};

// Receives an answer in pieces.
struct StreamCallbacks
{
  // Called once, before the first piece or the end.
  std::function<void(int aStatus, const Headers& aHeaders)> mOnHeaders;
  std::function<void(std::string_view aData)> mOnData;
  // Called once at the end; without mOnHeaders before it, no answer was received.
  std::function<void(std::error_code aError)> mOnEnd;
};

// An HTTP/1.1 client on evhttp with a pool of persistent connections per server. Belongs to its
// loop. Callbacks never run inside Send(). Calls still open when the client is destroyed end
// without a callback. After a call whose connection proved silent, the idle connections to that
// server that are older than the silence are closed: they are likely silent too, and each would
// cost a call its timeout.
class HttpClient
{
public:
  using Callback = std::function<void(std::error_code aError, Response aResponse)>;

  // Connections that no call used for the idle limit are closed. The default is longer than the
  // period of lease renewals, so that these reuse their connections.
  explicit HttpClient(EventLoop& aLoop, Duration aIdleLimit = Duration(30000));
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Makes a call and collects the whole answer.
  CallHandle Send(const ClientRequest& aRequest, Callback aCallback);
  // Makes a call whose answer arrives in pieces.
  CallHandle Stream(const ClientRequest& aRequest, StreamCallbacks aCallbacks);

  // Whether the next call to the server takes an open connection over which an earlier call was
  // answered. The process that answered is then the only one that such a call can reach: its end
  // closes the connection, and the call fails.
  bool HasOpenConnection(const SocketAddress& aServer);
  // Closes idle connections to a server, such as one that left.
  void CloseIdle(const SocketAddress& aServer);
  // Number of idle connections kept for reuse, over all servers.
  std::size_t IdleConnections() const;

private:
  std::shared_ptr<detail::ClientState> mState;
};

} // namespace lovagerock::http
