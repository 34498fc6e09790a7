#pragma once

#include "base/EventLoop.h"
#include "jobs/JobCoordinator.h"
#include "kv/MemoryStore.h"
#include "standin/worker/WorkerServer.h"
#include "support/LocalAddress.h"
#include "workers/HttpWorkerApi.h"
#include "workers/WorkerMonitor.h"

#include <criterion/criterion.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace lovagerock::jobs {

// Payloads of a task that ends after 30 ms, and of one that runs for 20 s.
inline constexpr const char* kShortPayload = R"({"run_ms":30,"answer":"42"})";
inline constexpr const char* kLongPayload = R"({"run_ms":20000,"answer":"42"})";

// Stand-in workers that speak the real worker protocol, and an in-memory key-value store with fault
// injection.
struct Cluster
{
  EventLoop mLoop;
  Random mRandom{ 11 };
  kv::MemoryStore mStore{ mLoop };
  standin::Counters mCounters;
  standin::TraceFile mTrace;
  std::vector<std::unique_ptr<standin::WorkerServer>> mWorkers;
  std::vector<workers::ListedWorker> mList;
  http::HttpClient mClient{ mLoop };
  workers::HttpWorkerApi mApi{ mClient };
  JobStore<kv::MemoryStore> mJobStore{ mStore, RegionId("r"), mRandom };
  AnswerStore<kv::MemoryStore> mAnswers{ mStore };
  Timer mLimit = mLoop.After(Duration(60000), [] { cr_assert_fail("test did not finish"); });

  explicit Cluster(int aWorkers)
  {
    for (int i = 0; i < aWorkers; ++i) {
      standin::WorkerSettings settings;
      settings.mWorker = WorkerId("w" + std::to_string(i));
      settings.mRegion = RegionId("r");
      settings.mZone = ZoneId("z");
      settings.mRack = RackId("rack");
      settings.mIncarnation = "first";
      settings.mCapacity = { Slots(8), Accelerators(8), Cores(64), MemoryMiB(1024) };
      mWorkers.push_back(
        std::make_unique<standin::WorkerServer>(mLoop, settings, mCounters, mTrace));
      cr_assert_not(mWorkers.back()->Listen(testing::LocalAddress()));
      mList.push_back({ mWorkers.back()->Address(), false });
    }
  }

  // Runs the loop until the condition holds.
  void Until(const std::function<bool()>& aCondition)
  {
    const auto check = mLoop.Every(Duration(5), [&] {
      if (aCondition()) {
        mLoop.Stop();
      }
    });
    mLoop.Run();
  }

  JobRecord Job(const std::string& aKey, int aTasks, const std::string& aPayload) const
  {
    JobRecord record;
    record.mAccount = AccountId("a");
    record.mJob = MakeJobId(record.mAccount, aKey);
    record.mDigest = HashText(aPayload);
    record.mSpec.mTasks = aTasks;
    record.mSpec.mPerTask = { Slots(1), Accelerators(1), Cores(0), MemoryMiB(0) };
    record.mSpec.mPayloads = { aPayload };
    return record;
  }

  JobRecord Submit(const JobRecord& aRecord)
  {
    JobRecord stored;
    bool done = false;
    mJobStore.Submit(aRecord, [&](std::error_code aError, JobRecord aStored) {
      cr_assert_not(aError);
      stored = std::move(aStored);
      done = true;
    });
    Until([&] { return done; });
    return stored;
  }

  // Returns the stored record of the job.
  JobRecord Load(const JobId& aJob)
  {
    JobRecord found;
    bool done = false;
    mJobStore.Load(aJob, [&](std::error_code, JobRecord aRecord) {
      found = std::move(aRecord);
      done = true;
    });
    Until([&] { return done; });
    return found;
  }

  // Runs the loop until the job is done and returns its record.
  JobRecord UntilDone(const JobId& aJob)
  {
    JobRecord record;
    bool done = false;
    const std::function<void()> wait = [&] {
      mJobStore.AwaitDone(aJob, Duration(200), [&](std::error_code aError, JobRecord aRecord) {
        done = !aError && aRecord.IsDone();
        record = std::move(aRecord);
        if (!done) {
          const auto pause = std::make_shared<Timer>();
          *pause = mLoop.After(Duration(20), [&wait, pause] { wait(); });
        }
      });
    };
    wait();
    Until([&] { return done; });
    return record;
  }

  void SetFaults(std::size_t aWorker, const std::string& aFaults)
  {
    http::ClientRequest request;
    request.mServer = mWorkers[aWorker]->Address();
    request.mMethod = http::Method::Post;
    request.mTarget = "/v1/faults";
    request.mBody = aFaults;
    bool done = false;
    mClient.Send(request, [&](std::error_code, const http::Response&) { done = true; });
    Until([&] { return done; });
  }

  // Returns the number of starts of each task attempt, summed over all workers.
  Json Starts() const { return mCounters.Read().at("tasks"); }
};

// Returns the number of task starts on all workers.
inline int
TotalStarts(const Cluster& aCluster)
{
  int n = 0;
  for (const auto& it : aCluster.Starts()) {
    n += it.get<int>();
  }
  return n;
}

// Writes a record and returns the error.
inline std::error_code
Update(Cluster& aCluster, const JobRecord& aRecord)
{
  std::error_code ec;
  bool done = false;
  aCluster.mJobStore.Update(aRecord, [&](std::error_code aError, const JobRecord&) {
    ec = aError;
    done = true;
  });
  aCluster.Until([&] { return done; });
  return ec;
}

// The planner of one node, with its own views of the workers.
struct Planner
{
  Cluster& mCluster;
  JobCoordinator<kv::MemoryStore, workers::HttpWorkerApi> mCoordinator;
  Mailbox<workers::WorkerChange> mChanges;
  workers::WorkerMonitor<workers::HttpWorkerApi> mMonitor;

  Planner(Cluster& aCluster, const char* aNode, const CoordinatorSettings& aTimes = {})
    : mCluster(aCluster)
    , mCoordinator(aCluster.mLoop, aCluster.mApi, aCluster.mJobStore, aCluster.mAnswers,
                   aCluster.mRandom, NodeId(aNode), aTimes)
    , mChanges(
        aCluster.mLoop,
        [this](const workers::WorkerChange& aChange) { mCoordinator.OnWorkerChange(aChange); })
    , mMonitor(aCluster.mLoop, aCluster.mApi, aCluster.mRandom, mChanges.GetAddress())
  {
    PolicyInput policy;
    policy.mAccounts.push_back({ AccountId("a"), 1, {}, {} });
    mCoordinator.SetPolicy(policy);
    mCoordinator.SetAllWorkersKnown(true);
    mMonitor.SetWorkers(mCluster.mList);
    mCluster.Until([this] { return mCoordinator.Views().size() == mCluster.mList.size(); });
  }

  bool IsRunning(const JobId& aJob) const
  {
    const auto it = mCoordinator.Jobs().find(aJob);
    return it != mCoordinator.Jobs().end() && it->second.mPhase == JobPhase::Running;
  }
};

} // namespace lovagerock::jobs
