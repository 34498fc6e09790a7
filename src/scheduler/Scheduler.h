#pragma once

#include "scheduler/AccountUsage.h"
#include "scheduler/Fleet.h"
#include "scheduler/FormerWorkers.h"
#include "scheduler/GatherTurns.h"
#include "scheduler/Job.h"
#include "scheduler/Orders.h"
#include "scheduler/Placer.h"
#include "scheduler/PlanWindow.h"
#include "scheduler/RunTimes.h"
#include "scheduler/SchedulerSettings.h"
#include "scheduler/StepRanking.h"
#include "scheduler/StopPolicy.h"
#include "scheduler/WastedWork.h"
#include "scheduler/WorkerSpeeds.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lovagerock::scheduler {

// The current time, on the steady clock and the wall clock.
struct CurrentTime
{
  TimePoint mSteady;
  // Milliseconds since 1970.
  std::int64_t mWallMs = 0;
};

// What is kept of a job for some time after its end.
struct EndedJob
{
  JobState mState = JobState::Completed;
  AccountId mAccount;
  // Wall clock time of the end, in milliseconds since 1970; 0 if the job isn't over.
  std::int64_t mFinishedMs = 0;
};

class WaitScanner;

// Counts of decisions and of failed and lost runs since the scheduler was created.
struct SchedulerCounts
{
  std::uint64_t mStarts = 0;
  std::uint64_t mStops = 0;
  std::uint64_t mEvictions = 0;
  std::uint64_t mFailedRuns = 0;
  // Runs given up because their worker's lease expired, or the worker was restarted or has gone.
  std::uint64_t mLostRuns = 0;
};

// Decides which task runs where, for all jobs and workers of a deployment. Does no I/O and reads no
// clock: takes events and the current time, and returns orders for workers and records to store.
//
// A scheduler that takes over loads the accepted jobs, their stored progress and the rack records.
// These name the workers on which an earlier scheduler may have started runs without storing
// progress. It starts no task of an inherited job until each recorded or registered worker has
// answered it, and so rejects the earlier scheduler's orders, or until all leases that the earlier
// scheduler may have renewed have expired.
class Scheduler
{
public:
  Scheduler(const SchedulerSettings& aSettings, TimePoint aTakeover);

  // Sets the policies of the queues, by name. Jobs of a removed queue keep their last policy.
  void SetQueues(std::map<std::string, QueuePolicy> aQueues);
  // Sets the number of accelerators that each account is guaranteed for its jobs of priority 0.
  void SetGuarantees(std::map<AccountId, Accelerators> aGuarantees);
  // Sets the zones in which nothing may be started. What runs there goes on.
  void SetEvacuatedZones(std::set<ZoneId> aZones);

  // Adds a job with its stored progress, which is empty if there is none. Does nothing if the job
  // is known. Returns false if the progress is malformed.
  bool AddJob(const AcceptedJob& aJob, const std::string& aProgress, bool aInherited,
              const CurrentTime& aNow);
  void CancelJob(const JobId& aJob, const CurrentTime& aNow);
  // Returns null also for an ended job of which only a summary is kept.
  const Job* FindJob(const JobId& aJob) const;
  // Whether the job was added and not removed since.
  bool KnowsJob(const JobId& aJob) const
  {
    return mJobs.contains(aJob) || mEndedJobs.contains(aJob);
  }
  // Returns the job's state and account, also if FindJob() doesn't know it any more; nullopt if it
  // isn't known.
  std::optional<EndedJob> JobSummary(const JobId& aJob) const;
  std::size_t JobCount() const { return mJobs.size() + mEndedJobs.size(); }
  // Calls aVisit with each job of which more than a summary is kept.
  template<typename Visit>
  void VisitJobs(const Visit& aVisit) const
  {
    for (const auto& [id, job] : mJobs) {
      aVisit(job);
    }
  }
  std::size_t SummarizedJobs() const { return mEndedJobs.size(); }
  // Keeps only summaries of jobs that have been over for mEndedJobDetails, whose end is stored and
  // of which nothing runs any more.
  void SummarizeEndedJobs(const CurrentTime& aNow);
  // Returns the number of jobs of a queue that aren't over and of which no task has started.
  int PendingJobs(const std::string& aQueue) const;
  // Returns the jobs whose end is stored and longer ago than mFinishedRetention.
  std::vector<JobId> ExpiredJobs(const CurrentTime& aNow) const;
  // Removes jobs whose records were deleted from the store.
  void RemoveJobs(const std::vector<JobId>& aJobs);

