#pragma once

#include "integration/EdgeSystem.h"

#include <atomic>
#include <string>
#include <thread>
#include <vector>

namespace lovagerock::integration {

// Measures the part of all accelerators that is in use, on a thread of its own.
class UsageWatch
{
public:
  explicit UsageWatch(const EdgeSystem& aSystem);
  ~UsageWatch();
  UsageWatch(const UsageWatch&) = delete;
  UsageWatch& operator=(const UsageWatch&) = delete;

  // Ends the measurement and gives its lowest, mean and highest value in a line of text.
  std::string Finish();

private:
  void Run();
  void Stop();

  const EdgeSystem& mSystem;
  std::atomic<bool> mIsStopped = false;
  // In percent.
  std::vector<double> mUsed;
  std::string mFailure;
  std::thread mThread;
};

} // namespace lovagerock::integration
