#include "integration/HostileCallers.h"

#include <chrono>
#include <utility>

namespace lovagerock::integration {

namespace {

// Requests at a time, and the most requests of a run.
constexpr int kAtATime = 16;
constexpr int kMaxRequests = 100'000;
// A node that stands still holds a caller up for so long.
constexpr std::chrono::milliseconds kDeadline{ 1000 };

// The ids begin where those of ordinary jobs of a test don't.
std::string
JobName(std::uint64_t aNumber)
{
  const auto digits = std::to_string(aNumber);
  return "f" + std::string(15 - digits.size(), '0') + digits;
}

} // namespace

HostileCallers::HostileCallers(std::vector<SocketAddress> aNodes, std::string aPrefix,
                               std::uint64_t aSeed)
  : mNodes(std::move(aNodes))
  , mPrefix(std::move(aPrefix))
  , mRandom(aSeed)
  , mThread([this] { Run(); })
{
}

HostileCallers::~HostileCallers()
{
  mIsStopped = true;
  mThread.join();
}

std::string
HostileCallers::Describe() const
{
  return std::to_string(mSent) + " hostile requests, " + std::to_string(mAccepted) + " accepted";
}

Json
HostileCallers::NextJob()
{
  // No worker has the label.
  Json step{ { "count", 1 }, { "cpu", 100 }, { "requirements", "none" } };
  Json job{ { "spec", "50" } };
  switch (mRandom.Below(7)) {
    case 0:
      step["count"] = 4000;
      break;
    case 1:
      step["count"] = 1'000'000;
      break;
    case 2:
      step["count"] = 1000;
      step["gang"] = true;
      step["rack_local"] = true;
      break;
    case 3:
      job["repetitions"] = 1'000'000;
      job["first_run_ms"] = 1;
      job["interval_ms"] = 1;
      break;
    case 4:
      // These run.
      step = { { "count", 1 + mRandom.Below(20) } };
      break;
    default:
      job["spec"] = std::string(4000, 'x');
      break;
  }
  job["steps"] = Json::array({ step });
  return job;
}

http::ClientRequest
HostileCallers::NextRequest()
{
  http::ClientRequest request;
  request.mServer = mNodes.at(mRandom.Below(mNodes.size()));
  request.mDeadline = kDeadline;
  const bool isCancel = mNextJob > 0 && mRandom.Below(8) == 0;
  if (isCancel) {
    request.mMethod = http::Method::Delete;
    request.mTarget = mPrefix + JobName(mRandom.Below(mNextJob));
  } else {
    request.mMethod = http::Method::Post;
    request.mTarget = mPrefix + JobName(mNextJob++);
    request.mBody = DumpJson(NextJob());
  }
  return request;
}

void
HostileCallers::Run()
{
  HttpCaller caller;
  while (!mIsStopped && mSent < kMaxRequests) {
    std::vector<http::ClientRequest> requests;
    requests.reserve(kAtATime);
    for (int i = 0; i < kAtATime; ++i) {
      requests.push_back(NextRequest());
    }
    for (const auto& it : caller.CallAll(requests)) {
      mAccepted += it.Is(200) ? 1 : 0;
    }
    mSent += kAtATime;
  }
}

} // namespace lovagerock::integration
