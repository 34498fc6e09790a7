#pragma once

#include "base/Random.h"
#include "integration/EdgeSystem.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace lovagerock::integration {

// A job to hand in. Each of its tasks takes the same time.
struct TrafficJob
{
  Json mSteps;
  std::chrono::milliseconds mTaskTime{ 0 };
};

struct AcceptedJob
{
  std::string mName;
  Json mSteps;
};

// Draws the jobs of a caller and the pauses after them. Several callers use the functions at a
// time, each with its own generator.
struct JobSource
{
  std::function<TrafficJob(Random&)> mDraw;
  std::function<std::chrono::milliseconds(Random&)> mDrawPause;
};

// Jobs of 5 to 20 small tasks.
JobSource
SmallJobs();

// Callers that hand in jobs all the time, each with a thread of its own. The destructor ends them.
class JobTraffic
{
public:
  JobTraffic(const EdgeSystem& aSystem, int aNodes, int aCallers, std::uint64_t aSeed,
             JobSource aSource = SmallJobs());
  ~JobTraffic();
  JobTraffic(const JobTraffic&) = delete;
  JobTraffic& operator=(const JobTraffic&) = delete;

  // Ends the callers and gives the jobs that were accepted.
  std::vector<AcceptedJob> Finish();

private:
  struct Caller
  {
    std::thread mThread;
    std::vector<AcceptedJob> mAccepted;
    std::string mFailure;
  };

  void Run(Caller& aCaller, int aNumber);
  // Waits for the time, or until the callers are to end.
  void Pause(std::chrono::milliseconds aTime);
  void Stop();

  const EdgeSystem& mSystem;
  int mNodes;
  std::uint64_t mSeed;
  JobSource mSource;
  std::atomic<bool> mIsStopped = false;
  std::mutex mMutex;
  std::condition_variable mStopped;
  std::vector<Caller> mCallers;
};

} // namespace lovagerock::integration
