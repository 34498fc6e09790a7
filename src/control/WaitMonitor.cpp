#include "control/WaitMonitor.h"

#include "base/LogEvent.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <string>

namespace lovagerock::control {

namespace {

std::string
Join(const std::vector<WorkerId>& aWorkers)
{
  std::string text;
  for (const auto& it : aWorkers) {
    text += (text.empty() ? "" : ",") + it.Value();
  }
  return text;
}

void
AddRoom(const scheduler::RoomReport& aRoom, LogEvent& aEvent)
{
  aEvent.With("gang", aRoom.mIsGang)
    .With("one_rack", aRoom.mIsRackLocal)
    .With("accelerators", aRoom.mDemand.mAccelerators)
    .With("cpu", aRoom.mDemand.mCpu)
    .With("mem_mib", aRoom.mDemand.mMemory)
    .With("fitting", aRoom.mFitting)
    .With("fitting_in_all_racks", aRoom.mFittingSpread)
    .With("fitting_unreserved", aRoom.mFittingUnreserved)
    .With("fitting_unavoided", aRoom.mFittingUnavoided)
    .With("fitting_idle", aRoom.mFittingIdle)
    .With("used_percent", aRoom.mUsedPercent)
    .With("workers", aRoom.mWorkers)
    .With("registered", aRoom.mRegistered);
}

void
LogWait(const scheduler::WaitingStep& aWait)
{
  LogEvent event("job_waits");
  event.With("job", aWait.mJob)
    .With("occurrence", aWait.mOccurrence)
    .With("step", aWait.mStep)
    .With("tasks", aWait.mTasks)
    .With("running", aWait.mRunning)
    .With("reason", scheduler::WaitReasonName(aWait.mReason))
    .With("waited_ms", aWait.mWaited);
  if (!aWait.mWorker.IsEmpty()) {
    event.With("worker", aWait.mWorker);
  }
  if (aWait.mLeft) {
    event.With("left_ms", *aWait.mLeft);
  }
  if (aWait.mRoom) {
    AddRoom(*aWait.mRoom, event);
  }
}

void
LogCounts(const WaitCounts& aCounts)
{
  LogEvent event("jobs_waiting");
  event.With("jobs", aCounts.mAll.mJobs).With("longest_ms", aCounts.mAll.mLongest);
  for (const auto it : scheduler::AllWaitReasons()) {
    if (const int jobs = aCounts.Of(it).mJobs; jobs > 0) {
      event.With(scheduler::WaitReasonName(it), jobs);
    }
  }
}

} // namespace

bool
WaitMonitor::OnPlan(const LeaderCondition& aCondition, TimePoint aNow)
{
  mCondition = aCondition;
  if (aCondition.MayStart()) {
    mHeldUpSince.reset();
  } else if (!mHeldUpSince) {
    mHeldUpSince = aNow;
  }
  return !mLastReport || aNow - *mLastReport >= kPeriod;
}

void
WaitMonitor::OnReport(scheduler::WaitReport aReport, TimePoint aNow)
{
  mLastReport = aNow;
  mCounts = Count(aReport);
  mUnanswered = aReport.mUnanswered.mCount;
  if (!mCondition.mIsTakeoverSettled) {
    LogEvent("takeover_waits")
      .With("unanswered", aReport.mUnanswered.mCount)
      .With("workers", Join(aReport.mUnanswered.mLast))
      .With("left_ms", aReport.mUnanswered.mLeft);
  }
  if (mCounts.mAll.mJobs == 0) {
    mNamed.clear();
    return;
  }
  LogHeldUpLeader(aNow);
  LogCounts(mCounts);
  for (const auto& it : TakeLines(aReport, aNow)) {
    LogWait(it);
  }
}

void
WaitMonitor::LogHeldUpLeader(TimePoint aNow) const
{
  if (!mHeldUpSince || aNow - *mHeldUpSince < scheduler::kMinReportedWait) {
    return;
  }
  LogEvent("leader_held_up", LogLevel::Warning)
    .With("may_act", mCondition.mMayAct)
    .With("confirmed", mCondition.mIsConfirmed)
    .With("zones_current", mCondition.mAreZonesCurrent)
    .With("for_ms", std::chrono::duration_cast<Duration>(aNow - *mHeldUpSince))
    .With("jobs", mCounts.mAll.mJobs);
}

WaitCounts
WaitMonitor::Count(const scheduler::WaitReport& aReport)
{
  WaitCounts counts;
  std::set<JobId> counted;
  for (const auto& it : aReport.mSteps) {
    if (!counted.insert(it.mJob).second) {
      continue;
    }
    for (auto* count : { &counts.mReasons[static_cast<std::size_t>(it.mReason)], &counts.mAll }) {
      ++count->mJobs;
      count->mLongest = std::max(count->mLongest, it.mWaited);
    }
  }
  return counts;
}

std::vector<scheduler::WaitingStep>
WaitMonitor::TakeLines(const scheduler::WaitReport& aReport, TimePoint aNow)
{
  std::erase_if(mNamed, [aNow](const auto& aIt) { return aNow - aIt.second >= kJobPeriod; });
  std::vector<scheduler::WaitingStep> lines;
  for (const auto& it : aReport.mSteps) {
    if (lines.size() == kMaxLines) {
      break;
    }
    if (mNamed.try_emplace(it.mJob, aNow).second) {
      lines.push_back(it);
    }
  }
  return lines;
}

} // namespace lovagerock::control
