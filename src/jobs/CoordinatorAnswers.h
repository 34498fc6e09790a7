#pragma once

// JobCoordinator: collection of the answers of finished tasks.

#include "jobs/JobCoordinator.h"

#include <algorithm>
#include <string>
#include <utility>

namespace lovagerock::jobs {

template<kv::KeyValueStore S, workers::WorkerApi A>
void
JobCoordinator<S, A>::CollectAnswers(ManagedJob& aJob, const GangStatus& aStatus)
{
  // Done even while a collection is in progress, because that may last as long as an outage of the
  // store and would make the run time too long.
  RecordFinishTime(aJob, aStatus);
  if (aJob.mCollecting) {
    return;
  }
  const auto batch = std::make_shared<AnswerBatch>();
  for (std::size_t i = 0; i < aStatus.mTasks.size(); ++i) {
    if (aStatus.mTasks[i] == TaskStatus::Finished && !aJob.mAnswers[i] &&
        batch->mTasks.size() < kv::kMaxOperations) {
      batch->mTasks.push_back(static_cast<int>(i));
    }
  }
  if (!batch->mTasks.empty()) {
    aJob.mCollecting = true;
    batch->mRecord = aJob.mRecord;
    FetchAnswers(batch);
    return;
  }
  const bool complete = std::all_of(aJob.mAnswers.begin(), aJob.mAnswers.end(),
                                    [](const auto& aAnswer) { return aAnswer.has_value(); });
  if (!complete || aJob.mAnswers.empty()) {
    return;
  }
  aJob.mRecord.mAnswers.clear();
  for (const auto& it : aJob.mAnswers) {
    aJob.mRecord.mAnswers.push_back(*it);
  }
  for (const auto& it : aJob.mRecord.mPlacements) {
    mSuccesses.push_back(it.mWorker);
  }
  LearnRunTime(aJob);
  End(aJob, JobState::Finished, Ran::Yes, "");
}

template<kv::KeyValueStore S, workers::WorkerApi A>
void
JobCoordinator<S, A>::RecordFinishTime(ManagedJob& aJob, const GangStatus& aStatus)
{
  const bool finished = std::all_of(aStatus.mTasks.begin(), aStatus.mTasks.end(),
                                    [](TaskStatus aTask) { return aTask == TaskStatus::Finished; });
  if (finished && !aJob.mFinishedAt) {
    aJob.mFinishedAt = Now();
  }
}

// Ignores later attempts, which resume from a checkpoint and would give too short a run time.
template<kv::KeyValueStore S, workers::WorkerApi A>
void
JobCoordinator<S, A>::LearnRunTime(const ManagedJob& aJob)
{
  const auto& record = aJob.mRecord;
  if (!aJob.mStartedHere || record.mAttempt != 1 || !aJob.mFinishedAt) {
    return;
  }
  const auto size = placement::ResourceVector(record.mSpec.mPerTask) * record.mSpec.mTasks;
  const auto ran = std::chrono::duration_cast<Duration>(*aJob.mFinishedAt - aJob.mStartedAt);
  mRunTimes.push_back({ record.mAccount, size.Size(), { record.mSpec.mEstimate, ran } });
  ++mLearned;
}

template<kv::KeyValueStore S, workers::WorkerApi A>
void
JobCoordinator<S, A>::FetchAnswers(const AnswerBatchPtr& aBatch)
{
  const auto n = aBatch->mAnswers.size();
  if (n == aBatch->mTasks.size() ||
      aBatch->mBytes >= static_cast<std::size_t>(kMaxAnswerBatch.Value())) {
    StoreAnswers(aBatch, {});
    return;
  }
  const int task = aBatch->mTasks[n];
  mApi.FetchAnswer(aBatch->mRecord.mPlacements[static_cast<std::size_t>(task)].mAddress,
                   TaskLeaseId(aBatch->mRecord, task),
                   InTerm([this, aBatch, task](std::error_code aError, std::string aAnswer) {
                     if (aError) {
                       StoreAnswers(aBatch, aError);
                       return;
                     }
                     aBatch->mBytes += aAnswer.size();
                     aBatch->mAnswers.push_back({ task, std::move(aAnswer) });
                     FetchAnswers(aBatch);
                   }));
}

template<kv::KeyValueStore S, workers::WorkerApi A>
void
JobCoordinator<S, A>::StoreAnswers(const AnswerBatchPtr& aBatch, std::error_code aFetchError)
{
  if (aBatch->mAnswers.empty()) {
    OnCollected(*aBatch, aFetchError, {});
    return;
  }
  mAnswerStore.Write(aBatch->mRecord.mJob, aBatch->mRecord.mAttempt, std::move(aBatch->mAnswers),
                     InTerm([this, aBatch, aFetchError](std::error_code aError,
                                                        const std::vector<AnswerInfo>& aInfos) {
                       OnCollected(*aBatch, aError ? aError : aFetchError, aInfos);
                     }));
}

template<kv::KeyValueStore S, workers::WorkerApi A>
void
JobCoordinator<S, A>::OnCollected(const AnswerBatch& aBatch, std::error_code aError,
                                  const std::vector<AnswerInfo>& aInfos)
{
  auto* job = Find(aBatch.mRecord.mJob);
  if (!job || job->mRecord.mStartToken != aBatch.mRecord.mStartToken) {
    return;
  }
  for (std::size_t i = 0; i < aInfos.size(); ++i) {
    job->mAnswers[static_cast<std::size_t>(aBatch.mTasks[i])] = aInfos[i];
  }
  if (aError) {
    LogEvent("answer_not_stored", LogLevel::Warning)
      .With("job", aBatch.mRecord.mJob)
      .With("task", aBatch.mTasks[aInfos.size()])
      .With("reason", aError.message());
    RetryLater([this, id = aBatch.mRecord.mJob, token = aBatch.mRecord.mStartToken] {
      if (auto* it = Find(id); it && it->mRecord.mStartToken == token) {
        it->mCollecting = false;
        CheckGang(*it);
      }
    });
    return;
  }
  mRetries.OnSuccess();
  job->mCollecting = false;
  CheckGang(*job);
}

} // namespace lovagerock::jobs
