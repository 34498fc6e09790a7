#include "http/HttpClient.h"
#include "http/HttpError.h"
#include "http/HttpServer.h"
#include "standin/faultproxy/FaultControl.h"
#include "support/LocalAddress.h"

#include <criterion/criterion.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace lovagerock;
using namespace lovagerock::http;
using namespace lovagerock::standin;

namespace {

using Result = std::pair<std::error_code, Response>;

// A server that answers with the body it got, a proxy before it and a client, on one loop.
struct Fixture
{
  EventLoop mLoop;
  HttpServer mServer{ mLoop };
  FaultControl mControl{ mLoop };
  HttpClient mClient{ mLoop };
  int mHandled = 0;
  Timer mLimit;

  Fixture()
  {
    mServer.Handle(Method::Post, "/echo",
                   [this](const http::Request& aRequest, const Responder& aResponder) {
                     ++mHandled;
                     aResponder.Send({ 200, {}, aRequest.mBody });
                   });
    const SocketAddress any = testing::LocalAddress();
    cr_assert_not(mServer.Listen(any));
    cr_assert_not(mControl.AddMapping(any, mServer.Address()));
    cr_assert_not(mControl.AddMapping(any, mServer.Address()));
    cr_assert_not(mControl.Listen(any));
    mLimit = mLoop.After(Duration(60000), [] { cr_assert_fail("test did not finish"); });
  }

  const SocketAddress& Mapped(std::size_t aIndex = 0) const
  {
    return mControl.Proxies().at(aIndex)->Address();
  }

  ClientRequest Echo(const std::string& aBody, std::size_t aIndex = 0) const
  {
    ClientRequest request;
    request.mServer = Mapped(aIndex);
    request.mMethod = Method::Post;
    request.mTarget = "/echo";
    request.mBody = aBody;
    request.mDeadline = Duration(50000);
    return request;
  }

  // Sends a call whose result is stored when it ends.
  std::shared_ptr<std::optional<Result>> Start(const ClientRequest& aRequest)
  {
    auto result = std::make_shared<std::optional<Result>>();
    mClient.Send(aRequest, [this, result](std::error_code aError, Response aResponse) {
      *result = Result(aError, std::move(aResponse));
      mLoop.Stop();
    });
    return result;
  }

  Result Call(const ClientRequest& aRequest)
  {
    const auto result = Start(aRequest);
    while (!*result) {
      mLoop.Run();
    }
    return **result;
  }

  // Changes the faults over the control port.
  void SetFaults(const std::string& aJson, const std::string& aQuery = "")
  {
    ClientRequest request;
    request.mServer = mControl.Address();
    request.mMethod = Method::Post;
    request.mTarget = "/v1/faults" + aQuery;
    request.mBody = aJson;
    const auto [ec, response] = Call(request);
    cr_assert_not(ec);
    cr_assert_eq(response.mStatus, 200, "%s", response.mBody.c_str());
  }

  void AwaitTrue(const std::function<bool()>& aCondition)
  {
    const auto timer = mLoop.Every(Duration(5), [&] {
      if (aCondition()) {
        mLoop.Stop();
      }
    });
    while (!aCondition()) {
      mLoop.Run();
    }
  }

  Json Stats(std::size_t aIndex = 0) const { return mControl.Proxies().at(aIndex)->Stats(); }
};

} // namespace

// Guards against a proxy that loses or reorders bytes, or deadlocks, when its buffers are full.
Test(FaultProxy, passes_bodies_larger_than_its_buffers)
{
  Fixture f;
  std::string body;
  for (int i = 0; body.size() < 3'000'000; ++i) {
    body += std::to_string(i) + ",";
  }
  const auto [ec, response] = f.Call(f.Echo(body));
  cr_assert_not(ec);
  cr_assert(response.mBody == body);
  f.SetFaults(R"({"latency_ms":1})");
  cr_assert(f.Call(f.Echo(body)).second.mBody == body);
}

