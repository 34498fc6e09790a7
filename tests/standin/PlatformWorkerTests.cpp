#include "base/EventLoop.h"
#include "http/HttpClient.h"
#include "standin/platform/PlatformWorker.h"

#include <criterion/criterion.h>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

using namespace lovagerock;
using namespace lovagerock::standin;

namespace {

constexpr const char* kTask = "00000000000000aa.0.0.0";
// A call that isn't answered within this time counts as unanswered.
constexpr Duration kAnswerTime{ 1000 };
// Ends a test that waits for something that doesn't happen.
constexpr Duration kWaitLimit{ 30000 };
constexpr std::int64_t kLeaseMs = 9000;

// A worker with the id "w", 4 cores, 4000 MiB and 4 accelerators, and a caller.
struct WorkerFixture
{
  WorkerFixture() { Restart(); }

  // Ends the worker's life and begins another one.
  void Restart()
  {
    mWorker.reset();
    mWorker = std::make_unique<PlatformWorker>(
      mLoop, mSpec, mState, [this](const WorkerCall& aCall) { mLateCalls.push_back(aCall); });
    cr_assert_not(mWorker->Listen(mAddress));
    if (mAddress.Port() == 0) {
      const auto entry = ParseJson(mWorker->Entry()).value();
      mAddress = *SocketAddress::Parse(entry.at("address").get<std::string>());
    }
  }

  // The answer, or nothing without one.
  std::optional<Json> Call(const std::string& aPath, const Json& aBody)
  {
    http::ClientRequest call;
    call.mServer = mAddress;
    call.mMethod = http::Method::Post;
    call.mTarget = "/lovagerock/" + aPath;
    call.mHeaders.Add("Expected-Instance", "w");
    call.mBody = DumpJson(aBody);
    call.mDeadline = kAnswerTime;
    // A pooled connection may belong to the life before.
    call.mNewConnection = true;
    std::optional<Json> answer;
    mClient.Send(call, [&](std::error_code aError, const http::Response& aResponse) {
      if (!aError) {
        answer = ParseJson(aResponse.mBody);
      }
      mLoop.Stop();
    });
    mLoop.Run();
    return answer;
  }

  std::optional<Json> Start(int aRun, std::int64_t aToken, const Json& aTime)
  {
    return Call("run-start", StartBody(aRun, aToken, aTime));
  }

  static Json
  StartBody(int aRun, std::int64_t aToken, const Json& aTime, const std::string& aTask = kTask)
  {
    return { { "task", aTask },
             { "run", aRun },
             { "spec", DumpJson(aTime) },
             { "deadline_ms", kLeaseMs },
             { "fencing_token", aToken } };
  }

  // Starts the first run of the task, which takes long. Returns the reason if that is refused.
  std::string StartLong(const std::string& aTask)
  {
    const auto answer = Call("run-start", StartBody(1, 1, 60000, aTask));
    cr_assert(answer.has_value());
    return JsonValue(*answer, "reason", std::string());
  }

  Json Hold(std::int64_t aToken, std::int64_t aSeen = 0)
  {
    const auto answer = Call("hold", { { "fencing_token", aToken }, { "last_seen", aSeen } });
    cr_assert(answer.has_value());
    return *answer;
  }

  void AwaitTrue(const std::function<bool()>& aCondition)
  {
    const auto limit = mLoop.After(kWaitLimit, [this] { mLoop.Stop(); });
    const auto check = mLoop.Every(Duration(5), [&] {
      if (aCondition()) {
        mLoop.Stop();
      }
    });
    mLoop.Run();
    cr_assert(aCondition());
  }

  EventLoop mLoop;
  WorkerSpec mSpec{ "w", "rack-w", { MilliCores(4000), MemoryMiB(4000), Accelerators(4) } };
  PlatformState mState{ mLoop };
  RunLedger& mLedger = mState.mLedger;
  SocketAddress mAddress{ "127.0.0.1", 0 };
  std::vector<WorkerCall> mLateCalls;
  std::unique_ptr<PlatformWorker> mWorker;
  http::HttpClient mClient{ mLoop };
};

} // namespace

