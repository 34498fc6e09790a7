#include "load/TraceFile.h"
#include "load/Verifier.h"

#include <criterion/criterion.h>

#include <fstream>
#include <sstream>

using namespace lovagerock;
using namespace lovagerock::load;

namespace {

std::vector<std::string>
Check(const std::string& aWorkers, const std::string& aClient, const VerifyOptions& aOptions = {})
{
  Verifier verifier(aOptions);
  std::istringstream workers(aWorkers);
  std::istringstream client(aClient);
  std::string problem;
  cr_assert(verifier.ReadWorkerTrace(workers, problem), "%s", problem.c_str());
  cr_assert(verifier.ReadClientTrace(client, problem), "%s", problem.c_str());
  return verifier.Check();
}

bool
IsOnly(const std::vector<std::string>& aBreaks, const std::string& aRule)
{
  return aBreaks.size() == 1 && aBreaks.front().starts_with(aRule + ":");
}

std::string
Request(double aTime, const std::string& aEvent, const std::string& aId)
{
  std::ostringstream line;
  line << R"({"time_ms":)" << aTime << R"(,"event":")" << aEvent << R"(","request":")" << aId
       << R"(","idempotent":false,"outcome":"finished"})" << '\n';
  return line.str();
}

// A task of a gang of two.
std::string
Task(double aTime, const std::string& aEvent, int aTask, const std::string& aOutcome = "",
     int aAttempt = 1, bool aIdempotent = true)
{
  std::ostringstream line;
  line << R"({"time_ms":)" << aTime << R"(,"event":")" << aEvent << R"(","job":"j1","task":)"
       << aTask << R"(,"tasks":2,"attempt":)" << aAttempt << R"(,"idempotent":)"
       << (aIdempotent ? "true" : "false") << R"(,"outcome":")" << aOutcome << R"("})" << '\n';
  return line.str();
}

std::string
ClientRequest(const std::string& aKey, const std::string& aOutcome, const std::string& aAttempts)
{
  return R"({"kind":"request","key":")" + aKey + R"(","idempotent":false,"outcome":")" + aOutcome +
         R"(","attempts":[)" + aAttempts + "]}\n";
}

std::string
ClientJob(const std::string& aOutcome, int aAnswers)
{
  return R"({"kind":"job","key":"k9","job":"j1","tasks":2,"outcome":")" + aOutcome +
         R"(","answers":)" + std::to_string(aAnswers) + "}\n";
}

const std::string kWholeGang = Task(10, "start", 0) + Task(12, "start", 1) +
                               Task(20, "end", 0, "finished") + Task(21, "end", 1, "finished");

} // namespace

// Guards against a check that reports breaks in a correct run.
Test(Verifier, accepts_a_correct_run)
{
  const auto workers = Request(1, "start", "n1-1.1") + Request(2, "end", "n1-1.1") + kWholeGang;
  const auto client = ClientRequest("k1", "ok", R"({"id":"n1-1","ran":"yes"})") +
                      ClientRequest("k2", "refused", R"({"id":"n1-2","ran":"no"})") +
                      ClientJob("ok", 2);
  cr_assert(Check(workers, client).empty());
}

// Guards against a non-idempotent request that an entry node sends to two workers.
Test(Verifier, reports_a_request_that_ran_twice)
{
  const auto workers = Request(1, "start", "n1-1.1") + Request(2, "start", "n1-1.2");
  cr_assert(IsOnly(Check(workers, ""), "ran_twice"));
}

// Guards against a second run by a node that died before it told the caller its request id.
Test(Verifier, reports_a_payload_that_ran_under_two_ids)
{
  const std::string start = R"("event":"start","token":"t1","request":)";
  const auto workers = R"({"time_ms":1,)" + start + R"("n1-1.1"})" + "\n" + R"({"time_ms":2,)" +
                       start + R"("n2-1.1"})" + "\n";
  const std::string client =
    R"({"kind":"request","key":"k","token":"t1","idempotent":false,"outcome":"ok","attempts":[]})";
  cr_assert(IsOnly(Check(workers, client + "\n"), "ran_twice"));
}

