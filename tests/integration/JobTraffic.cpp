#include "integration/JobTraffic.h"

#include "base/Random.h"
#include "integration/TestFailure.h"

#include <array>
#include <chrono>

namespace lovagerock::integration {

namespace {

using std::chrono::milliseconds;

// A job is handed in again, at any node, until it is accepted or this often.
constexpr int kAttempts = 8;
constexpr milliseconds kRetryPause{ 400 };
constexpr milliseconds kLongestPause{ 600 };
constexpr std::uint64_t kSeedsPerRun = 100;

// The caller's number and the job's, in hexadecimal.
std::string
JobName(int aCaller, int aJob)
{
  constexpr int kDigits = 8;
  const auto hex = [](int aNumber) {
    std::string digits(kDigits, '0');
    for (auto it = digits.rbegin(); it != digits.rend(); ++it, aNumber /= 16) {
      *it = "0123456789abcdef"[aNumber % 16];
    }
    return digits;
  };
  return hex(aCaller + 1) + hex(aJob);
}

Json
Steps(int aTasks, milliseconds aTime)
{
  return Json::array({ { { "count", aTasks },
                         { "cpu", 100 },
                         { "mem_mb", 100 },
                         { "gpu", 1 },
                         { "estimate_ms", aTime.count() } } });
}

} // namespace

JobTraffic::JobTraffic(const EdgeSystem& aSystem, int aNodes, int aCallers, std::uint64_t aSeed)
  : mSystem(aSystem)
  , mNodes(aNodes)
  , mSeed(aSeed)
  , mCallers(static_cast<std::size_t>(aCallers))
{
  for (int i = 0; i < aCallers; ++i) {
    auto& caller = mCallers[static_cast<std::size_t>(i)];
    caller.mThread = std::thread([this, &caller, i] { Run(caller, i); });
  }
}

JobTraffic::~JobTraffic()
{
  Stop();
}

void
JobTraffic::Run(Caller& aCaller, int aNumber)
{
  constexpr std::array kTaskCounts{ 5, 13, 20 };
  constexpr std::array kTaskTimes{ milliseconds(600), milliseconds(1000), milliseconds(1600) };
  Random random(mSeed * kSeedsPerRun + static_cast<std::uint64_t>(aNumber));
  HttpCaller http;
  for (int job = 0; !mIsStopped; ++job) {
    const auto time = kTaskTimes.at(random.Below(kTaskTimes.size()));
    const auto steps = Steps(kTaskCounts.at(random.Below(kTaskCounts.size())), time);
    const auto name = JobName(aNumber, job);
    try {
      for (int i = 0; i < kAttempts && !mIsStopped; ++i) {
        const auto node = static_cast<int>(random.Below(static_cast<std::uint64_t>(mNodes)));
        if (mSystem.SubmitChecked(http, node, name, steps, time)) {
          aCaller.mAccepted.push_back(name);
          break;
        }
        std::this_thread::sleep_for(kRetryPause);
      }
    } catch (const TestFailure& ex) {
      aCaller.mFailure = ex.what();
      return;
    }
    std::this_thread::sleep_for(random.Jitter(kLongestPause));
  }
}

void
JobTraffic::Stop()
{
  mIsStopped = true;
  for (auto& it : mCallers) {
    if (it.mThread.joinable()) {
      it.mThread.join();
    }
  }
}

std::vector<std::string>
JobTraffic::Finish()
{
  Stop();
  std::vector<std::string> accepted;
  for (const auto& it : mCallers) {
    Require(it.mFailure.empty(), it.mFailure);
    accepted.insert(accepted.end(), it.mAccepted.begin(), it.mAccepted.end());
  }
  return accepted;
}

} // namespace lovagerock::integration
