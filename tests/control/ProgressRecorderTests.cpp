#include "FakeStore.h"
#include "base/Random.h"
#include "base/WallClock.h"
#include "control/ProgressRecorder.h"
#include "scheduler/JobRecord.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <chrono>
#include <iostream>
#include <map>
#include <optional>
#include <string>
#include <vector>

using namespace lovagerock;
using namespace lovagerock::control;

namespace {

using scheduler::AcceptedJob;
using scheduler::RunRef;

// A worker that carries out each start at once, and reports the ends of its runs until they are
// acknowledged.
struct RecordedWorker
{
  std::vector<RunRef> mRunning;
  std::vector<scheduler::FinishedRun> mUnacknowledged;
  std::int64_t mEnds = 0;
  std::int64_t mClock = 1000;
};

// A recorder with its scheduler, beside a store that is slow, refuses writes and loses answers, and
// workers on which many runs end at once. Checks at each start and at each acknowledged end that a
// reader of the store learns of it.
class RecorderFixture
{
public:
  explicit RecorderFixture(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
    mStore.Put(std::string(kLeaderKey), "{}");
    mStore.mAppliesLate = true;
    mScheduler.SetQueues({ { "queue", mPolicy } });
    mScheduler.OnHandedOver(Duration(0), true, Now());
    ProgressRecorderHooks hooks;
    hooks.mIsLeader = [] { return true; };
    hooks.mAreFurtherDue = [] { return false; };
    hooks.mTakeFurther = [] { return FurtherRecords{ {}, {}, [](bool) {} }; };
    hooks.mOnStartsNamed = [this] { SendStarts(); };
    hooks.mOnBatchStored = [this](const auto& aBatch, FencingToken) { OnBatchStored(aBatch); };
    const kv::ConditionalWrites::Condition leader{
      std::string(kLeaderKey), mStore.mItems.at(std::string(kLeaderKey)).mRevision
    };
    mRecorder.emplace(mLoop, mStore, mScheduler, leader, kv::Revision(), std::move(hooks));
    for (int i = 0; i < kWorkers; ++i) {
      scheduler::WorkerEntry entry;
      entry.mId = WorkerId("w" + std::to_string(i));
      entry.mService = ServiceId("service");
      entry.mRack = RackId("r");
      entry.mCapacity = { scheduler::MilliCores(kRunsPerWorker * 100), MemoryMiB(100000),
                          Accelerators(0) };
      entry.mIncarnation = scheduler::WorkerIncarnation(1);
      mWorkers[entry.mId];
      mScheduler.OnWorkerEntry(entry, Now());
      Report(entry.mId);
    }
  }

  // Lets jobs come, plans be made and runs end for so many steps, then waits until all is stored.
  void Play(int aSteps)
  {
    const auto timer = mLoop.Every(kStep, [this, aSteps] {
      if (mStep++ < aSteps) {
        Step();
      } else {
        Settle();
      }
    });
    mLoop.Run();
  }

  int Acknowledged() const { return mAcknowledged; }
  int Started() const { return mStarted; }

private:
  static constexpr int kWorkers = 3;
  static constexpr int kRunsPerWorker = 60;
  static constexpr Duration kStep{ 2 };
  static constexpr int kMaxSteps = 20000;
  // Plans with many waiting jobs take long in a build with sanitizers.
  static constexpr int kMostPending = 80;

  static scheduler::CurrentTime Now()
  {
    return { std::chrono::steady_clock::now(), WallClockMs() };
  }

  void Step()
  {
    mStore.mWriteTime = Duration(mRandom.Below(3) == 0 ? 12 : 3);
    if (mRandom.Below(150) == 0) {
      mStore.mLoseAnswers = 1;
    }
    if (mRandom.Below(150) == 0) {
      mStore.mWritesToDelay = 1;
    }
    mStore.mIsDown = mRandom.Below(200) == 0;
    if (mRandom.Below(60) == 0) {
      mStore.ApplyDelayedWrites();
    }
    for (auto n = mRandom.Below(4); n > 0 && mScheduler.PendingJobs("queue") < kMostPending; --n) {
      Submit();
    }
    if (mRandom.Below(12) == 0) {
      EndRuns(mRandom.Below(100));
    }
    Report();
    Plan();
  }

  // Ends all runs, and stops the loop once all ends are acknowledged.
  void Settle()
  {
    mStore.mIsDown = false;
    EndRuns(100);
    Report();
    Plan();
    const bool isSettled = std::all_of(mWorkers.begin(), mWorkers.end(), [](const auto& aIt) {
      return aIt.second.mRunning.empty() && aIt.second.mUnacknowledged.empty();
    });
    cr_assert_lt(mStep, kMaxSteps, "ends are never acknowledged");
    if (isSettled && !mScheduler.HasProgress() && mRecorder->HeldRuns().empty()) {
      mLoop.Stop();
    }
  }

