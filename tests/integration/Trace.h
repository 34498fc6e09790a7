#pragma once

#include "base/Json.h"

#include <cstdint>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace lovagerock::integration {

// The starts and ends of tasks and requests at all workers, read from their trace files.
class Trace
{
public:
  explicit Trace(const std::vector<std::string>& aFiles);

  // How often each request was started, by request id.
  const std::map<std::string, int>& RequestStarts() const { return mRequestStarts; }
  // Number of starts of tasks of a job, over all attempts.
  int TaskStarts(const std::string& aJob) const;
  // Number of tasks of a job that ended with the outcome.
  int TaskEnds(const std::string& aJob, const std::string& aOutcome) const;
  // Ends the test if a request was started more than once.
  void RequireNoRequestTwice() const;
  // Number of jobs with a start.
  int JobCount() const;
  // Number of starts of requests at workers of which the id begins with the text.
  int RequestStartsAt(const std::string& aWorkerPrefix) const;
  // Ends the test if more tasks ran at once on a worker than it has accelerators, for tasks with
  // one accelerator each.
  void RequireWithinCapacity(int aAccelerators) const;
  // Ends the test unless all tasks of an attempt have ended before the next attempt starts, and
  // those of the last one too.
  void RequireAttemptsApart(const std::string& aJob) const;
  // The same, and the last attempt must have ended with all tasks finished.
  void RequireAttemptsInOrder(const std::string& aJob) const;
  // Ends the test if an attempt of any job started some of its tasks only, or a task twice.
  void RequireWholeGangs() const;
  // Ends the test if tasks of an attempt that started some of its tasks only ran beyond the time
  // after its first start, or if an attempt of any job started a task twice.
  void RequireNoPartBeyond(std::int64_t aMs) const;
  // Number of starts and of refused commands at workers that had said for longer than the time that
  // they leave.
  int CommandsAfterLeaving(std::int64_t aMs) const;
  // Number of workers that said that they leave.
  int LeavingWorkers() const { return static_cast<int>(mLeavingMs.size()); }
  // Number of attempts of a job with a start.
  int AttemptsStarted(const std::string& aJob) const;

private:
  struct Attempt
  {
    int mTasks = 0;
    std::vector<int> mStarted;
    int mEnded = 0;
    int mFinished = 0;
    std::int64_t mFirstStartMs = std::numeric_limits<std::int64_t>::max();
    std::int64_t mLastEndMs = 0;
  };

  void Add(const Json& aLine);
  static std::set<int> DistinctTasks(const std::string& aName, const Attempt& aAttempt);

  // By worker, when it said that it leaves, and when commands for new work came after that.
  std::map<std::string, std::int64_t> mLeavingMs;
  std::map<std::string, std::vector<std::int64_t>> mCommandsMs;
  std::map<std::string, int> mRequestStarts;
  std::map<std::pair<std::string, int>, Attempt> mAttempts;
  std::map<std::pair<std::string, std::string>, int> mEnds;
  std::map<std::string, int> mWorkerRequests;
  // By worker, the tasks that run at this line of its file, and the most that ran at once.
  std::map<std::string, int> mRunning;
  std::map<std::string, int> mMostRunning;
};

} // namespace lovagerock::integration
