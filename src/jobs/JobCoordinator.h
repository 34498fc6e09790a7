#pragma once

#include "base/EventLoop.h"
#include "base/LogEvent.h"
#include "base/Random.h"
#include "jobs/AnswerStore.h"
#include "jobs/AttemptReleases.h"
#include "jobs/GangStart.h"
#include "jobs/JobStore.h"
#include "jobs/PlanThread.h"
#include "jobs/RetryQueue.h"
#include "jobs/ServiceLeases.h"
#include "jobs/SnapshotBuilder.h"
#include "jobs/WorkerJobs.h"
#include "placement/ResourceVector.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace lovagerock::jobs {

// Timing of the coordinator, and its limit of concurrent starts.
struct CoordinatorSettings
{
  GangTimes mGang;
  // Running leases are renewed at this interval.
  Duration mRenewPeriod{ 20000 };
  // Time in which work whose borrowed capacity is reclaimed must checkpoint and stop.
  Duration mReclaimDeadline{ 2000 };
  // Worker changes within this time are combined into one check of each affected gang.
  Duration mCheckDelay{ 10 };
  // Changes within this time are combined into one plan.
  Duration mPlanDelay{ 20 };
  // A plan is made at least this often, because some rules depend on time alone.
  Duration mPlanPeriod{ 1000 };
  // The ids of all live records are listed at this interval, in case a notification was lost.
  Duration mRelistPeriod{ 60000 };
  // Initial and largest upper bound of the jittered delay before a failed call is retried.
  Duration mStoreRetry{ 1000 };
  Duration mMaxStoreRetry{ 8000 };
  // The largest total number of tasks in concurrent gang starts, because each open call costs about
  // 4 KiB. Urgent and guaranteed gangs are exempt, and so is a gang while no other is starting.
  std::size_t mMaxStartingTasks = 512;
  // After a failed reservation a job is not planned for a jittered delay, at least this long and
  // less than twice as long.
  Duration mStartRetry{ 200 };
};

// Manages all jobs and service replicas of a region while this node is the region's planner: reads
// the job records, makes plans, starts gangs, renews leases, stops gangs and stores answers. Its
// durable state is in the key-value service and at the workers, so that any node can take over.
// Must be used on its event loop's thread only.
template<kv::KeyValueStore Store, workers::WorkerApi Api>
class JobCoordinator
{
public:
  JobCoordinator(EventLoop& aLoop, Api& aApi, JobStore<Store>& aJobStore,
                 AnswerStore<Store>& aAnswers, Random& aRandom, NodeId aNode,
                 const CoordinatorSettings& aTimes = {});
  JobCoordinator(const JobCoordinator&) = delete;
  JobCoordinator& operator=(const JobCoordinator&) = delete;

  // Takes over the planner role with an epoch above all that the known workers have reported.
  void Activate();
  // Gives up the planner role. Running tasks continue until their leases expire.
  void Deactivate(const char* aReason);
  bool IsActive() const { return mActive; }
  // Returns how many run times of finished jobs were queued for the run-time history so far.
  std::uint64_t LearnedRunTimes() const { return mLearned; }
  // Sets a callback that is called after this node gave up the role because of a newer planner's
  // fence at a worker.
  void OnFenced(std::function<void()> aCallback) { mOnFenced = std::move(aCallback); }

  // Sets the accounts, services and weights for the next plans.
  void SetPolicy(PolicyInput aPolicy);
  // Sets whether all listed workers have reported their state. Until then unreported workers may
  // have the capacity that seems to be lacking.
  void SetAllWorkersKnown(bool aAllWorkersKnown) { mAllWorkersKnown = aAllWorkersKnown; }
  // Updates this node's view of a worker, also while the node is not the planner.
  void OnWorkerChange(const workers::WorkerChange& aChange);
  // Reads a job's record again after a submission or a cancellation request.
  void OnJobChanged(const JobId& aJob);

  const ManagedJobs& Jobs() const { return mJobs; }
  const WorkerViews& Views() const { return mViews; }
  const workers::Fence& GetFence() const { return mFence; }
  const placement::Plan& LastPlan() const { return mLastPlan; }

private:
  using Record = JobRecord;

  // Wraps a callback so that it does nothing after the current term as planner has ended.
  template<typename Function>
  auto InTerm(Function aFunction)
  {
    return [this, term = mTerm, function = std::move(aFunction)](auto&&... aArguments) {
      if (mActive && term == mTerm) {
        function(std::forward<decltype(aArguments)>(aArguments)...);
      }
    };
  }

