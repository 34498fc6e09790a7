#include "control/ControlSettings.h"
#include "hostile/ConnectionFlood.h"
#include "hostile/HostileLimits.h"
#include "hostile/RequestCrowd.h"
#include "integration/EdgeSystem.h"
#include "integration/TestFailure.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <iostream>
#include <string>
#include <vector>

using namespace lovagerock;
using namespace lovagerock::integration;
using namespace std::chrono_literals;

namespace {

// The smallest machine of the deployments, without its small share of a processor.
constexpr const char* kNodeSettings = "limits:\n"
                                      "  memory_mb: 120\n"
                                      "  file_descriptors: 256\n"
                                      "  cpu_share: 0.09\n"
                                      "  cores: 1\n"
                                      "  link_mbps: 10\n";
// The same with less memory, so that fewer jobs are enough to fill it.
constexpr const char* kSmallNodeSettings = "limits:\n"
                                           "  memory_mb: 60\n"
                                           "  file_descriptors: 256\n"
                                           "  cpu_share: 0.09\n"
                                           "  cores: 1\n"
                                           "  link_mbps: 10\n";
// Four fifths of the machine's memory. The rest is for what the kernel holds for the sockets.
constexpr std::size_t kMaxResidentBytes = 96 * 1024 * 1024;
constexpr std::size_t kMaxSmallResidentBytes = 48 * 1024 * 1024;
constexpr std::size_t kMaxDescriptors = 256;
constexpr int kClients = 40;
constexpr std::chrono::seconds kLongestFlood{ 30 };
constexpr const char* kJob = "00000000000000aa";
constexpr const char* kLaterJob = "00000000000000ab";
// The largest text for the workers that a job may have.
constexpr std::size_t kLargestPayload = 4000;

// The queue of ordinary callers and one that hostile callers have found, both without API keys, and
// one for each of two accounts.
Json
TwoQueues()
{
  const auto route = [](const char* aName, bool aIsPublic, int aPriority) {
    return Json{
      { "name", aName },      { "host", "127.0.0.1" }, { "prefix", "/" + std::string(aName) + "/" },
      { "service", "batch" }, { "public", aIsPublic }, { "priority", aPriority },
      { "max_attempts", 3 },  { "slack_factor", 3.0 }, { "target_latency_ms", 1000 }
    };
  };
  const auto account = [](const char* aName) {
    return Json{ { "name", aName },
                 { "api_keys", { std::string("key-") + aName } },
                 { "guaranteed", { { "gpu", 4 } } } };
  };
  return { { "version", 2 },
           { "routes",
             { route("batch", true, 1), route("found", true, 1), route("members", false, 1),
               route("urgent", false, 0) } },
           { "tenants", { account("one"), account("two") } } };
}

std::string
Key(const std::string& aAccount)
{
  return "Authorization: Bearer key-" + aAccount + "\r\n";
}

Json
Step(std::int64_t aCount)
{
  // More accelerators than the worker has left beside one of them, so that the others wait.
  return { { "count", aCount }, { "cpu", 100 }, { "mem_mb", 100 }, { "gpu", 6 } };
}

Json
OneTask()
{
  return { { "count", 1 }, { "cpu", 100 }, { "mem_mb", 100 }, { "gpu", 1 }, { "estimate_ms", 50 } };
}

// A job whose tasks take a minute.
std::string
JobBody(const Json& aSteps)
{
  return DumpJson({ { "spec", "60000" }, { "steps", aSteps } });
}

struct Bounds
{
  const char* mSettings = kNodeSettings;
  std::size_t mMaxResidentBytes = kMaxResidentBytes;
};
constexpr Bounds kSmallNode{ kSmallNodeSettings, kMaxSmallResidentBytes };

// What a node has used at most.
class UsageCheck
{
public:
  UsageCheck(Process& aProcess, std::size_t aMaxResidentBytes)
    : mProcess(aProcess)
    , mMaxResidentBytes(aMaxResidentBytes)
  {
  }

