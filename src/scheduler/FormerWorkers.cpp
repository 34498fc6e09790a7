#include "scheduler/FormerWorkers.h"

#include "base/LogEvent.h"

#include <utility>

namespace lovagerock::scheduler {

void
FormerWorkers::Add(const WorkerId& aWorker, const FormerWorker& aFormer)
{
  Take(aWorker);
  mOrder[++mLastNumber] = aWorker;
  mWorkers[aWorker] = { aFormer, mLastNumber };
  if (mWorkers.size() <= mMost) {
    return;
  }
  const auto first = mOrder.begin();
  mWorkers.erase(first->second);
  mOrder.erase(first);
  if (!std::exchange(mIsAnyForgotten, true)) {
    LogEvent("former_workers_forgotten", LogLevel::Warning).With("limit", mMost);
  }
}

std::optional<FormerWorker>
FormerWorkers::Take(const WorkerId& aWorker)
{
  const auto it = mWorkers.find(aWorker);
  if (it == mWorkers.end()) {
    return mIsAnyForgotten ? std::optional(FormerWorker()) : std::nullopt;
  }
  const auto former = it->second.mFormer;
  mOrder.erase(it->second.mNumber);
  mWorkers.erase(it);
  return former;
}

} // namespace lovagerock::scheduler
