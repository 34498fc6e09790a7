#include "base/EventLoop.h"
#include "base/Json.h"
#include "http/HttpServer.h"
#include "kv/KvError.h"
#include "platform/StoreClient.h"
#include "platform/WorkerClient.h"
#include "support/LocalAddress.h"

#include <criterion/criterion.h>

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace lovagerock;
using namespace lovagerock::platform;

namespace {

// A server that answers every call with the same body.
struct FixedReply
{
  explicit FixedReply(std::string aBody)
    : mServer(mLoop)
    , mBody(std::move(aBody))
  {
    cr_assert_not(mServer.Listen(testing::LocalAddress()));
    for (const auto method : { http::Method::Get, http::Method::Post }) {
      mServer.Handle(method, "/{path*}", [this](const http::Request&, http::Responder aTo) {
        aTo.Send(http::JsonResponse(200, mBody));
      });
    }
  }

  EventLoop mLoop;
  http::HttpServer mServer;
  std::string mBody;
};

control::RenewalReply
Renew(const std::string& aBody)
{
  FixedReply server(aBody);
  WorkerClient client(server.mLoop);
  std::optional<control::RenewalReply> reply;
  client.RenewLease({ WorkerId("w"), server.mServer.Address(), {} }, {}, [&](auto aReply) {
    reply = std::move(aReply);
    server.mLoop.Stop();
  });
  server.mLoop.Run();
  return *reply;
}

std::pair<std::error_code, kv::ItemPage>
List(const std::string& aBody)
{
  FixedReply server(aBody);
  StoreClient client(server.mLoop, server.mServer.Address());
  std::optional<std::pair<std::error_code, kv::ItemPage>> reply;
  client.List("servers/", "", [&](std::error_code aError, kv::ItemPage aPage) {
    reply = std::pair(aError, std::move(aPage));
    server.mLoop.Stop();
  });
  server.mLoop.Run();
  return *reply;
}

std::pair<std::error_code, kv::EventPage>
Watch(const std::string& aBody)
{
  FixedReply server(aBody);
  StoreClient client(server.mLoop, server.mServer.Address());
  std::optional<std::pair<std::error_code, kv::EventPage>> reply;
  client.Watch("servers/", kv::Revision(1), Duration(10),
               [&](std::error_code aError, kv::EventPage aPage) {
                 reply = std::pair(aError, std::move(aPage));
                 server.mLoop.Stop();
               });
  server.mLoop.Run();
  return *reply;
}

std::pair<std::error_code, kv::GrantedLease>
Grant(const std::string& aBody)
{
  FixedReply server(aBody);
  StoreClient client(server.mLoop, server.mServer.Address());
  std::optional<std::pair<std::error_code, kv::GrantedLease>> reply;
  client.GrantLease(Duration(1500), [&](auto aError, const auto& aLease) {
    reply = std::pair(aError, aLease);
    server.mLoop.Stop();
  });
  server.mLoop.Run();
  return *reply;
}

std::pair<std::error_code, std::optional<Duration>>
Keep(const std::string& aBody)
{
  FixedReply server(aBody);
  StoreClient client(server.mLoop, server.mServer.Address());
  std::optional<std::pair<std::error_code, std::optional<Duration>>> reply;
  client.RenewLease(kv::StoreLease(7), [&](auto aError, const auto& aTime) {
    reply = std::pair(aError, aTime);
    server.mLoop.Stop();
  });
  server.mLoop.Run();
  return *reply;
}

} // namespace

// Guards against a leader that never gets through its takeover, because a page of the listing takes
// longer on its slow link than a short call may.
Test(StoreClient, waits_for_a_long_page_on_a_slow_link)
{
  EventLoop loop;
  http::HttpServer server(loop);
  cr_assert_not(server.Listen(testing::LocalAddress()));
  std::vector<Timer> timers;
  const std::string body = R"({"items":[],"has_more":false,"as_of":7})";
  server.Handle(http::Method::Get, "/{path*}", [&](const http::Request&, http::Responder aTo) {
    aTo.Start(200, {});
    constexpr Duration kPause{ 50 };
    for (std::size_t i = 0; i < body.size(); ++i) {
      timers.push_back(loop.After((static_cast<int>(i) + 1) * kPause,
                                  [&body, aTo, i] { aTo.Write(body.substr(i, 1)); }));
    }
    timers.push_back(
      loop.After((static_cast<int>(body.size()) + 1) * kPause, [aTo] { aTo.End(); }));
  });
  StoreClient client(loop, server.Address());
  std::optional<std::error_code> error;
  client.List("requests/", "", [&](std::error_code aError, const kv::ItemPage& aPage) {
    error = aError;
    cr_assert(aError || aPage.mAsOf == kv::Revision(7));
    loop.Stop();
  });
  loop.Run();
  cr_assert_not(*error);
}

