#pragma once

#include "base/Ids.h"
#include "base/LogEvent.h"
#include "base/LogRate.h"
#include "base/WallClock.h"
#include "control/Backlog.h"
#include "control/ControlSettings.h"
#include "control/EarlyCancellations.h"
#include "control/Keys.h"
#include "control/ParkedJobLoader.h"
#include "kv/PrefixStore.h"
#include "scheduler/JobRecord.h"
#include "scheduler/Scheduler.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace lovagerock::control {

// A job's state and client account as the leader knows them.
struct JobStatus
{
  scheduler::JobState mState = scheduler::JobState::Queued;
  AccountId mAccount;
};

// Gives the accepted jobs and their cancellations, as the store has them, to the scheduler of a
// leader. Jobs that don't fit into the memory for jobs are parked. Exists for one leadership.
template<kv::PrefixStore Store>
class AcceptedJobs
{
public:
  // aOnUpdate is called when a parked job was given to the scheduler.
  AcceptedJobs(Store& aStore, scheduler::Scheduler& aScheduler, const ControlSettings& aSettings,
               Bytes aMaxBacklog, std::function<void()> aOnUpdate)
    : mScheduler(aScheduler)
    , mSettings(aSettings)
    , mOnUpdate(std::move(aOnUpdate))
    , mBacklog(aMaxBacklog)
    , mParkedLoader(aStore, mBacklog, [this](const auto& aJob, const auto& aParked) {
      OnParkedLoaded(aJob, aParked);
    })
  {
  }

  // The stored progress of a job, to be told before the jobs are listed.
  void AddProgress(const JobId& aJob, std::string aText) { mProgress[aJob] = std::move(aText); }
  // The progress that the former leader may not have stored, to be told after what is stored.
  void AddHandedOver(const std::vector<scheduler::ProgressWrite>& aProgress)
  {
    for (const auto& it : aProgress) {
      mProgress[it.mJob] = it.mText;
      mHandedOverJobs.insert(it.mJob);
    }
  }
  // All progress is told. aNamesAllRuns is whether it names all runs that may be in progress.
  void OnProgressLoaded(bool aNamesAllRuns) { mNamesAllRuns = aNamesAllRuns; }

  // Items of a listing of the requests.
  void OnItems(const std::vector<kv::Item>& aItems)
  {
    for (const auto& it : aItems) {
      // Cancellation keys sort before job keys, but a job must be added before it can be cancelled.
      if (const auto cancelled = JobOfKey(kCancelPrefix, it.mKey)) {
        mListedCancels.push_back(*cancelled);
      } else if (const auto job = JobOfKey(kJobPrefix, it.mKey); job && !Knows(*job)) {
        OnJob(it.mKey, it.mValue);
      } else {
        OnEarlyCancellation(it.mKey, it.mValue);
      }
    }
    mListedSinceCount += aItems.size();
    if (!mIsLoaded && mListedSinceCount >= kListedBetweenCounts) {
      // Ended jobs, so that they take no room from the following ones.
      CountAnew();
    }
  }

  // The listing has ended.
  void OnListEnd()
  {
    if (!mIsLoaded) {
      CountAnew();
    }
    for (const auto& it : std::exchange(mListedCancels, {})) {
      Cancel(it);
    }
    mProgress.clear();
    mHandedOverJobs.clear();
    mIsLoaded = true;
  }

  // A request was written after the listing.
  void OnWritten(const std::string& aKey, const std::string& aValue)
  {
    if (const auto cancelled = JobOfKey(kCancelPrefix, aKey)) {
      Cancel(*cancelled);
    } else if (aKey.starts_with(kJobPrefix)) {
      OnJob(aKey, aValue);
    } else {
      OnEarlyCancellation(aKey, aValue);
    }
  }

