#include "integration/Trace.h"

#include "integration/TestFailure.h"

#include <fstream>

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
  if (aLine.contains("request")) {
    mRequestStarts[aLine.at("request").get<std::string>()] += started ? 1 : 0;
    return;
  }
  const auto job = aLine.at("job").get<std::string>();
  if (!started) {
    ++mEnds[{ job, aLine.at("outcome").get<std::string>() }];
    return;
  }
  auto& attempt = mAttempts[{ job, aLine.at("attempt").get<int>() }];
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

void
Trace::RequireNoRequestTwice() const
{
  for (const auto& [request, starts] : mRequestStarts) {
    Require(starts <= 1, "request " + request + " started " + std::to_string(starts) + " times");
  }
}

void
Trace::RequireWholeGangs() const
{
  for (const auto& [key, attempt] : mAttempts) {
    const std::set<int> tasks(attempt.mStarted.begin(), attempt.mStarted.end());
    const auto name = "job " + key.first + " attempt " + std::to_string(key.second);
    Require(tasks.size() == attempt.mStarted.size(), name + " started a task twice");
    Require(tasks.size() == static_cast<std::size_t>(attempt.mTasks),
            name + " started " + std::to_string(tasks.size()) + " of " +
              std::to_string(attempt.mTasks) + " tasks");
  }
}

} // namespace lovagerock::integration
