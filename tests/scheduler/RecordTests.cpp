#include "SchedulerFixture.h"
#include "scheduler/RackRecord.h"

using namespace lovagerock;
using namespace lovagerock::scheduler;

// Guards against losing the other workers of a rack, and the runs there, at a takeover.
Test(RackRecord, reads_the_workers_beside_an_odd_one)
{
  for (const auto* const odd :
       { "7", "[]", "[\"x\"]", "[\"x\",\"10.0.0.9:0\"]", "[\"x\",\"10.0.0.9:65536\"]",
         "[\"x\",\"nowhere\"]", "[7,\"10.0.0.9:1\"]", "[\"\",\"10.0.0.9:1\"]" }) {
    const auto workers =
      ReadRackRecord(R"([["a","10.0.0.1:1"],)" + std::string(odd) + R"(,["b","10.0.0.2:1"]])");
    cr_assert(workers.has_value(), "%s", odd);
    cr_assert_eq(workers->size(), 2, "%s", odd);
    cr_assert_eq(workers->back().mWorker, WorkerId("b"));
  }
  cr_assert_not(ReadRackRecord("{}").has_value());
  cr_assert_not(ReadRackRecord(std::string(100000, '[') + std::string(100000, ']')).has_value());
}

// Guards against the end of the process when a record's count of tasks can't be allocated, and
// against times that overflow.
Test(JobRecord, rejects_numbers_out_of_range)
{
  SchedulerFixture f;
  const auto good = WriteAcceptedJob(f.Job("j", { f.Step(2, 1) }));
  cr_assert(ReadAcceptedJob(good).has_value());
  const std::vector<std::pair<std::string, std::vector<std::string>>> odd{
    { "\"count\":2", { "-1", "0", "2147483647", "4294967297", "1e300", "\"2\"" } },
    { "\"accelerators\":1", { "-1", "1e300", "9223372036854775807", "18446744073709551615" } },
    { "\"estimate\":2000", { "-1", "1e300", "9223372036854775807" } },
    { "\"acceptedMs\":1700000000000", { "-1", "1e300", "9223372036854775807" } },
    { "\"targetLatency\":1000", { "-1", "1e300", "9223372036854775807" } },
    { "\"slackFactor\":3.0", { "-1", "1e300", "\"3\"" } },
    { "\"repetitions\":0", { "-1", "4294967297" } },
    { "\"interval\":0", { "-1", "9223372036854775807" } },
    { "\"firstRunMs\":0", { "1e300", "9223372036854775807" } },
  };
  for (const auto& [field, numbers] : odd) {
    cr_assert(good.find(field) != std::string::npos, "%s", field.c_str());
    for (const auto& it : numbers) {
      auto text = good;
      text.replace(text.find(field), field.size(), field.substr(0, field.find(':') + 1) + it);
      cr_assert_not(ReadAcceptedJob(text).has_value(), "%s", text.c_str());
    }
  }
}

// Guards against progress that names an occurrence the job doesn't have.
Test(JobRecord, rejects_progress_with_numbers_out_of_range)
{
  SchedulerFixture f;
  const auto accepted = f.Job("j", { f.Step(1, 1) });
  const std::string good =
    R"({"state":"in_progress","next":1,"done":0,"open":[{"number":0,"steps":[[0]]}]})";
  const auto isRead = [&](const std::string& aOld, const std::string& aNew) {
    auto text = good;
    text.replace(text.find(aOld), aOld.size(), aNew);
    Job job(accepted, f.mNow.mSteady);
    return ReadProgress(text, job);
  };
  cr_assert(isRead("\"number\":0", "\"number\":0"));
  for (const auto* const it : { "2147483647", "4294967296", "-1", "1", "1e300" }) {
    cr_assert_not(isRead("\"number\":0", "\"number\":" + std::string(it)), "%s", it);
  }
  cr_assert_not(isRead("\"next\":1", "\"next\":2147483648"));
  cr_assert_not(isRead("\"next\":1", "\"next\":-1"));
  cr_assert_not(isRead("[[0]]", "[[[-1,0,[],\"w\",\"\"]]]"));
  cr_assert_not(isRead("[[0]]", "[[[1,1e300,[],\"w\",\"\"]]]"));
  cr_assert_not(isRead("[[0]]", "[[[1,1,[1e300],\"\",\"\"]]]"));
  cr_assert(isRead("[[0]]", "[[[1,1,[1],\"\",\"\",[7]]]]"));
  cr_assert_not(isRead("[[0]]", "[[[1,1,[1],\"\",\"\",[-1]]]]"));
}
