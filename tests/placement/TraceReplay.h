#pragma once

#include "placement/Planner.h"

#include <algorithm>
#include <fstream>
#include <functional>
#include <map>
#include <sstream>
#include <string>
#include <vector>

namespace lovagerock::placement::tests {

// One job of a trace. Times are in minutes.
struct TraceJob
{
  PendingJob mPending;
  int mArrives = 0;
  int mMinutes = 0;
};

// The result of a replayed job. Times are in minutes; mStarted and mEnded are -1 if the job did not
// start or end.
struct TraceOutcome
{
  std::string mAccount;
  int mTasks = 0;
  int mArrived = 0;
  int mStarted = -1;
  int mEnded = -1;
  int mReclaims = 0;
  // Accelerators times run time of one run.
  int mWork = 0;
  int mMinutes = 0;
};

struct TraceResult
{
  std::map<JobId, TraceOutcome> mJobs;
  double mMeanFragmentation = 0;
};

using Policy = std::function<Plan(const ClusterSnapshot&)>;

// Reads a trace file. The comment lines at its head name the columns.
inline std::vector<TraceJob>
ReadTrace(const std::string& aPath)
{
  static const std::map<std::string, Adjacency> kLevels{ { "worker", Adjacency::Worker },
                                                         { "rack", Adjacency::Rack },
                                                         { "zone", Adjacency::Zone },
                                                         { "region", Adjacency::Region } };
  std::ifstream file(aPath);
  std::vector<TraceJob> jobs;
  for (std::string line; std::getline(file, line);) {
    if (line.empty() || line.front() == '#') {
      continue;
    }
    std::istringstream text(line);
    std::string account;
    std::string level;
    int at = 0;
    int tasks = 0;
    int accelerators = 0;
    int minutes = 0;
    int estimate = 0;
    int repeat = 0;
    int every = 0;
    text >> at >> account >> tasks >> accelerators >> level >> minutes >> estimate >> repeat >>
      every;
    for (int i = 0; i < repeat; ++i) {
      TraceJob job;
      job.mArrives = at + i * every;
      job.mMinutes = minutes;
      job.mPending.mJob = JobId(account + "-" + std::to_string(i));
      job.mPending.mAccount = AccountId(account);
      job.mPending.mTasks = tasks;
      job.mPending.mResourcesPerTask = { Slots(1), Accelerators(accelerators), Cores(1),
                                         MemoryMiB(100) };
      job.mPending.mAdjacency = kLevels.at(level);
      job.mPending.mEstimate = std::chrono::minutes(estimate);
      job.mPending.mSubmitted = TimePoint(std::chrono::minutes(job.mArrives));
      jobs.push_back(job);
    }
  }
  std::ranges::stable_sort(jobs, {}, &TraceJob::mArrives);
  return jobs;
}

// Replays a trace with one plan per minute on 16 workers of 8 accelerators in 2 racks. A reclaimed
// job restarts from the beginning. Accounts not in aAccounts have weight 1 and no guarantee.
inline TraceResult
Replay(const std::vector<TraceJob>& aTrace, const Policy& aPolicy, int aMinutes,
       const std::vector<AccountView>& aAccounts = {})
{
  ClusterSnapshot snapshot;
  snapshot.mAccounts = aAccounts;
  for (int i = 0; i < 16; ++i) {
    snapshot.mWorkers.push_back({ WorkerId("w" + std::to_string(i)),
                                  RegionId("r"),
                                  ZoneId("z"),
                                  RackId("rack" + std::to_string(i / 8)),
                                  { Slots(8), Accelerators(8), Cores(64), MemoryMiB(128'000) },
                                  WorkerHealth::Live,
                                  {} });
  }
  std::map<JobId, const TraceJob*> known;
  TraceResult result;
  const auto stop = [&](const JobId& aJob) {
    for (auto& worker : snapshot.mWorkers) {
      std::erase_if(worker.mLeases, [&](const auto& aLease) { return aLease.mJob == aJob; });
    }
  };
  for (const auto& it : aTrace) {
    known[it.mPending.mJob] = &it;
    result.mJobs[it.mPending.mJob] = { it.mPending.mAccount.Value(),
                                       it.mPending.mTasks,
                                       it.mArrives,
                                       -1,
                                       -1,
                                       0,
                                       it.mPending.mTasks * it.mMinutes *
                                         static_cast<int>(
                                           it.mPending.mResourcesPerTask.mAccelerators.Value()),
                                       it.mMinutes };
    if (std::ranges::find(snapshot.mAccounts, it.mPending.mAccount, &AccountView::mAccount) ==
        snapshot.mAccounts.end()) {
      snapshot.mAccounts.push_back({ it.mPending.mAccount, 1, {}, {} });
    }
  }
  std::size_t next = 0;
  for (int now = 0; now < aMinutes; ++now) {
    snapshot.mNow = TimePoint(std::chrono::minutes(now));
    for (auto& [id, outcome] : result.mJobs) {
      if (outcome.mStarted >= 0 && outcome.mEnded < 0 &&
          now >= outcome.mStarted + known[id]->mMinutes) {
        outcome.mEnded = now;
        stop(id);
      }
    }
    for (; next < aTrace.size() && aTrace[next].mArrives <= now; ++next) {
      snapshot.mJobs.push_back(aTrace[next].mPending);
    }
    const auto plan = aPolicy(snapshot);
    result.mMeanFragmentation += plan.mFragmentation / aMinutes;
    for (const auto& it : plan.mReclaims) {
      stop(it.mJob);
      result.mJobs[it.mJob].mStarted = -1;
      ++result.mJobs[it.mJob].mReclaims;
      snapshot.mJobs.push_back(known[it.mJob]->mPending);
    }
    for (const auto& start : plan.mStarts) {
      std::erase_if(snapshot.mJobs, [&](const auto& aJob) { return aJob.mJob == start.mJob; });
      result.mJobs[start.mJob].mStarted = now;
      for (const auto& id : start.mWorkers) {
        LeaseView lease;
        lease.mLease = LeaseId(start.mJob.Value() + id.Value());
        lease.mJob = start.mJob;
        lease.mAccount = start.mAccount;
        lease.mResources = known[start.mJob]->mPending.mResourcesPerTask;
        lease.mClass = start.mClass;
        lease.mStarted = snapshot.mNow;
        lease.mEstimate = known[start.mJob]->mPending.mEstimate;
        std::ranges::find(snapshot.mWorkers, id, &WorkerView::mWorker)->mLeases.push_back(lease);
      }
    }
  }
  return result;
}

} // namespace lovagerock::placement::tests