  static TimePoint Now() { return std::chrono::steady_clock::now(); }

  // The planner role and its leases (CoordinatorRole.h).
  void StepDown();
  // Steps down and returns true if the error says that the worker has seen a newer planner's fence.
  bool CheckFenced(std::error_code aError);
  void RenewGang(const Record& aRecord);
  // Renews the leases of each worker in one call, which also makes a new fence known to the worker.
  void RenewLeases();
  // Returns the lease prefixes of the attempts of which every task is running or finished on a
  // worker that is not suspected. Until the records are loaded no other job leases are renewed.
  // Otherwise a planner that is partitioned from the key-value service and from some of the workers
  // would keep part of a gang running for as long as the partition lasts.
  std::set<std::string> CompleteAttempts() const;
  // Uses aCompleteAttempts only until the records are loaded.
  std::vector<LeaseId>
  LeasesToRenew(const workers::WorkerState& aState, const std::set<std::string>& aCompleteAttempts);
  void Renew(const SocketAddress& aWorker, const std::vector<LeaseId>& aLeases);

  // Job records (CoordinatorRecords.h).
  ManagedJob* Find(const JobId& aJob);
  void LoadRecords();
  void Relist();
  void LoadUnknown(const std::vector<JobId>& aListed);
  void Reload(const JobId& aJob);
  void RetryLater(std::function<void()> aTask);
  // Replaces this planner's state of the job by the stored record.
  void Adopt(const Record& aRecord);
  static TimePoint QueuedAt(const Record& aRecord);
  void ForgetJob(const JobId& aJob);
  // Every change of a record's placements must go through these two, which update mWorkerJobs.
  void SetRecord(ManagedJob& aJob, Record aRecord);
  void EraseJob(const JobId& aJob);
  void CheckCancel(ManagedJob& aJob);
  void Requeue(ManagedJob& aJob, Ran aRan);
  void End(ManagedJob& aJob, JobState aState, Ran aRan, const std::string& aError);
  // Calls aNext after a successful write; otherwise reads the record again later.
  void OnWritten(const Record& aOld, std::error_code aError, const std::function<void()>& aNext);
  // Checks the attempts of the worker's job leases that belong to no managed job.
  void CheckOrphans(const workers::WorkerView& aView);
  void CheckAttempt(const std::string& aPrefix, const JobId& aJob);
  // Adopts an attempt that another planner committed after this one had read the record.
  void AdoptCommitted(const Record& aRecord);
  // Rewrites the record unchanged, so that another planner's commit based on the previous version
  // fails, and then releases the attempt's leases. A commit after the release would leave a started
  // record without tasks, and a non-idempotent job would end as interrupted although it never ran.
  void FenceRecord(const std::string& aPrefix, const Record& aRecord);
  void ReleaseOrphan(const std::string& aPrefix);

  // Gangs (CoordinatorGangs.h).
  LeaseLossTimeouts LossTimeouts() const;
  void StartGang(const placement::GangStart& aStart);
  // Returns whether the start must be left to a later plan, because it would exceed
  // mMaxStartingTasks or another start of the plan was deferred. Urgent and guaranteed gangs are
  // never deferred.
  bool MustDefer(const placement::GangStart& aStart, bool aOtherDeferred) const;
  void LogStart(const placement::GangStart& aStart, const ManagedJob& aJob) const;
  void OnGangStart(GangOutcome aOutcome, Record aRecord, const std::vector<WorkerId>& aRefused);
  // Checks workers that refused a reservation for orphaned leases, which may hold the capacity.
  // Those of another planner's attempt at the same job were ignored while this planner's start was
  // in progress.
  void CheckRefusals(const std::vector<WorkerId>& aWorkers);
  // Queues every job that has a task on the worker for CheckChangedJobs(), and checks the worker
  // for orphaned leases.
  void CheckLeases(const workers::WorkerView& aView);
  // Checks the gangs of the queued jobs.
  void CheckChangedJobs();
  // Evaluates the state of the job's tasks and takes the next step.
  void CheckGang(ManagedJob& aJob);
  void RecordFailure(ManagedJob& aJob, const GangStatus& aStatus);
  // Starts the tasks that a former planner committed but did not start.
  void ResumeStart(ManagedJob& aJob, const GangStatus& aStatus);
  // Stops every task of the gang. CheckGang() calls EndAttempt() once all have ended.
  void StopGang(ManagedJob& aJob, StopReason aReason, Duration aDeadline);
  // Requeues the job or ends it, after all tasks of a stopped attempt have ended.
  void EndAttempt(ManagedJob& aJob);

