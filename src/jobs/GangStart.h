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

// How an attempt to start a gang ended.
enum class GangOutcome
{
  // All tasks run.
  Started,
  // Nothing was committed and all reservations were released; the gang may be tried again.
  NotReserved,
  // A worker is commanded by a newer planner. If the attempt was committed, that planner completes
  // the start.
  Fenced,
  // The record was changed by another node, or its version is unknown; it must be read again.
  NotCommitted,
  // Committed, but not all tasks confirmed their start; all were told to stop.
  StartFailed,
};

// The name used in logs.
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

// Time limits of a gang start.
struct GangTimes
{
  // A reservation lapses by itself after this time.
  Duration mReservationTtl{ 5000 };
  // A started task stops by itself after this time unless the start of the whole gang was
  // confirmed, which extends the lease to mRunningTtl.
  Duration mStartTtl{ 5000 };
  Duration mRunningTtl{ 60000 };
  // All starts must be confirmed within this time.
  Duration mStartLimit{ 2000 };
};

// Starts one gang whole or not at all: reserves every lease, commits the attempt in the job's
// record, then starts every lease. One object serves one attempt.
template<kv::KeyValueStore Store, workers::WorkerApi Api>
class GangStart : public std::enable_shared_from_this<GangStart<Store, Api>>
{
public:
  // Receives the outcome and the record as it stands; if NotReserved, also the workers that
  // refused or did not answer.
  using Callback = std::function<void(GangOutcome, JobRecord, std::vector<WorkerId>)>;

  // The record must have its placements and a fresh start token set, and its state Pending.
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
    mOpen = mRecord.mPlacements.size();
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
    request.mLease = TaskLease(mRecord, task);
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
    if (--mOpen > 0) {
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
    // From here on a task may run, and only its workers can tell.
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
    mOpen = mRecord.mPlacements.size();
    mLimit = mLoop.After(mTimes.mStartLimit, [weak = this->weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->OnStartFailed();
      }
    });
    for (std::size_t i = 0; i < mRecord.mPlacements.size(); ++i) {
      mApi.Start(mRecord.mPlacements[i].mAddress, TaskLease(mRecord, static_cast<int>(i)), mFence,
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
      // The newer planner finds the committed record and starts the rest. A stop from here would
      // end the tasks that run already; if nobody completes the start, their TTL ends them.
      Finish(GangOutcome::Fenced);
      return;
    }
    if (aError) {
      OnStartFailed();
      return;
    }
    if (--mOpen == 0) {
      Finish(GangOutcome::Started);
    }
  }

  void OnStartFailed()
  {
    if (mFinished) {
      return;
    }
    for (std::size_t i = 0; i < mRecord.mPlacements.size(); ++i) {
      mApi.Stop(mRecord.mPlacements[i].mAddress, TaskLease(mRecord, static_cast<int>(i)), mFence,
                Duration(0), false, [](std::error_code) {});
    }
    Finish(GangOutcome::StartFailed);
  }

  void ReleaseAll()
  {
    for (std::size_t i = 0; i < mRecord.mPlacements.size(); ++i) {
      mApi.Release(mRecord.mPlacements[i].mAddress, TaskLease(mRecord, static_cast<int>(i)), mFence,
                   [](std::error_code) {});
    }
  }

  void Finish(GangOutcome aOutcome)
  {
    mFinished = true;
    mLimit.Cancel();
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
  Timer mLimit;
  std::size_t mOpen = 0;
  std::vector<WorkerId> mRefused;
  bool mFenced = false;
  bool mFinished = false;
};

} // namespace lovagerock::jobs
