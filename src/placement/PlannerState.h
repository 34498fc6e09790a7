#pragma once

#include "placement/ClusterSnapshot.h"
#include "placement/RunTimeHistory.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace lovagerock::placement {

// One copy of a guarantee and the workers assigned to it. With Adjacency::Worker, mWorkers names
// the same worker mGuarantee.mWorkers times; otherwise the workers are distinct.
struct AssignedCopy
{
  AccountId mAccount;
  Guarantee mGuarantee;
  int mCopy = 0;
  std::vector<WorkerId> mWorkers;
};

// Capacity that is held for a large job.
struct Reservation
{
  JobId mJob;
  // The worker of each task.
  std::vector<WorkerId> mWorkers;
  Resources mResourcesPerTask;
  TimePoint mSubmitted;
  TimePoint mCreatedAt;
  TimePoint mExpectedStart;
  // The lowest number of tasks without room at any plan so far, and when it last fell.
  int mMissingTasks = 0;
  TimePoint mLastProgress;
  // When the last plan was made, and the capacity held idle until then, in ResourceVector::Size()
  // times seconds.
  TimePoint mLastPlan;
  double mIdle = 0;
  // Jobs that were started on the held capacity in the meantime.
  std::set<JobId> mBackfillJobs;
};

// The recent task failures of a worker.
struct FailureRecord
{
  int mFailures = 0;
  JobId mLastFailedJob;
  std::optional<TimePoint> mQuarantinedUntil;
  Duration mNextQuarantine{ 60'000 };
};

// The planner's state between plans. A planner that takes over starts with an empty state.
class PlannerState
{
public:
  // Only a failure within this time of the task's start counts towards the quarantine of the
  // worker; a later one is more likely caused by the task itself.
  static constexpr Duration kFastFailure{ 10'000 };
  static constexpr int kFailuresToQuarantine = 3;
  static constexpr Duration kInitialQuarantine{ 60'000 };
  static constexpr Duration kMaxQuarantine{ 3'600'000 };

  // Records that a task ended with an error after aRanFor. Failures of one job in a row count once,
  // so that one faulty gang doesn't quarantine a worker.
  void RecordFailure(const WorkerId& aWorker, const JobId& aJob, Duration aRanFor, TimePoint aNow);
  // Records that a task succeeded: clears the worker's failures and quarantine and resets the
  // length of its next quarantine.
  void RecordSuccess(const WorkerId& aWorker);
  bool IsQuarantined(const WorkerId& aWorker, TimePoint aNow) const;
  // Returns the number of counted failures since the last success or the start of the last
  // quarantine.
  int ConsecutiveFailures(const WorkerId& aWorker) const;

  std::vector<AssignedCopy> mAssignment;
  // In order of descending priority; an earlier one takes capacity before a later one.
  std::vector<Reservation> mReservations;
  // The time before which a job whose reservation timed out gets no other one.
  std::map<JobId, TimePoint> mNoReservationBefore;
  // Run times of the jobs that succeeded.
  RunTimeHistory mRunTimes;

private:
  std::unordered_map<WorkerId, FailureRecord> mRecords;
};

} // namespace lovagerock::placement
