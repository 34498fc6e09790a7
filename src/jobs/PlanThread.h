#pragma once

#include "base/EventLoop.h"
#include "placement/Plan.h"
#include "placement/Planner.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>

namespace lovagerock::jobs {

// Computes plans on a thread of its own, because a plan of a large cluster would hold up the
// requests on the loop. At most one plan is in progress.
class PlanThread
{
public:
  using Callback = std::function<void(placement::Plan, placement::PlannerState)>;

  explicit PlanThread(EventLoop& aLoop);
  ~PlanThread();
  PlanThread(const PlanThread&) = delete;
  PlanThread& operator=(const PlanThread&) = delete;

  // Computes a plan and calls back on the loop. Must not be called while a plan is in progress.
  void
  Compute(placement::ClusterSnapshot aSnapshot, placement::PlannerState aState, Callback aCallback);
  bool IsBusy() const { return mBusy; }

private:
  struct Work
  {
    placement::ClusterSnapshot mSnapshot;
    placement::PlannerState mState;
    Callback mCallback;
  };

  void Run();

  EventLoop& mLoop;
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::optional<Work> mWork;
  bool mStopping = false;
  // Used on the loop only.
  bool mBusy = false;
  // Tells callbacks on their way to the loop whether the object still exists.
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
  std::thread mThread;
};

} // namespace lovagerock::jobs
