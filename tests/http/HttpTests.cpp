#include "base/EventLoop.h"
#include "http/HttpClient.h"
#include "http/HttpError.h"
#include "http/HttpServer.h"
#include "support/LocalAddress.h"

#include <criterion/criterion.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <algorithm>
#include <arpa/inet.h>
#include <memory>
#include <optional>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <tuple>
#include <unistd.h>
#include <vector>

using namespace lovagerock;
using namespace lovagerock::http;

namespace {

// A server and a client on one loop.
struct Fixture
{
  EventLoop mLoop;
  std::unique_ptr<HttpServer> mServer;
  std::unique_ptr<HttpClient> mClient = std::make_unique<HttpClient>(mLoop);
  Timer mLimit;

  explicit Fixture(const ServerLimits& aLimits = {})
    : mServer(std::make_unique<HttpServer>(mLoop, aLimits))
  {
    cr_assert_not(mServer->Listen(testing::LocalAddress()));
    mLimit = mLoop.After(Duration(60000), [] { cr_assert_fail("test did not finish"); });
  }

  ClientRequest Request(Method aMethod, const std::string& aTarget) const
  {
    ClientRequest request;
    request.mServer = mServer->Address();
    request.mMethod = aMethod;
    request.mTarget = aTarget;
    return request;
  }

  std::pair<std::error_code, Response> Call(const ClientRequest& aRequest)
  {
    std::pair<std::error_code, Response> result;
    mClient->Send(aRequest, [&](std::error_code aError, Response aResponse) {
      result = { aError, std::move(aResponse) };
      mLoop.Stop();
    });
    mLoop.Run();
    return result;
  }
};

// A listening socket that never accepts.
SocketAddress
SilentListener(int& aSocket)
{
  aSocket = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t n = sizeof address;
  std::ignore = bind(aSocket, reinterpret_cast<sockaddr*>(&address), n);
  listen(aSocket, 16);
  getsockname(aSocket, reinterpret_cast<sockaddr*>(&address), &n);
  return { "127.0.0.1", ntohs(address.sin_port) };
}

} // namespace

Test(HttpServer, matches_parameters_and_query)
{
  Fixture f;
  f.mServer->Handle(
    Method::Put, "/v1/kv/{key*}", [](const http::Request& aRequest, const Responder& aResponder) {
      aResponder.Send({ 200,
                        {},
                        aRequest.PathParameter("key") + "|" + aRequest.QueryParameter("cas") + "|" +
                          (aRequest.mQuery.contains("recurse") ? "r" : "") + "|" +
                          aRequest.mBody });
    });
  auto request = f.Request(Method::Put, "/v1/kv/a/b%20c?recurse&cas=7");
  request.mBody = "value";
  const auto [ec, response] = f.Call(request);
  cr_assert_not(ec);
  cr_assert_eq(response.mBody, std::string("a/b c|7|r|value"));
}

Test(HttpServer, tells_unknown_path_from_wrong_method)
{
  Fixture f;
  f.mServer->Handle(Method::Get, "/a",
                    [](const http::Request&, const Responder& aResponder) { aResponder.Send({}); });
  cr_assert_eq(f.Call(f.Request(Method::Get, "/b")).second.mStatus, 404);
  cr_assert_eq(f.Call(f.Request(Method::Delete, "/a")).second.mStatus, 405);
}

// Guards against unbounded memory for a hostile body.
Test(HttpServer, refuses_a_body_over_the_limit)
{
  ServerLimits limits;
  limits.mMaxBody = Bytes(1000);
  Fixture f(limits);
  bool handled = false;
  f.mServer->Handle(Method::Post, "/a", [&](const http::Request&, const Responder& aResponder) {
    handled = true;
    aResponder.Send({});
  });
  auto request = f.Request(Method::Post, "/a");
  request.mBody = std::string(2000, 'x');
  const auto result = f.Call(request);
  cr_assert_not(handled);
  cr_assert(result.first || result.second.mStatus == 413);
}

// Guards against a caller that waits for ever because a handler lost its responder.
Test(HttpServer, answers_500_when_the_responder_is_dropped)
{
  Fixture f;
  f.mServer->Handle(Method::Get, "/a", [](const http::Request&, const Responder&) {});
  cr_assert_eq(f.Call(f.Request(Method::Get, "/a")).second.mStatus, 500);
  cr_assert_eq(f.mServer->ActiveRequests(), 0);
}

