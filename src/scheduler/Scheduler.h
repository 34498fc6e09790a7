#pragma once

#include "scheduler/Fleet.h"
#include "scheduler/Job.h"
#include "scheduler/Orders.h"
#include "scheduler/Placer.h"
#include "scheduler/SchedulerSettings.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace lovagerock::scheduler {

// The time of one call, on both clocks.
struct Now
{
  TimePoint mSteady;
  // Milliseconds since 1970.
  std::int64_t mWallMs = 0;
};

// An order that decided the placement of work, for the log.
struct SchedulerCounts
{
  std::uint64_t mStarts = 0;
  std::uint64_t mStops = 0;
  std::uint64_t mEvictions = 0;
  std::uint64_t mFailedRuns = 0;
  std::uint64_t mLapsedRuns = 0;
};

// Decides which task runs where, for all jobs and workers of a deployment. Holds no connection and
// reads no clock: events go in, orders and records to store come out.
//
// A scheduler that takes over knows the accepted jobs, their stored progress and the workers on
// which work may have been started without stored progress. It starts no inherited work until each
// of these workers and of the registered ones has either answered it, and so obeys no earlier
// scheduler, or can hold nothing any more.
class Scheduler
{
public:
  Scheduler(const SchedulerSettings& aSettings, TimePoint aTakeover);

  // The queues by name; jobs of a removed queue keep their last policy.
  void SetQueues(std::map<std::string, QueuePolicy> aQueues);
  // The accelerators that belong to each account for its jobs of priority 0.
  void SetGuarantees(std::map<AccountId, Accelerators> aGuarantees);

  // Adds a job; its progress is empty if it is new. Returns false if the record is malformed.
  bool
  AddJob(const AcceptedJob& aJob, const std::string& aProgress, bool aInherited, const Now& aNow);
  void CancelJob(const JobId& aJob, const Now& aNow);
  const Job* FindJob(const JobId& aJob) const;
  std::size_t JobCount() const { return mJobs.size(); }
  // The accepted jobs of a queue of which no task has started.
  int PendingJobs(const std::string& aQueue) const;
  // Jobs that ended longer ago than they are kept.
  std::vector<JobId> ExpiredJobs(const Now& aNow) const;
  // Forgets jobs whose records are deleted.
  void Forget(const std::vector<JobId>& aJobs);

  // Adds the workers of a rack that an earlier scheduler recorded.
  void AddRecordedWorkers(const RackId& aRack, const std::vector<WorkerContact>& aWorkers);
  void OnWorkerEntry(const WorkerEntry& aEntry, const Now& aNow);
  void OnWorkerUnlisted(const WorkerId& aWorker);
  // Told before each order or renewal is sent, since it may prolong the worker's lease.
  void OnLeaseSent(const WorkerId& aWorker, const Now& aNow);
  void OnHoldReport(const WorkerId& aWorker, const HoldReport& aReport, const Now& aNow);
  // Another life of the worker answered: nothing of the earlier one runs any more.
  void OnWorkerReplaced(const WorkerId& aWorker, const Now& aNow);
  // The worker's process doesn't listen.
  void OnWorkerRefused(const WorkerId& aWorker, const Now& aNow);
  void OnStartOutcome(const WorkerId& aWorker, const RunRef& aRun, OrderOutcome aOutcome,
                      WorkerClock aClock, const Now& aNow);
  void OnStopOutcome(const WorkerId& aWorker, const RunRef& aRun, OrderOutcome aOutcome,
                     WorkerClock aClock, const Now& aNow);

  // Decides what to start and stop.
  Orders Plan(const Now& aNow);

  // The progress that changed since the last call.
  ProgressBatch TakeProgress();
  // The batch is stored.
  void OnStored(const ProgressBatch& aBatch);
  // The batch wasn't stored and has to be taken again.
  void OnNotStored(const ProgressBatch& aBatch);
  bool HasProgress() const { return !mDirty.empty() || mHasUnstoredEnds || !mDirtyRacks.empty(); }
  // The progress that isn't known to be stored, by job.
  std::vector<ProgressWrite> UnstoredProgress() const;
  // The job's progress has to be stored, because it came from elsewhere than the store.
  void MarkUnstored(const JobId& aJob) { Touch(aJob); }
  // Whether the job's present state is stored.
  bool IsStored(const JobId& aJob) const;

  const Fleet& Workers() const { return mFleet; }
  const SchedulerCounts& Counts() const { return mCounts; }
  // The former scheduler has ended, and the progress names all runs that may be at work.
  void OnHandedOver(const Now& aNow);
  // Whether inherited work may be started.
  bool IsSettled() const { return mIsSettled; }

private:
  // Work that is due: all waiting tasks of one step of one occurrence.
  struct DueStep
  {
    Job* mJob = nullptr;
    int mOccurrence = 0;
    int mStep = 0;
    std::vector<int> mTasks;
    bool mIsEntitled = false;
    // Order of the plan; lower comes first.
    int mClass = 0;
    TimePoint mObjective;
  };
  // Room that is being made for a step.
  struct Reservation
  {
    std::vector<WorkerId> mWorkers;
    Capacity mDemand;
    TimePoint mUntil;
  };
  using StepKey = std::tuple<JobId, int, int>;