  // Adds the workers that an earlier scheduler's rack record names.
  void AddRecordedWorkers(const RackId& aRack, const std::vector<WorkerContact>& aWorkers);
  // Returns the workers that have restarted under their ids.
  std::vector<WorkerId> RestartedWorkers() const;
  // The former scheduler's RestartedWorkers(), which it may not have recorded.
  void OnRestartsHandedOver(const std::vector<WorkerId>& aWorkers);
  void OnWorkerEntry(const WorkerEntry& aEntry, const CurrentTime& aNow);
  // The worker's registry entry was removed.
  void OnWorkerUnregistered(const WorkerId& aWorker);
  // Must be called before each start order or lease renewal is sent, since the worker may extend
  // its lease even if no answer arrives.
  void OnLeaseSent(const WorkerId& aWorker, const CurrentTime& aNow);
  void OnLeaseReport(const WorkerId& aWorker, const LeaseReport& aReport, const CurrentTime& aNow);
  // The worker has answered a call with a fencing token that was obtained after its last restart.
  // It refuses all orders that were sent before, so its report of that call is whole.
  void OnTokenRaised(const WorkerId& aWorker);
  // Another worker answered at the worker's address, so the worker's runs have ended.
  void OnWorkerReplaced(const WorkerId& aWorker, const CurrentTime& aNow);
  // Returns whether a start order that was held back since Plan() returned it may be sent now. If
  // not, the run has ended without an order.
  bool ReleaseStart(const WorkerId& aWorker, const RunRef& aRun, const CurrentTime& aNow);
  // Returns whether a start order that is repeated, and was held back since Plan() returned it, may
  // be sent now. If not, the run is being stopped or isn't on the worker any more.
  bool IsRepeatedStartDue(const WorkerId& aWorker, const RunRef& aRun);
  void OnStartOutcome(const WorkerId& aWorker, const RunRef& aRun, OrderOutcome aOutcome,
                      WorkerClock aClock, const CurrentTime& aNow);
  void OnStopOutcome(const WorkerId& aWorker, const RunRef& aRun, OrderOutcome aOutcome,
                     WorkerClock aClock, const CurrentTime& aNow);

  // Decides which runs to start and stop, and returns the orders to send. Without aMayStart, starts
  // and evicts nothing.
  Orders Plan(const CurrentTime& aNow, bool aMayStart = true);

  // Returns what changed since the last call and has to be stored.
  ProgressBatch TakeProgress();
  // Returns the changed progress of these jobs alone, which names the runs that were planned for
  // them. It takes the place of the progress that a batch which isn't stored yet has of them.
  ProgressBatch TakeProgressOf(const std::set<JobId>& aJobs);
  // The batch was written to the store.
  void OnStored(const ProgressBatch& aBatch);
  // Writing the batch failed: the next TakeProgress() returns its contents again.
  void OnNotStored(const ProgressBatch& aBatch);
  // Whether TakeProgress() would return anything new.
  bool HasProgress() const { return !mDirty.empty() || mHasUnstoredEnds || !mDirtyRacks.empty(); }
  // Returns the progress of all jobs whose current state isn't known to be stored.
  std::vector<ProgressWrite> UnstoredProgress() const;
  // Marks a job's progress to be stored, because it was received from the former scheduler instead
  // of the store.
  void MarkUnstored(const JobId& aJob) { MarkDirty(aJob); }
  // Whether the job's current state is stored.
  bool IsStored(const JobId& aJob) const;

