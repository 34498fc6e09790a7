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

// Computes plans on a separate thread, because the plan of a large cluster would block the requests
// on the event loop. Computes at most one plan at a time.
class PlanThread
{
public:
  using Callback = std::function<void(placement::Plan, placement::PlannerState)>;

  explicit PlanThread(EventLoop& aLoop);
  ~PlanThread();
  PlanThread(const PlanThread&) = delete;
  PlanThread& operator=(const PlanThread&) = delete;

  // Computes a plan and calls aCallback on the event loop. Must not be called while IsBusy().
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
  // Accessed on the event loop's thread only.
  bool mBusy = false;
  // Tells callbacks that are queued on the event loop whether this object still exists.
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
  std::thread mThread;
};

} // namespace lovagerock::jobs
