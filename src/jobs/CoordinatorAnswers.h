#pragma once

// Collection of the answers of finished tasks in the JobCoordinator.

#include "jobs/JobCoordinator.h"

#include <algorithm>
#include <string>
#include <utility>

namespace lovagerock::jobs {

template<kv::KeyValueStore S, workers::WorkerApi A>
void
JobCoordinator<S, A>::CollectAnswers(ManagedJob& aJob, const GangStatus& aStatus)
{
  if (aJob.mCollecting) {
    return;
  }
  for (std::size_t i = 0; i < aStatus.mTasks.size(); ++i) {
    if (aStatus.mTasks[i] == TaskStatus::Finished && !aJob.mAnswers[i]) {
      aJob.mCollecting = true;
      FetchAnswer(aJob.mRecord, i);
      return;
    }
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
  End(aJob, JobState::Finished, Ran::Yes, "");
}

template<kv::KeyValueStore S, workers::WorkerApi A>
void
JobCoordinator<S, A>::FetchAnswer(const Record& aRecord, std::size_t aTask)
{
  mApi.FetchAnswer(aRecord.mPlacements[aTask].mAddress, TaskLease(aRecord, static_cast<int>(aTask)),
                   InTerm([this, aRecord, aTask](std::error_code aError, std::string aAnswer) {
                     if (aError) {
                       OnCollected(aRecord, aTask, aError, {});
                       return;
                     }
                     mAnswerStore.Write(aRecord.mJob, aRecord.mAttempt, static_cast<int>(aTask),
                                        std::move(aAnswer),
                                        InTerm([this, aRecord, aTask](std::error_code aError2,
                                                                      const AnswerInfo& aInfo) {
                                          OnCollected(aRecord, aTask, aError2, aInfo);
                                        }));
                   }));
}

template<kv::KeyValueStore S, workers::WorkerApi A>
void
JobCoordinator<S, A>::OnCollected(const Record& aRecord, std::size_t aTask, std::error_code aError,
                                  const AnswerInfo& aInfo)
{
  auto* job = Find(aRecord.mJob);
  if (!job || job->mRecord.mStartToken != aRecord.mStartToken) {
    return;
  }
  if (aError) {
    LogEvent("answer_not_stored", LogLevel::Warning)
      .With("job", aRecord.mJob)
      .With("task", aTask)
      .With("reason", aError.message());
    RetryLater([this, id = aRecord.mJob, token = aRecord.mStartToken] {
      if (auto* it = Find(id); it && it->mRecord.mStartToken == token) {
        it->mCollecting = false;
        CheckGang(*it);
      }
    });
    return;
  }
  job->mCollecting = false;
  job->mAnswers[aTask] = aInfo;
  CheckGang(*job);
}

} // namespace lovagerock::jobs