  void Submit()
  {
    AcceptedJob job;
    job.mId = JobId("j" + std::to_string(mJobs.size()));
    job.mQueue = "queue";
    job.mAcceptedMs = WallClockMs();
    job.mPolicy = mPolicy;
    for (auto n = 1 + mRandom.Below(2); n > 0; --n) {
      auto& step = job.mSpec.mSteps.emplace_back();
      step.mCount = 1 + static_cast<int>(mRandom.Below(3));
      step.mDemand.mCpu = scheduler::MilliCores(100);
      step.mDemand.mMemory = MemoryMiB(10);
      step.mEstimate = Duration(1000);
    }
    mScheduler.AddJob(job, "", false, Now());
    mJobs.emplace(job.mId, std::move(job));
  }

  // Ends so many percent of all runs.
  void EndRuns(std::uint64_t aPercent)
  {
    for (auto& [id, worker] : mWorkers) {
      std::erase_if(worker.mRunning, [&, &it = worker](const auto& aRun) {
        if (mRandom.Below(100) >= aPercent) {
          return false;
        }
        it.mUnacknowledged.push_back({ ++it.mEnds, aRun, scheduler::RunEnd::Done, "" });
        return true;
      });
    }
  }

  void Report()
  {
    for (const auto& [id, worker] : mWorkers) {
      Report(id);
    }
  }

  void Report(const WorkerId& aWorker)
  {
    auto& worker = mWorkers.at(aWorker);
    scheduler::LeaseReport report;
    report.mIncarnation = scheduler::WorkerIncarnation(1);
    report.mClock = scheduler::WorkerClock(++worker.mClock);
    for (const auto& it : worker.mRunning) {
      report.mRunning.push_back({ it, "", 0 });
    }
    report.mFinished = worker.mUnacknowledged;
    mScheduler.OnLeaseSent(aWorker, Now());
    mScheduler.OnLeaseReport(aWorker, report, Now());
  }

  void Plan()
  {
    mRecorder->HoldStarts(mScheduler.Plan(Now()).mStarts);
    SendStarts();
    mRecorder->Schedule();
  }

  void SendStarts()
  {
    for (const auto& it : mRecorder->TakeNamedStarts()) {
      if (!mScheduler.ReleaseStart(it.mWorker, it.mRun, Now())) {
        continue;
      }
      const auto job = StoredJob(it.mRun.mTask.mJob);
      const auto* task = job.Find(it.mRun.mTask);
      cr_assert(task && task->mRun >= it.mRun.mRun, "no stored record names a run that starts");
      ++mStarted;
      auto& worker = mWorkers.at(it.mWorker);
      worker.mRunning.push_back(it.mRun);
      mScheduler.OnStartOutcome(it.mWorker, it.mRun, scheduler::OrderOutcome::Done,
                                scheduler::WorkerClock(++worker.mClock), Now());
    }
  }

  void OnBatchStored(const scheduler::ProgressBatch& aBatch)
  {
    for (const auto& it : aBatch.mProcessedEnds) {
      auto& ends = mWorkers.at(it.mWorker).mUnacknowledged;
      const auto last = mScheduler.Workers().at(it.mWorker).mLastStoredEnd;
      std::erase_if(ends, [this, last](const auto& aEnd) {
        if (aEnd.mNumber > last) {
          return false;
        }
        const auto job = StoredJob(aEnd.mRun.mTask.mJob);
        const auto* task = job.Find(aEnd.mRun.mTask);
        cr_assert(job.IsOver() || (task && task->mPhase == scheduler::TaskPhase::Done),
                  "no stored record holds an end that is acknowledged");
        ++mAcknowledged;
        return true;
      });
    }
  }

  // Returns the job as the next leader would load it now.
  scheduler::Job StoredJob(const JobId& aJob) const
  {
    scheduler::Job job(mJobs.at(aJob), std::chrono::steady_clock::now());
    const auto record = mStore.mItems.find(KeyOf(kProgressPrefix, aJob));
    if (record != mStore.mItems.end()) {
      cr_assert(scheduler::ReadProgress(record->second.mValue, job));
    }
    return job;
  }

  const scheduler::QueuePolicy mPolicy{ ServiceId("service"), 1, 2, 3.0, Duration(1000) };
  Random mRandom;
  EventLoop mLoop;
  FakeStore mStore{ mLoop };
  scheduler::SchedulerSettings mSettings;
  scheduler::Scheduler mScheduler{ mSettings, std::chrono::steady_clock::now() };
  std::optional<ProgressRecorder<FakeStore>> mRecorder;
  std::map<WorkerId, RecordedWorker> mWorkers;
  std::map<JobId, AcceptedJob> mJobs;
  int mStep = 0;
  int mAcknowledged = 0;
  int mStarted = 0;
};

} // namespace

// Guards against ends that are acknowledged, and starts that are sent, on the word of records which
// a store that is slow, refuses writes or loses answers doesn't have yet: if the leader is killed
// then, its successor starts done tasks again, or doesn't know of runs.
Test(ProgressRecorder, lets_nothing_happen_that_a_reader_of_the_store_could_not_learn)
{
  constexpr std::uint64_t kSeeds = 3;
  constexpr int kSteps = 400;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    std::cerr << "progress recorder: seed " << seed << '\n';
    RecorderFixture f(seed);
    f.Play(kSteps);
    cr_assert_gt(f.Started(), 0);
    cr_assert_gt(f.Acknowledged(), 0);
  }
}
