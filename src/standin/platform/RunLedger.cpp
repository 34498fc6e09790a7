#include "standin/platform/RunLedger.h"

#include "standin/platform/JobTable.h"

#include <algorithm>

namespace lovagerock::standin {

std::int64_t
RunLedger::OnWorkerBorn(const std::string& aWorker, std::int64_t aNowMs)
{
  const auto [it, isFirst] = mBirthMs.try_emplace(aWorker, aNowMs);
  if (!isFirst) {
    it->second = std::max(aNowMs, it->second + 1);
  }
  return it->second;
}

void
RunLedger::OnStart(const std::string& aWorker, const std::string& aTask, int aRun)
{
  ++mStarts[aTask];
  const auto name = "run " + std::to_string(aRun) + " on " + aWorker;
  if (const auto it = mRunning.find(aTask); it != mRunning.end()) {
    mViolations.push_back(aTask + " runs already on " + it->second.mWorker + ", as " + name +
                          " starts");
  }
  if (mAcknowledgedTasks.contains(aTask)) {
    AddStartAfterDone(aTask, name);
  }
  if (mShownJobs.contains(JobOf(aTask))) {
    mViolations.push_back(aTask + " was shown as completed before " + name);
  }
  for (auto& it : mUnacknowledged) {
    if (it.mTask == aTask) {
      it.mLaterStarts.push_back(name);
    }
  }
  if (mRunning.insert_or_assign(aTask, Run{ aWorker, aRun }).second) {
    ++mJobRuns[JobOf(aTask)].mRunning;
  }
}

void
RunLedger::OnEnd(const std::string& aWorker, const std::string& aTask, int aRun, bool aIsDone)
{
  const Run run{ aWorker, aRun };
  const auto it = mRunning.find(aTask);
  if (it != mRunning.end() && it->second == run) {
    mRunning.erase(it);
    --mJobRuns[JobOf(aTask)].mRunning;
  }
  if (!aIsDone) {
    return;
  }
  if (mAcknowledgedTasks.contains(aTask)) {
    mViolations.push_back(aTask + " was done twice");
  }
  if (!IsDone(aTask)) {
    ++mJobRuns[JobOf(aTask)].mDone[StepOf(aTask)];
  }
  mUnacknowledged.push_back({ aTask, run, {} });
}

void
RunLedger::OnDoneListed(const std::string& aTask)
{
  if (!IsDone(aTask)) {
    ++mJobRuns[JobOf(aTask)].mDone[StepOf(aTask)];
  }
  mListedTasks.insert(aTask);
}

void
RunLedger::OnAcknowledged(const std::string& aWorker, const std::string& aTask, int aRun)
{
  const auto it =
    std::find_if(mUnacknowledged.begin(), mUnacknowledged.end(), [&](const auto& aIt) {
      return aIt.mTask == aTask && aIt.mRun == Run{ aWorker, aRun };
    });
  if (it == mUnacknowledged.end()) {
    return;
  }
  mAcknowledgedTasks.insert(aTask);
  for (const auto& start : it->mLaterStarts) {
    AddStartAfterDone(aTask, start);
  }
  mUnacknowledged.erase(it);
}

void
RunLedger::OnLeaseExpired(const std::string& aWorker)
{
  ForgetDoneRuns(aWorker);
}

void
RunLedger::OnWorkerGone(const std::string& aWorker)
{
  ForgetDoneRuns(aWorker);
  std::erase_if(mRunning, [&](const auto& aIt) {
    const bool isGone = aIt.second.mWorker == aWorker;
    if (isGone) {
      --mJobRuns[JobOf(aIt.first)].mRunning;
    }
    return isGone;
  });
}

void
RunLedger::AddStartAfterDone(const std::string& aTask, const std::string& aStart)
{
  mViolations.push_back(aTask + " was done before " + aStart);
}

void
RunLedger::ForgetDoneRuns(const std::string& aWorker)
{
  std::set<std::string> forgotten;
  std::erase_if(mUnacknowledged, [&](const auto& aIt) {
    const bool isForgotten = aIt.mRun.mWorker == aWorker;
    if (isForgotten) {
      forgotten.insert(aIt.mTask);
    }
    return isForgotten;
  });
  for (const auto& it : forgotten) {
    if (!IsDone(it)) {
      --mJobRuns[JobOf(it)].mDone[StepOf(it)];
    }
  }
}

bool
RunLedger::IsDone(const std::string& aTask) const
{
  return mAcknowledgedTasks.contains(aTask) || mListedTasks.contains(aTask) ||
         std::any_of(mUnacknowledged.begin(), mUnacknowledged.end(),
                     [&](const auto& aIt) { return aIt.mTask == aTask; });
}

const JobRuns&
RunLedger::RunsOf(const std::string& aJob) const
{
  static const JobRuns kNone;
  const auto it = mJobRuns.find(aJob);
  return it == mJobRuns.end() ? kNone : it->second;
}

std::map<std::string, std::string>
RunLedger::Running() const
{
  std::map<std::string, std::string> workers;
  for (const auto& [task, run] : mRunning) {
    workers[task] = run.mWorker;
  }
  return workers;
}

} // namespace lovagerock::standin
