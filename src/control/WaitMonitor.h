#pragma once

#include "scheduler/AccountUsage.h"
#include "scheduler/WaitReason.h"
#include "scheduler/WastedWork.h"
#include "scheduler/WorkerSpeeds.h"

#include <array>
#include <map>
#include <optional>
#include <vector>

namespace lovagerock::control {

// What the leader may do at one time.
struct LeaderCondition
{
  // Whether it may send anything.
  bool mMayAct = false;
  // Whether its leadership is confirmed, so that it may start runs.
  bool mIsConfirmed = false;
  bool mIsTakeoverSettled = false;
  // Whether it knows which zones are evacuated; until then it may start nothing.
  bool mAreZonesCurrent = true;

  bool MayStart() const { return mMayAct && mIsConfirmed && mAreZonesCurrent; }
};

// The number of jobs that wait for one reason, and the longest of these waits.
struct ReasonCount
{
  int mJobs = 0;
  Duration mLongest{ 0 };
};

// The waiting jobs by reason; a job with several waiting steps counts with the one that has waited
// longest.
struct WaitCounts
{
  std::array<ReasonCount, scheduler::kWaitReasons> mReasons;
  // The sum of the jobs, and the longest wait.
  ReasonCount mAll;

  const ReasonCount& Of(scheduler::WaitReason aReason) const
  {
    return mReasons[static_cast<std::size_t>(aReason)];
  }
};

// What the accepted jobs take on the leader, see Backlog.
struct BacklogStatus
{
  Bytes mUsed;
  Bytes mLimit;
  std::size_t mParked = 0;
  std::size_t mClosedGroups = 0;
};

// What a node knows as the leader.
struct LeaderStatus
{
  bool mIsTakeoverSettled = false;
  std::size_t mUnansweredWorkers = 0;
  WaitCounts mWaits;
  std::size_t mEvacuatedZones = 0;
  // Whether nothing is started because the evacuated zones were confirmed too long ago.
  bool mAreZonesOutdated = false;
  // The number of accounts by level, see scheduler::AccountUsage.
  std::array<int, scheduler::kAccountLevels> mAccounts{};
  scheduler::SpeedCounts mSpeeds{};
  // The work that was thrown away since it became the leader.
  scheduler::WasteCounts mWasted{};
  BacklogStatus mBacklog;
  std::size_t mEarlyCancellations = 0;
  // The number of workers that were given up and are remembered, see scheduler::FormerWorkers.
  std::size_t mFormerWorkers = 0;
};

// Logs why jobs wait, at a bounded rate, and keeps the numbers for the metrics.
class WaitMonitor
{
public:
  // Time between two reports, the most waiting jobs that each report names, and the time for which
  // a job isn't named again.
  static constexpr Duration kPeriod{ 1000 };
  static constexpr std::size_t kMaxLines = 5;
  static constexpr Duration kJobPeriod{ 2000 };

  // Must be called after each plan. Returns whether a report is due.
  bool OnPlan(const LeaderCondition& aCondition, TimePoint aNow);
  // Logs what waits. OnPlan() is true again after kPeriod.
  void OnReport(scheduler::WaitReport aReport, TimePoint aNow);

  // The numbers of the last report.
  const WaitCounts& Counts() const { return mCounts; }
  std::size_t UnansweredWorkers() const { return mUnanswered; }

  // Returns the numbers of a report.
  static WaitCounts Count(const scheduler::WaitReport& aReport);
  // Returns the waits of a report to log, at most one a job, and remembers that these jobs were
  // named.
  std::vector<scheduler::WaitingStep>
  TakeLines(const scheduler::WaitReport& aReport, TimePoint aNow);

private:
  void LogHeldUpLeader(TimePoint aNow) const;

  LeaderCondition mCondition;
  // Since when no run may be started; unset while runs may be.
  std::optional<TimePoint> mHeldUpSince;
  std::optional<TimePoint> mLastReport;
  // When each job was last named.
  std::map<JobId, TimePoint> mNamed;
  WaitCounts mCounts;
  std::size_t mUnanswered = 0;
};

} // namespace lovagerock::control
