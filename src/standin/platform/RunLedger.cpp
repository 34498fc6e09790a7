#include "standin/platform/RunLedger.h"

namespace lovagerock::standin {

void
RunLedger::OnStart(const std::string& aWorker, const std::string& aTask, int aRun)
{
  ++mStarts[aTask];
  const auto name = "run " + std::to_string(aRun) + " on " + aWorker;
  if (mRunning.contains(aTask)) {
    mViolations.push_back(aTask + " runs already, as " + name + " starts");
  }
  if (mAcknowledgedDone[aTask]) {
    mViolations.push_back(aTask + " was done before " + name);
  }
  mRunning[aTask] = { aWorker, aRun };
}

void
RunLedger::OnEnd(const std::string& aWorker, const std::string& aTask, int aRun, bool aIsDone)
{
  const auto it = mRunning.find(aTask);
  if (it != mRunning.end() && it->second == Run{ aWorker, aRun }) {
    mRunning.erase(it);
  }
  if (aIsDone && mAcknowledgedDone[aTask]) {
    mViolations.push_back(aTask + " was done twice");
  }
}

void
RunLedger::OnAcknowledged(const std::string& aTask, bool aIsDone)
{
  mAcknowledgedDone[aTask] = mAcknowledgedDone[aTask] || aIsDone;
}

std::map<std::string, std::string>
RunLedger::Running() const
{
  std::map<std::string, std::string> workers;
  for (const auto& [task, run] : mRunning) {
    workers[task] = run.mWorker;
  }
  return workers;
}

} // namespace lovagerock::standin
