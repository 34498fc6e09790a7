#include "control/LeaderFixture.h"
#include "platform/Registry.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

using namespace lovagerock;
using namespace lovagerock::platform;

namespace {

using Fixture = control::BasicLeaderFixture<Registry>;

constexpr const char* kGood =
  R"({"service":"service","address":"10.0.0.1:8080","zone":"z","version":"v1","slots":8,)"
  R"("state":"ready","capacity":{"cpu":16000,"mem_mb":32768,"gpu":8},"labels":["a","r1-3"],)"
  R"("born":1700000000000,"sequence":4,"remaining_ms":0})";

std::string
With(const std::string& aOld, const std::string& aNew)
{
  std::string text = kGood;
  return text.replace(text.find(aOld), aOld.size(), aNew);
}

// Returns entries that name no worker to use, one of each sort.
std::vector<std::string>
OddEntries()
{
  std::vector<std::string> entries{ "", "null", "[]", "7", "\xff\xfe", "{" };
  entries.push_back(With("\"v1\"", std::string(100000, '[') + std::string(100000, ']')));
  entries.push_back(With("\"v1\"", std::string(100000, '[')));
  std::string objects;
  for (int i = 0; i < 10000; ++i) {
    objects += "{\"a\":";
  }
  entries.push_back(With("\"v1\"", objects + "1" + std::string(10000, '}')));
  for (const auto* const number :
       { "1e999", "1e300", "-1e300", "9223372036854775807", "9223372036854775808",
         "18446744073709551615", "18446744073709551616", "-1", "\"many\"", "true" }) {
    for (const auto* const name :
         { "\"cpu\":16000", "\"mem_mb\":32768", "\"gpu\":8", "\"born\":1700000000000",
           "\"remaining_ms\":0", "\"slots\":8", "\"sequence\":4" }) {
      const std::string field(name);
      entries.push_back(With(field, field.substr(0, field.find(':') + 1) + number));
    }
  }
  entries.push_back(With("1700000000000", "1700000000000.5"));
  entries.push_back(With("16000", "null"));
  for (const auto* const port : { ":0", ":65536", ":99999999999", ":-1", ":http", ":", "" }) {
    entries.push_back(With(":8080", port));
  }
  entries.push_back(With("\"10.0.0.1:8080\"", "[\"10.0.0.1:8080\"]"));
  entries.push_back(With("\"10.0.0.1:8080\"", "8080"));
  for (const auto* const labels : { "[]", "{}", "\"r1-3\"", "[\"a\",7]", "[\"a\",\"\"]" }) {
    entries.push_back(With(R"(["a","r1-3"])", labels));
  }
  // The rack is part of a key of the store, which holds at most 200 bytes.
  entries.push_back(With("r1-3", std::string(200, 'r')));
  entries.push_back(With("\"ready\"", "\"sleeping\""));
  entries.push_back(With("\"service\":\"service\"", "\"service\":null"));
  entries.push_back(With("\"zone\":\"z\",", ""));
  return entries;
}

} // namespace

// Guards against an odd entry that ends the process, is used as a worker, hides the other entries,
// or keeps later changes from being noticed.
Test(OddEntries, leave_the_other_workers_usable)
{
  Fixture f;
  f.mStore.Put("servers/a", kGood);
  int number = 0;
  for (const auto& it : OddEntries()) {
    f.mStore.Put("servers/odd-" + std::to_string(number++), it);
  }
  f.mStore.Put("servers/", kGood);
  f.mStore.Put("servers/line\r\nbreak", kGood);
  f.mStore.Put("servers/z", kGood);
  f.RunUntil([&] { return f.mCalls.mContacted.contains(WorkerId("z")); });
  for (const auto& it : f.mCalls.mContacted) {
    cr_assert(it == WorkerId("a") || it == WorkerId("z"), "used the odd entry %s: %s",
              it.Value().c_str(),
              f.mStore.mItems.at("servers/" + it.Value()).mValue.substr(0, 300).c_str());
  }
  cr_assert(f.mCalls.mContacted.contains(WorkerId("a")));
  // The same entries, now as changes.
  for (const auto& it : OddEntries()) {
    f.mStore.Put("servers/odd-" + std::to_string(number++), it);
  }
  f.mStore.Put("servers/later", kGood);
  f.RunUntil([&] { return f.mCalls.mContacted.contains(WorkerId("later")); });
  cr_assert_eq(f.mCalls.mContacted.size(), 3);
}

// Guards against forgetting a worker, and thereby its runs, because its entry was overwritten.
Test(OddEntries, leave_what_is_known_of_their_worker)
{
  Fixture f;
  f.mStore.Put("servers/a", kGood);
  f.RunUntil([&] { return f.mCalls.mContacted.contains(WorkerId("a")); });
  for (const auto& it : OddEntries()) {
    f.mStore.Put("servers/a", it);
  }
  f.mStore.Put("servers/z", With("\"ready\"", "\"draining\""));
  f.RunUntil([&] { return f.mCalls.mContacted.contains(WorkerId("z")); });
  f.Submit("j");
  f.RunUntil([&] { return !f.mCalls.mStarts.empty(); });
  cr_assert_eq(f.mCalls.mStarts[0].first, WorkerId("a"));
  // A listing that contains the odd entry, after the history was dropped.
  const auto lists = f.mStore.mLists;
  f.mStore.Compact();
  f.RunUntil([&] { return f.mStore.mLists > lists; });
  f.Submit("k");
  f.RunUntil([&] { return f.mCalls.mStarts.size() == 2; });
  cr_assert_eq(f.mCalls.mStarts[1].first, WorkerId("a"));
}
