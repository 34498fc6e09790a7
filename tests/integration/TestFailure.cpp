#include "integration/TestFailure.h"

#include <thread>

namespace lovagerock::integration {

void
Require(bool aCondition, const std::string& aMessage)
{
  if (!aCondition) {
    throw TestFailure(aMessage);
  }
}

void
AwaitTrue(const std::string& aWhat, const std::function<bool()>& aCondition,
          std::chrono::milliseconds aPeriod)
{
  const auto end = std::chrono::steady_clock::now() + kWaitLimit;
  while (!aCondition()) {
    Require(std::chrono::steady_clock::now() < end, "gave up waiting: " + aWhat);
    std::this_thread::sleep_for(aPeriod);
  }
}

} // namespace lovagerock::integration
