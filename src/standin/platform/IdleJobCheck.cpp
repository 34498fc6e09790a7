#include "standin/platform/IdleJobCheck.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace lovagerock::standin {

namespace {

// After a longer time without a look, the stand-in itself had no processor, so it can't tell what
// could have run meanwhile.
constexpr Duration kLongestGap{ 1000 };

Duration
Since(TimePoint aFrom, TimePoint aTo)
{
  return std::chrono::duration_cast<Duration>(aTo - aFrom);
}

} // namespace

void
IdleJobCheck::OnAccepted(const std::string& aJob, std::vector<JobStep> aSteps, TimePoint aNow)
{
  Job job;
  job.mSteps = std::move(aSteps);
  job.mIdleSince = aNow;
  job.mAcceptedAt = aNow;
  mJobs.try_emplace(aJob, std::move(job));
}

void
IdleJobCheck::SetDisrupted(bool aIsDisrupted, TimePoint aNow)
{
  mIsDisrupted = aIsDisrupted;
  OnDisruption(aNow);
}

std::optional<std::size_t>
IdleJobCheck::FindIdleStep(const Job& aJob, const JobRuns& aRuns, const FreeRoom& aRoom)
{
  if (aRuns.mRunning > 0) {
    return std::nullopt;
  }
  const auto isDone = [&](std::size_t aStep) {
    const auto it = aRuns.mDone.find(aStep);
    return it != aRuns.mDone.end() && it->second >= aJob.mSteps.at(aStep).mTasks;
  };
  const auto hasRoom = [&aRoom](const JobStep& aStep) {
    const int tasks = aStep.mIsGang ? aStep.mTasks : 1;
    return aRoom.Fits(kRoomFactor * tasks, aStep.mDemand);
  };
  for (std::size_t i = 0; i < aJob.mSteps.size(); ++i) {
    const auto& step = aJob.mSteps.at(i);
    const auto& after = step.mAfter;
    if (!isDone(i) && std::all_of(after.begin(), after.end(), isDone) && hasRoom(step)) {
      return i;
    }
  }
  return std::nullopt;
}

void
IdleJobCheck::Look(const RunLedger& aLedger, const FreeRoom& aRoom, TimePoint aNow)
{
  if (mIsDisrupted) {
    mDisruptedAt = aNow;
  }
  const bool isComparable = Since(mLookedAt, aNow) <= kLongestGap;
  mLookedAt = aNow;
  for (auto& [name, job] : mJobs) {
    const auto step = isComparable ? FindIdleStep(job, aLedger.RunsOf(name), aRoom) : std::nullopt;
    if (!step) {
      job.mIdleSince = aNow;
      continue;
    }
    const auto idle = Since(std::max(job.mIdleSince, mDisruptedAt + kCalmTime), aNow);
    if (idle > job.mLongestIdle) {
      job.mLongestIdle = idle;
      job.mIdleStep = *step;
      job.mAge = Since(job.mAcceptedAt, aNow);
    }
  }
}

std::vector<std::string>
IdleJobCheck::Violations() const
{
  std::vector<std::string> violations;
  for (const auto& [name, job] : mJobs) {
    if (job.mLongestIdle > kIdleLimit) {
      violations.push_back(name + " had nothing running for " +
                           std::to_string(job.mLongestIdle.count()) + " ms of calm, until " +
                           std::to_string(job.mAge.count()) + " ms after it was accepted (" +
                           job.mSteps.at(job.mIdleStep).Describe() + ")");
    }
  }
  return violations;
}

} // namespace lovagerock::standin
