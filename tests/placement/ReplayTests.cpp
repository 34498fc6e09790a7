#include "bench/BaselinePolicy.h"
#include "bench/TraceGenerator.h"
#include "bench/TraceRun.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

using namespace lovagerock;
using namespace lovagerock::placement;
using namespace lovagerock::placement::replay;

namespace {

ReplayTrace
ReadShippedTrace(const std::string& aKind)
{
  return ReadReplayTrace(std::string(REPLAY_TRACE_DIRECTORY) + "/" + aKind + ".txt");
}

// Returns a trace with one worker, which is assigned to account "owner". The owner's job arrives at
// 50 s, while a job of account "guest" runs on the worker.
ReplayTrace
BorrowedWorker(Duration aCheckpoint)
{
  auto trace = ReadShippedTrace("zarqa-day");
  trace.mWorkers.resize(1);
  trace.mFaults.clear();
  trace.mAccounts = {
    { AccountId("owner"), 1, {}, { { "all", 1, 1, Accelerators(8), Adjacency::Worker, {} } } },
    { AccountId("guest"), 1, {}, {} }
  };
  ReplayJob job = trace.mJobs.front();
  job.mPending.mTasks = 1;
  job.mPending.mAdjacency = Adjacency::Worker;
  job.mPending.mResourcesPerTask = { Slots(1), Accelerators(8), Cores(1), MemoryMiB(100) };
  job.mPending.mIdempotent = true;
  job.mCancelledAt.reset();
  job.mRunTime = std::chrono::seconds(100);
  job.mCheckpointPeriod = aCheckpoint;
  const auto add = [&](const char* aName, int aAt) {
    job.mPending.mJob = JobId(std::string(aName) + "-0");
    job.mPending.mAccount = AccountId(aName);
    job.mPending.mSubmitted = TimePoint(std::chrono::seconds(aAt));
    trace.mJobs.push_back(job);
  };
  trace.mJobs.clear();
  add("guest", 0);
  add("owner", 50);
  return trace;
}

} // namespace

// Guards against shipped trace files that differ from what the generator gives for their seed.
Test(Replay, shipped_traces_are_those_of_their_seed)
{
  for (const auto& it : TraceKinds()) {
    std::ostringstream text;
    GenerateTrace(it, 1, text);
    std::ifstream file(std::string(REPLAY_TRACE_DIRECTORY) + "/" + it + ".txt");
    std::ostringstream shipped;
    shipped << file.rdbuf();
    cr_assert(text.str() == shipped.str(), "%s", it.c_str());
  }
}

// Guards against plans that exceed a worker's capacity, start part of a gang or interrupt
// non-idempotent work, and against impossible jobs that wait instead of being refused.
Test(Replay, plans_for_the_shipped_traces_violate_no_constraint)
{
  for (const auto& kind : TraceKinds()) {
    const auto trace = ReadShippedTrace(kind);
    const auto run = RunTrace(trace, ComputePlan, true);
    cr_assert(run.mViolations.empty(), "%s", run.mViolations.front().c_str());
    for (const auto& it : run.mJobs) {
      const auto& name = it.mJob->mPending.mJob.Value();
      cr_assert_eq(it.mIsRefused, name.starts_with("impossible"), "%s", name.c_str());
      cr_assert(it.mEnded || it.mIsRefused || it.mIsLost, "%s starved", name.c_str());
    }
  }
}

// Guards against a replay that loses the saved progress of a reclaimed job or keeps unsaved
// progress.
Test(Replay, a_reclaimed_job_resumes_from_its_checkpoint)
{
  const auto ended = [](Duration aCheckpoint) {
    const auto trace = BorrowedWorker(aCheckpoint);
    const auto run = RunTrace(trace, ComputePlan, true);
    cr_assert_eq(run.mJobs[0].mReclaims, 1);
    cr_assert_eq(run.mGuaranteeStartDelays.size(), 1);
    cr_assert(run.mGuaranteeStartDelays.front() == kStopTime + kStartTime);
    return std::chrono::duration_cast<Duration>(run.mJobs[0].mEnded->time_since_epoch());
  };
  const Duration ownerEnd = std::chrono::seconds(150) + kStopTime + kStartTime;
  cr_assert(ended(Duration(0)) == ownerEnd + kStartTime + std::chrono::seconds(100));
  // Before the reclaim it ran for 50 s and the stop time, less its start time.
  cr_assert(ended(std::chrono::seconds(1)) ==
            ownerEnd + kStartTime + std::chrono::seconds(50) - kStopTime + kStartTime);
}

// Guards against a replay that silently skips a malformed line of the trace.
Test(Replay, a_parse_error_names_the_line)
{
  auto path = (std::filesystem::temp_directory_path() / "lovagerock-XXXXXX").string();
  const int file = mkstemp(path.data());
  cr_assert(file >= 0);
  std::ofstream(path) << "cluster 1 8 8 1 64 1000\naccount a 1\njob j 0 a 1 8 hall 1 1 once 0\n";
  std::string error;
  try {
    ReadReplayTrace(path);
  } catch (const std::exception& it) {
    error = it.what();
  }
  std::remove(path.c_str());
  cr_assert(error.ends_with(":3: unknown adjacency hall"), "%s", error.c_str());
}
