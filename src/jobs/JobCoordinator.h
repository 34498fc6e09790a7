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

// Times of the coordinator.
struct CoordinatorTimes
{
  GangTimes mGang;
  // Running leases are renewed this often.
  Duration mRenewPeriod{ 20000 };
  // A borrower must have stopped after this time, checkpoint included.
  Duration mReclaimDeadline{ 2000 };
  // Changes of workers within this time lead to one look at each gang that they concern.
  Duration mCheckDelay{ 10 };
  // Changes within this time lead to one plan.
  Duration mPlanDelay{ 20 };
  // A plan is made at least this often, because some rules depend on time alone.
  Duration mPlanPeriod{ 1000 };
  // The ids of all records are read again this often, in case a notification was lost.
  Duration mRelistPeriod{ 60000 };
  // Upper bound of the jittered delay before a failed call is made again, at first and at most.
  Duration mStoreRetry{ 1000 };
  Duration mMaxStoreRetry{ 8000 };
  // Gangs that are neither urgent nor guaranteed start only while the starts in progress have at
  // most this many tasks together, because each call that is open costs about 4 KiB. One gang may
  // always start.
  std::size_t mMaxStartingTasks = 512;
  // A job isn't planned again for this time after a start that was not possible.
  Duration mStartRetry{ 200 };
};

// Drives all jobs and service replicas of a region while this node is the region's planner: reads
// the records, plans, starts gangs, renews leases, stops gangs whole, and stores answers. What it
// knows comes from the key-value service and the workers, so that any node can take over.
// Belongs to its loop.
template<kv::KeyValueStore Store, workers::WorkerApi Api>
class JobCoordinator
{
public:
  JobCoordinator(EventLoop& aLoop, Api& aApi, JobStore<Store>& aJobStore,
                 AnswerStore<Store>& aAnswers, Random& aRandom, NodeId aNode,
                 const CoordinatorTimes& aTimes = {});
  JobCoordinator(const JobCoordinator&) = delete;
  JobCoordinator& operator=(const JobCoordinator&) = delete;

  // Takes over the planner role with an epoch above all that the workers have seen.
  void Activate();
  // Gives up the planner role. Running tasks go on under their leases.
  void Deactivate(const char* aReason);
  bool IsActive() const { return mActive; }
  // Run times of finished jobs that were given to the planner so far.
  std::uint64_t LearnedRunTimes() const { return mLearned; }
  // Called after a worker refused this node's fence and the role was given up.
  void OnFenced(std::function<void()> aCallback) { mOnFenced = std::move(aCallback); }

  // Sets the accounts and services that plans are made for.
  void SetPolicy(PolicyInput aPolicy);
  // Whether all listed workers were heard, so that a lack of capacity is real.
  void SetComplete(bool aComplete) { mComplete = aComplete; }
  // Takes a worker's new view. Views are kept while inactive too.
  void OnWorkerChange(const workers::WorkerChange& aChange);
  // Reads a job's record again after a submission or a cancellation.
  void OnJobChanged(const JobId& aJob);

  const ManagedJobs& Jobs() const { return mJobs; }
  const WorkerViews& Views() const { return mViews; }
  const workers::Fence& GetFence() const { return mFence; }
  const placement::Plan& LastPlan() const { return mLastPlan; }

private:
  using Record = JobRecord;

  // Wraps a callback so that it does nothing once the planner role has changed.
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
  // Whether the error says that a newer planner commands the worker; steps down then.
  bool CheckFenced(std::error_code aError);
  void RenewGang(const Record& aRecord);
  // Renews one worker's leases in one call. It also makes a new fence known to all workers.
  void RenewLeases();
  // Attempts, by the prefix of their leases, of which every task runs or has finished at workers
  // that answer. Before the records are known these may be wanted. Parts of others are not renewed:
  // a planner that is cut off from the key-value service and from some of the workers would keep
  // part of a gang running for as long as the cut lasts.
  std::set<std::string> WholeAttempts() const;
  // aWhole counts only before the records are known.
  std::vector<LeaseId>
  LeasesToRenew(const workers::WorkerState& aState, const std::set<std::string>& aWhole);
  void Renew(const SocketAddress& aWorker, const std::vector<LeaseId>& aLeases);

  // Job records (CoordinatorRecords.h).
  ManagedJob* Find(const JobId& aJob);
  void LoadRecords();
  void Relist();
  void LoadUnknown(const std::vector<JobId>& aListed);
  void Reload(const JobId& aJob);
  void RetryLater(std::function<void()> aTask);
  // Takes a record as the store has it.
  void Adopt(const Record& aRecord);
  static TimePoint QueuedAt(const Record& aRecord);
  void ForgetJob(const JobId& aJob);
  // Every change of a record's placements goes through these two, which keep the index.
  void SetRecord(ManagedJob& aJob, Record aRecord);
  void EraseJob(const JobId& aJob);
  void CheckCancel(ManagedJob& aJob);
  void Requeue(ManagedJob& aJob, Ran aRan);
  void End(ManagedJob& aJob, JobState aState, Ran aRan, const std::string& aError);
  // Goes on after a write, or reads the record again if it could not be written.
  void OnWritten(const Record& aOld, std::error_code aError, const std::function<void()>& aNext);
  // Looks at the worker's leases that belong to no managed job.
  void CheckOrphans(const workers::WorkerView& aView);
  void CheckAttempt(const std::string& aPrefix, const JobId& aJob);
  // Takes an attempt that another planner committed after this one had read the record.
  void AdoptCommitted(const Record& aRecord);
  // Writes the record as it is, so that another planner's commit on the version read before fails,
  // and then releases the attempt's leases. A commit after the release would leave a started record
  // without tasks, and a non-idempotent job would end as interrupted although it never ran.
  void FenceRecord(const std::string& aPrefix, const Record& aRecord);
  void ReleaseOrphan(const std::string& aPrefix);

