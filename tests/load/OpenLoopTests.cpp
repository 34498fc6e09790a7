#include "LoadFixture.h"
#include "load/SeriesPlot.h"

#include <sstream>

using namespace lovagerock;
using namespace lovagerock::load;
using lovagerock::load::tests::LoadFixture;
using std::chrono::microseconds;

namespace {

RateSchedule
Parse(const std::string& aText)
{
  std::string problem;
  const auto schedule = RateSchedule::Parse(aText, problem);
  cr_assert(schedule.has_value(), "%s", problem.c_str());
  return schedule.value_or(RateSchedule());
}

double
DueMs(const RateSchedule& aSchedule, std::int64_t aNumber)
{
  const auto due = aSchedule.DueAt(aNumber);
  return due ? std::chrono::duration<double, std::milli>(*due).count() : -1;
}

bool
IsNear(double aLeft, double aRight)
{
  return std::abs(aLeft - aRight) < 0.01;
}

} // namespace

// Guards against rates that begin or end at other times than the schedule tells.
Test(RateSchedule, follows_steps_ramps_and_bursts)
{
  const auto steps = Parse("0:100,1s:0,1500ms:200");
  cr_assert(IsNear(DueMs(steps, 0), 0) && IsNear(DueMs(steps, 99), 990));
  cr_assert(IsNear(DueMs(steps, 100), 1500) && IsNear(DueMs(steps, 102), 1510));

  // Rises from 0 to 100 a second in 2 s: half of the area, 100 requests.
  const auto ramp = Parse("0:0-100,2s:100");
  cr_assert(IsNear(DueMs(ramp, 25), 1000) && IsNear(DueMs(ramp, 100), 2000));
  cr_assert(IsNear(DueMs(ramp, 110), 2100));
  cr_assert(IsNear(DueMs(Parse("0:100-0,2s:0"), 75), 1000));

  const auto burst = Parse("0:10,500ms:+3,1s:0");
  cr_assert(IsNear(DueMs(burst, 4), 400) && IsNear(DueMs(burst, 5), 500));
  cr_assert(IsNear(DueMs(burst, 7), 500) && IsNear(DueMs(burst, 9), 600));
  cr_assert_not(burst.DueAt(13));
}

// Guards against a mistyped schedule that runs as another one.
Test(RateSchedule, refuses_what_it_cannot_read)
{
  for (const auto* it :
       { "", "5:1", "0:1,", "1s:5,0:6", "0:x", "0:1-", "0:-1", "0:1-2", "0:nan" }) {
    std::string problem;
    cr_assert_not(RateSchedule::Parse(it, problem), "%s", it);
    cr_assert_not(problem.empty());
  }
}

// Guards against rows that don't add up, and against refusals or failures that lower the latency.
Test(TimeSeries, counts_by_intended_time_and_takes_latencies_of_answers_alone)
{
  TimeSeries series(Duration(100));
  for (int i = 1; i <= 100; ++i) {
    series.Add(microseconds(150000), Outcome::Ok, microseconds(i * 1000), Duration(90));
  }
  series.Add(microseconds(199999), Outcome::Refused, microseconds(1), Duration(90));
  series.Add(microseconds(100000), Outcome::Lost, microseconds(1), Duration(90));
  const auto json = series.ToJson();
  cr_assert_eq(json.size(), 2);
  cr_assert_eq(json[0]["sent"], 0);
  cr_assert(json[0]["p99"].is_null());
  cr_assert_eq(json[1]["sent"], 102);
  cr_assert_eq(json[1]["ok"], 90);
  cr_assert_eq(json[1]["late"], 10);
  cr_assert_eq(json[1]["refused"], 1);
  cr_assert_eq(json[1]["failed"], 1);
  cr_assert_eq(json[1]["p50"], 50.0);
  cr_assert_eq(json[1]["p99"], 99.0);
}

// Guards against coordinated omission: while a slow answer holds the only connection, the requests
// that became due meanwhile must show their wait.
Test(OpenLoop, counts_latency_from_the_time_at_which_a_request_was_due)
{
  LoadFixture f;
  std::vector<Timer> timers;
  f.OnRequest([&](int aNumber, const http::Request& aRequest, const http::Responder& aTo) {
    const auto answer = [aTo, body = aRequest.mBody] { aTo.Send({ 200, {}, body }); };
    timers.push_back(f.mLoop.After(Duration(aNumber == 0 ? 400 : 0), answer));
  });
  RequestLoadOptions options;
  options.mPlan.mService = "condition";
  options.mSchedule = Parse("0:100,100ms:0");
  options.mInterval = Duration(1000);
  f.mSession = std::make_unique<Session>(f.mLoop, f.mOptions);
  RequestLoad load(*f.mSession, options, [&f] { f.mLoop.Stop(); });
  f.mLoop.Post([&load] { load.Start(); });
  f.mLoop.Run();
  const auto row = load.SeriesToJson().at(0);
  cr_assert_eq(row["ok"], 10);
  // The last request is due at 90 ms and can't be sent before 400 ms.
  cr_assert_geq(row["p50"].get<double>(), 310);
}

// Guards against a plot that a viewer can't show: unfinished elements and values that aren't
// numbers.
Test(SeriesPlot, draws_a_series_with_gaps)
{
  TimeSeries series(Duration(1000));
  series.Add(microseconds(0), Outcome::Ok, microseconds(800), Duration(100));
  series.Add(microseconds(2500000), Outcome::Refused, microseconds(1), Duration(100));
  for (const auto& it : { series.ToJson(), Json::array() }) {
    std::ostringstream out;
    WritePlot(it, "a < b", out);
    cr_assert(out.str().ends_with("</svg>\n"));
    cr_assert(out.str().find("a &lt; b") != std::string::npos);
    cr_assert(out.str().find("nan") == std::string::npos);
    cr_assert(out.str().find("inf") == std::string::npos);
  }
}