namespace {

// A store that gets calls and answers none.
struct SilentStore
{
  explicit SilentStore(bool aClosesConnections)
    : mClosesConnections(aClosesConnections)
  {
    mServer.emplace(mLoop);
    cr_assert_not(mServer->Listen(testing::LocalAddress()));
    for (const auto method : { http::Method::Get, http::Method::Post }) {
      mServer->Handle(method, "/{path*}", [this](const http::Request&, const http::Responder& aTo) {
        mHeld.push_back(aTo);
        if (mClosesConnections) {
          mLoop.Post([this] { mServer.reset(); });
        }
      });
    }
    mClient.emplace(mLoop, mServer->Address());
  }

  // Makes the call, which gets this object's client and a function to pass its error to, and
  // returns the error.
  template<typename Call>
  std::error_code ErrorOf(Call aCall)
  {
    std::optional<std::error_code> error;
    aCall(*mClient, [&](std::error_code aError) {
      error = aError;
      mLoop.Stop();
    });
    mLoop.Run();
    return *error;
  }

  std::error_code ErrorOfWatch()
  {
    return ErrorOf([](StoreClient& aClient, const auto& aDone) {
      aClient.Watch("requests/", kv::Revision(1), Duration(10),
                    [aDone](std::error_code aError, const kv::EventPage&) { aDone(aError); });
    });
  }

  std::error_code ErrorOfList()
  {
    return ErrorOf([](StoreClient& aClient, const auto& aDone) {
      aClient.List("requests/", "",
                   [aDone](std::error_code aError, const kv::ItemPage&) { aDone(aError); });
    });
  }

  std::error_code ErrorOfGet()
  {
    return ErrorOf([](StoreClient& aClient, const auto& aDone) {
      aClient.Get("leader/node", [aDone](std::error_code aError, const std::optional<kv::Item>&) {
        aDone(aError);
      });
    });
  }

  std::error_code ErrorOfWrite()
  {
    return ErrorOf([](StoreClient& aClient, const auto& aDone) {
      aClient.Write({},
                    [aDone](std::error_code aError, const kv::WriteOutcome&) { aDone(aError); });
    });
  }

  EventLoop mLoop;
  bool mClosesConnections;
  std::optional<http::HttpServer> mServer;
  std::vector<http::Responder> mHeld;
  std::optional<StoreClient> mClient;
};

} // namespace

// Guards against log lines that say of a watch or a listing that the outcome of a write is unknown.
Test(StoreClient, tells_that_a_read_has_no_answer)
{
  cr_assert_eq(SilentStore(false).ErrorOfWatch(), make_error_code(kv::KvError::NoAnswer));
  cr_assert_eq(SilentStore(false).ErrorOfList(), make_error_code(kv::KvError::NoAnswer));
  cr_assert_eq(SilentStore(false).ErrorOfGet(), make_error_code(kv::KvError::NoAnswer));
}

// Guards against the same, and against a lost connection that looks like a silent store.
Test(StoreClient, tells_that_a_read_has_lost_its_connection)
{
  cr_assert_eq(SilentStore(true).ErrorOfWatch(), make_error_code(kv::KvError::ConnectionLost));
  cr_assert_eq(SilentStore(true).ErrorOfList(), make_error_code(kv::KvError::ConnectionLost));
  cr_assert_eq(SilentStore(true).ErrorOfGet(), make_error_code(kv::KvError::ConnectionLost));
}

// Guards against a write that counts as not done although the store may have carried it out.
Test(StoreClient, does_not_know_the_outcome_of_a_write_without_an_answer)
{
  cr_assert_eq(SilentStore(false).ErrorOfWrite(), make_error_code(kv::KvError::OutcomeUnknown));
  cr_assert_eq(SilentStore(true).ErrorOfWrite(), make_error_code(kv::KvError::OutcomeUnknown));
}

namespace {

// A worker that records the last_seen of each renewal, in all its lives.
class RenewedWorker
{
public:
  RenewedWorker()
  {
    mServer.emplace(mLoop);
    cr_assert_not(mServer->Listen(testing::LocalAddress()));
    mAddress = mServer->Address();
    Serve();
  }

