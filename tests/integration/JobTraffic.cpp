#include "integration/JobTraffic.h"

#include "integration/TestFailure.h"

#include <array>
#include <utility>

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

TrafficJob
DrawSmallJob(Random& aRandom)
{
  constexpr std::array kTaskCounts{ 5, 13, 20 };
  constexpr std::array kTaskTimes{ milliseconds(600), milliseconds(1000), milliseconds(1600) };
  const auto time = kTaskTimes.at(aRandom.Below(kTaskTimes.size()));
  return { Steps(kTaskCounts.at(aRandom.Below(kTaskCounts.size())), time), time };
}

} // namespace

JobSource
SmallJobs()
{
  return { DrawSmallJob, [](Random& aRandom) { return aRandom.Jitter(kLongestPause); } };
}

JobTraffic::JobTraffic(const EdgeSystem& aSystem, int aNodes, int aCallers, std::uint64_t aSeed,
                       JobSource aSource)
  : mSystem(aSystem)
  , mNodes(aNodes)
  , mSeed(aSeed)
  , mSource(std::move(aSource))
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
  Random random(mSeed * kSeedsPerRun + static_cast<std::uint64_t>(aNumber));
  HttpCaller http;
  for (int job = 0; !mIsStopped; ++job) {
    const auto drawn = mSource.mDraw(random);
    const auto name = JobName(aNumber, job);
    try {
      for (int i = 0; i < kAttempts && !mIsStopped; ++i) {
        const auto node = static_cast<int>(random.Below(static_cast<std::uint64_t>(mNodes)));
        if (mSystem.SubmitChecked(http, node, name, drawn.mSteps, drawn.mTaskTime)) {
          aCaller.mAccepted.push_back({ name, drawn.mSteps });
          break;
        }
        Pause(kRetryPause);
      }
    } catch (const TestFailure& ex) {
      aCaller.mFailure = ex.what();
      return;
    }
    Pause(mSource.mDrawPause(random));
  }
}

void
JobTraffic::Pause(milliseconds aTime)
{
  std::unique_lock lock(mMutex);
  mStopped.wait_for(lock, aTime, [this] { return mIsStopped.load(); });
}

void
JobTraffic::Stop()
{
  {
    const std::lock_guard lock(mMutex);
    mIsStopped = true;
  }
  mStopped.notify_all();
  for (auto& it : mCallers) {
    if (it.mThread.joinable()) {
      it.mThread.join();
    }
  }
}

std::vector<AcceptedJob>
JobTraffic::Finish()
{
  Stop();
  std::vector<AcceptedJob> accepted;
  for (const auto& it : mCallers) {
    Require(it.mFailure.empty(), it.mFailure);
    accepted.insert(accepted.end(), it.mAccepted.begin(), it.mAccepted.end());
  }
  return accepted;
}

} // namespace lovagerock::integration
