#pragma once

#include "base/EventLoop.h"
#include "base/LogEvent.h"
#include "jobs/JobRecord.h"
#include "jobs/JobStore.h"
#include "workers/WorkerApi.h"
#include "workers/WorkerError.h"

#include <functional>
#include <memory>
#include <string>
#include <system_error>
#include <utility>
#include <vector>

namespace lovagerock::jobs {

// The outcome of an attempt to start a gang.
enum class GangOutcome
{
  // All workers confirmed the start of their tasks.
  Started,
  // Nothing was committed and all reservations were released; the start may be retried.
  NotReserved,
  // A worker rejected the fence because it has seen a newer planner's. If the attempt was
  // committed, that planner completes the start.
  Fenced,
  // Another node changed the record, or the outcome of the write is unknown; the caller must read
  // the record again.
  NotCommitted,
  // Committed, but not all tasks confirmed their start; all were told to stop.
  StartFailed,
};

// Returns the name used in logs.
constexpr const char*
GangOutcomeName(GangOutcome aOutcome)
{
  switch (aOutcome) {
    case GangOutcome::Started:
      return "started";
    case GangOutcome::NotReserved:
      return "not_reserved";
    case GangOutcome::Fenced:
      return "fenced";
    case GangOutcome::NotCommitted:
      return "not_committed";
    case GangOutcome::StartFailed:
      return "start_failed";
  }
  return "not_reserved";
}

// Time limits of a gang's start and of its leases.
struct GangTimes
{
  // A reservation that is not started expires after this time.
  Duration mReservationTtl{ 5000 };
  // The lease of a started task expires after this time, unless all tasks of the gang were
  // confirmed as started: then its lease is renewed for mRunningTtl.
  Duration mStartTtl{ 5000 };
  Duration mRunningTtl{ 60000 };
  // All workers must confirm the start within this time.
  Duration mStartTimeout{ 2000 };
};

// Starts all tasks of a gang or none: reserves every lease, commits the attempt in the job's
// record, then starts every lease. One object serves one attempt.
template<kv::KeyValueStore Store, workers::WorkerApi Api>
class GangStart : public std::enable_shared_from_this<GangStart<Store, Api>>
{
public:
  // Receives the outcome, the record as this start left it, and the workers that refused the
  // reservation or did not answer.
  using Callback = std::function<void(GangOutcome, JobRecord, std::vector<WorkerId>)>;

  // The record must be Pending and have its placements and a new start token set.
  GangStart(EventLoop& aLoop, Api& aApi, JobStore<Store>& aJobs, JobRecord aRecord,
            workers::Fence aFence, const GangTimes& aTimes, Callback aCallback)
    : mLoop(aLoop)
    , mApi(aApi)
    , mJobs(aJobs)
    , mRecord(std::move(aRecord))
    , mFence(std::move(aFence))
    , mTimes(aTimes)
    , mCallback(std::move(aCallback))
  {
  }

  void Run()
  {
    ++mRecord.mAttempt;
    mPendingCalls = mRecord.mPlacements.size();
    for (std::size_t i = 0; i < mRecord.mPlacements.size(); ++i) {
      mApi.Reserve(
        mRecord.mPlacements[i].mAddress, MakeRequest(i),
        [self = this->shared_from_this(), i](std::error_code aError, const workers::LeaseState&) {
          self->OnReserved(i, aError);
        });
    }
  }

private:
  workers::LeaseRequest MakeRequest(std::size_t aTask) const
  {
    const auto task = static_cast<int>(aTask);
    workers::LeaseRequest request;
    request.mLease = TaskLeaseId(mRecord, task);
    request.mFence = mFence;
    request.mTtl = mTimes.mReservationTtl;
    request.mKind = workers::LeaseKind::Job;
    request.mResources = mRecord.mSpec.mPerTask;
    request.mReclaimable = !mRecord.mPlacements[aTask].mGuaranteed && mRecord.mSpec.mIdempotent;
    request.mIdempotent = mRecord.mSpec.mIdempotent;
    request.mAccount = mRecord.mAccount;
    request.mJob = mRecord.mJob;
    request.mTask = task;
    request.mTasks = mRecord.mSpec.mTasks;
    request.mAttempt = mRecord.mAttempt;
    if (aTask < mRecord.mCheckpoints.size()) {
      request.mCheckpoint = mRecord.mCheckpoints[aTask];
    }
    request.mPayload = mRecord.mSpec.PayloadOf(task);
    return request;
  }