// Guards against unbounded memory when the receiver of an answer doesn't read.
Test(FaultProxy, stops_reading_when_the_receiver_does_not_read)
{
  Fixture f;
  constexpr std::int64_t kAnswer = 64 * 1024 * 1024;
  f.mServer.Handle(Method::Get, "/large", [](const http::Request&, const Responder& aResponder) {
    aResponder.Send({ 200, {}, std::string(kAnswer, 'x') });
  });
  auto request = f.Echo("");
  request.mMethod = Method::Get;
  request.mTarget = "/large";
  CallHandle call;
  std::int64_t received = 0;
  bool ended = false;
  bool paused = false;
  StreamCallbacks callbacks;
  callbacks.mOnHeaders = [](int, const Headers&) {};
  callbacks.mOnData = [&](std::string_view aData) {
    received += static_cast<std::int64_t>(aData.size());
    if (!paused) {
      paused = true;
      call.Pause();
    }
  };
  callbacks.mOnEnd = [&](std::error_code) { ended = true; };
  call = f.mClient.Stream(request, std::move(callbacks));
  f.AwaitTrue([&] { return paused; });
  // The proxy is at rest once it has passed nothing for 50 checks in a row.
  std::int64_t last = -1;
  int same = 0;
  f.AwaitTrue([&] {
    const auto n = f.Stats()["answer_bytes"].get<std::int64_t>();
    same = n == last ? same + 1 : 0;
    last = n;
    return same > 50;
  });
  cr_assert_lt(last, kAnswer);
  call.Resume();
  f.AwaitTrue([&] { return ended; });
  cr_assert_eq(received, kAnswer);
}

// Guards against a latency that has no effect on requests. The latency is above the test's limit,
// so that a delayed byte never arrives.
Test(FaultProxy, delays_requests)
{
  Fixture f;
  f.SetFaults(R"({"latency_ms":100000})", "?map=" + f.Mapped().ToString());
  const auto delayed = f.Start(f.Echo("a"));
  f.AwaitTrue([&] { return f.Stats()["request_bytes"] > 0; });
  cr_assert_eq(f.Call(f.Echo("b", 1)).second.mBody, std::string("b"));
  cr_assert_eq(f.mHandled, 1);
  cr_assert_not(delayed->has_value());
}

// As above for answers, and guards against a latency that loses or reorders bytes.
Test(FaultProxy, delays_answers)
{
  Fixture f;
  std::optional<Responder> waiting;
  f.mServer.Handle(Method::Post, "/wait", [&](const http::Request&, const Responder& aResponder) {
    waiting = aResponder;
  });
  auto request = f.Echo("a");
  request.mTarget = "/wait";
  const auto delayed = f.Start(request);
  f.AwaitTrue([&] { return waiting.has_value(); });
  f.SetFaults(R"({"latency_ms":100000})", "?map=" + f.Mapped().ToString());
  waiting->Send({ 200, {}, "late" });
  f.AwaitTrue([&] { return f.Stats()["answer_bytes"] > 0; });
  cr_assert_eq(f.Call(f.Echo("b", 1)).second.mBody, std::string("b"));
  cr_assert_not(delayed->has_value());
}

// Guards against refusals that look like a lost connection: the caller must know that nothing was
// sent. Also guards against losing the port meanwhile.
Test(FaultProxy, refuses_new_connections_and_accepts_again)
{
  Fixture f;
  cr_assert_not(f.Call(f.Echo("a")).first);
  f.SetFaults(R"({"refuse_new":true})");
  auto request = f.Echo("b");
  request.mNewConnection = true;
  cr_assert_eq(f.Call(request).first, make_error_code(HttpError::NotSent));
  // The open connection goes on.
  cr_assert_eq(f.Call(f.Echo("c")).second.mBody, std::string("c"));
  f.SetFaults(R"({"refuse_new":false})");
  cr_assert_eq(f.Call(request).second.mBody, std::string("b"));
}

Test(FaultProxy, silences_open_connections_only)
{
  Fixture f;
  cr_assert_not(f.Call(f.Echo("a")).first);
  f.SetFaults(R"({"silence":"existing"})");
  auto fresh = f.Echo("b");
  fresh.mNewConnection = true;
  // Sent on the pooled connection, which is silent now.
  const auto silent = f.Start(f.Echo("c"));
  cr_assert_eq(f.Call(fresh).second.mBody, std::string("b"));
  cr_assert_not(silent->has_value());
  cr_assert_eq(f.mHandled, 2);
  cr_assert_eq(f.Stats()["silent"], 1);
}

