#pragma once

#include <map>
#include <string>
#include <vector>

namespace lovagerock::standin {

// Checks, over all workers, that no task has two runs at a time and that none starts after a run of
// it has ended as done and the end was acknowledged.
class RunLedger
{
public:
  void OnStart(const std::string& aWorker, const std::string& aTask, int aRun);
  void OnEnd(const std::string& aWorker, const std::string& aTask, int aRun, bool aIsDone);
  // A scheduler has let the worker forget the end.
  void OnAcknowledged(const std::string& aTask, bool aIsDone);

  // How often each task was started.
  const std::map<std::string, int>& AllStarts() const { return mStarts; }
  // The worker of each task that runs.
  std::map<std::string, std::string> Running() const;
  // One text for each broken promise.
  const std::vector<std::string>& Violations() const { return mViolations; }

private:
  struct Run
  {
    std::string mWorker;
    int mNumber = 0;

    bool operator==(const Run&) const = default;
  };

  std::map<std::string, int> mStarts;
  std::map<std::string, Run> mRunning;
  std::map<std::string, bool> mAcknowledgedDone;
  std::vector<std::string> mViolations;
};

} // namespace lovagerock::standin