Test(HttpServer, streams_an_answer_in_pieces)
{
  Fixture f;
  f.mServer->Handle(Method::Get, "/a", [&](const http::Request&, const Responder& aResponder) {
    aResponder.Start(200, {});
    aResponder.Write("one,",
                     [aResponder] { aResponder.Write("two", [aResponder] { aResponder.End(); }); });
  });
  const auto [ec, response] = f.Call(f.Request(Method::Get, "/a"));
  cr_assert_not(ec);
  cr_assert_eq(response.mBody, std::string("one,two"));
}

// Guards against a truncated answer that looks complete.
Test(HttpClient, reports_an_aborted_answer_as_an_error)
{
  Fixture f;
  f.mServer->Handle(Method::Get, "/a", [&](const http::Request&, const Responder& aResponder) {
    aResponder.Start(200, {});
    aResponder.Write("part", [aResponder] { aResponder.Abort(); });
  });
  const auto [ec, response] = f.Call(f.Request(Method::Get, "/a"));
  cr_assert_eq(ec, make_error_code(HttpError::NoAnswer));
}

// Guards against an answer to a caller whose connection was to be cut without one.
Test(HttpClient, reports_a_connection_closed_before_the_answer_as_an_error)
{
  Fixture f;
  f.mServer->Handle(Method::Get, "/a",
                    [](const http::Request&, const Responder& aResponder) { aResponder.Abort(); });
  cr_assert_eq(f.Call(f.Request(Method::Get, "/a")).first, make_error_code(HttpError::NoAnswer));
}

// Guards against a request that is called sent when no connection was made: such a request is
// safe to run elsewhere.
Test(HttpClient, reports_a_refused_connection_as_not_sent)
{
  Fixture f;
  auto request = f.Request(Method::Get, "/a");
  request.mServer = SocketAddress("127.0.0.1", 1);
  cr_assert_eq(f.Call(request).first, make_error_code(HttpError::NotSent));
}

// Guards against the opposite: a request that may have run must never be called not sent.
Test(HttpClient, reports_a_silent_server_as_deadline_exceeded)
{
  Fixture f;
  int fd = -1;
  auto request = f.Request(Method::Get, "/a");
  request.mServer = SilentListener(fd);
  request.mDeadline = Duration(100);
  cr_assert_eq(f.Call(request).first, make_error_code(HttpError::DeadlineExceeded));
  close(fd);
}

namespace {

struct FreeListener
{
  void operator()(evconnlistener* aListener) const { evconnlistener_free(aListener); }
};
struct FreeBuffer
{
  void operator()(bufferevent* aBuffer) const { bufferevent_free(aBuffer); }
};

// A server that answers each request with "x". Its connections can go silent while new ones are
// served: it reads what arrives there and neither answers nor closes.
class FadingServer
{
public:
  explicit FadingServer(EventLoop& aLoop)
    : mLoop(aLoop)
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    mListener.reset(evconnlistener_new_bind(aLoop.Base(), &FadingServer::OnAccept, this,
                                            LEV_OPT_CLOSE_ON_FREE, 64,
                                            reinterpret_cast<sockaddr*>(&address), sizeof address));
    cr_assert_not_null(mListener.get());
    socklen_t n = sizeof address;
    getsockname(evconnlistener_get_fd(mListener.get()), reinterpret_cast<sockaddr*>(&address), &n);
    mAddress = SocketAddress("127.0.0.1", ntohs(address.sin_port));
  }

  const SocketAddress& Address() const { return mAddress; }
  // The connections accepted so far.
  std::size_t Accepted() const { return mConnections.size(); }
  void SilenceOpenConnections() { mSilent = mConnections.size(); }

private:
  static void OnAccept(evconnlistener*, evutil_socket_t aSocket, sockaddr*, int, void* aSelf)
  {
    auto& self = *static_cast<FadingServer*>(aSelf);
    auto* buffer = bufferevent_socket_new(self.mLoop.Base(), aSocket, BEV_OPT_CLOSE_ON_FREE);
    self.mConnections.emplace_back(buffer);
    bufferevent_setcb(buffer, &FadingServer::OnRead, nullptr, nullptr, aSelf);
    bufferevent_enable(buffer, EV_READ | EV_WRITE);
  }

