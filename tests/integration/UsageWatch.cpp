#include "integration/UsageWatch.h"

#include "integration/TestFailure.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <numeric>

namespace lovagerock::integration {

namespace {

constexpr std::chrono::milliseconds kPeriod{ 200 };

} // namespace

UsageWatch::UsageWatch(const EdgeSystem& aSystem)
  : mSystem(aSystem)
  , mThread([this] { Run(); })
{
}

UsageWatch::~UsageWatch()
{
  Stop();
}

void
UsageWatch::Run()
{
  HttpCaller caller;
  try {
    for (; !mIsStopped; std::this_thread::sleep_for(kPeriod)) {
      const auto usage = mSystem.Usage(caller);
      mUsed.push_back(100 * usage.at("accelerators_in_use").get<double>() /
                      usage.at("accelerators").get<double>());
    }
  } catch (const TestFailure& ex) {
    mFailure = ex.what();
  }
}

void
UsageWatch::Stop()
{
  mIsStopped = true;
  if (mThread.joinable()) {
    mThread.join();
  }
}

std::string
UsageWatch::Finish()
{
  Stop();
  Require(mFailure.empty(), mFailure);
  Require(!mUsed.empty(), "the use of workers was never measured");
  const auto [least, most] = std::minmax_element(mUsed.begin(), mUsed.end());
  const auto mean =
    std::accumulate(mUsed.begin(), mUsed.end(), 0.0) / static_cast<double>(mUsed.size());
  const auto percent = [](double aValue) { return std::to_string(std::lround(aValue)) + " %"; };
  return "accelerators in use: " + percent(*least) + " to " + percent(*most) + ", " +
         percent(mean) + " in the mean";
}

} // namespace lovagerock::integration