  const Fleet& Workers() const { return mFleet; }
  // The number of workers that were given up and are remembered.
  std::size_t FormerWorkerCount() const { return mFormerWorkers.Count(); }
  const SchedulerCounts& Counts() const { return mCounts; }
  const AccountUsage& Usage() const { return mAccountUsage; }
  // What is known of the workers' speeds; its record is stored and read by the caller.
  WorkerSpeeds& Speeds() { return mSpeeds; }
  const WorkerSpeeds& Speeds() const { return mSpeeds; }
  // The work that was thrown away since the scheduler was created.
  const WasteCounts& Wasted() const { return mWasted.Counts(); }
  // Leases that earlier schedulers have renewed last no longer than aEarlierLeases from now; see
  // EarlierLeases(). May be called again when more is known. With aNamesAllRuns, the loaded
  // progress names all runs that may be in progress; from then on only the tasks with such a run
  // wait for its worker, or for the end of its lease.
  void OnHandedOver(Duration aEarlierLeases, bool aNamesAllRuns, const CurrentTime& aNow);
  // The longest that a lease may last after a renewal, on this process's clock.
  Duration MaxLeaseDuration() const { return WithClockDrift(mSettings.mLeaseDuration); }
  // Returns the longest time on this process's clock in which a worker's clock advances by aTime.
  Duration WithClockDrift(Duration aTime) const;
  // Whether tasks of inherited jobs may be started.
  bool IsTakeoverSettled() const { return mIsTakeoverSettled; }
  // Returns how long leases may last that earlier schedulers have renewed, or may still renew; 0
  // once all workers that may have inherited runs have answered. The next scheduler needs to know
  // it: an earlier one may still reach a worker that hasn't answered this one.
  Duration EarlierLeases(const CurrentTime& aNow) const;
  // Returns the number of runs that loaded progress names and that may be in progress on workers
  // which haven't answered yet.
  int UnreportedRuns(const CurrentTime& aNow) const;

private:
  friend class WaitScanner;

  // A guaranteed step that waits is logged at most once in this time.
  static constexpr Duration kWaitingLogPeriod{ 1000 };

  // The tasks of one step of one occurrence that are ready and wait for a worker.
  struct DueStep
  {
    Job* mJob = nullptr;
    int mOccurrence = 0;
    int mStep = 0;
    // The indices of the tasks in the step; see TakeTasks().
    std::vector<int> mTasks;
    // Whether the job is within its account's guarantee.
    bool mIsEntitled = false;
    // The PlanClass of the job.
    PlanClass mClass = InTime;
    TimePoint mObjective;
    // Whether the step has a protected turn, see GatherTurns.
    bool mIsProtected = false;
    // See PlacementRequest::mNeededSpeed.
    double mNeededSpeed = 0;
  };
  // Resources that are kept for a step while the runs that occupy them are being stopped.
  struct Reservation
  {
    // One entry per task of the step.
    std::vector<WorkerId> mWorkers;
    // The demand of one task.
    Capacity mDemand;
    // Whether the workers may be in several racks although the step is rack-local.
    bool mIsSpread = false;
    TimePoint mUntil;
  };

  // A member of a gang whose start was refused for certain. It is to be started on another worker
  // under the same run number, while the other members wait for it.
  struct RefusedGangMember
  {
    int mRun = 0;
    // When the gang is stopped instead.
    TimePoint mUntil;
    // The workers that have refused it, the last one at the end.
    std::vector<WorkerId> mWorkers;
  };
  // The slack of jobs: from their expected end to their objective.
  using JobSlacks = std::unordered_map<const Job*, Duration>;

