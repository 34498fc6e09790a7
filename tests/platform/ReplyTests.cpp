#include "base/EventLoop.h"
#include "http/HttpServer.h"
#include "platform/WorkerClient.h"
#include "support/LocalAddress.h"

#include <criterion/criterion.h>

#include <optional>
#include <string>
#include <utility>

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

} // namespace

// Guards against losing a worker's whole report, and with it the worker's lease and runs, because
// one row can't be read.
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
