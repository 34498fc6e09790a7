#pragma once

#include "base/Json.h"
#include "base/Random.h"
#include "base/SocketAddress.h"
#include "integration/HttpCaller.h"

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

namespace lovagerock::integration {

// Callers that submit what costs the nodes much, and cancel a part of it, while other things
// happen: jobs over the limits, jobs that never fit, jobs with the largest text, jobs whose
// repetitions are all due, tasks that need nothing. They go on when they are refused or cut off.
class HostileCallers
{
public:
  // The requests go to random nodes, below the prefix of a queue without API keys.
  HostileCallers(std::vector<SocketAddress> aNodes, std::string aPrefix, std::uint64_t aSeed);
  // Stops the callers.
  ~HostileCallers();
  HostileCallers(const HostileCallers&) = delete;
  HostileCallers& operator=(const HostileCallers&) = delete;

  // For the log of a test.
  std::string Describe() const;

private:
  void Run();
  http::ClientRequest NextRequest();
  Json NextJob();

  const std::vector<SocketAddress> mNodes;
  const std::string mPrefix;
  Random mRandom;
  std::uint64_t mNextJob = 0;
  std::atomic<bool> mIsStopped = false;
  std::atomic<int> mSent = 0;
  std::atomic<int> mAccepted = 0;
  // Last, so that it begins when all else is there.
  std::thread mThread;
};

} // namespace lovagerock::integration
