#include "base/EventLoop.h"
#include "http/HttpClient.h"
#include "integration/FreePorts.h"
#include "standin/platform/PlatformControl.h"

#include <criterion/criterion.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <set>
#include <string>

using namespace lovagerock;
using namespace lovagerock::standin;

namespace {

constexpr const char* kTask = "00000000000000aa.0.0.0";
// Ends a test that waits for something that doesn't happen.
constexpr Duration kWaitLimit{ 30000 };
constexpr std::int64_t kLeaseMs = 9000;

// A platform with workers, and a caller.
struct PlatformFixture
{
  explicit PlatformFixture(int aWorkers)
    : mControl(integration::FreeAddress(aWorkers + 1))
    , mStore(integration::FreeAddress())
    , mPlatform(mLoop, FleetShape{ aWorkers })
  {
    cr_assert_not(mPlatform.Listen(mStore, 1, mControl));
  }

  static http::ClientRequest Request(const SocketAddress& aServer, http::Method aMethod,
                                     const std::string& aTarget, const Json& aBody = Json::object())
  {
    http::ClientRequest request;
    request.mServer = aServer;
    request.mMethod = aMethod;
    request.mTarget = aTarget;
    request.mBody = DumpJson(aBody);
    request.mDeadline = kWaitLimit;
    return request;
  }

  // The order to start the task on the worker with the number.
  http::ClientRequest StartRequest(int aWorker, int aRun) const
  {
    const SocketAddress address(mControl.Ip(),
                                static_cast<std::uint16_t>(mControl.Port() + 1 + aWorker));
    auto request = Request(address, http::Method::Post, "/lovagerock/run-start",
                           { { "task", kTask },
                             { "run", aRun },
                             { "spec", "60000" },
                             { "deadline_ms", kLeaseMs },
                             { "fencing_token", 1 } });
    request.mHeaders.Add("Expected-Instance", "worker-" + std::to_string(aWorker));
    return request;
  }

  Json Call(const http::ClientRequest& aRequest)
  {
    Json answer;
    mClient.Send(aRequest, [&](std::error_code aError, const http::Response& aResponse) {
      answer = aError ? Json() : ParseJson(aResponse.mBody).value_or(Json());
      mLoop.Stop();
    });
    mLoop.Run();
    return answer;
  }

  void Command(const std::string& aPath, const Json& aBody)
  {
    Call(Request(mControl, http::Method::Post, aPath, aBody));
  }

  Json Ledger() { return Call(Request(mControl, http::Method::Get, "/ledger")); }

  // Whether the worker has started the task.
  bool Start(int aWorker, int aRun)
  {
    const auto answer = Call(StartRequest(aWorker, aRun));
    return answer.contains("clock_ms") && !answer.contains("reason");
  }

  std::set<std::string> Registered()
  {
    const auto range =
      Call(Request(mStore, http::Method::Get, "/lovagerock/kv-range?prefix=servers%2F"));
    std::set<std::string> keys;
    for (const auto& it : range.at("items")) {
      keys.insert(it.at("key").get<std::string>());
    }
    return keys;
  }

  // Waits until the workers with these keys are registered, and no others.
  void AwaitRegistered(const std::set<std::string>& aKeys)
  {
    AwaitTrue([&] { return Registered() == aKeys; });
  }

  // Waits until so many start orders are still to be carried out.
  void AwaitLateStarts(int aCount)
  {
    AwaitTrue([&] {
      const auto late = Ledger().at("late_starts");
      return JsonValue(late, "worker-0", 0) == aCount;
    });
  }

  // The condition makes calls, which run the loop.
  static void AwaitTrue(const std::function<bool()>& aCondition)
  {
    const auto end = std::chrono::steady_clock::now() + kWaitLimit;
    while (!aCondition()) {
      cr_assert_lt(std::chrono::steady_clock::now(), end);
    }
  }

  EventLoop mLoop;
  SocketAddress mControl;
  SocketAddress mStore;
  PlatformControl mPlatform;
  http::HttpClient mClient{ mLoop };
};

} // namespace

// Guards against an expired registration that ends the worker or what it runs, or that comes back
// with the worker's next change.
Test(PlatformControl, keeps_a_worker_at_work_whose_registration_has_expired)
{
  PlatformFixture f(2);
  f.AwaitRegistered({ "servers/worker-0", "servers/worker-1" });
  cr_assert(f.Start(0, 1));
  f.Command("/faults", { { "unregistered_workers", { "worker-0" } } });
  const std::set<std::string> remaining{ "servers/worker-1" };
  cr_assert(f.Registered() == remaining);
  // Other faults leave it as it is.
  f.Command("/faults", { { "lost_starts", 0 } });
  f.Command("/drain", { { "worker", "worker-0" }, { "remaining_ms", 60000 } });
  cr_assert(f.Registered() == remaining);
  cr_assert(f.Ledger().at("running").contains(kTask));
  f.Command("/faults", { { "unregistered_workers", Json::array() } });
  f.AwaitRegistered({ "servers/worker-0", "servers/worker-1" });
}

// Guards against a ledger that loses sight of a run once its worker is cut off.
Test(PlatformControl, finds_a_second_run_of_a_task_on_a_worker_that_is_cut_off)
{
  PlatformFixture f(2);
  cr_assert(f.Start(0, 1));
  f.Command("/faults",
            { { "silent_workers", { "worker-0" } }, { "unregistered_workers", { "worker-0" } } });
  cr_assert(f.Start(1, 2));
  cr_assert_eq(f.Ledger().at("violations").size(), 1);
}

// Guards against a ledger that misses a run because its order was carried out late, after the task
// was started elsewhere.
Test(PlatformControl, finds_a_late_start_of_a_task_that_runs_elsewhere)
{
  PlatformFixture f(2);
  f.Command("/faults", { { "late_starts", 1 }, { "late_start_ms", 2000 } });
  f.mClient.Send(f.StartRequest(0, 1), [](std::error_code, const http::Response&) {});
  f.AwaitLateStarts(1);
  f.Command("/faults", { { "late_starts", 0 } });
  cr_assert(f.Start(1, 2));
  f.AwaitLateStarts(0);
  cr_assert_eq(f.Ledger().at("violations").size(), 1);
}

// Guards against a use that ignores what the tasks of a submitted job take.
Test(PlatformControl, counts_what_tasks_take_by_the_demand_of_their_job)
{
  PlatformFixture f(2);
  const auto usage = [&f] {
    return f.Call(PlatformFixture::Request(f.mControl, http::Method::Get, "/usage"));
  };
  const Json step{ { "count", 1 }, { "cpu", 3000 }, { "mem_mb", 10 }, { "gpu", 5 } };
  f.Command("/job-submitted", { { "job", "00000000000000aa" }, { "steps", { step } } });
  cr_assert(f.Start(0, 1));
  cr_assert_eq(usage().at("accelerators").get<int>(), 16);
  cr_assert_eq(usage().at("accelerators_in_use").get<int>(), 5);
  cr_assert_eq(usage().at("cpu_millicores_in_use").get<int>(), 3000);
}