// Guards against a retry with the same key that runs under another request id.
Test(Verifier, reports_a_key_that_ran_twice)
{
  const auto workers = Request(1, "start", "n1-1.1") + Request(2, "start", "n2-1.1");
  const auto client =
    ClientRequest("k1", "ok", R"({"id":"n1-1","ran":"unknown"},{"id":"n2-1","ran":"yes"})");
  cr_assert(IsOnly(Check(workers, client), "ran_twice"));
}

// Guards against a non-idempotent job that is started again.
Test(Verifier, reports_a_non_idempotent_job_with_two_attempts)
{
  std::string workers;
  for (const int attempt : { 1, 2 }) {
    for (const int task : { 0, 1 }) {
      workers += Task(10.0 * attempt, "start", task, "", attempt, false) +
                 Task(10.0 * attempt + 5, "end", task, "stopped", attempt, false);
    }
  }
  cr_assert(IsOnly(Check(workers, ""), "ran_twice"));
}

// Guards against a refusal that says "not run" of a request that ran.
Test(Verifier, reports_a_refused_request_that_ran)
{
  const auto client = ClientRequest("k1", "refused", R"({"id":"n1-1","ran":"no"})");
  cr_assert(IsOnly(Check(Request(1, "start", "n1-1.1"), client), "not_run_but_ran"));
}

// Guards against a gang part that runs to its end without the others.
Test(Verifier, reports_a_part_of_a_gang_that_ran_alone)
{
  const auto workers = Task(10, "start", 0) + Task(20, "end", 0, "finished");
  cr_assert(IsOnly(Check(workers, ""), "partial_gang"));
}

// Guards against members that run one after the other.
Test(Verifier, reports_members_of_a_gang_that_do_not_overlap)
{
  const auto workers = Task(10, "start", 0) + Task(20, "end", 0, "finished") +
                       Task(5000, "start", 1) + Task(5010, "end", 1, "finished");
  cr_assert(IsOnly(Check(workers, ""), "partial_gang"));
}

// Guards against a gang part that is left running after another failed to start.
Test(Verifier, accepts_a_part_of_a_gang_only_if_it_was_stopped)
{
  cr_assert(Check(Task(10, "start", 0) + Task(20, "end", 0, "stopped"), "").empty());
  cr_assert(IsOnly(Check(Task(10, "start", 0), ""), "partial_gang"));
  VerifyOptions killed;
  killed.mOpenIsStopped = true;
  cr_assert(Check(Task(10, "start", 0), "", killed).empty());
}

// Guards against accepted work without an answer, with two, or with a part of one.
Test(Verifier, reports_jobs_and_requests_that_are_not_answered_once)
{
  cr_assert(IsOnly(Check("", ClientJob("lost", 0)), "not_answered_once"));
  cr_assert(IsOnly(Check("", ClientJob("ok", 1)), "not_answered_once"));
  cr_assert(IsOnly(Check("", ClientJob("ok", 2) + ClientJob("ok", 2)), "not_answered_once"));
  cr_assert(IsOnly(Check("", ClientRequest("k1", "doubled", "")), "not_answered_once"));
}

// Guards against a trace that is read in part and then found correct.
Test(Verifier, refuses_malformed_traces)
{
  Verifier verifier({});
  std::string problem;
  std::istringstream client("{\n");
  cr_assert_not(verifier.ReadClientTrace(client, problem));
  std::istringstream unstarted(Request(1, "end", "n1-1.1"));
  cr_assert_not(verifier.ReadWorkerTrace(unstarted, problem));
}

// Guards against a drift between the format of the recorded traces and the replay.
Test(TraceFile, reads_recorded_traces_and_the_kind_of_work)
{
  std::string problem;
  std::ifstream recorded(TRACE_DIRECTORY "/overnight.txt");
  cr_assert_eq(ReadTraceFile(recorded, problem).size(), 400 + 120 + 2 + 30);
  std::istringstream mixed("5 a 1 1 zone 2 2 1 0 urgent\n1 b 1 0 region 0.1 0 2 3 request/scan\n");
  const auto entries = ReadTraceFile(mixed, problem);
  cr_assert(problem.empty());
  cr_assert_eq(entries.size(), 3);
  cr_assert(entries[0].mService == "scan");
  cr_assert(entries[2].mUrgent);
  std::istringstream bad("1 b 1 0 nowhere 0.1 0 2 3\n");
  cr_assert(ReadTraceFile(bad, problem).empty());
  cr_assert_not(problem.empty());
}