  // The requests of these tests have no body and arrive in one piece.
  static void OnRead(bufferevent* aBuffer, void* aSelf)
  {
    const auto& self = *static_cast<FadingServer*>(aSelf);
    auto* input = bufferevent_get_input(aBuffer);
    evbuffer_drain(input, evbuffer_get_length(input));
    const auto it = std::find_if(self.mConnections.begin(), self.mConnections.end(),
                                 [aBuffer](const auto& aIt) { return aIt.get() == aBuffer; });
    if (static_cast<std::size_t>(it - self.mConnections.begin()) >= self.mSilent) {
      const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx";
      bufferevent_write(aBuffer, answer.data(), answer.size());
    }
  }

  EventLoop& mLoop;
  std::unique_ptr<evconnlistener, FreeListener> mListener;
  SocketAddress mAddress;
  std::vector<std::unique_ptr<bufferevent, FreeBuffer>> mConnections;
  std::size_t mSilent = 0;
};

// Makes calls to the server at the same time, each on a connection of its own, and waits for them.
void
CallAtOnce(Fixture& aFixture, const SocketAddress& aServer, int aCalls)
{
  int open = aCalls;
  for (int i = 0; i < aCalls; ++i) {
    auto request = aFixture.Request(Method::Get, "/a");
    request.mServer = aServer;
    aFixture.mClient->Send(request, [&](std::error_code aError, const Response&) {
      cr_assert_not(aError);
      if (--open == 0) {
        aFixture.mLoop.Stop();
      }
    });
  }
  aFixture.mLoop.Run();
}

// Answers with one byte after each pause, aCount in all, and then ends the answer or stalls.
void
AnswerSlowly(EventLoop& aLoop, const Responder& aResponder, int aCount, Duration aPause, bool aEnds,
             std::vector<Timer>& aTimers)
{
  aResponder.Start(200, {});
  for (int i = 1; i <= aCount; ++i) {
    aTimers.push_back(aLoop.After(i * aPause, [aResponder] { aResponder.Write("x"); }));
  }
  if (aEnds) {
    aTimers.push_back(aLoop.After((aCount + 1) * aPause, [aResponder] { aResponder.End(); }));
  }
}

} // namespace

// Guards against a listing that never arrives, because it is too long for a slow link: each call
// ends with its timeout and begins anew.
Test(HttpClient, waits_for_an_answer_that_keeps_arriving)
{
  Fixture f;
  std::vector<Timer> timers;
  f.mServer->Handle(Method::Get, "/a", [&](const http::Request&, const Responder& aResponder) {
    AnswerSlowly(f.mLoop, aResponder, 10, Duration(200), true, timers);
  });
  auto request = f.Request(Method::Get, "/a");
  request.mStallTimeout = Duration(1500);
  request.mDeadline = Duration(50000);
  const auto [error, response] = f.Call(request);
  cr_assert_not(error);
  cr_assert_eq(response.mBody.size(), 10);
}

// Guards against a dead connection that occupies a call until its deadline.
Test(HttpClient, ends_a_call_whose_answer_stalls)
{
  Fixture f;
  std::vector<Timer> timers;
  // Keeps the answer open.
  std::optional<Responder> responder;
  f.mServer->Handle(Method::Get, "/a", [&](const http::Request&, const Responder& aResponder) {
    responder = aResponder;
    AnswerSlowly(f.mLoop, aResponder, 2, Duration(20), false, timers);
  });
  auto request = f.Request(Method::Get, "/a");
  request.mStallTimeout = Duration(500);
  // Longer than the fixture's limit.
  request.mDeadline = Duration(600000);
  cr_assert_eq(f.Call(request).first, make_error_code(HttpError::DeadlineExceeded));
}

