#pragma once

#include "integration/EdgeSystem.h"

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

namespace lovagerock::integration {

// Callers that hand in jobs of 5 to 20 tasks all the time, each with a thread of its own. The
// destructor ends them.
class JobTraffic
{
public:
  JobTraffic(const EdgeSystem& aSystem, int aNodes, int aCallers, std::uint64_t aSeed);
  ~JobTraffic();
  JobTraffic(const JobTraffic&) = delete;
  JobTraffic& operator=(const JobTraffic&) = delete;

  // Ends the callers and gives the names of the jobs that were accepted.
  std::vector<std::string> Finish();

private:
  struct Caller
  {
    std::thread mThread;
    std::vector<std::string> mAccepted;
    std::string mFailure;
  };

  void Run(Caller& aCaller, int aNumber);
  void Stop();

  const EdgeSystem& mSystem;
  int mNodes;
  std::uint64_t mSeed;
  std::atomic<bool> mIsStopped = false;
  std::vector<Caller> mCallers;
};

} // namespace lovagerock::integration