  Job* FindMutable(const JobId& aJob);
  // Marks the job's progress to be stored.
  void MarkDirty(const JobId& aJob);
  // Removes a run that no longer occupies resources from its worker and applies its end to its
  // task.
  void DropRun(Worker& aWorker, const RunRef& aRun, RunEnd aEnd, const std::string& aCheckpoint,
               const CurrentTime& aNow);
  // Applies the end of a run to its task and job. Does nothing if the end was processed before.
  void ApplyEnd(const Worker& aWorker, const RunRef& aRun, RunEnd aEnd,
                const std::string& aCheckpoint, const CurrentTime& aNow);
  // Counts a failed run as an attempt, and fails the job after the last one.
  void ApplyFailure(Job& aJob, const RunRef& aRun, const Worker& aWorker, const CurrentTime& aNow);
  // Counts a worker's failed runs in a row, and pauses new runs there if there are too many.
  void UpdateWorkerFailures(const WorkerId& aWorker, const RunRef& aRun, RunEnd aEnd,
                            const CurrentTime& aNow);
  void UpdateCheckpoint(Job& aJob, const TaskRef& aTask, const std::string& aCheckpoint);
  // MaxLeaseDuration() for any order to the worker; see Worker::mHasRestarted.
  Duration MaxLeaseDuration(const Worker& aWorker) const
  {
    return aWorker.mHasRestarted ? WithClockDrift(mSettings.mLongestLease) : MaxLeaseDuration();
  }
  // Returns when the last lease expires that an earlier scheduler may have renewed on the worker.
  TimePoint InheritedLeaseExpiry(const Worker& aWorker) const
  {
    return mInheritedUntil + (MaxLeaseDuration(aWorker) - MaxLeaseDuration());
  }
  // The worker has restarted under its id: the runs that its earlier incarnation reported have
  // ended. Others may be runs of the new one, or become so by a start order without an answer, so
  // they are stopped first.
  void OnWorkerRestarted(Worker& aWorker, const CurrentTime& aNow);
  // Sets what is known of a worker that was given up and has registered again: as yet it is the
  // last known incarnation, whose lease is over.
  void TakeBack(Worker& aWorker, const WorkerEntry& aEntry, const FormerWorker& aFormer) const;
  // Resets what is known of the incarnation that answered last.
  static void ForgetIncarnation(Worker& aWorker);
  // Applies the end of all runs of a worker that can't be in progress any more; aReason is logged.
  void DropAllRuns(Worker& aWorker, const char* aReason, const CurrentTime& aNow);
  // Updates runs and tasks from the worker's report of runs in progress.
  void ReadRunning(Worker& aWorker, const LeaseReport& aReport, const CurrentTime& aNow);
  // Returns the step of a task; null if the job isn't known or its occurrence isn't open.
  const StepSpec* FindStep(const TaskRef& aTask) const;
  // Learns from a run that has completed, before its end is applied.
  void
  LearnFromEnd(Worker& aWorker, const RunRef& aRun, WorkerClock aClock, const CurrentTime& aNow);
  // Learns the run time of a run that has completed, in relation to its estimate.
  void LearnRunTime(PlacedRun& aRun, const CurrentTime& aNow);
  // Returns the speed of the slowest worker that runs one of the tasks; nullopt if that isn't
  // known, or if the tasks are slowed down by running outside the racks that they ask for.
  std::optional<double>
  SpeedOf(const StepSpec& aSpec, const std::vector<Task>& aTasks, TimePoint aNow) const;
  // Removes runs that the worker doesn't report any more.
  void CheckMissing(Worker& aWorker, const LeaseReport& aReport, const CurrentTime& aNow);
  // Counts a report that lacks a run, and removes the run if too many did. A run that may start
  // late has to be stopped first.
  void OnMissedReport(Worker& aWorker, PlacedRun& aRun, const CurrentTime& aNow);
  // Adds a reported run that this scheduler didn't know, which an earlier one has started.
  void
  AdoptRun(Worker& aWorker, const RunningRun& aRun, WorkerClock aClock, const CurrentTime& aNow);
  // Whether the run is still the current one of its task and should go on.
  bool IsWanted(const Worker& aWorker, const PlacedRun& aRun, const CurrentTime& aNow) const;
  // Whether a member of the run's gang has no run in progress with the same number.
  bool IsGangBroken(const Job& aJob, const PlacedRun& aRun, const CurrentTime& aNow) const;
  // Whether the task's run was refused and is to be started on another worker.
  bool AwaitsOtherWorker(const TaskRef& aTask, int aRun) const;
  // Removes a run of which the worker has certainly done nothing, and keeps its gang waiting for
  // another worker. Returns false, and does nothing, if the gang has to be stopped instead.
  bool KeepRefusedGangMember(Worker& aWorker, const PlacedRun& aRun, const CurrentTime& aNow);
  // Whether the rest of the gang is there, and there is time left for the member's start.
  bool MayReplaceGangMember(const TaskRef& aTask, const RefusedGangMember& aMember,
                            const CurrentTime& aNow) const;
  // Stops waiting for the refused members that can't be started in time, or whose gang has ended.
  void GiveUpRefusedGangMembers(const CurrentTime& aNow);
  void PlaceRefusedGangMembers(Placer& aPlacer, const CurrentTime& aNow, Orders& aOrders);
  // Whether the runs of the step are in several racks.
  bool IsInSeveralRacks(const DueStep& aDue) const;
  // Whether the run that the loaded progress names for a task may be in progress, because its
  // worker hasn't answered this scheduler yet.
  bool MayRunUnreported(const Task& aTask, const CurrentTime& aNow) const;
  // Returns the record of a rack to store.
  RackWrite TakeRack(const RackId& aRack);