// Guards against a call that ends with its timeout at once, because it was sent after long work on
// the answer before it: a listing that goes on after a page of many items.
Test(HttpClient, counts_a_timeout_from_the_time_of_the_call)
{
  Fixture f;
  f.mServer->Handle(Method::Get, "/a", [](const http::Request&, const Responder& aResponder) {
    aResponder.Send({ 200, {}, std::string(300'000, 'x') });
  });
  auto request = f.Request(Method::Get, "/a");
  request.mStallTimeout = Duration(400);
  request.mDeadline = Duration(50000);
  std::optional<std::error_code> result;
  f.mClient->Send(request, [&](std::error_code, const Response&) {
    std::this_thread::sleep_for(2 * *request.mStallTimeout);
    f.mClient->Send(request, [&](std::error_code aError, const Response&) {
      result = aError;
      f.mLoop.Stop();
    });
  });
  f.mLoop.Run();
  cr_assert(result.has_value());
  cr_assert_not(*result, "%s", result->message().c_str());
}

Test(HttpClient, reuses_a_connection)
{
  Fixture f;
  f.mServer->Handle(Method::Get, "/a", [](const http::Request&, const Responder& aResponder) {
    aResponder.Send({ 200, {}, "x" });
  });
  f.Call(f.Request(Method::Get, "/a"));
  f.Call(f.Request(Method::Get, "/a"));
  cr_assert_eq(f.mClient->IdleConnections(), 1);
}

// Guards against connections of a burst of calls that stay open for as long as the client lives.
Test(HttpClient, closes_connections_that_are_not_used)
{
  Fixture f;
  f.mClient = std::make_unique<HttpClient>(f.mLoop, Duration(50));
  f.mServer->Handle(Method::Get, "/a", [](const http::Request&, const Responder& aResponder) {
    aResponder.Send({ 200, {}, "x" });
  });
  int open = 8;
  std::size_t most = 0;
  for (int i = 0; i < 8; ++i) {
    f.mClient->Send(f.Request(Method::Get, "/a"), [&](std::error_code aError, const Response&) {
      cr_assert_not(aError);
      most = std::max(most, f.mClient->IdleConnections());
      --open;
    });
  }
  auto check = f.mLoop.Every(Duration(5), [&] {
    if (open == 0 && f.mClient->IdleConnections() == 0) {
      f.mLoop.Stop();
    }
  });
  f.mLoop.Run();
  // The check must not stop the loop during the next call.
  check.Cancel();
  cr_assert_gt(most, 0);
  cr_assert_eq(f.Call(f.Request(Method::Get, "/a")).second.mBody, "x");
}

// Guards against a call that is meant for one process of a server and reaches the next one, to
// which evhttp opens a new connection.
Test(HttpClient, tells_whether_a_connection_is_open)
{
  Fixture f;
  const auto address = f.mServer->Address();
  const auto serve = [&f] {
    f.mServer->Handle(Method::Get, "/a", [](const http::Request&, const Responder& aResponder) {
      aResponder.Send({ 200, {}, "x" });
    });
  };
  serve();
  cr_assert_not(f.mClient->HasOpenConnection(address));
  f.Call(f.Request(Method::Get, "/a"));
  cr_assert(f.mClient->HasOpenConnection(address));
  f.mServer.reset();
  f.mServer = std::make_unique<HttpServer>(f.mLoop);
  cr_assert_not(f.mServer->Listen(address));
  serve();
  auto check = f.mLoop.Every(Duration(2), [&] {
    if (!f.mClient->HasOpenConnection(address)) {
      f.mLoop.Stop();
    }
  });
  f.mLoop.Run();
  check.Cancel();
  cr_assert_eq(f.Call(f.Request(Method::Get, "/a")).second.mStatus, 200);
  cr_assert(f.mClient->HasOpenConnection(address));
}

// Guards against a kept connection that the server has asked to close.
Test(HttpClient, does_not_keep_a_connection_that_the_server_closes)
{
  Fixture f;
  f.mServer->Handle(Method::Get, "/a", [](const http::Request&, const Responder& aResponder) {
    Response response{ 200, {}, "x" };
    response.mHeaders.Add("Connection", "close");
    aResponder.Send(response);
  });
  f.Call(f.Request(Method::Get, "/a"));
  cr_assert_not(f.mClient->HasOpenConnection(f.mServer->Address()));
  cr_assert_eq(f.Call(f.Request(Method::Get, "/a")).second.mBody, "x");
}

// Guards against one timeout after another when all open connections to a server went silent at
// once while new ones work: each kept connection used to be tried before a new one.
Test(HttpClient, closes_kept_connections_when_one_proves_silent)
{
  Fixture f;
  FadingServer server(f.mLoop);
  FadingServer other(f.mLoop);
  CallAtOnce(f, server.Address(), 8);
  CallAtOnce(f, other.Address(), 2);
  cr_assert_eq(f.mClient->IdleConnections(), 10);
  server.SilenceOpenConnections();
  auto request = f.Request(Method::Get, "/a");
  request.mServer = server.Address();
  request.mDeadline = Duration(100);
  cr_assert_eq(f.Call(request).first, make_error_code(HttpError::DeadlineExceeded));
  request.mDeadline = Duration(10000);
  cr_assert_eq(f.Call(request).second.mBody, "x");
  cr_assert_eq(server.Accepted(), 9);
  // The other server's connections are kept.
  cr_assert_eq(f.mClient->IdleConnections(), 3);
  CallAtOnce(f, other.Address(), 2);
  cr_assert_eq(other.Accepted(), 2);
}

// Guards against a new connection for each call that was still waiting when the silence was
// noticed: their timeouts must not close the connections that have replaced the silent ones.
Test(HttpClient, keeps_connections_that_are_newer_than_a_silent_call)
{
  Fixture f;
  FadingServer server(f.mLoop);
  CallAtOnce(f, server.Address(), 8);
  server.SilenceOpenConnections();
  auto request = f.Request(Method::Get, "/a");
  request.mServer = server.Address();
  request.mDeadline = Duration(100);
  int open = 4;
  const auto count = [&](std::error_code aError, const Response&) {
    cr_assert_eq(aError, make_error_code(HttpError::DeadlineExceeded));
    if (--open == 0) {
      f.mLoop.Stop();
    }
  };
  auto longer = request;
  longer.mDeadline = Duration(1000);
  for (int i = 0; i < 3; ++i) {
    f.mClient->Send(longer, count);
  }
  f.mClient->Send(request, [&](std::error_code aError, const Response& aResponse) {
    count(aError, aResponse);
    request.mDeadline = Duration(10000);
    f.mClient->Send(request,
                    [](std::error_code aNextError, const Response&) { cr_assert_not(aNextError); });
  });
  f.mLoop.Run();
  cr_assert_eq(f.mClient->IdleConnections(), 1);
  cr_assert_eq(f.Call(request).second.mBody, "x");
  cr_assert_eq(server.Accepted(), 9);
}

// Guards against new connections for a server that is sound but slow with one answer.
Test(HttpClient, keeps_connections_when_an_answer_outlasts_its_deadline)
{
  Fixture f;
  std::vector<Timer> timers;
  std::optional<Responder> responder;
  f.mServer->Handle(Method::Get, "/long", [&](const http::Request&, const Responder& aResponder) {
    responder = aResponder;
    AnswerSlowly(f.mLoop, aResponder, 2, Duration(20), false, timers);
  });
  f.mServer->Handle(Method::Get, "/a", [](const http::Request&, const Responder& aResponder) {
    aResponder.Send({ 200, {}, "x" });
  });
  CallAtOnce(f, f.mServer->Address(), 4);
  auto request = f.Request(Method::Get, "/long");
  request.mDeadline = Duration(1000);
  cr_assert_eq(f.Call(request).first, make_error_code(HttpError::DeadlineExceeded));
  cr_assert_eq(f.mClient->IdleConnections(), 3);
}

Test(HttpClient, does_not_call_back_after_cancel)
{
  Fixture f;
  std::optional<Responder> held;
  f.mServer->Handle(Method::Get, "/a",
                    [&](const http::Request&, const Responder& aResponder) { held = aResponder; });
  bool called = false;
  const auto handle = f.mClient->Send(f.Request(Method::Get, "/a"),
                                      [&](std::error_code, Response) { called = true; });
  const auto cancel = f.mLoop.After(Duration(20), [&] { handle.Cancel(); });
  const auto end = f.mLoop.After(Duration(60), [&] { f.mLoop.Stop(); });
  f.mLoop.Run();
  cr_assert_not(called);
}
