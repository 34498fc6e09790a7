#include "load/JobLoad.h"

#include <chrono>
#include <utility>

namespace lovagerock::load {

JobLoad::JobLoad(Session& aSession, JobLoadOptions aOptions, std::function<void()> aDone)
  : mSession(aSession)
  , mOptions(std::move(aOptions))
  , mDone(std::move(aDone))
  , mClient(aSession)
{
}

void
JobLoad::Start()
{
  SubmitNext();
}

void
JobLoad::SubmitNext()
{
  do {
    auto plan = mOptions.mPlan;
    plan.mIntended = std::chrono::steady_clock::now();
    ++mSubmitted;
    mClient.Run(plan, [this](const std::string& aState, std::chrono::microseconds aTime) {
      mTimes[aState].Add(aTime);
      if (++mEnded == mOptions.mCount) {
        mDone();
      }
    });
  } while (mOptions.mInterval.count() == 0 && mSubmitted < mOptions.mCount);
  if (mSubmitted < mOptions.mCount) {
    mTimer = mSession.mLoop.After(mOptions.mInterval, [this] { SubmitNext(); });
  }
}

Json
JobLoad::StatesToJson() const
{
  auto json = Json::object();
  for (const auto& it : mTimes) {
    json[it.first] = it.second.ToJson();
  }
  return json;
}

} // namespace lovagerock::load
