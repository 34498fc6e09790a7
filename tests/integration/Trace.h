#pragma once

#include "base/Json.h"

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
  // Ends the test if an attempt of any job started some of its tasks only, or a task twice.
  void RequireWholeGangs() const;

private:
  struct Attempt
  {
    int mTasks = 0;
    std::vector<int> mStarted;
  };

  void Add(const Json& aLine);

  std::map<std::string, int> mRequestStarts;
  std::map<std::pair<std::string, int>, Attempt> mAttempts;
  std::map<std::pair<std::string, std::string>, int> mEnds;
};

} // namespace lovagerock::integration