  void OnReserved(std::size_t aTask, std::error_code aError)
  {
    if (aError) {
      mRefused.push_back(mRecord.mPlacements[aTask].mWorker);
      mFenced = mFenced || aError == make_error_code(workers::WorkerError::Fenced);
      LogEvent("gang_reserve_failed", LogLevel::Warning)
        .With("job", mRecord.mJob)
        .With("attempt", mRecord.mAttempt)
        .With("task", aTask)
        .With("worker", mRecord.mPlacements[aTask].mWorker)
        .With("reason", aError.message());
    }
    if (--mPendingCalls > 0) {
      return;
    }
    if (!mRefused.empty()) {
      ReleaseAll();
      Finish(mFenced ? GangOutcome::Fenced : GangOutcome::NotReserved);
      return;
    }
    Commit();
  }

  void Commit()
  {
    mRecord.mState = JobState::Started;
    // Once this is committed tasks may run, and only the workers know whether they do.
    mRecord.mRan = Ran::Partly;
    mJobs.Update(mRecord,
                 [self = this->shared_from_this()](std::error_code aError, JobRecord aWritten) {
                   self->OnCommitted(aError, std::move(aWritten));
                 });
  }

  void OnCommitted(std::error_code aError, JobRecord aWritten)
  {
    if (aError) {
      LogEvent("gang_commit_failed", LogLevel::Warning)
        .With("job", mRecord.mJob)
        .With("attempt", mRecord.mAttempt)
        .With("reason", aError.message());
      ReleaseAll();
      Finish(GangOutcome::NotCommitted);
      return;
    }
    mRecord = std::move(aWritten);
    mPendingCalls = mRecord.mPlacements.size();
    mStartTimer = mLoop.After(mTimes.mStartTimeout, [weak = this->weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->OnStartFailed();
      }
    });
    for (std::size_t i = 0; i < mRecord.mPlacements.size(); ++i) {
      mApi.Start(mRecord.mPlacements[i].mAddress, TaskLeaseId(mRecord, static_cast<int>(i)), mFence,
                 mTimes.mStartTtl, [self = this->shared_from_this()](std::error_code aStartError) {
                   self->OnStarted(aStartError);
                 });
    }
  }

  void OnStarted(std::error_code aError)
  {
    if (mFinished) {
      return;
    }
    if (aError == make_error_code(workers::WorkerError::Fenced)) {
      // The newer planner finds the committed record and starts the remaining tasks. Stopping the
      // gang here would end tasks that run already. If no planner completes the start, their leases
      // expire.
      Finish(GangOutcome::Fenced);
      return;
    }
    if (aError) {
      OnStartFailed();
      return;
    }
    if (--mPendingCalls == 0) {
      Finish(GangOutcome::Started);
    }
  }

  void OnStartFailed()
  {
    if (mFinished) {
      return;
    }
    for (std::size_t i = 0; i < mRecord.mPlacements.size(); ++i) {
      mApi.Stop(mRecord.mPlacements[i].mAddress, TaskLeaseId(mRecord, static_cast<int>(i)), mFence,
                Duration(0), false, [](std::error_code) {});
    }
    Finish(GangOutcome::StartFailed);
  }

  void ReleaseAll()
  {
    for (std::size_t i = 0; i < mRecord.mPlacements.size(); ++i) {
      mApi.Release(mRecord.mPlacements[i].mAddress, TaskLeaseId(mRecord, static_cast<int>(i)),
                   mFence, [](std::error_code) {});
    }
  }

  void Finish(GangOutcome aOutcome)
  {
    mFinished = true;
    mStartTimer.Cancel();
    LogEvent("gang_start")
      .With("job", mRecord.mJob)
      .With("attempt", mRecord.mAttempt)
      .With("tasks", mRecord.mPlacements.size())
      .With("outcome", GangOutcomeName(aOutcome));
    const auto callback = std::exchange(mCallback, nullptr);
    callback(aOutcome, mRecord, mRefused);
  }

  EventLoop& mLoop;
  Api& mApi;
  JobStore<Store>& mJobs;
  JobRecord mRecord;
  workers::Fence mFence;
  GangTimes mTimes;
  Callback mCallback;
  Timer mStartTimer;
  std::size_t mPendingCalls = 0;
  std::vector<WorkerId> mRefused;
  bool mFenced = false;
  bool mFinished = false;
};

} // namespace lovagerock::jobs