  // Removes the runs of workers whose lease has expired, and those workers that aren't registered.
  void ExpireLeases(const CurrentTime& aNow);
  // Makes the tasks wait for a worker whose unreported runs can't be in progress any more.
  void ResolveUnreportedRuns(const CurrentTime& aNow);
  // The same for one job; returns whether none of its tasks has such a run any more.
  bool ResolveUnreportedRuns(Job& aJob, const CurrentTime& aNow);
  // Settles the takeover once all workers reject an earlier scheduler's orders or its leases end.
  void UpdateTakeoverSettled(const CurrentTime& aNow);
  void SettleTakeover();
  void StopUnwanted(const CurrentTime& aNow);
  // Returns the tasks of which a run is being stopped.
  std::set<TaskRef> TasksBeingStopped() const;
  // Stops runs in evacuated zones whose start had no answer: the order may not be repeated there,
  // and after a confirmed stop the worker refuses one that arrives late.
  void StopUnansweredStartsInEvacuatedZones();
  // Stops the runs on draining workers that aren't expected to end before the worker leaves.
  void EvacuateDrainingWorkers(const CurrentTime& aNow);
  void BeginStop(Worker& aWorker, PlacedRun& aRun);
  void StopRun(const WorkerId& aWorker, const RunRef& aRun);
  // Adds due stop orders, and start orders that had no answer, to the plan's orders.
  void AddStopsAndRetries(const CurrentTime& aNow, bool aMayStart, Orders& aOrders);
  // Places the steps that wait for workers.
  void PlaceAllDue(const CurrentTime& aNow, Orders& aOrders);
  // Returns the steps that wait for workers, in the order in which they are placed.
  std::vector<DueStep> DueSteps(const CurrentTime& aNow);
  StepRank RankOf(const DueStep& aDue) const;
  // Compares what each account holds with its fair share.
  void UpdateAccountUsage(const std::vector<DueStep>& aDue, const CurrentTime& aNow);
  void
  AddDue(Job& aJob, bool aIsEntitled, const CurrentTime& aNow, std::vector<DueStep>& aDue) const;
  // Returns the number of the step's tasks that wait for a worker.
  int CountWaiting(const Job& aJob, int aOccurrence, int aStep) const;
  // Whether the task waits and none of its runs is being stopped.
  bool IsWaiting(const Task& aTask, const TaskRef& aRef) const
  {
    return aTask.mPhase == TaskPhase::Waiting &&
           (mBeingStopped.empty() || !mBeingStopped.contains(aRef));
  }
  // Sets the tasks of the step to those that wait, the longest wait first, at most aLimit.
  void ListWaiting(DueStep& aDue, int aLimit) const;
  // Sets the tasks of the step that this plan may start, of a gang all. Returns false if there is
  // none, or if the plan may not start so many runs any more.
  bool TakeTasks(DueStep& aDue) const;
  // Returns how many runs this plan may start.
  int CountStartRoom() const;
  // Returns the class of a job without a guarantee.
  PlanClass ClassOf(const Job& aJob, TimePoint aObjective, const CurrentTime& aNow) const;
  // Returns Job::RemainingRunTime() with regard to what is known of such estimates.
  Duration ExpectedRemainingTime(const Job& aJob, const CurrentTime& aNow) const;
  // Returns the speed that a step of the class needs, see PlacementRequest::mNeededSpeed.
  double NeededSpeed(const Job& aJob, PlanClass aClass, bool aIsLongRunning,
                     const CurrentTime& aNow) const;
  // Returns the jobs of priority 0 that fit into their account's guarantee, oldest first.
  std::set<JobId> EntitledJobs() const;
  // Returns the request as far as it doesn't depend on the other workers, see AvoidFailures().
  PlacementRequest RequestFor(const DueStep& aDue) const;
  // Returns since when that of the step's waiting tasks waits that has waited longest.
  static TimePoint WaitingSince(const DueStep& aDue);
  // Keeps the step off workers on which it may fail again, if others can hold it once their present
  // runs have ended. Only for mMaxAvoidance: these runs may go on for ever.
  void AvoidFailures(const DueStep& aDue, PlacementRequest& aRequest, const Placer& aPlacer,
                     const CurrentTime& aNow) const;
  void PlaceDue(const DueStep& aDue, Placer& aPlacer, const CurrentTime& aNow, Orders& aOrders);
  // Whether a run of the task that its worker has confirmed is being stopped.
  bool IsBeingStopped(const TaskRef& aRef, const Task& aTask) const;
  // Whether something of the job runs, or has been ordered to.
  bool HasRun(const Job& aJob) const;
  // Returns for how long nothing of the job has run although the step was ready. A task that lasts
  // counts by itself, whatever else runs of its job.
  Duration IdleTime(const DueStep& aDue, const CurrentTime& aNow) const;
  // Whether IdleTime() has reached mMaxIdleBesideRoom, although its service has room: most
  // of it is idle, or the tasks fit twice over beside the runs.
  bool IsIdleBesideRoom(const DueStep& aDue, const PlacementRequest& aRequest,
                        const Placer& aPlacer, const CurrentTime& aNow) const;
  // Starts a step that IsIdleBesideRoom() with the first concession with which it fits: a gang
  // whole, else one task, so that gangs still get their room soon. Returns whether it was started.
  bool StartBesideRoom(const DueStep& aDue, const PlacementRequest& aRequest, Placer& aPlacer,
                       const CurrentTime& aNow, Orders& aOrders);
  // Starts the step on its reserved resources if they are free. Returns whether PlaceDue() is to do
  // nothing more for the step: it was started, or its reservation still waits for resources.
  bool
  PlaceReserved(const DueStep& aDue, Placer& aPlacer, const CurrentTime& aNow, Orders& aOrders);
  // Whether the tasks of a rack-local step may run in several racks: because no rack could hold
  // them even if it was idle, or because they last and have waited for long. What keeps the rack
  // full, among it tasks of the same step, may then last as well.
  bool MaySpread(const DueStep& aDue, const PlacementRequest& aRequest, const Placer& aPlacer,
                 const CurrentTime& aNow) const;
  // Places a gang or a rack-local step.
  void PlaceTogether(const DueStep& aDue, PlacementRequest aRequest, Placer& aPlacer,
                     const CurrentTime& aNow, Orders& aOrders);
  // Starts a gang, or all tasks of another step, if they fit. Returns whether they were started.
  bool StartWhole(const DueStep& aDue, const PlacementRequest& aRequest, Placer& aPlacer,
                  const CurrentTime& aNow, Orders& aOrders);
  // Places independent tasks, as many as fit, and evicts runs for the rest.
  void PlaceEach(const DueStep& aDue, PlacementRequest& aRequest, Placer& aPlacer,
                 const CurrentTime& aNow, Orders& aOrders);
  // Returns how long the step has been ready.
  static Duration WaitingTime(const DueStep& aDue, const CurrentTime& aNow);
  // For a gang that has waited for mGatherAfter, reserves the free resources of workers that can
  // hold it beside the runs that last, so that their resources accumulate until it fits. Unless the
  // gang is guaranteed, it does so in turns: the runs that it waits for may go on for long. Jobs of
  // which nothing runs may take them, see StartBesideRoom() and MayBePassed().
  void GatherCapacity(const DueStep& aDue, const PlacementRequest& aRequest, Placer& aPlacer,
                      const CurrentTime& aNow);
  // Whether what the gang gathers now may be taken by jobs of which nothing runs.
  bool MayBePassed(const DueStep& aDue, const Placer& aPlacer, const CurrentTime& aNow) const;
  // Evicts runs so that the tasks of the request fit, and reserves the resources for the step; or
  // only reserves those of runs that are expected to end in time, for this plan. Returns false if
  // the job may not evict others, no set of runs frees enough, or the stops don't pay.
  bool EvictFor(const DueStep& aDue, const PlacementRequest& aRequest, Placer& aPlacer,
                const CurrentTime& aNow);
  // The same for a guaranteed step that has to be placed together, has waited for mGatherAfter and
  // never begun: also moves guaranteed runs that fit on other workers. They may occupy a part of
  // each rack, so that none holds the step although enough is free in all.
  bool MoveGuaranteedFor(const DueStep& aDue, const PlacementRequest& aRequest, Placer& aPlacer,
                         const CurrentTime& aNow);
  // Returns the accelerators that the runs of guaranteed jobs occupy.
  Accelerators GuaranteedInUse() const;
  // Logs that a guaranteed step still waits, and what room there is for it, once per
  // kWaitingLogPeriod.
  void LogWaiting(const DueStep& aDue, const PlacementRequest& aRequest, const Placer& aPlacer,
                  const CurrentTime& aNow);
  // With aRun, the tasks get this run number, else a new one.
  void StartTasks(const DueStep& aDue, const std::vector<WorkerId>& aWorkers, Placer& aPlacer,
                  const CurrentTime& aNow, Orders& aOrders, std::optional<int> aRun = std::nullopt);
  // Whether the step may evict runs of others at all.
  static bool MayEvictAny(const DueStep& aFor);
  // Whether the run may be evicted for a step: its job is less urgent, or above its account's
  // guarantee.
  bool MayEvict(const PlacedRun& aRun, const DueStep& aFor) const;
  // Whether the run may be stopped for a guaranteed step if its task fits elsewhere.
  bool MayMove(const PlacedRun& aRun, const DueStep& aFor) const;
  // Returns the cost of stopping a run and its gang, see StopPolicy::Cost().
  double CostOfStopping(const PlacedRun& aRun, JobSlacks& aSlacks, const CurrentTime& aNow) const;
  // Returns the cost of stopping the plan's runs; a gang counts once.
  double CostOfPlan(const EvictionPlan& aPlan, const CurrentTime& aNow) const;
  // Returns the time after which the run is expected to end by itself; nullopt if that isn't known.
  static std::optional<Duration> ExpectedEnd(const PlacedRun& aRun, const CurrentTime& aNow);
  // Returns what StopPolicy needs to know of the step.
  static WaitingDemand
  DemandOf(const DueStep& aDue, const PlacementRequest& aRequest, const CurrentTime& aNow);
  // Chooses the runs to stop so that the tasks of the request fit, with aMayMove also those that
  // may only be moved. Runs that are expected to end within aLongestWait come first.
  std::optional<EvictionPlan>
  PlanEvictions(const DueStep& aDue, const PlacementRequest& aRequest, const Placer& aPlacer,
                bool aMayMove, Duration aLongestWait, const CurrentTime& aNow) const;
  // Takes the runs out of the plan that are expected to end within aLongestWait and needn't be
  // stopped. Returns after what time the last of them ends; nullopt if there is none.
  std::optional<Duration>
  TakeEndingRuns(EvictionPlan& aPlan, Duration aLongestWait, const CurrentTime& aNow);
  // Logs what was decided on stops for the step, at most once per kWaitingLogPeriod unless the
  // decision has changed.
  void LogStopDecision(const char* aDecision, const DueStep& aDue, const WaitingDemand& aDemand,
                       const EvictionPlan& aPlan, double aCost, std::optional<Duration> aLastEnd,
                       const CurrentTime& aNow);
  // Whether all runs of the plan that may only be moved fit on other workers.
  bool
  FitElsewhere(const EvictionPlan& aPlan, const DueStep& aDue, const PlacementRequest& aRequest,
               const Placer& aPlacer, const CurrentTime& aNow);
  // Returns workers for the tasks that are to be moved, none of them excluded; nullopt if there is
  // no room. The placer then treats their present resources as free.
  std::optional<std::vector<WorkerId>>
  PlaceElsewhere(const DueStep& aMoved, const std::vector<WorkerId>& aExcluded, Placer& aPlacer,
                 const CurrentTime& aNow) const;
  // Returns the tasks that the plan moves, by step: of a gang all of them.
  std::vector<DueStep> MovedSteps(const EvictionPlan& aPlan, const DueStep& aDue);
  // Stops the runs of the plan and reserves its workers for the step.
  void Evict(const EvictionPlan& aPlan, const DueStep& aDue, const PlacementRequest& aRequest,
             Placer& aPlacer, const CurrentTime& aNow);
  // Returns the running time that is lost if the run is stopped now.
  Duration LostTime(const PlacedRun& aRun, const CurrentTime& aNow) const;
  // Returns why a run that isn't wanted any more is stopped.
  WasteCause CauseOfStop(const PlacedRun& aRun);
  // Counts what a run has thrown away that no longer occupies its resources.
  void CountWaste(const PlacedRun& aRun, RunEnd aEnd, const CurrentTime& aNow);
  // Logs that the run is stopped although its task has to go on, and what that costs.
  void LogStop(const char* aEvent, const WorkerId& aWorker, const PlacedRun& aRun,
               const CurrentTime& aNow, const JobId& aFor) const;
  StartOrder MakeStart(const WorkerId& aWorker, const RunRef& aRun) const;