  // Answers (CoordinatorAnswers.h).
  // Answers of one gang that are being copied from the workers to the store.
  struct AnswerBatch
  {
    Record mRecord;
    // The finished tasks to collect. mAnswers has the answers of the first ones.
    std::vector<int> mTasks;
    std::vector<TaskAnswer> mAnswers;
    std::size_t mBytes = 0;
  };
  using AnswerBatchPtr = std::shared_ptr<AnswerBatch>;

  // Stores the next batch of answers of finished tasks. Ends the job once all answers are stored.
  void CollectAnswers(ManagedJob& aJob, const GangStatus& aStatus);
  void RecordFinishTime(ManagedJob& aJob, const GangStatus& aStatus);
  // Queues the run time of a finished job for the run-time history, which the next plan updates.
  void LearnRunTime(const ManagedJob& aJob);
  // Fetches the next answer of the batch, or stores the fetched ones if the batch is full.
  void FetchAnswers(const AnswerBatchPtr& aBatch);
  // Stores the fetched answers. After a failed fetch the remaining ones are retried later.
  void StoreAnswers(const AnswerBatchPtr& aBatch, std::error_code aFetchError);
  void OnCollected(const AnswerBatch& aBatch, std::error_code aError,
                   const std::vector<AnswerInfo>& aInfos);

  // Plans (CoordinatorPlans.h).
  void OnTick();
  void SchedulePlan();
  void MakePlan();
  void Execute(const placement::Plan& aPlan);
  static std::string LastErrorSuffix(const ManagedJob& aJob);
  void RecordWaitReason(const placement::WaitingJob& aWaiting);
  void Reclaim(const placement::Reclaim& aReclaim);
  void ReleaseService(const LeaseId& aLease, Duration aDeadline);
  void GrantService(const placement::ServiceGrant& aGrant);
  // The time that a replica which is no longer needed has to complete its requests.
  Duration ReleaseDeadline() const { return mTimes.mGang.mRunningTtl; }

  struct Failure
  {
    WorkerId mWorker;
    JobId mJob;
    Duration mRan;
  };

  struct FinishedJob
  {
    AccountId mAccount;
    std::int64_t mSize = 0;
    placement::RunTime mRunTime;
  };

  EventLoop& mLoop;
  Api& mApi;
  JobStore<Store>& mJobStore;
  AnswerStore<Store>& mAnswerStore;
  Random& mRandom;
  CoordinatorSettings mTimes;
  ServiceLeases<Api> mServices;
  workers::Fence mFence;
  PolicyInput mPolicy;
  WorkerViews mViews;
  AttemptReleases<Api> mAttempts;
  ManagedJobs mJobs;
  WorkerJobs mWorkerJobs;
  // Jobs of which a worker changed since the last check.
  std::set<JobId> mChangedJobs;
  placement::PlannerState mState;
  placement::Plan mLastPlan;
  std::vector<Failure> mFailures;
  std::vector<WorkerId> mSuccesses;
  std::vector<FinishedJob> mRunTimes;
  std::uint64_t mLearned = 0;
  // Start tokens of attempts of which the commit failed or has an unknown outcome, and that no
  // worker was told to start.
  std::set<std::string> mUnsentStarts;
  std::function<void()> mOnFenced;
  Timer mRenewTimer;
  Timer mRelistTimer;
  Timer mPlanTimer;
  Timer mPlanDelayTimer;
  Timer mCheckDelayTimer;
  RetryQueue mRetries;
  // Whether a listing of records is in progress or queued for a retry.
  bool mListing = false;
  // Incremented with each change of the role, so that callbacks of a former term have no effect.
  std::uint64_t mTerm = 0;
  bool mActive = false;
  bool mRecordsLoaded = false;
  bool mAllWorkersKnown = false;
  // Whether a plan was requested while another was being computed.
  bool mPlanAgain = false;
  PlanThread mPlanThread;
};

} // namespace lovagerock::jobs

#include "jobs/CoordinatorAnswers.h"
#include "jobs/CoordinatorGangs.h"
#include "jobs/CoordinatorPlans.h"
#include "jobs/CoordinatorRecords.h"
#include "jobs/CoordinatorRole.h"