  void Restart()
  {
    mServer.reset();
    mServer.emplace(mLoop);
    cr_assert_not(mServer->Listen(mAddress));
    Serve();
  }

  // Renews the lease and returns the outcome.
  scheduler::OrderOutcome Renew(const control::RenewalCall& aCall)
  {
    std::optional<control::RenewalReply> reply;
    mClient.RenewLease({ WorkerId("w"), mAddress, {} }, aCall, [&](auto aReply) {
      reply = std::move(aReply);
      mLoop.Stop();
    });
    mLoop.Run();
    return reply->mOutcome;
  }

  // Lets the client learn that the former life has closed its connections.
  void AwaitClosedConnections()
  {
    const auto end = mLoop.After(Duration(50), [this] { mLoop.Stop(); });
    mLoop.Run();
  }

  const std::vector<std::int64_t>& Seen() const { return mSeen; }

private:
  void Serve()
  {
    mServer->Handle(
      http::Method::Post, "/{path*}", [this](const http::Request& aRequest, http::Responder aTo) {
        const auto body = ParseJson(aRequest.mBody).value_or(Json::object());
        mSeen.push_back(JsonValue(body, "last_seen", std::int64_t{ -1 }));
        aTo.Send(http::JsonResponse(200, R"({"clock_ms":5,"running":[],"finished":[]})"));
      });
  }

  EventLoop mLoop;
  WorkerClient mClient{ mLoop };
  std::optional<http::HttpServer> mServer;
  SocketAddress mAddress;
  std::vector<std::int64_t> mSeen;
};

} // namespace

// Guards against a worker that has restarted and forgets ends that nobody has seen, because a call
// names ends of its earlier life: the task of such an end is started again.
Test(WorkerClient, names_ended_runs_only_over_the_connection_of_the_last_report)
{
  const std::vector<std::int64_t> expected{ 0, 5, 0, 5 };
  RenewedWorker worker;
  control::RenewalCall call;
  call.mLastStoredEnd = 5;
  cr_assert(worker.Renew(call) == scheduler::OrderOutcome::Done);
  cr_assert(worker.Renew(call) == scheduler::OrderOutcome::Done);
  worker.Restart();
  worker.AwaitClosedConnections();
  cr_assert(worker.Renew(call) == scheduler::OrderOutcome::Done);
  cr_assert(worker.Renew(call) == scheduler::OrderOutcome::Done);
  cr_assert(worker.Seen() == expected);
}

// Guards against the same if the client doesn't know yet that the connection is closed.
Test(WorkerClient, names_no_ended_runs_to_the_next_life_of_a_worker)
{
  RenewedWorker worker;
  control::RenewalCall call;
  call.mLastStoredEnd = 5;
  worker.Renew(call);
  worker.Restart();
  while (worker.Renew(call) != scheduler::OrderOutcome::Done) {
  }
  const std::vector<std::int64_t> expected{ 0, 0 };
  cr_assert(worker.Seen() == expected);
}

// Guards against a worker that keeps its ends for ever because it closes its connections.
Test(WorkerClient, names_ended_runs_over_any_connection_if_asked_to)
{
  RenewedWorker worker;
  control::RenewalCall call;
  call.mLastStoredEnd = 5;
  call.mDropsOnAnyConnection = true;
  worker.Renew(call);
  cr_assert_eq(worker.Seen().at(0), 5);
}