  SchedulerSettings mSettings;
  // When the last lease that an earlier scheduler may have renewed expires.
  TimePoint mInheritedUntil;
  // See IsTakeoverSettled().
  bool mIsTakeoverSettled = false;
  std::map<std::string, QueuePolicy> mQueues;
  std::map<AccountId, Accelerators> mGuarantees;
  std::set<ZoneId> mEvacuatedZones;
  std::unordered_map<JobId, Job> mJobs;
  std::unordered_map<JobId, EndedJob> mEndedJobs;
  Fleet mFleet;
  FormerWorkers mFormerWorkers;
  PlanWindow mPlanWindow;
  // How many runs the current plan may still start.
  int mStartRoom = 0;
  // What the last plan has left free; none after a plan that could start nothing.
  std::optional<Placer> mPlacer;
  std::map<StepKey, Reservation> mReservations;
  WorkerSpeeds mSpeeds;
  RunTimes mRunTimes;
  // Kept until the gang could wait no longer, also once the member was started elsewhere.
  std::map<TaskRef, RefusedGangMember> mRefusedGangMembers;
  GatherTurns mGatherTurns;
  AccountUsage mAccountUsage;
  // When LogWaiting() last logged each step.
  std::map<StepKey, TimePoint> mWaitingLogged;
  // What LogStopDecision() last logged of each step, and when.
  std::map<StepKey, std::pair<std::string, TimePoint>> mStopsLogged;
  // Until when stops for each step aren't weighed again, because they were too costly.
  std::map<StepKey, TimePoint> mStopsPostponed;
  // The result of EntitledJobs() for the current plan.
  std::set<JobId> mEntitled;
  // The result of TasksBeingStopped() for the current plan. A waiting task may be among them: its
  // run is one of an earlier scheduler that isn't the current one.
  std::set<TaskRef> mBeingStopped;
  // The steps for which the last plan gathered capacity, with the result of Placer::Gather().
  std::map<StepKey, int> mGatherers;
  // Jobs whose progress has changed since it was last taken to be stored.
  std::set<JobId> mDirty;
  // Jobs whose progress was taken and isn't known to be stored yet.
  std::set<JobId> mStoring;
  // Whether ends of runs were processed since progress was last taken.
  bool mHasUnstoredEnds = false;
  // Racks whose stored record may be out of date.
  std::set<RackId> mDirtyRacks;
  // Jobs that may have tasks in TaskPhase::Unreported.
  std::set<JobId> mUnreportedJobs;
  // Workers that loaded progress names but neither a rack record nor the registry does.
  std::set<WorkerId> mAwaitedWorkers;
  SchedulerCounts mCounts;
  WastedWork mWasted;
};

} // namespace lovagerock::scheduler
