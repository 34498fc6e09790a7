#include "integration/Trace.h"

#include "integration/TestFailure.h"

#include <algorithm>
#include <fstream>
#include <iterator>

namespace lovagerock::integration {

Trace::Trace(const std::vector<std::string>& aFiles)
{
  for (const auto& it : aFiles) {
    std::ifstream file(it);
    std::string line;
    while (std::getline(file, line)) {
      // The last line may still be under way.
      if (const auto json = ParseJson(line)) {
        Add(*json);
      }
    }
  }
}

void
Trace::Add(const Json& aLine)
{
  const bool started = aLine.at("event") == "start";
  const auto worker = aLine.at("worker").get<std::string>();
  const auto time = aLine.at("time_ms").get<std::int64_t>();
  if (aLine.at("event") == "leaving") {
    mLeavingMs[worker] = time;
    return;
  }
  const bool refused = aLine.at("event") == "refused";
  if (refused || started) {
    mCommandsMs[worker].push_back(time);
  }
  if (refused) {
    return;
  }
  if (aLine.contains("request")) {
    mRequestStarts[aLine.at("request").get<std::string>()] += started ? 1 : 0;
    mWorkerRequests[worker] += started ? 1 : 0;
    return;
  }
  const auto job = aLine.at("job").get<std::string>();
  auto& attempt = mAttempts[{ job, aLine.at("attempt").get<int>() }];
  mRunning[worker] += started ? 1 : -1;
  mMostRunning[worker] = std::max(mMostRunning[worker], mRunning[worker]);
  if (!started) {
    ++attempt.mEnded;
    attempt.mFinished += aLine.at("outcome") == "finished" ? 1 : 0;
    attempt.mLastEndMs = std::max(attempt.mLastEndMs, time);
    ++mEnds[{ job, aLine.at("outcome").get<std::string>() }];
    return;
  }
  attempt.mFirstStartMs = std::min(attempt.mFirstStartMs, time);
  attempt.mTasks = aLine.at("tasks").get<int>();
  attempt.mStarted.push_back(aLine.at("task").get<int>());
}

int
Trace::TaskStarts(const std::string& aJob) const
{
  int n = 0;
  for (const auto& [key, attempt] : mAttempts) {
    n += key.first == aJob ? static_cast<int>(attempt.mStarted.size()) : 0;
  }
  return n;
}

int
Trace::TaskEnds(const std::string& aJob, const std::string& aOutcome) const
{
  const auto it = mEnds.find({ aJob, aOutcome });
  return it == mEnds.end() ? 0 : it->second;
}

int
Trace::JobCount() const
{
  std::set<std::string> jobs;
  for (const auto& it : mAttempts) {
    jobs.insert(it.first.first);
  }
  return static_cast<int>(jobs.size());
}

int
Trace::RequestStartsAt(const std::string& aWorkerPrefix) const
{
  int n = 0;
  for (const auto& [worker, starts] : mWorkerRequests) {
    n += worker.starts_with(aWorkerPrefix) ? starts : 0;
  }
  return n;
}

void
Trace::RequireWithinCapacity(int aAccelerators) const
{
  for (const auto& [worker, most] : mMostRunning) {
    Require(most <= aAccelerators, worker + " ran " + std::to_string(most) + " tasks at once");
  }
}

void
Trace::RequireAttemptsApart(const std::string& aJob) const
{
  const Attempt* previous = nullptr;
  for (const auto& [key, attempt] : mAttempts) {
    if (key.first != aJob) {
      continue;
    }
    const auto name = "job " + aJob + " attempt " + std::to_string(key.second);
    Require(attempt.mEnded == attempt.mTasks, name + " has tasks without an end");
    Require(!previous || previous->mLastEndMs <= attempt.mFirstStartMs,
            name + " started before the end of the attempt before");
    previous = &attempt;
  }
}

void
Trace::RequireAttemptsInOrder(const std::string& aJob) const
{
  RequireAttemptsApart(aJob);
  // Attempts are in the order of their numbers.
  const auto after = mAttempts.lower_bound({ aJob, std::numeric_limits<int>::max() });
  const auto last = after == mAttempts.begin() ? after : std::prev(after);
  Require(last != mAttempts.end() && last->first.first == aJob &&
            last->second.mFinished == last->second.mTasks,
          "the last attempt of job " + aJob + " didn't finish");
}

void
Trace::RequireNoRequestTwice() const
{
  for (const auto& [request, starts] : mRequestStarts) {
    Require(starts <= 1, "request " + request + " started " + std::to_string(starts) + " times");
  }
}

std::set<int>
Trace::DistinctTasks(const std::string& aName, const Attempt& aAttempt)
{
  std::set<int> tasks(aAttempt.mStarted.begin(), aAttempt.mStarted.end());
  Require(tasks.size() == aAttempt.mStarted.size(), aName + " started a task twice");
  return tasks;
}

void
Trace::RequireWholeGangs() const
{
  for (const auto& [key, attempt] : mAttempts) {
    const auto name = "job " + key.first + " attempt " + std::to_string(key.second);
    const auto tasks = DistinctTasks(name, attempt).size();
    Require(tasks == static_cast<std::size_t>(attempt.mTasks),
            name + " started " + std::to_string(tasks) + " of " + std::to_string(attempt.mTasks) +
              " tasks");
  }
}

void
Trace::RequireNoPartBeyond(std::int64_t aMs) const
{
  for (const auto& [key, attempt] : mAttempts) {
    const auto name = "job " + key.first + " attempt " + std::to_string(key.second);
    const auto tasks = static_cast<int>(DistinctTasks(name, attempt).size());
    const auto ran = attempt.mLastEndMs - attempt.mFirstStartMs;
    Require(tasks == attempt.mTasks || (attempt.mEnded == tasks && ran <= aMs),
            name + " ran " + std::to_string(tasks) + " of " + std::to_string(attempt.mTasks) +
              " tasks alone");
  }
}

int
Trace::CommandsAfterLeaving(std::int64_t aMs) const
{
  std::ptrdiff_t n = 0;
  for (const auto& [worker, left] : mLeavingMs) {
    const auto it = mCommandsMs.find(worker);
    if (it != mCommandsMs.end()) {
      n += std::count_if(it->second.begin(), it->second.end(),
                         [end = left + aMs](std::int64_t aTime) { return aTime > end; });
    }
  }
  return static_cast<int>(n);
}

int
Trace::AttemptsStarted(const std::string& aJob) const
{
  return static_cast<int>(
    std::count_if(mAttempts.begin(), mAttempts.end(), [&aJob](const auto& aEntry) {
      return aEntry.first.first == aJob && !aEntry.second.mStarted.empty();
    }));
}

} // namespace lovagerock::integration
