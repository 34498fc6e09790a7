#pragma once

#include "placement/ClusterSnapshot.h"
#include "placement/RunTimeHistory.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace lovagerock::placement {

// One copy of a guarantee on concrete workers. A worker occurs more than once only with
// Adjacency::Worker.
struct AssignedCopy
{
  AccountId mAccount;
  Guarantee mGuarantee;
  int mCopy = 0;
  std::vector<WorkerId> mWorkers;
};

// Capacity that is kept for a large job.
struct Reservation
{
  JobId mJob;
  // The worker of each task.
  std::vector<WorkerId> mWorkers;
  Resources mResourcesPerTask;
  TimePoint mSubmitted;
  TimePoint mMadeAt;
  TimePoint mExpectedStart;
  // The tasks that had no room at the last plan, and when that number last fell.
  int mMissing = 0;
  TimePoint mLastProgress;
  // When the last plan was made, and the accelerator-seconds kept idle until then.
  TimePoint mLastPlan;
  double mIdle = 0;
  // Jobs that were started on the kept capacity in the meantime.
  std::set<JobId> mBackfill;
};

// What is remembered of a worker's task failures.
struct WorkerRecord
{
  int mFailures = 0;
  JobId mLastFailedJob;
  std::optional<TimePoint> mQuarantinedUntil;
  Duration mNextQuarantine{ 60'000 };
};

// What the planner remembers between plans. A planner that takes over starts with an empty one.
class PlannerState
{
public:
  // A failure within this time of the start counts towards the quarantine of the worker; a later
  // one more likely comes from the task itself.
  static constexpr Duration kFastFailure{ 10'000 };
  static constexpr int kFailuresToQuarantine = 3;
  static constexpr Duration kFirstQuarantine{ 60'000 };
  static constexpr Duration kLongestQuarantine{ 3'600'000 };

  // A task ended with an error. Several tasks of one job count once, so that one bad gang doesn't
  // quarantine a worker.
  void RecordFailure(const WorkerId& aWorker, const JobId& aJob, Duration aRanFor, TimePoint aNow);
  // A task ended well, which ends a series of failures and resets the quarantine time.
  void RecordSuccess(const WorkerId& aWorker);
  bool IsQuarantined(const WorkerId& aWorker, TimePoint aNow) const;
  // Whether there is any failure in a row on record.
  int Failures(const WorkerId& aWorker) const;

  std::vector<AssignedCopy> mAssignment;
  // By falling priority; an earlier one goes before a later one.
  std::vector<Reservation> mReservations;
  // Jobs whose reservation could not complete get no other one before this time.
  std::map<JobId, TimePoint> mNoReservationBefore;
  // Of all jobs that ended well.
  RunTimeHistory mRunTimes;

private:
  std::unordered_map<WorkerId, WorkerRecord> mRecords;
};

} // namespace lovagerock::placement
