// Measures what a leader keeps of workers that come and go under new ids: the memory once the
// limits are reached, and the time of one that goes.
// Usage: former_workers_bench [--workers N]

#include "base/LogEvent.h"
#include "base/Settings.h"
#include "control/WorkerTokens.h"
#include "scheduler/FormerWorkers.h"
#include "scheduler/SchedulerSettings.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdio>
#include <functional>
#include <malloc.h>
#include <string>

using namespace lovagerock;

namespace {

// Reading the memory in use takes longer than what is measured.
constexpr int kSampleEvery = 512;

// Prints the memory that is in use more after the call for each worker, and the time of a call.
void
Measure(const char* aName, int aWorkers, const std::function<void(const WorkerId&, int)>& aOnGone)
{
  const auto before = mallinfo2().uordblks;
  std::size_t most = before;
  const auto begin = std::chrono::steady_clock::now();
  for (int i = 0; i < aWorkers; ++i) {
    aOnGone(WorkerId("worker-of-the-service-" + std::to_string(i)), i);
    if (i % kSampleEvery == 0) {
      most = std::max(most, mallinfo2().uordblks);
    }
  }
  const std::chrono::duration<double, std::micro> time = std::chrono::steady_clock::now() - begin;
  std::printf("%s: %zu KiB at most, %.2f us a worker\n", aName, (most - before) / 1024,
              time.count() / aWorkers);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  CLI::App app("Measures what a leader keeps of workers that are gone");
  int workers = 100000;
  AddSetting(app, "--workers", workers, "number of workers that come and go");
  int status = 0;
  if (!ParseSettings(app, aCount, aArguments, status)) {
    return status;
  }
  ConfigureLogging(LogLevel::Error, "former_workers_bench", "");
  const auto most = scheduler::SchedulerSettings().mMaxFormerWorkers;
  scheduler::FormerWorkers former(most);
  Measure("former workers", workers, [&former](const WorkerId& aWorker, int aNumber) {
    former.Add(aWorker, { scheduler::WorkerIncarnation(aNumber), false, false });
  });
  const scheduler::Fleet fleet;
  control::WorkerTokens tokens(control::FencingToken(1));
  Measure("tokens of their calls", workers, [&](const WorkerId& aWorker, int aNumber) {
    tokens.OnCall(aWorker, control::FencingToken(2 + aNumber));
    tokens.Prune(fleet, most);
  });
  return 0;
}