// Guards against losing a worker's whole report, and with it the worker's lease and runs, because
// one row can't be read; and against taking the run of that row for ended, and starting it again.
Test(WorkerClient, reads_the_rows_beside_an_odd_one)
{
  for (const auto* const odd :
       { "7", "null", "[]", "{}", "[7,1,\"\",0]", "[\"j.0.0.9\"]", "[\"j.0.0.9\",\"x\",\"\",0]",
         "[\"j.0.0.9\",0,\"\",0]", "[\"j.0.0.9\",-1,\"\",0]", "[\"j.0.0.9\",4294967297,\"\",0]",
         "[\"j.0.0.9\",1e300,\"\",0]", "[\"j.0.0.9\",18446744073709551615,\"\",0]",
         "[\"j.0.0.99999999999\",1,\"\",0]", "[\"j.0.0.-9\",1,\"\",0]", "[\".0.0.9\",1,\"\",0]",
         "[\"j.0.0.9x\",1,\"\",0]", "[\"j.0.0\",1,\"\",0]", "[\"j.0.0.9.7\",1,\"\",0]" }) {
    const auto reply = Renew(R"({"clock_ms":5,"running":[["j.0.0.1",1,"c",41.5],)" +
                             std::string(odd) + R"(,["j.0.0.2",2,"",0,3]],"finished":[]})");
    cr_assert(reply.mOutcome == scheduler::OrderOutcome::Done, "%s", odd);
    cr_assert_eq(reply.mReport.mRunning.size(), 2, "%s", odd);
    cr_assert_eq(reply.mReport.mRunning[1].mRun.mRun, 2);
    cr_assert(reply.mReport.mIsPartial, "%s", odd);
  }
  for (const auto* const odd :
       { "7", "[]", "[\"x\",\"j.0.0.9\",1,\"done\",\"\"]", "[0,\"j.0.0.9\",1,\"done\",\"\"]",
         "[1e300,\"j.0.0.9\",1,\"done\",\"\"]", "[9223372036854775807,\"j.0.0.9\",1,\"done\",\"\"]",
         "[18446744073709551615,\"j.0.0.9\",1,\"done\",\"\"]", "[2,\"j.0.0.9\",1,\"eaten\",\"\"]",
         "[2,\"j.0.0.9\",1,7,\"\"]", "[2,\"j.0.0.9\",4294967297,\"done\",\"\"]" }) {
    const auto reply =
      Renew(R"({"clock_ms":5,"running":[],"finished":[[1,"j.0.0.1",1,"done",""],)" +
            std::string(odd) + R"(,[3,"j.0.0.2",1,"failed",""]]})");
    cr_assert(reply.mOutcome == scheduler::OrderOutcome::Done, "%s", odd);
    cr_assert_eq(reply.mReport.mFinished.size(), 2, "%s", odd);
    cr_assert_eq(reply.mReport.mFinished[1].mNumber, 3);
    cr_assert(reply.mReport.mIsPartial, "%s", odd);
  }
}

// Guards against taking a run for ended, and starting it again, because a value that doesn't
// identify it can't be read.
Test(WorkerClient, keeps_runs_whose_percent_or_checkpoint_is_odd)
{
  for (const auto* const rest : { "7,0", "null,null", "\"c\",\"x\"", "\"c\",1e300", "\"c\",-1e300",
                                  "\"c\",18446744073709551615", "\"c\",-5", "\"c\"" }) {
    const auto reply = Renew(R"({"clock_ms":5,"running":[["j.0.0.1",1,)" + std::string(rest) +
                             R"(]],"finished":[]})");
    cr_assert(reply.mOutcome == scheduler::OrderOutcome::Done, "%s", rest);
    cr_assert_eq(reply.mReport.mRunning.size(), 1, "%s", rest);
    cr_assert_geq(reply.mReport.mRunning[0].mPercent, 0, "%s", rest);
    cr_assert_leq(reply.mReport.mRunning[0].mPercent, 100, "%s", rest);
  }
}

// Guards against taking a run for ended because its end is in a later part of a long list.
Test(WorkerClient, tells_that_a_list_of_ends_is_partial)
{
  for (const int count : { 499, 500 }) {
    std::string rows;
    for (int i = 1; i <= count; ++i) {
      rows += (i > 1 ? "," : "") + ("[" + std::to_string(i)) + R"(,"j.0.0.1",)" +
              std::to_string(i) + R"(,"stopped",""])";
    }
    const auto reply = Renew(R"({"clock_ms":5,"running":[],"finished":[)" + rows + "]}");
    cr_assert_eq(reply.mReport.mFinished.size(), static_cast<std::size_t>(count));
    cr_assert_eq(reply.mReport.mIsPartial, count == 500);
  }
}

// Guards against a lease whose end overflows, and against runs that are taken for those of another
// incarnation.
Test(WorkerClient, rejects_reports_with_an_odd_clock_or_start_time)
{
  for (const auto* const odd :
       { "1e300", "-1", "9223372036854775807", "18446744073709551615", "\"5\"", "null", "true" }) {
    const auto rows = R"(,"running":[],"finished":[]})";
    const auto clock = Renew(R"({"clock_ms":)" + std::string(odd) + rows);
    cr_assert(clock.mOutcome == scheduler::OrderOutcome::Unknown, "%s", odd);
    const auto born = Renew(R"({"clock_ms":5,"born":)" + std::string(odd) + rows);
    cr_assert(born.mOutcome == scheduler::OrderOutcome::Unknown, "%s", odd);
  }
  cr_assert(Renew(R"({"clock_ms":5.5,"running":[],"finished":[]})").mOutcome ==
            scheduler::OrderOutcome::Done);
  for (const auto* const odd : { "7", "{}", "null", "\"x\"" }) {
    const auto reply =
      Renew(R"({"clock_ms":5,"running":)" + std::string(odd) + R"(,"finished":[]})");
    cr_assert(reply.mOutcome == scheduler::OrderOutcome::Unknown, "%s", odd);
  }
}

