#include "integration/RequestLoad.h"
#include "integration/TestFailure.h"
#include "integration/Trace.h"
#include "integration/VersionWatch.h"

#include <criterion/criterion.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <string>
#include <unistd.h>
#include <vector>

using namespace lovagerock;
using namespace lovagerock::integration;

namespace {

Json
TaskLine(std::int64_t aTime, const std::string& aEvent, int aTask, int aAttempt = 1)
{
  Json line{ { "time_ms", aTime },   { "worker", "w" + std::to_string(aTask) },
             { "event", aEvent },    { "job", "j" },
             { "task", aTask },      { "tasks", 2 },
             { "attempt", aAttempt } };
  if (aEvent == "end") {
    line["outcome"] = "finished";
  }
  return line;
}

Json
RequestLine(const std::string& aRequest)
{
  return { { "time_ms", 1 }, { "worker", "w" }, { "event", "start" }, { "request", aRequest } };
}

Trace
TraceOf(const std::vector<Json>& aLines)
{
  std::string path = (std::filesystem::temp_directory_path() / "lovagerock-XXXXXX").string();
  close(mkstemp(path.data()));
  std::ofstream file(path);
  for (const auto& it : aLines) {
    file << DumpJson(it) << "\n";
  }
  file.close();
  Trace trace({ path });
  std::filesystem::remove(path);
  return trace;
}

bool
Reports(const std::function<void()>& aCheck)
{
  try {
    aCheck();
  } catch (const TestFailure&) {
    return true;
  }
  return false;
}

const std::vector<Json> kWhole{ TaskLine(1, "start", 0), TaskLine(2, "start", 1),
                                TaskLine(9, "end", 0), TaskLine(9, "end", 1) };

} // namespace

// Guards against a checker that passes a doubled run, or fails a single one.
Test(Checker, reports_a_doubled_run)
{
  const auto once = TraceOf({ RequestLine("a"), RequestLine("b") });
  cr_assert_not(Reports([&] { once.RequireNoRequestTwice(); }));
  const auto twice = TraceOf({ RequestLine("a"), RequestLine("a") });
  cr_assert(Reports([&] { twice.RequireNoRequestTwice(); }));
  auto lines = kWhole;
  lines.push_back(TaskLine(12, "start", 1));
  const auto task = TraceOf(lines);
  cr_assert(Reports([&] { task.RequireWholeGangs(); }));
  cr_assert(Reports([&] { task.RequireNoPartBeyond(100); }));
  lines.back() = TaskLine(12, "start", 1, 2);
  cr_assert_eq(TraceOf(lines).AttemptsStarted("j"), 2);
}

// Guards against a checker that passes a part of a gang, or fails a whole one.
Test(Checker, reports_a_partial_gang)
{
  const auto whole = TraceOf(kWhole);
  cr_assert_not(Reports([&] { whole.RequireWholeGangs(); }));
  cr_assert_not(Reports([&] { whole.RequireNoPartBeyond(1); }));
  const auto part = TraceOf({ kWhole[0], kWhole[2] });
  cr_assert(Reports([&] { part.RequireWholeGangs(); }));
  cr_assert(Reports([&] { part.RequireNoPartBeyond(7); }));
  cr_assert_not(Reports([&] { part.RequireNoPartBeyond(8); }));
  // A part without an end may still run.
  const auto open = TraceOf({ kWhole[0] });
  cr_assert(Reports([&] { open.RequireNoPartBeyond(8); }));
}

// Guards against a checker that takes a lost or a foreign answer for the request's own.
Test(Checker, reports_a_lost_or_foreign_answer)
{
  LoadedRequest request;
  request.mKey = "a";
  request.mResult.mResponse = { 200, {}, "a" };
  cr_assert_not(Reports([&] { RequireAnswered(request); }));
  request.mResult.mResponse.mBody = "b";
  cr_assert(Reports([&] { RequireAnswered(request); }));
  request.mResult = { make_error_code(std::errc::connection_reset), {} };
  cr_assert(Reports([&] { RequireAnswered(request); }));
}

// Guards against a checker that passes a version that falls on one node, or fails nodes that differ
// or don't answer.
Test(Checker, reports_a_version_that_falls)
{
  VersionHistory history;
  cr_assert(Reports([&] { history.RequireNeverFell(); }));
  for (const int it : { 1, 2, -1, 2, 3 }) {
    history.Note(0, it);
  }
  history.Note(1, 1);
  cr_assert_not(Reports([&] { history.RequireNeverFell(); }));
  history.Note(0, 2);
  history.Note(0, 3);
  cr_assert(Reports([&] { history.RequireNeverFell(); }));
}

// Guards against a checker that overlooks late commands to leaving workers.
Test(Checker, counts_commands_after_leaving)
{
  const Json leaving{ { "time_ms", 100 }, { "worker", "w0" }, { "event", "leaving" } };
  Json refused{ { "time_ms", 3101 },      { "worker", "w0" }, { "event", "refused" },
                { "command", "reserve" }, { "id", "l" },      { "reason", "leaving" } };
  cr_assert_eq(TraceOf({ leaving, refused }).CommandsAfterLeaving(3000), 1);
  cr_assert_eq(TraceOf({ leaving, TaskLine(4000, "start", 0) }).CommandsAfterLeaving(3000), 1);
  cr_assert_eq(TraceOf({ leaving, TaskLine(4000, "start", 1) }).CommandsAfterLeaving(3000), 0);
  refused["time_ms"] = 3100;
  cr_assert_eq(TraceOf({ leaving, refused }).CommandsAfterLeaving(3000), 0);
}