  // Gangs (CoordinatorGangs.h).
  GangLimits Limits() const;
  void StartGang(const placement::GangStart& aStart);
  // Whether the start would exceed the limit of starts in progress, or follows one that waits for
  // it. A later plan contains it again. Urgent and guaranteed work doesn't wait.
  bool MustWait(const placement::GangStart& aStart, bool aOtherWaits) const;
  void LogStart(const placement::GangStart& aStart, const ManagedJob& aJob) const;
  void OnGangStart(GangOutcome aOutcome, Record aRecord, const std::vector<WorkerId>& aRefused);
  // Looks at the leases that may have taken the capacity of a refused reservation. They belong to
  // another planner's attempt if their state was seen while this planner's start was in progress.
  void CheckRefusals(const std::vector<WorkerId>& aWorkers);
  // Notes every job that has a task on the worker for CheckChanged(), and looks at leases without a
  // job.
  void CheckLeases(const workers::WorkerView& aView);
  // Looks at the noted jobs.
  void CheckChanged();
  // Reads the state of the job's tasks and takes the next step.
  void CheckGang(ManagedJob& aJob);
  void RecordFailure(ManagedJob& aJob, const GangStatus& aStatus);
  // Completes a start that a former planner committed but did not finish.
  void ResumeStart(ManagedJob& aJob, const GangStatus& aStatus);
  // Stops every task of the gang; EndAttempt() follows once all have ended.
  void StopGang(ManagedJob& aJob, StopReason aReason, Duration aDeadline);
  // All tasks have ended without a whole answer.
  void EndAttempt(ManagedJob& aJob);

  // Answers (CoordinatorAnswers.h).
  // Answers of one gang on their way from the workers to the store.
  struct AnswerBatch
  {
    Record mRecord;
    // The finished tasks, of which mAnswers has the first ones.
    std::vector<int> mTasks;
    std::vector<TaskAnswer> mAnswers;
    std::size_t mBytes = 0;
  };
  using AnswerBatchPtr = std::shared_ptr<AnswerBatch>;

  // Stores the answers of finished tasks in batches, and ends the job after the last.
  void CollectAnswers(ManagedJob& aJob, const GangStatus& aStatus);
  void NoteFinished(ManagedJob& aJob, const GangStatus& aStatus);
  // Keeps the run time of a job that ends well for the next plan.
  void LearnRunTime(const ManagedJob& aJob);
  // Fetches the next answer of the batch, or stores those that were fetched.
  void FetchAnswers(const AnswerBatchPtr& aBatch);
  // Stores what was fetched. After a failed fetch the rest is tried again later.
  void StoreAnswers(const AnswerBatchPtr& aBatch, std::error_code aFetchError);
  void OnCollected(const AnswerBatch& aBatch, std::error_code aError,
                   const std::vector<AnswerInfo>& aInfos);

  // Plans (CoordinatorPlans.h).
  void OnTick();
  void PlanSoon();
  void MakePlan();
  void Execute(const placement::Plan& aPlan);
  static std::string Cause(const ManagedJob& aJob);
  void NoteWaiting(const placement::WaitingJob& aWaiting);
  void Reclaim(const placement::Reclaim& aReclaim);
  void ReleaseService(const LeaseId& aLease, Duration aDeadline);
  void GrantService(const placement::ServiceGrant& aGrant);
  // Requests of a replica that isn't needed any more may end in their own time.
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
  CoordinatorTimes mTimes;
  ServiceLeases<Api> mServices;
  workers::Fence mFence;
  PolicyInput mPolicy;
  WorkerViews mViews;
  AttemptReleases<Api> mAttempts;
  ManagedJobs mJobs;
  WorkerJobs mWorkerJobs;
  // Jobs with a change at one of their workers since the last check.
  std::set<JobId> mChanged;
  placement::PlannerState mState;
  placement::Plan mLastPlan;
  std::vector<Failure> mFailures;
  std::vector<WorkerId> mSuccesses;
  std::vector<FinishedJob> mRunTimes;
  std::uint64_t mLearned = 0;
  // Start tokens of attempts whose commit is uncertain and that were never started.
  std::set<std::string> mUnsentStarts;
  std::function<void()> mOnFenced;
  Timer mRenewTimer;
  Timer mRelistTimer;
  Timer mPlanTimer;
  Timer mPlanSoon;
  Timer mCheckSoon;
  RetryQueue mRetries;
  // Whether a listing of records is under way or waits to be made again.
  bool mListing = false;
  // Grows with each change of the role, so that callbacks of a former term have no effect.
  std::uint64_t mTerm = 0;
  bool mActive = false;
  bool mRecordsLoaded = false;
  bool mComplete = false;
  // A plan was due while the one before was in progress.
  bool mPlanAgain = false;
  PlanThread mPlanThread;
};

} // namespace lovagerock::jobs

#include "jobs/CoordinatorAnswers.h"
#include "jobs/CoordinatorGangs.h"
#include "jobs/CoordinatorPlans.h"
#include "jobs/CoordinatorRecords.h"
#include "jobs/CoordinatorRole.h"
