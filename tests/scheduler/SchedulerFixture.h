#pragma once

#include "scheduler/JobRecord.h"
#include "scheduler/Scheduler.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace lovagerock::scheduler {

// A scheduler with workers whose lists the test keeps: each answers what it was told.
class SchedulerFixture
{
public:
  struct FakeWorker
  {
    WorkerEntry mEntry;
    std::vector<RunningRun> mRunning;
    std::vector<FinishedRun> mFinished;
    std::int64_t mClock = 1000;
    std::int64_t mNumber = 0;
    bool mIsReachable = true;
  };

  SchedulerFixture() { Restart(); }

  // A new scheduler takes over; jobs and workers must be told anew.
  void Restart() { mScheduler = std::make_unique<Scheduler>(mSettings, mNow.mSteady); }

  // aCount workers of 8 accelerators, 128 cores, in racks of two.
  void AddWorkers(int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      FakeWorker worker;
      worker.mEntry.mId = WorkerId("w" + std::to_string(mWorkers.size()));
      worker.mEntry.mService = ServiceId("service");
      worker.mEntry.mRack = RackId("r" + std::to_string(mWorkers.size() / 2));
      worker.mEntry.mLabels = { "a", worker.mEntry.mRack.Value() };
      worker.mEntry.mCapacity = { MilliCores(128000), MemoryMiB(262144), Accelerators(8) };
      worker.mEntry.mBirth = WorkerBirth(100);
      mWorkers[worker.mEntry.mId] = worker;
      mScheduler->OnWorkerEntry(worker.mEntry, mNow);
      Hold(worker.mEntry.mId);
    }
    StoreProgress();
  }

  static StepSpec Step(int aCount, int aAccelerators)
  {
    StepSpec step;
    step.mCount = aCount;
    step.mDemand = { MilliCores(1000), MemoryMiB(1000), Accelerators(aAccelerators) };
    step.mEstimate = Duration(2000);
    return step;
  }

  static StepSpec Gang(int aCount, int aAccelerators)
  {
    auto step = Step(aCount, aAccelerators);
    step.mGang = true;
    return step;
  }

  AcceptedJob Job(const std::string& aId, std::vector<StepSpec> aSteps, int aPriority = 1) const
  {
    AcceptedJob job;
    job.mId = JobId(aId);
    job.mQueue = "queue" + std::to_string(aPriority);
    job.mAccount = AccountId("account");
    job.mAcceptedMs = mNow.mWallMs;
    job.mPolicy = { ServiceId("service"), aPriority, 2, 3.0, Duration(1000) };
    job.mSpec.mPayload = "payload";
    job.mSpec.mSteps = std::move(aSteps);
    return job;
  }

  void Submit(const AcceptedJob& aJob)
  {
    mJobs.push_back(aJob);
    cr_assert(mScheduler->AddJob(aJob, "", false, mNow));
  }

  // A new scheduler that knows the jobs, their stored progress, the stored racks and the workers'
  // entries.
  void TakeOver(const std::map<JobId, std::string>& aProgress)
  {
    Restart();
    for (const auto& [rack, workers] : mRacks) {
      mScheduler->AddRecordedWorkers(rack, workers);
    }
    for (const auto& it : mJobs) {
      const auto progress = aProgress.find(it.mId);
      cr_assert(
        mScheduler->AddJob(it, progress == aProgress.end() ? "" : progress->second, true, mNow));
    }
    for (const auto& [id, worker] : mWorkers) {
      mScheduler->OnWorkerEntry(worker.mEntry, mNow);
    }
  }

  // Makes a plan; reachable workers carry it out and answer at once.
  Orders Plan()
  {
    auto orders = mScheduler->Plan(mNow);
    for (const auto& it : orders.mStarts) {
      mScheduler->OnLeaseSent(it.mWorker, mNow);
      auto& worker = mWorkers.at(it.mWorker);
      if (!worker.mIsReachable) {
        mScheduler->OnStartOutcome(it.mWorker, it.mRun, OrderOutcome::Unknown, WorkerClock(), mNow);
        continue;
      }
      const bool isThere =
        std::any_of(worker.mRunning.begin(), worker.mRunning.end(),
                    [&it](const auto& aRunning) { return aRunning.mRun == it.mRun; });
      if (!isThere) {
        worker.mRunning.push_back({ it.mRun, it.mCheckpoint, 0 });
      }
      mScheduler->OnStartOutcome(it.mWorker, it.mRun, OrderOutcome::Done,
                                 WorkerClock(++worker.mClock), mNow);
    }
    for (const auto& it : orders.mStops) {
      auto& worker = mWorkers.at(it.mWorker);
      if (!worker.mIsReachable) {
        mScheduler->OnStopOutcome(it.mWorker, it.mRun, OrderOutcome::Unknown, WorkerClock(), mNow);
        continue;
      }
      mScheduler->OnStopOutcome(it.mWorker, it.mRun, OrderOutcome::Done,
                                WorkerClock(++worker.mClock), mNow);
      End(it.mRun, RunEnd::Stopped, "saved");
    }
    return orders;
  }

  // Ends a run on whichever worker has it.
  void End(const RunRef& aRun, RunEnd aEnd, const std::string& aCheckpoint = "")
  {
    for (auto& [id, worker] : mWorkers) {
      const auto it = std::find_if(worker.mRunning.begin(), worker.mRunning.end(),
                                   [&aRun](const auto& aIt) { return aIt.mRun == aRun; });
      if (it != worker.mRunning.end()) {
        worker.mRunning.erase(it);
        worker.mFinished.push_back({ ++worker.mNumber, aRun, aEnd, aCheckpoint });
      }
    }
  }

  void Hold(const WorkerId& aWorker)
  {
    auto& worker = mWorkers.at(aWorker);
    if (!worker.mIsReachable) {
      return;
    }
    mScheduler->OnLeaseSent(aWorker, mNow);
    mScheduler->OnHoldReport(
      aWorker,
      { WorkerClock(++worker.mClock), worker.mEntry.mBirth, worker.mRunning, worker.mFinished },
      mNow);
  }

  void HoldAll()
  {
    for (const auto& [id, worker] : mWorkers) {
      Hold(id);
    }
  }

  // Lets time pass and renews the leases of reachable workers meanwhile.
  void Pass(Duration aTime)
  {
    constexpr Duration kStep{ 500 };
    for (auto left = aTime; left > Duration(0); left -= kStep) {
      const auto step = std::min(left, kStep);
      mNow.mSteady += step;
      mNow.mWallMs += step.count();
      HoldAll();
    }
  }

  // The stored progress of all jobs that have changed.
  std::map<JobId, std::string> StoreProgress()
  {
    const auto batch = mScheduler->TakeProgress();
    std::map<JobId, std::string> progress;
    for (const auto& it : batch.mWrites) {
      progress[it.mJob] = it.mText;
    }
    for (const auto& it : batch.mRacks) {
      mRacks[it.mRack] = it.mWorkers;
    }
    mScheduler->OnStored(batch);
    return progress;
  }

  JobState State(const std::string& aJob) const
  {
    return mScheduler->FindJob(JobId(aJob))->State();
  }

  std::vector<RunRef> Running() const
  {
    std::vector<RunRef> runs;
    for (const auto& [id, worker] : mWorkers) {
      for (const auto& it : worker.mRunning) {
        runs.push_back(it.mRun);
      }
    }
    return runs;
  }

  std::set<RackId> Racks(const Orders& aOrders) const
  {
    std::set<RackId> racks;
    for (const auto& it : aOrders.mStarts) {
      racks.insert(mWorkers.at(it.mWorker).mEntry.mRack);
    }
    return racks;
  }

  SchedulerSettings mSettings;
  Now mNow{ TimePoint() + std::chrono::hours(1), 1'700'000'000'000 };
  std::unique_ptr<Scheduler> mScheduler;
  std::map<WorkerId, FakeWorker> mWorkers;
  std::vector<AcceptedJob> mJobs;
  // The stored workers of each rack.
  std::map<RackId, std::vector<WorkerContact>> mRacks;
};

} // namespace lovagerock::scheduler
