// Measures a scan for the reasons of waits beside a plan, with many workers and waiting jobs.
// Usage: wait_scan_bench [--workers N] [--jobs N] [--rounds N]

#include "base/LogEvent.h"
#include "base/Settings.h"
#include "scheduler/WaitScanner.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <functional>
#include <string>
#include <vector>

using namespace lovagerock;
using namespace lovagerock::scheduler;

namespace {

constexpr int kAcceleratorsPerWorker = 8;
constexpr int kWorkersPerRack = 10;
constexpr int kTasksPerJob = 10;

struct Options
{
  int mWorkers = 350;
  int mJobs = 400;
  int mRounds = 200;
};

AcceptedJob
MakeJob(int aNumber, std::vector<StepSpec> aSteps, const CurrentTime& aNow)
{
  AcceptedJob job;
  job.mId = JobId("00000000000000" + std::to_string(1000 + aNumber));
  job.mQueue = "queue";
  job.mAccount = AccountId("account");
  job.mAcceptedMs = aNow.mWallMs;
  job.mPolicy = { ServiceId("service"), 1, 2, 3.0, Duration(1000) };
  job.mSpec.mSteps = std::move(aSteps);
  return job;
}

StepSpec
MakeStep(int aCount, int aAccelerators)
{
  StepSpec step;
  step.mCount = aCount;
  step.mDemand = { MilliCores(1000), MemoryMiB(1000), Accelerators(aAccelerators) };
  step.mEstimate = Duration(2000);
  return step;
}

// Adds workers that have answered and are recorded.
void
AddWorkers(Scheduler& aScheduler, int aCount, const CurrentTime& aNow)
{
  for (int i = 0; i < aCount; ++i) {
    WorkerEntry entry;
    entry.mId = WorkerId("i-000000" + std::to_string(1000 + i));
    entry.mService = ServiceId("service");
    entry.mRack = RackId("rack" + std::to_string(i / kWorkersPerRack));
    entry.mLabels = { entry.mRack.Value() };
    entry.mCapacity = { MilliCores(128000), MemoryMiB(262144),
                        Accelerators(kAcceleratorsPerWorker) };
    aScheduler.OnWorkerEntry(entry, aNow);
    aScheduler.OnLeaseSent(entry.mId, aNow);
    LeaseReport report;
    report.mClock = WorkerClock(1);
    aScheduler.OnLeaseReport(entry.mId, report, aNow);
  }
  aScheduler.OnStored(aScheduler.TakeProgress());
}

// Starts a job that occupies all accelerators, one a run.
void
FillWorkers(Scheduler& aScheduler, int aWorkers, const CurrentTime& aNow)
{
  aScheduler.AddJob(MakeJob(-1, { MakeStep(aWorkers * kAcceleratorsPerWorker, 1) }, aNow), "",
                    false, aNow);
  for (const auto& it : aScheduler.Plan(aNow).mStarts) {
    aScheduler.OnStartOutcome(it.mWorker, it.mRun, OrderOutcome::Done, WorkerClock(2), aNow);
  }
}

// Adds jobs that find no room: single tasks, gangs and rack-local gangs in turn.
void
AddWaitingJobs(Scheduler& aScheduler, int aCount, const CurrentTime& aNow)
{
  for (int i = 0; i < aCount; ++i) {
    auto step = MakeStep(kTasksPerJob, 1 + i % kAcceleratorsPerWorker);
    step.mGang = i % 3 != 0;
    step.mRackLocal = i % 3 == 2;
    aScheduler.AddJob(MakeJob(i, { step }, aNow), "", false, aNow);
  }
}

// Returns the median time of a call in microseconds.
double
MedianTime(int aRounds, const std::function<void()>& aCall)
{
  std::vector<double> times;
  for (int i = 0; i < aRounds; ++i) {
    const auto begin = std::chrono::steady_clock::now();
    aCall();
    const std::chrono::duration<double, std::micro> time = std::chrono::steady_clock::now() - begin;
    times.push_back(time.count());
  }
  std::nth_element(times.begin(), times.begin() + aRounds / 2, times.end());
  return times[static_cast<std::size_t>(aRounds) / 2];
}

} // namespace

int
main(int aCount, char** aArguments)
{
  CLI::App app("Measures a scan for the reasons of waits beside a plan");
  Options options;
  AddSetting(app, "--workers", options.mWorkers, "number of workers, all of them occupied");
  AddSetting(app, "--jobs", options.mJobs, "number of waiting jobs");
  AddSetting(app, "--rounds", options.mRounds, "number of measured calls");
  int status = 0;
  if (!ParseSettings(app, aCount, aArguments, status)) {
    return status;
  }
  ConfigureLogging(LogLevel::Error, "wait_scan_bench", "");
  CurrentTime now{ TimePoint() + std::chrono::hours(1), 1'700'000'000'000 };
  Scheduler scheduler(SchedulerSettings(), now.mSteady);
  AddWorkers(scheduler, options.mWorkers, now);
  FillWorkers(scheduler, options.mWorkers, now);
  AddWaitingJobs(scheduler, options.mJobs, now);
  now.mSteady += 2 * kMinReportedWait;
  now.mWallMs += (2 * kMinReportedWait).count();
  scheduler.Plan(now);
  WaitScanner scanner(scheduler);
  const auto waits = scanner.Scan(now, true).mSteps.size();
  const auto plan = MedianTime(options.mRounds, [&] { scheduler.Plan(now); });
  const auto scan = MedianTime(options.mRounds, [&] { scanner.Scan(now, true); });
  std::printf("workers=%d jobs=%d waits=%zu plan_us=%.0f scan_us=%.0f ratio=%.3f\n",
              options.mWorkers, options.mJobs, waits, plan, scan, scan / plan);
  return 0;
}
