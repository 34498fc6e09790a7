#include "bench/TraceRun.h"

#include "bench/GuaranteeDemands.h"
#include "placement/PlanContext.h"

#include <algorithm>
#include <queue>
#include <tuple>

namespace lovagerock::placement::replay {

namespace detail {
namespace {

constexpr TimePoint kTimeLimit{ std::chrono::hours(72) };
// Plans are computed at least this often, because reservations and quarantines change with time
// even without any event.
constexpr Duration kPlanPeriod{ 30'000 };

enum class EventKind
{
  // The order of the enumerators is the order in which events of the same time are handled.
  RunEnd,
  StopEnd,
  FaultEnd,
  Fault,
  Arrival,
  Cancel,
  Tick,
};

struct Event
{
  TimePoint mAt;
  EventKind mKind;
  // Index of a worker for Fault and FaultEnd, unused for Tick, otherwise index of a job.
  std::size_t mIndex;
  int mAttempt;

  bool operator>(const Event& aOther) const
  {
    return std::tie(mAt, mKind, mIndex, mAttempt) >
           std::tie(aOther.mAt, aOther.mKind, aOther.mIndex, aOther.mAttempt);
  }
};

struct JobState
{
  // Still set while a running job is stopping.
  bool mIsRunning = false;
  bool mIsStopping = false;
  // Grows whenever the job ends or is requeued; events of earlier attempts are ignored.
  int mAttempt = 0;
  TimePoint mStarted;
  // Run time saved by earlier attempts.
  Duration mProgress{ 0 };
};

class TraceSimulation
{
public:
  TraceSimulation(const ReplayTrace& aTrace, const Policy& aPolicy, bool aWithGuarantees);
  RunResult RunToEnd();

private:
  void PushEvent(TimePoint aAt, EventKind aKind, std::size_t aIndex, int aAttempt = 0)
  {
    mEvents.push({ aAt, aKind, aIndex, aAttempt });
  }
  Duration Since(TimePoint aTime) const
  {
    return std::chrono::duration_cast<Duration>(mSnapshot.mNow - aTime);
  }
  void HandleEvent(const Event& aEvent);
  void RecordRunTime(std::size_t aJob);
  void EndJob(std::size_t aJob);
  void RequeueJob(std::size_t aJob, bool aIsGraceful);
  void FailWorker(std::size_t aWorker);
  void RemoveLeases(std::size_t aJob);
  void Apply(const Plan& aPlan);
  void Start(const GangStart& aStart);
  void Reclaim(const placement::Reclaim& aReclaim);
  void CheckPlan(const Plan& aPlan);
  void SampleUsage();
  bool IsPlaceable(const PlanContext& aContext, const PendingJob& aJob) const;

  const ReplayTrace& mTrace;
  const Policy& mPolicy;
  ClusterSnapshot mSnapshot;
  PlannerState mState;
  RunResult mResult;
  std::vector<JobState> mJobStates;
  std::map<JobId, std::size_t> mIndex;
  // Number of faults in progress, by worker.
  std::vector<int> mFaults;
  GuaranteeDemands mDemands;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> mEvents;
  std::size_t mUnfinishedJobs = 0;
};

TraceSimulation::TraceSimulation(const ReplayTrace& aTrace, const Policy& aPolicy,
                                 bool aWithGuarantees)
  : mTrace(aTrace)
  , mPolicy(aPolicy)
  , mJobStates(aTrace.mJobs.size())
  , mFaults(aTrace.mWorkers.size())
  , mUnfinishedJobs(aTrace.mJobs.size())
{
  mSnapshot.mWorkers = aTrace.mWorkers;
  mSnapshot.mAccounts = aTrace.mAccounts;
  mSnapshot.mWeights = aTrace.mWeights;
  if (!aWithGuarantees) {
    for (auto& it : mSnapshot.mAccounts) {
      it.mGuarantees.clear();
    }
  }
  for (std::size_t i = 0; i < aTrace.mJobs.size(); ++i) {
    const auto& job = aTrace.mJobs[i];
    mResult.mJobs.push_back({ &job, std::nullopt, false, false, 0 });
    mIndex[job.mPending.mJob] = i;
    PushEvent(job.mPending.mSubmitted, EventKind::Arrival, i);
    if (job.mCancelledAt) {
      PushEvent(*job.mCancelledAt, EventKind::Cancel, i);
    }
  }
  for (const auto& it : aTrace.mFaults) {
    PushEvent(it.mAt, EventKind::Fault, it.mWorker);
    PushEvent(it.mAt + it.mDuration, EventKind::FaultEnd, it.mWorker);
  }
  PushEvent(TimePoint(), EventKind::Tick, 0);
}

RunResult
TraceSimulation::RunToEnd()
{
  while (mUnfinishedJobs > 0 && !mEvents.empty() && mEvents.top().mAt < kTimeLimit) {
    const auto now = mEvents.top().mAt;
    const auto before = mSnapshot.mNow;
    mSnapshot.mNow = now;
    while (!mEvents.empty() && mEvents.top().mAt == now) {
      const auto event = mEvents.top();
      mEvents.pop();
      HandleEvent(event);
    }
    mDemands.Update(mSnapshot, mState);
    const auto plan = mPolicy(mSnapshot, mState);
    mResult.mUnassigned += Since(before) * static_cast<int>(plan.mUnassigned.size());
    CheckPlan(plan);
    Apply(plan);
    SampleUsage();
  }
  mResult.mEnd = mSnapshot.mNow;
  mResult.mOpenDemands = static_cast<int>(mDemands.Count());
  return std::move(mResult);
}

void
TraceSimulation::HandleEvent(const Event& aEvent)
{
  const auto i = aEvent.mIndex;
  switch (aEvent.mKind) {
    case EventKind::Arrival:
      mSnapshot.mJobs.push_back(mTrace.mJobs[i].mPending);
      break;
    case EventKind::RunEnd:
      if (mJobStates[i].mIsRunning && mJobStates[i].mAttempt == aEvent.mAttempt) {
        mResult.mJobs[i].mEnded = mSnapshot.mNow;
        RecordRunTime(i);
        EndJob(i);
      }
      break;
    case EventKind::StopEnd:
      if (mJobStates[i].mIsStopping && mJobStates[i].mAttempt == aEvent.mAttempt) {
        RequeueJob(i, true);
      }
      break;
    case EventKind::Cancel:
      if (!mResult.mJobs[i].mEnded && !mResult.mJobs[i].mIsRefused && !mResult.mJobs[i].mIsLost) {
        mResult.mJobs[i].mIsLost = true;
        EndJob(i);
      }
      break;
    case EventKind::Fault:
      ++mFaults[i];
      FailWorker(i);
      break;
    case EventKind::FaultEnd:
      if (--mFaults[i] == 0) {
        mSnapshot.mWorkers[i].mHealth = WorkerHealth::Live;
      }
      break;
    case EventKind::Tick:
      PushEvent(mSnapshot.mNow + kPlanPeriod, EventKind::Tick, 0);
      break;
  }
}

void
TraceSimulation::RecordRunTime(std::size_t aJob)
{
  const auto& pending = mTrace.mJobs[aJob].mPending;
  const auto& state = mJobStates[aJob];
  const auto total = ResourceVector(pending.mResourcesPerTask) * pending.mTasks;
  mState.mRunTimes.Record(pending.mAccount, total.Size(),
                          { pending.mEstimate, state.mProgress + Since(state.mStarted) });
}

void
TraceSimulation::EndJob(std::size_t aJob)
{
  RemoveLeases(aJob);
  std::erase_if(mSnapshot.mJobs, [&](const PendingJob& aPending) {
    return aPending.mJob == mTrace.mJobs[aJob].mPending.mJob;
  });
  auto& state = mJobStates[aJob];
  state.mIsRunning = false;
  state.mIsStopping = false;
  mDemands.Forget(mTrace.mJobs[aJob].mPending.mJob);
  ++state.mAttempt;
  --mUnfinishedJobs;
}

void
TraceSimulation::RequeueJob(std::size_t aJob, bool aIsGraceful)
{
  const auto& job = mTrace.mJobs[aJob];
  auto& state = mJobStates[aJob];
  if (job.mCheckpointPeriod.count() > 0) {
    const auto ran =
      std::max(state.mProgress, state.mProgress + Since(state.mStarted) - kStartTime);
    // A job that is asked to stop saves all its progress; a fault loses the progress since the last
    // checkpoint.
    state.mProgress = aIsGraceful ? ran : ran - ran % job.mCheckpointPeriod;
  }
  RemoveLeases(aJob);
  state.mIsRunning = false;
  state.mIsStopping = false;
  ++state.mAttempt;
  mSnapshot.mJobs.push_back(job.mPending);
  mSnapshot.mJobs.back().mRanBefore = state.mProgress;
}

void
TraceSimulation::FailWorker(std::size_t aWorker)
{
  auto& worker = mSnapshot.mWorkers[aWorker];
  worker.mHealth = WorkerHealth::Suspected;
  std::set<std::size_t> affectedJobs;
  for (const auto& it : worker.mLeases) {
    affectedJobs.insert(mIndex.at(it.mJob));
  }
  for (const auto it : affectedJobs) {
    if (mTrace.mJobs[it].mPending.mIdempotent) {
      RequeueJob(it, false);
    } else {
      mResult.mJobs[it].mIsLost = true;
      EndJob(it);
    }
  }
}

void
TraceSimulation::RemoveLeases(std::size_t aJob)
{
  for (auto& worker : mSnapshot.mWorkers) {
    std::erase_if(worker.mLeases, [&](const LeaseView& aLease) {
      return aLease.mJob == mTrace.mJobs[aJob].mPending.mJob;
    });
  }
}

void
TraceSimulation::Apply(const Plan& aPlan)
{
  for (const auto& it : aPlan.mReclaims) {
    Reclaim(it);
  }
  for (const auto& it : aPlan.mStarts) {
    Start(it);
  }
  for (const auto& it : aPlan.mRefused) {
    const auto i = mIndex.at(it.mJob);
    mResult.mJobs[i].mIsRefused = true;
    EndJob(i);
  }
}

void
TraceSimulation::Reclaim(const placement::Reclaim& aReclaim)
{
  const auto i = mIndex.at(aReclaim.mJob);
  auto& state = mJobStates[i];
  if (!state.mIsRunning || state.mIsStopping) {
    return;
  }
  ++mResult.mJobs[i].mReclaims;
  state.mIsStopping = true;
  for (auto& worker : mSnapshot.mWorkers) {
    for (auto& it : worker.mLeases) {
      if (it.mJob == aReclaim.mJob) {
        it.mPhase = LeasePhase::Stopping;
      }
    }
  }
  PushEvent(mSnapshot.mNow + kStopTime, EventKind::StopEnd, i, state.mAttempt);
}

void
TraceSimulation::Start(const GangStart& aStart)
{
  const auto i = mIndex.at(aStart.mJob);
  const auto& job = mTrace.mJobs[i];
  auto& state = mJobStates[i];
  int task = 0;
  for (const auto& id : aStart.mWorkers) {
    LeaseView lease;
    lease.mLease = LeaseId(aStart.mJob.Value() + "/" + std::to_string(state.mAttempt) + "/" +
                           std::to_string(task));
    lease.mJob = aStart.mJob;
    lease.mAccount = aStart.mAccount;
    lease.mResources = job.mPending.mResourcesPerTask;
    lease.mClass = aStart.mClass;
    lease.mReclaimable = aStart.mReclaimable;
    lease.mIdempotent = job.mPending.mIdempotent;
    lease.mUrgent = job.mPending.mUrgent;
    lease.mTask = task++;
    lease.mStarted = mSnapshot.mNow;
    lease.mEstimate = job.mPending.mEstimate;
    lease.mRanBefore = state.mProgress;
    std::ranges::find(mSnapshot.mWorkers, id, &WorkerView::mWorker)->mLeases.push_back(lease);
  }
  std::erase_if(mSnapshot.mJobs,
                [&](const PendingJob& aPending) { return aPending.mJob == aStart.mJob; });
  state.mIsRunning = true;
  state.mStarted = mSnapshot.mNow;
  if (const auto since = mDemands.DemandedSince(aStart.mJob)) {
    mResult.mGuaranteeStartDelays.push_back(Since(*since) + kStartTime);
  }
  if (const auto since = mDemands.BlockedByOthersSince(aStart.mJob)) {
    mResult.mBlockedByOthersDelays.push_back(Since(*since) + kStartTime);
  }
  mDemands.Forget(aStart.mJob);
  PushEvent(mSnapshot.mNow + kStartTime + job.mRunTime - state.mProgress, EventKind::RunEnd, i,
            state.mAttempt);
}

void
TraceSimulation::CheckPlan(const Plan& aPlan)
{
  const auto expect = [&](bool aIsValid, const std::string& aText) {
    if (!aIsValid && mResult.mViolations.size() < 20) {
      mResult.mViolations.push_back(std::to_string(Since(TimePoint()).count()) + " ms: " + aText);
    }
  };
  std::map<WorkerId, ResourceVector> used;
  for (const auto& worker : mSnapshot.mWorkers) {
    for (const auto& it : worker.mLeases) {
      used[worker.mWorker] += ResourceVector(it.mResources);
    }
  }
  for (const auto& start : aPlan.mStarts) {
    const auto& job = mTrace.mJobs[mIndex.at(start.mJob)].mPending;
    expect(static_cast<int>(start.mWorkers.size()) == job.mTasks,
           start.mJob.Value() +
             " is started with a number of workers other than its number of tasks");
    for (const auto& it : start.mWorkers) {
      used[it] += ResourceVector(job.mResourcesPerTask);
    }
  }
  for (const auto& it : mSnapshot.mWorkers) {
    expect(used[it.mWorker].FitsInto(ResourceVector(it.mCapacity)),
           it.mWorker.Value() + " has leases and starts beyond its capacity");
  }
  // Accelerators that can't be reclaimed from each worker: those assigned to copies of guarantees,
  // and those of work that can't be interrupted and runs outside the assigned capacity.
  std::map<WorkerId, std::int64_t> committed;
  for (const auto& copy : mState.mAssignment) {
    for (const auto& it : copy.mWorkers) {
      committed[it] += copy.mGuarantee.mAcceleratorsPerWorker.Value();
    }
  }
  for (const auto& worker : mSnapshot.mWorkers) {
    for (const auto& it : worker.mLeases) {
      if (!it.mIdempotent && it.mClass == CapacityClass::Borrowed) {
        committed[worker.mWorker] += it.mResources.mAccelerators.Value();
      }
    }
  }
  for (const auto& start : aPlan.mStarts) {
    const auto& job = mTrace.mJobs[mIndex.at(start.mJob)].mPending;
    if (job.mIdempotent || start.mClass == CapacityClass::Guaranteed) {
      continue;
    }
    for (const auto& it : start.mWorkers) {
      committed[it] += job.mResourcesPerTask.mAccelerators.Value();
      const auto worker = std::ranges::find(mSnapshot.mWorkers, it, &WorkerView::mWorker);
      expect(committed[it] <= worker->mCapacity.mAccelerators.Value(),
             start.mJob.Value() +
               " can't be interrupted but is placed on capacity assigned to guarantees");
    }
  }
  for (const auto& it : aPlan.mReclaims) {
    const auto i = mIndex.at(it.mJob);
    expect(mTrace.mJobs[i].mPending.mIdempotent,
           it.mJob.Value() + " can't be interrupted but is reclaimed");
  }
}

void
TraceSimulation::SampleUsage()
{
  PlanContext context(mSnapshot, mState);
  context.mModel.ApplyAssignment({});
  UsageSample sample{ mSnapshot.mNow, 0, 0 };
  for (int i = 0; i < context.mModel.Workers(); ++i) {
    sample.mFree += context.mModel.Free(i)[ResourceVector::kAccelerators];
  }
  for (const auto& it : mSnapshot.mJobs) {
    const auto wanted = it.mResourcesPerTask.mAccelerators.Value() * it.mTasks;
    if (it.mTasks > 1 && wanted <= sample.mFree && !IsPlaceable(context, it)) {
      sample.mFragmented = sample.mFree;
      break;
    }
  }
  mResult.mUsage.push_back(sample);
}

bool
TraceSimulation::IsPlaceable(const PlanContext& aContext, const PendingJob& aJob) const
{
  const auto& model = aContext.mModel;
  const ResourceVector each(aJob.mResourcesPerTask);
  return std::ranges::any_of(model.GetTopology().Domains(aJob.mAdjacency),
                             [&](const auto& aWorkers) {
                               int left = aJob.mTasks;
                               for (const int it : aWorkers) {
                                 left -= model.Free(it).CountFitting(each, left);
                               }
                               return left <= 0;
                             });
}

} // namespace
} // namespace detail

RunResult
RunTrace(const ReplayTrace& aTrace, const Policy& aPolicy, bool aWithGuarantees)
{
  return detail::TraceSimulation(aTrace, aPolicy, aWithGuarantees).RunToEnd();
}

} // namespace lovagerock::placement::replay