  // Returns the job's state; nullopt if the job isn't known. An ended job is reported as in
  // progress until its end is stored: until then, only this leader and a worker that may leave know
  // of the end. Cancellations are stored before the leader learns of them.
  std::optional<JobStatus> State(const JobId& aJob) const
  {
    if (const auto* parked = mBacklog.FindParked(aJob)) {
      const auto state =
        parked->mIsCancelled ? scheduler::JobState::Cancelled : scheduler::JobState::Queued;
      return JobStatus{ state, parked->mGroup.mAccount };
    }
    const auto job = mScheduler.JobSummary(aJob);
    if (!job) {
      return std::nullopt;
    }
    JobStatus known{ job->mState, job->mAccount };
    if (job->mFinishedMs > 0 && known.mState != scheduler::JobState::Cancelled &&
        !mScheduler.IsStored(aJob)) {
      known.mState = scheduler::JobState::InProgress;
    }
    return known;
  }

  // The number of the queue's jobs of which no task has started.
  int CountPending(const std::string& aQueue) const
  {
    return mScheduler.PendingJobs(aQueue) + mBacklog.ParkedOf(aQueue);
  }

  // Counts the memory of the jobs now and then, and loads parked jobs that fit. To be called once
  // in kBacklogPeriod.
  void UpdateBacklog()
  {
    if (++mBacklogUpdates % kBacklogCounts == 0) {
      CountAnew();
    }
    mParkedLoader.LoadNext();
  }
  Backlog& GetBacklog() { return mBacklog; }
  const Backlog& GetBacklog() const { return mBacklog; }

  EarlyCancellations& GetEarlyCancellations() { return mEarlyCancellations; }
  const EarlyCancellations& GetEarlyCancellations() const { return mEarlyCancellations; }

private:
  static scheduler::CurrentTime Now()
  {
    return { std::chrono::steady_clock::now(), WallClockMs() };
  }

  static scheduler::JobGroup GroupOf(const scheduler::AcceptedJob& aJob)
  {
    return scheduler::JobGroup::Of(aJob.mAccount, aJob.mQueue, aJob.mPolicy);
  }

  bool Knows(const JobId& aJob) const
  {
    return mBacklog.FindParked(aJob) || mScheduler.KnowsJob(aJob);
  }

  void OnJob(const std::string& aKey, const std::string& aValue)
  {
    const bool isInherited = !mIsLoaded;
    const auto job = scheduler::ReadAcceptedJob(aValue);
    if (!job) {
      LogEvent("job_record_malformed", LogLevel::Error).With("key", aKey);
      return;
    }
    if (Knows(job->mId)) {
      return;
    }
    const auto age = WallClockMs() - job->mAcceptedMs;
    if (!isInherited && age > mSettings.mScheduler.mFinishedRetention.count()) {
      // The record was listed before it was deleted: every job of that age is either known, or has
      // ended and been deleted.
      LogEvent("job_record_outdated").With("job", job->mId).With("age_ms", age);
      return;
    }
    if (!ParkIfFull(*job, isInherited)) {
      AddJob(*job, isInherited);
      if (!isInherited) {
        LogEvent("job_received").With("job", job->mId).With("queue", job->mQueue);
      }
    }
    CancelIfEarly(job->mId, job->mAccount);
  }

  // Takes an early cancellation if the key is that of one. The job may have been stored since the
  // node that recorded it looked.
  void OnEarlyCancellation(const std::string& aKey, const std::string& aValue)
  {
    const auto job = mEarlyCancellations.OnRecord(aKey, aValue, WallClockMs());
    const auto known = job ? State(*job) : std::nullopt;
    if (known) {
      CancelIfEarly(*job, known->mAccount);
    }
  }

  // Cancels a known job if its account has cancelled it before it was stored.
  void CancelIfEarly(const JobId& aJob, const AccountId& aAccount)
  {
    if (!mEarlyCancellations.Covers(aJob, aAccount)) {
      return;
    }
    LogEvent("job_cancelled_early").With("job", aJob);
    if (mIsLoaded) {
      Cancel(aJob);
    } else {
      mListedCancels.push_back(aJob);
    }
  }