  Job* FindMutable(const JobId& aJob);
  void Touch(const JobId& aJob);
  // Forgets a run that holds nothing any more, and lets its task wait again.
  void DropRun(Worker& aWorker, const RunRef& aRun, RunEnd aEnd, const std::string& aCheckpoint,
               const Now& aNow);
  void ApplyEnd(const WorkerId& aWorker, const RunRef& aRun, RunEnd aEnd,
                const std::string& aCheckpoint, const Now& aNow);
  void ApplyFailure(Job& aJob, const RunRef& aRun, const WorkerId& aWorker, const Now& aNow);
  void NoteWorkerResult(const WorkerId& aWorker, const RunRef& aRun, RunEnd aEnd, const Now& aNow);
  void KeepCheckpoint(Job& aJob, const TaskRef& aTask, const std::string& aCheckpoint);
  // How long a worker may run on after a renewal, on our clock.
  Duration LongestHold() const;
  void DropAllRuns(Worker& aWorker, const Now& aNow);
  void ReadRunning(Worker& aWorker, const HoldReport& aReport, const Now& aNow);
  void CheckMissing(Worker& aWorker, const HoldReport& aReport, const Now& aNow);
  // Takes over a run that an earlier scheduler started.
  void AdoptRun(Worker& aWorker, const RunningRun& aRun, WorkerClock aClock, const Now& aNow);
  bool IsWanted(const Worker& aWorker, const PlacedRun& aRun, const Now& aNow) const;
  bool IsGangBroken(const Job& aJob, const PlacedRun& aRun, const Now& aNow) const;
  // Whether the task of an inherited job may run on a worker that has not answered yet.
  bool MayRunUnseen(const Task& aTask, const Now& aNow) const;
  RackWrite TakeRack(const RackId& aRack);

  void ExpireLeases(const Now& aNow);
  void UpdateSettled(const Now& aNow);
  void Settle();
  void StopUnwanted(const Now& aNow);
  void LeaveDrainingWorkers(const Now& aNow);
  void BeginStop(Worker& aWorker, PlacedRun& aRun);
  void StopRun(const WorkerId& aWorker, const RunRef& aRun);
  void SendAgain(const Now& aNow, Orders& aOrders);
  std::vector<DueStep> DueSteps(const Now& aNow);
  void AddDue(Job& aJob, bool aIsEntitled, const Now& aNow, std::vector<DueStep>& aDue) const;
  std::set<JobId> EntitledJobs() const;
  PlacementRequest RequestFor(const DueStep& aDue) const;
  void PlaceDue(const DueStep& aDue, Placer& aPlacer, const Now& aNow, Orders& aOrders);
  bool PlaceReserved(const DueStep& aDue, Placer& aPlacer, const Now& aNow, Orders& aOrders);
  void PlaceWhole(const DueStep& aDue, PlacementRequest& aRequest, Placer& aPlacer, const Now& aNow,
                  Orders& aOrders);
  void PlaceEach(const DueStep& aDue, PlacementRequest& aRequest, Placer& aPlacer, const Now& aNow,
                 Orders& aOrders);
  // Keeps smaller work off the workers that will have room for a waiting gang first.
  void GatherRoom(const DueStep& aDue, const PlacementRequest& aRequest, Placer& aPlacer,
                  const Now& aNow);
  bool
  MakeRoom(const DueStep& aDue, const PlacementRequest& aRequest, Placer& aPlacer, const Now& aNow);
  void StartTasks(const DueStep& aDue, const std::vector<WorkerId>& aWorkers, Placer& aPlacer,
                  const Now& aNow, Orders& aOrders);
  std::optional<double> CostOfStopping(const PlacedRun& aRun, const DueStep& aFor,
                                       const std::set<JobId>& aEntitled, const Now& aNow) const;
  StartOrder MakeStart(const WorkerId& aWorker, const RunRef& aRun) const;

  SchedulerSettings mSettings;
  // Until when a run of an earlier scheduler may go on without a renewal by this one.
  TimePoint mInheritedUntil;
  bool mIsSettled = false;
  std::map<std::string, QueuePolicy> mQueues;
  std::map<AccountId, Accelerators> mGuarantees;
  std::unordered_map<JobId, Job> mJobs;
  Fleet mFleet;
  std::map<StepKey, Reservation> mReservations;
  std::set<JobId> mEntitled;
  // Steps that room is gathered for in this plan.
  int mGathering = 0;
  std::set<JobId> mDirty;
  // Jobs whose progress is being stored.
  std::set<JobId> mStoring;
  bool mHasUnstoredEnds = false;
  // Racks whose recorded workers have changed.
  std::set<RackId> mDirtyRacks;
  // Workers that hold runs of stored progress, are not recorded and haven't registered.
  std::set<WorkerId> mAwaited;
  SchedulerCounts mCounts;
};

} // namespace lovagerock::scheduler