  // Returns whether the node has ended or used too much.
  bool IsBroken()
  {
    const auto usage = ReadUsage(mProcess.Pid());
    mHighest.mPeakResidentBytes = std::max(mHighest.mPeakResidentBytes, usage.mPeakResidentBytes);
    mHighest.mDescriptors = std::max(mHighest.mDescriptors, usage.mDescriptors);
    return !mProcess.IsRunning() || IsOverMemory(mHighest, mMaxResidentBytes) ||
           mHighest.mDescriptors > kMaxDescriptors;
  }

  std::string Describe() const { return integration::Describe(mHighest); }

  void RequireHeld()
  {
    const bool isBroken = IsBroken();
    Require(mProcess.IsRunning(), "the node has ended after " + Describe());
    Require(!isBroken, "too much memory or too many descriptors: " + Describe());
  }

private:
  Process& mProcess;
  std::size_t mMaxResidentBytes;
  ProcessUsage mHighest;
};

// An ordinary caller's job is accepted, and its state is told.
void
RequireOrdinaryAnswer(EdgeSystem& aSystem, const std::string& aJob = kJob)
{
  AwaitTrue("a job to be accepted",
            [&] { return aSystem.Submit(0, aJob, Json::array({ OneTask() }), 50ms).Is(200); });
  AwaitTrue("the job's state", [&] { return !aSystem.State(0, kJob).empty(); });
  aSystem.AwaitReady(0);
}

// Runs the crowd against the only node. Its process must live within its memory and its
// descriptors, and answer an ordinary caller while the crowd's connections are still open.
void
RunCrowd(int aClients, std::uint64_t aRequests, const RequestCrowd::MakeRequest& aMakeRequest,
         const Bounds& aBounds = {}, const std::function<void(EdgeSystem&)>& aAfterwards = {})
{
  WorkerFleet workers;
  workers.mCount = 1;
  RunWithEdges(
    1, workers,
    [&](EdgeSystem& aSystem) {
      aSystem.Configure(TwoQueues(), "/found/");
      UsageCheck usage(aSystem.ProcessOf(0), aBounds.mMaxResidentBytes);
      RequestCrowd crowd(aSystem.CallersAddress(0), aClients, aMakeRequest);
      crowd.Run(aRequests, kLongestFlood, [&] { return usage.IsBroken(); });
      std::cerr << crowd.Describe() << ", " << usage.Describe() << '\n';
      Require(!usage.IsBroken(), "after " + crowd.Describe());
      usage.RequireHeld();
      RequireOrdinaryAnswer(aSystem);
      usage.RequireHeld();
      if (aAfterwards) {
        aAfterwards(aSystem);
      }
    },
    aBounds.mSettings);
}

std::string
SubmitText(std::uint64_t aNumber, const std::string& aBody)
{
  return RequestText("POST", "/found/" + NumberedJob(aNumber + 0x1000), aBody);
}

// The value of a metric without labels.
double
MetricOf(EdgeSystem& aSystem, const std::string& aName)
{
  const auto metrics = aSystem.Metrics(0);
  const auto begin = metrics.find('\n' + aName + ' ');
  Require(begin != std::string::npos, "no metric " + aName);
  return std::stod(metrics.substr(begin + aName.size() + 2));
}

// A job with the largest text for the workers.
std::string
SmallJob()
{
  return DumpJson(
    { { "spec", std::string(kLargestPayload, 'x') }, { "steps", Json::array({ Step(1) }) } });
}

} // namespace

// Guards against small requests for so many tasks that their state exhausts the memory.
Test(HostileJobs, submit_jobs_of_many_tasks)
{
  constexpr std::array<int, 7> kCounts{ 512, 1000, 4000, 8000, 20000, 70000, 100000 };
  RunCrowd(kClients, 4000, [&](std::uint64_t aNumber) {
    return SubmitText(aNumber, JobBody(Json::array({ Step(kCounts[aNumber % kCounts.size()]) })));
  });
}

// Guards against a few jobs of many tasks, which keep the loop busy so long that nobody gets an
// answer.
Test(HostileJobs, submit_a_few_jobs_of_many_tasks)
{
  RunCrowd(1, 20, [](std::uint64_t aNumber) {
    return SubmitText(aNumber, JobBody(Json::array({ Step(70000) })));
  });
}