  void Cancel(const JobId& aJob)
  {
    if (!mBacklog.CancelParked(aJob)) {
      mScheduler.CancelJob(aJob, Now());
    }
  }

  void AddJob(const scheduler::AcceptedJob& aJob, bool aIsInherited)
  {
    const auto progress = mProgress.extract(aJob.mId);
    if (!mScheduler.AddJob(aJob, progress.empty() ? "" : progress.mapped(), aIsInherited, Now())) {
      LogEvent("job_progress_malformed", LogLevel::Error).With("job", aJob.mId);
    } else if (const auto* job = mScheduler.FindJob(aJob.mId)) {
      mBacklog.OnLoaded(GroupOf(aJob), job->MemoryUse());
    }
    if (mHandedOverJobs.contains(aJob.mId)) {
      mScheduler.MarkUnstored(aJob.mId);
    }
  }

  // Leaves the job in the store if it doesn't fit into the memory for jobs. A job with progress may
  // run, so it has to be loaded; so may any job that is inherited from leaders that ordered runs
  // before they recorded them.
  bool ParkIfFull(const scheduler::AcceptedJob& aJob, bool aIsInherited)
  {
    const auto group = GroupOf(aJob);
    const auto memory = scheduler::Job(aJob, TimePoint()).MemoryUse();
    const bool fits =
      mIsLoaded ? mBacklog.Fits(group, memory) : mBacklog.FitsAtTakeover(group, memory);
    const bool mayRun = mProgress.contains(aJob.mId) || (aIsInherited && !mNamesAllRuns);
    if (fits || mayRun) {
      return false;
    }
    if (mParkRate.Allows(std::chrono::steady_clock::now())) {
      LogEvent("job_parked", LogLevel::Warning)
        .With("job", aJob.mId)
        .With("used_bytes", mBacklog.Used())
        .With("limit_bytes", mBacklog.Limit())
        .With("omitted", mParkRate.TakeOmitted());
    }
    mBacklog.Park({ aJob.mId, group, aJob.mQueue, aIsInherited, false });
    return true;
  }

  void OnParkedLoaded(const scheduler::AcceptedJob& aJob, const ParkedJob& aParked)
  {
    AddJob(aJob, aParked.mIsInherited);
    if (aParked.mIsCancelled) {
      mScheduler.CancelJob(aJob.mId, Now());
    }
    mOnUpdate();
  }

  // Counts the memory of the jobs, of ended ones that of their summaries.
  void CountAnew()
  {
    mListedSinceCount = 0;
    mScheduler.SummarizeEndedJobs(Now());
    std::map<scheduler::JobGroup, Bytes> groups;
    mScheduler.VisitJobs([&groups](const scheduler::Job& aJob) {
      groups[GroupOf(aJob.Accepted())] += aJob.MemoryUse();
    });
    const auto ended = static_cast<std::int64_t>(mScheduler.SummarizedJobs());
    mBacklog.SetLoaded(std::move(groups), Bytes(ended * kEndedJobBytes.Value()));
  }

  scheduler::Scheduler& mScheduler;
  const ControlSettings& mSettings;
  std::function<void()> mOnUpdate;
  // Whether the first listing has ended. Jobs before that are inherited from former leaders.
  bool mIsLoaded = false;
  bool mNamesAllRuns = false;
  // The progress of jobs that aren't added yet, and the jobs whose progress came from the former
  // leader.
  std::map<JobId, std::string> mProgress;
  std::set<JobId> mHandedOverJobs;
  // Cancelled jobs of the listing that is being read.
  std::vector<JobId> mListedCancels;
  EarlyCancellations mEarlyCancellations;
  Backlog mBacklog;
  ParkedJobLoader<Store> mParkedLoader;
  int mBacklogUpdates = 0;
  // Items of the first listing since the memory of the jobs was counted.
  std::size_t mListedSinceCount = 0;
  LogRate mParkRate;
};

} // namespace lovagerock::control
