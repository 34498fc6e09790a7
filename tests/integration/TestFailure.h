#pragma once

#include <chrono>
#include <functional>
#include <stdexcept>
#include <string>

namespace lovagerock::integration {

// Ends a test. It is an exception, unlike Criterion's assertions, so that the destructors of the
// started processes run.
class TestFailure : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

// Ends the test with the message unless the condition holds.
void
Require(bool aCondition, const std::string& aMessage);

// The limit of every wait. Generous, because the machine may be busy.
inline constexpr std::chrono::seconds kWaitLimit{ 60 };

// Waits until the condition holds, which is looked at once a period; ends the test after
// kWaitLimit.
void
AwaitTrue(const std::string& aWhat, const std::function<bool()>& aCondition,
          std::chrono::milliseconds aPeriod = std::chrono::milliseconds(50));

} // namespace lovagerock::integration