// Guards against jobs that are accepted although they can't be stored in a form that the leader
// reads, so that they never run.
Test(HostileJobs, submit_jobs_that_no_leader_reads)
{
  const std::vector<Json> jobs{ Json::array({ Step(1'000'000) }),
                                Json::array({ Step(1'000'000'000) }),
                                Json::array({ Step(2'147'483'647) }),
                                Json::array({ Step(100'000), Step(1'000'000'000) }),
                                Json::array({ Step(1), Step(100'001) }) };
  RunWithEdges(1, 1, [&](EdgeSystem& aSystem) {
    HttpCaller caller;
    for (std::size_t i = 0; i < jobs.size(); ++i) {
      const auto answer =
        caller.Post(aSystem.CallersAddress(0), "/batch/" + NumberedJob(i), JobBody(jobs[i]));
      Require(answer.Is(400), "job " + std::to_string(i) + ": " + answer.Describe());
    }
    RequireOrdinaryAnswer(aSystem);
  });
}

// Guards against a job of which all repetitions are due at once.
Test(HostileJobs, submit_repeated_jobs_that_are_all_due)
{
  RunCrowd(1, 20, [](std::uint64_t aNumber) {
    return SubmitText(aNumber, DumpJson({ { "spec", "60000" },
                                          { "steps", Json::array({ Step(1) }) },
                                          { "repetitions", 1'000'000 },
                                          { "first_run_ms", 1 },
                                          { "interval_ms", 1 } }));
  });
}

// Guards against accepted jobs without limit: ordinary ones, of one task each.
Test(HostileJobs, submit_small_jobs_without_pause)
{
  RunCrowd(
    kClients, 24000,
    [](std::uint64_t aNumber) {
      static const auto kText = SmallJob();
      return SubmitText(aNumber, kText);
    },
    kSmallNode);
}

// Guards against cancelled jobs, which are kept for a while after their end.
Test(HostileJobs, cancel_the_jobs_that_they_submit)
{
  RunCrowd(
    kClients, 48000,
    [](std::uint64_t aNumber) {
      static const auto kText = SmallJob();
      // Each client's next request, or nearly, is another number's.
      const auto id = aNumber / 2 / kClients * kClients + aNumber % kClients;
      return aNumber / kClients % 2 == 0
               ? SubmitText(id, kText)
               : RequestText("DELETE", "/found/" + NumberedJob(id + 0x1000));
    },
    kSmallNode);
}

// Guards against cancellations of jobs that nobody has submitted, each of which may leave a record
// in the store and with the leader: beyond their limit they are refused, and leave none.
Test(HostileJobs, cancel_jobs_that_nobody_has_submitted)
{
  const auto begin = std::chrono::steady_clock::now();
  RunCrowd(
    kClients, 40000,
    [](std::uint64_t aNumber) {
      return RequestText("DELETE", "/found/" + NumberedJob(aNumber + 0x1000));
    },
    kSmallNode,
    [begin](EdgeSystem& aSystem) {
      const auto recorded = MetricOf(aSystem, "lovagerock_early_cancellations_recorded_total");
      const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - begin;
      const auto limit = control::kEarlyCancellationBurst +
                         control::kEarlyCancellationsPerSecond * (elapsed.count() + 1);
      Require(recorded <= limit, std::to_string(recorded) + " records");
      Require(MetricOf(aSystem, "lovagerock_early_cancellations_refused_total") > recorded,
              "the flood didn't reach the limit");
      Require(MetricOf(aSystem, "lovagerock_early_cancellations") <= recorded, "too many records");
      Require(aSystem.Cancel(0, kJob).Is(200), "a stored job can't be cancelled");
    });
}

// Guards against jobs of many steps, and of steps that depend on many others.
Test(HostileJobs, submit_jobs_of_many_steps)
{
  auto plain = Json::array();
  for (int i = 0; i < 8000; ++i) {
    plain.push_back(Step(1));
  }
  auto ordered = Json::array({ Step(1) });
  for (int i = 1; i < 400; ++i) {
    auto step = Step(1);
    step["after"] = std::vector<int>(600, i - 1);
    ordered.push_back(std::move(step));
  }
  const std::array<std::string, 2> bodies{ JobBody(plain), JobBody(ordered) };
  RunCrowd(
    kClients, 400,
    [&bodies](std::uint64_t aNumber) {
      return SubmitText(aNumber, bodies[aNumber % bodies.size()]);
    },
    kSmallNode);
}

// Guards against large texts in fields that are kept: for the workers, labels and racks.
Test(HostileJobs, submit_jobs_with_large_texts)
{
  const std::string large(200 * 1024, 'x');
  auto labelled = Step(1);
  labelled["requirements"] = large;
  auto local = Step(1);
  local["affinity"] = large;
  const std::array<std::string, 3> bodies{
    DumpJson({ { "spec", large }, { "steps", Json::array({ Step(1) }) } }),
    JobBody(Json::array({ labelled })), JobBody(Json::array({ local }))
  };
  RunCrowd(
    kClients, 2000,
    [&bodies](std::uint64_t aNumber) {
      return SubmitText(aNumber, bodies[aNumber % bodies.size()]);
    },
    kSmallNode);
}

// Guards against tasks that need nothing, so that any number of them runs at a time.
Test(HostileJobs, submit_tasks_that_need_nothing)
{
  RunCrowd(kClients, 2000, [](std::uint64_t aNumber) {
    return SubmitText(aNumber, JobBody(Json::array({ { { "count", 500 } } })));
  });
}

// Guards against gangs so large that each plan looks for their room in vain for long.
Test(HostileJobs, submit_gangs_that_never_fit)
{
  auto gang = Step(30000);
  gang["gang"] = true;
  gang["rack_local"] = true;
  RunCrowd(kClients, 1000, [&gang](std::uint64_t aNumber) {
    return SubmitText(aNumber, JobBody(Json::array({ gang })));
  });
}

// Guards against a backlog that the next leader can't load into the same memory: many small jobs,
// and jobs of many tasks.
Test(HostileJobs, fill_the_backlog_before_a_takeover)
{
  RunCrowd(
    kClients, 24000,
    [](std::uint64_t aNumber) {
      static const auto kText = SmallJob();
      return SubmitText(aNumber, aNumber % 8 == 0 ? JobBody(Json::array({ Step(4000) })) : kText);
    },
    kSmallNode,
    [](EdgeSystem& aSystem) {
      aSystem.Kill(0);
      aSystem.Start(0);
      UsageCheck usage(aSystem.ProcessOf(0), kMaxSmallResidentBytes);
      aSystem.AwaitReady(0);
      AwaitTrue("the new leader", [&aSystem, &usage] {
        return usage.IsBroken() ||
               aSystem.Metrics(0).find("\nlovagerock_leads 1") != std::string::npos;
      });
      usage.RequireHeld();
      RequireOrdinaryAnswer(aSystem, kLaterJob);
      usage.RequireHeld();
    });
}

// Guards against an account that fills the backlog, so that other accounts are refused, or its own
// guaranteed jobs.
Test(HostileJobs, fill_the_backlog_of_one_account)
{
  RunCrowd(
    kClients, 24000,
    [](std::uint64_t aNumber) {
      static const auto kText = SmallJob();
      return RequestText("POST", "/members/" + NumberedJob(aNumber + 0x1000), kText, Key("one"));
    },
    kSmallNode,
    [](EdgeSystem& aSystem) {
      HttpCaller caller;
      const auto body = DumpJson({ { "spec", "50" }, { "steps", Json::array({ OneTask() }) } });
      const auto submit = [&](const char* aQueue, const char* aAccount, const char* aId) {
        http::Headers headers;
        headers.Add("Authorization", "Bearer key-" + std::string(aAccount));
        AwaitTrue("a job of account " + std::string(aAccount) + " to be accepted", [&] {
          return caller.Post(aSystem.CallersAddress(0), aQueue + std::string(aId), body, headers)
            .Is(200);
        });
      };
      submit("/members/", "two", "00000000000000b2");
      submit("/urgent/", "one", "00000000000000b1");
    });
}