// Guards against a silence that also ends what runs, as a crash does.
Test(PlatformWorker, runs_on_while_it_is_silent)
{
  WorkerFixture f;
  cr_assert(f.Start(1, 1, 300).has_value());
  f.mWorker->Faults().mSilent = true;
  cr_assert_not(f.Call("hold", { { "fencing_token", 2 } }).has_value());
  f.AwaitTrue([&] { return f.mLedger.Running().empty(); });
  f.mWorker->Faults().mSilent = false;
  // The silent worker has not seen the token 2.
  const auto finished = f.Hold(1).at("finished");
  cr_assert_eq(finished.size(), 1);
  cr_assert_eq(finished.at(0).at(3).get<std::string>(), std::string("done"));
}

// Guards against a restart that keeps anything of the life before.
Test(PlatformWorker, knows_nothing_of_the_life_before)
{
  WorkerFixture f;
  const auto born = f.Hold(5).at("born").get<std::int64_t>();
  cr_assert(f.Start(2, 5, 60000).has_value());
  cr_assert(f.Start(1, 4, 60000)->contains("reason"), "a lower token was accepted");
  f.Restart();
  cr_assert(f.mLedger.Running().empty());
  const auto report = f.Hold(1);
  cr_assert_gt(report.at("born").get<std::int64_t>(), born);
  cr_assert(report.at("running").empty());
  cr_assert_not(f.Start(1, 1, 60000)->contains("reason"), "an older life's run was known");
}

// Guards against late orders that are checked when they arrive instead of when they are carried
// out.
Test(PlatformWorker, checks_a_late_start_when_it_is_carried_out)
{
  WorkerFixture f;
  f.mWorker->Faults().mLateStarts = 2;
  cr_assert_not(f.Start(1, 1, 60000).has_value());
  cr_assert_not(f.Start(2, 1, 60000).has_value());
  cr_assert_eq(f.mLateCalls.size(), 2);
  cr_assert(f.mLedger.AllStarts().empty());
  f.Hold(2);
  f.mWorker->CarryOutLate(f.mLateCalls.at(0));
  cr_assert(f.mLedger.AllStarts().empty(), "the worker has seen a higher token since");
  f.Restart();
  f.mWorker->CarryOutLate(f.mLateCalls.at(1));
  cr_assert_eq(f.mLedger.AllStarts().at(kTask), 1);
}

// Guards against a task that takes the time of another step.
Test(PlatformWorker, takes_the_time_of_the_step)
{
  WorkerFixture f;
  cr_assert(f.Start(1, 1, Json::array({ 10, 60000 })).has_value());
  f.AwaitTrue([&] { return f.mLedger.Running().empty(); });
  auto second = WorkerFixture::StartBody(1, 1, Json::array({ 60000, 10 }));
  second["task"] = "00000000000000aa.0.1.0";
  cr_assert(f.Call("run-start", second).has_value());
  f.AwaitTrue([&] { return f.mLedger.Running().empty(); });
}

// Guards against ends that the ledger isn't told of in full: a start after an end that the caller
// has seen must be found.
Test(PlatformWorker, tells_the_ledger_which_ends_are_acknowledged)
{
  WorkerFixture f;
  cr_assert(f.Start(1, 1, 10).has_value());
  f.AwaitTrue([&] { return f.mLedger.Running().empty(); });
  cr_assert(f.Start(2, 1, 60000).has_value());
  cr_assert(f.mLedger.Violations().empty());
  f.Hold(1, 1);
  cr_assert_eq(f.mLedger.Violations().size(), 1);
}