// Guards against bytes that were still under way when the silence began.
Test(FaultProxy, silence_holds_back_an_answer_under_way)
{
  Fixture f;
  std::optional<Responder> waiting;
  f.mServer.Handle(Method::Post, "/wait", [&](const http::Request&, const Responder& aResponder) {
    waiting = aResponder;
  });
  auto request = f.Echo("a");
  request.mTarget = "/wait";
  const auto result = f.Start(request);
  f.AwaitTrue([&] { return waiting.has_value(); });
  f.SetFaults(R"({"silence":"existing"})");
  waiting->Send({ 200, {}, "late" });
  auto fresh = f.Echo("b");
  fresh.mNewConnection = true;
  cr_assert_eq(f.Call(fresh).second.mBody, std::string("b"));
  cr_assert_not(result->has_value());
}

Test(FaultProxy, silences_new_connections_too)
{
  Fixture f;
  f.SetFaults(R"({"silence":"all"})");
  auto request = f.Echo("a");
  request.mNewConnection = true;
  request.mDeadline = Duration(300);
  cr_assert_eq(f.Call(request).first, make_error_code(HttpError::DeadlineExceeded));
  cr_assert_eq(f.mHandled, 0);
  f.SetFaults(R"({"silence":"none"})");
  request.mDeadline = Duration(50000);
  cr_assert_eq(f.Call(request).second.mBody, std::string("a"));
}

Test(FaultProxy, cuts_an_answer_after_the_given_bytes)
{
  Fixture f;
  f.SetFaults(R"({"cut_after_bytes":1000})");
  const auto [ec, response] = f.Call(f.Echo(std::string(5000, 'x')));
  cr_assert(ec);
  cr_assert_eq(f.mHandled, 1);
  f.AwaitTrue([&] { return f.Stats()["open"] == 0; });
  cr_assert_eq(f.Stats()["answer_bytes"], 1000);
}

// Guards against dropping too many or too few answers: the request must reach the target.
Test(FaultProxy, drops_the_given_number_of_answers)
{
  Fixture f;
  f.SetFaults(R"({"drop_answers":2})");
  cr_assert(f.Call(f.Echo("a")).first);
  cr_assert(f.Call(f.Echo("b")).first);
  cr_assert_eq(f.Call(f.Echo("c")).second.mBody, std::string("c"));
  cr_assert_eq(f.mHandled, 3);
}

Test(FaultProxy, resets_open_connections)
{
  Fixture f;
  std::optional<Responder> waiting;
  f.mServer.Handle(Method::Post, "/wait", [&](const http::Request&, const Responder& aResponder) {
    waiting = aResponder;
  });
  auto request = f.Echo("a");
  request.mTarget = "/wait";
  const auto result = f.Start(request);
  f.AwaitTrue([&] { return waiting.has_value(); });
  f.SetFaults(R"({"reset":true})");
  f.AwaitTrue([&] { return result->has_value(); });
  cr_assert((*result)->first);
  cr_assert_eq(f.Call(f.Echo("b")).second.mBody, std::string("b"));
}

Test(FaultControl, changes_only_the_given_mapping)
{
  Fixture f;
  f.SetFaults(R"({"drop_answers":1})", "?map=" + f.Mapped(1).ToString());
  cr_assert_eq(f.Call(f.Echo("a", 0)).second.mBody, std::string("a"));
  cr_assert(f.Call(f.Echo("b", 1)).first);
}

// Guards against a test that passes because its fault was misspelled.
Test(FaultControl, refuses_unknown_faults)
{
  cr_assert(ReadFaultChange(R"({"latency_ms":5,"silence":"all"})").has_value());
  for (const auto* it : { "", "[]", R"({"latency":5})", R"({"latency_ms":-1})",
                          R"({"silence":"some"})", R"({"refuse_new":1})", R"({"reset":"x"})" }) {
    cr_assert_not(ReadFaultChange(it).has_value(), "%s", it);
  }
}