// Guards against losing the rest of a listing because one of its items can't be read.
Test(StoreClient, lists_the_items_beside_an_odd_one)
{
  for (const auto* const odd :
       { "7", "null", "{}", R"({"key":7,"value":"eA=="})", R"({"key":"","value":"eA=="})" }) {
    const auto [ec, page] = List(R"({"items":[{"key":"servers/a","value":"eA==","revision":3},)" +
                                 std::string(odd) + R"(],"has_more":true,"as_of":5})");
    cr_assert_not(ec, "%s", odd);
    cr_assert_eq(page.mItems.size(), 1, "%s", odd);
    cr_assert(page.mHasMore);
    const auto [watchError, events] =
      Watch(R"({"events":[)" + std::string(odd) +
            R"(,{"key":"servers/a","revision":4,"deleted":true}],"as_of":5})");
    cr_assert_not(watchError, "%s", odd);
    cr_assert_eq(events.mEvents.size(), 1, "%s", odd);
  }
  // The key tells that the entry exists; the value is one that no reader understands.
  const auto [ec, page] =
    List(R"({"items":[{"key":"servers/a","value":"?","revision":3},)"
         R"({"key":"servers/b","value":7,"revision":3}],"has_more":false,"as_of":5})");
  cr_assert_not(ec);
  cr_assert_eq(page.mItems.size(), 2);
}

// Guards against taking a malformed reply for an empty list, which would end the use of all
// workers, or for the end of a list.
Test(StoreClient, rejects_pages_without_a_list_or_a_revision)
{
  for (const auto* const odd :
       { R"({"has_more":false,"as_of":5})", R"({"items":7,"has_more":false,"as_of":5})",
         R"({"items":[],"has_more":false})", R"({"items":[],"has_more":false,"as_of":"5"})",
         R"({"items":[],"has_more":false,"as_of":1e300})",
         R"({"items":[],"has_more":false,"as_of":-1})", R"({"items":[],"has_more":7,"as_of":5})",
         R"({"items":[7],"has_more":true,"as_of":5})", "[]", "7", "" }) {
    cr_assert_eq(List(odd).first, make_error_code(kv::KvError::BadAnswer), "%s", odd);
  }
  for (const auto* const odd : { R"({"as_of":5})", R"({"events":{},"as_of":5})", R"({"events":[]})",
                                 R"({"events":[],"as_of":18446744073709551615})" }) {
    cr_assert_eq(Watch(odd).first, make_error_code(kv::KvError::BadAnswer), "%s", odd);
  }
}

// Guards against a leader that goes by the time that it asked for, while the store lets its lease
// end earlier.
Test(StoreClient, tells_the_time_that_applies_to_a_lease)
{
  const auto [ec, lease] = Grant(R"({"lease":7,"ttl_ms":1000})");
  cr_assert_not(ec);
  cr_assert_eq(lease.mLease, kv::StoreLease(7));
  cr_assert_eq(lease.mTime, Duration(1000));
  const auto [keepError, time] = Keep(R"({"ttl_ms":2000})");
  cr_assert_not(keepError);
  cr_assert(time == Duration(2000));
  // The time of the grant goes on.
  const auto [silentError, unsaid] = Keep("{}");
  cr_assert_not(silentError);
  cr_assert_not(unsaid.has_value());
}

// Guards against a guess at a time that the store doesn't tell.
Test(StoreClient, does_not_take_a_lease_without_a_readable_time)
{
  for (const auto* const odd :
       { R"({"lease":7})", R"({"lease":7,"ttl_ms":"1000"})", R"({"lease":7,"ttl_ms":0})",
         R"({"lease":7,"ttl_ms":-1})", R"({"lease":7,"ttl_ms":null})", R"({"ttl_ms":1000})",
         R"({"lease":7,"ttl_ms":18446744073709551615})", "[]", "" }) {
    cr_assert_eq(Grant(odd).first, make_error_code(kv::KvError::BadAnswer), "%s", odd);
  }
  for (const auto* const odd : { R"({"ttl_ms":"1000"})", R"({"ttl_ms":0})", R"({"ttl_ms":1.5})" }) {
    cr_assert_eq(Keep(odd).first, make_error_code(kv::KvError::BadAnswer), "%s", odd);
  }
}