// Guards against a stand-in that accepts work for which a worker has too little of anything, so
// that a scheduler which overbooks workers goes unnoticed.
Test(PlatformWorker, refuses_a_start_over_its_capacity)
{
  WorkerFixture f;
  const auto add = [&f](const std::string& aJob, const Capacity& aDemand) {
    f.mState.mJobs.Add(aJob, { { 2, {}, aDemand } });
  };
  add("cpu", { MilliCores(2500), MemoryMiB(1), Accelerators(0) });
  add("memory", { MilliCores(1), MemoryMiB(2500), Accelerators(0) });
  add("accelerators", { MilliCores(1), MemoryMiB(1), Accelerators(3) });
  for (const std::string job : { "cpu", "memory", "accelerators" }) {
    cr_assert_eq(f.StartLong(job + ".0.0.0"), std::string());
    cr_assert_eq(f.StartLong(job + ".0.0.1"), std::string("room"));
  }
  // A repeated order isn't a new start.
  cr_assert_eq(f.StartLong("cpu.0.0.0"), std::string());
  f.Call("run-stop", { { "task", "cpu.0.0.0" }, { "run", 1 }, { "fencing_token", 1 } });
  cr_assert_eq(f.StartLong("cpu.0.0.1"), std::string());
}

// Guards against tasks that take nothing because nobody has said what they need.
Test(PlatformWorker, counts_an_unknown_task_as_one_accelerator)
{
  WorkerFixture f;
  for (const std::string index : { "0", "1", "2", "3" }) {
    cr_assert_eq(f.StartLong("unknown.0.0." + index), std::string());
  }
  cr_assert_eq(f.mWorker->InUse().mAccelerators.Value(), 4);
  cr_assert_eq(f.StartLong("unknown.0.0.4"), std::string("room"));
}

// Guards against a worker that registers another capacity or rack than it was given.
Test(PlatformWorker, registers_its_capacity_and_rack)
{
  WorkerFixture f;
  const auto entry = ParseJson(f.mWorker->Entry()).value();
  const auto& capacity = entry.at("capacity");
  cr_assert_eq(capacity.at("cpu").get<int>(), 4000);
  cr_assert_eq(capacity.at("mem_mb").get<int>(), 4000);
  cr_assert_eq(capacity.at("gpu").get<int>(), 4);
  cr_assert_eq(entry.at("labels").at(1).get<std::string>(), std::string("rack-w"));
}

// Guards against members of a gang that work, or end as done, before the others are there.
Test(PlatformWorker, lets_a_gang_work_once_all_members_are_present)
{
  WorkerFixture f;
  f.mState.mJobs.Add("gang", { { 2, {}, { {}, {}, Accelerators(1) }, true } });
  const auto start = [&f](const std::string& aTask) {
    cr_assert(f.Call("run-start", WorkerFixture::StartBody(1, 1, 10, aTask)).has_value());
  };
  start("gang.0.0.0");
  cr_assert(f.Hold(1).at("finished").empty());
  start("gang.0.0.1");
  f.AwaitTrue([&] { return f.mLedger.Running().empty(); });
  const auto finished = f.Hold(1).at("finished");
  cr_assert_eq(finished.size(), 2);
  cr_assert_eq(finished.at(0).at(3).get<std::string>(), std::string("done"));
  cr_assert_eq(finished.at(1).at(3).get<std::string>(), std::string("done"));
}

// Guards against members that go on after another one was stopped.
Test(PlatformWorker, breaks_a_gang_whose_member_is_stopped)
{
  WorkerFixture f;
  f.mState.mJobs.Add("gang", { { 2, {}, { {}, {}, Accelerators(1) }, true } });
  cr_assert_eq(f.StartLong("gang.0.0.0"), std::string());
  cr_assert_eq(f.StartLong("gang.0.0.1"), std::string());
  f.Call("run-stop", { { "task", "gang.0.0.0" }, { "run", 1 }, { "fencing_token", 1 } });
  cr_assert(f.mLedger.Running().empty());
  const auto finished = f.Hold(1).at("finished");
  std::set<std::string> ends;
  for (const auto& it : finished) {
    ends.insert(it.at(3).get<std::string>());
  }
  cr_assert((ends == std::set<std::string>{ "broken", "stopped" }));
}
