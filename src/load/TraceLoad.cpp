#include "load/TraceLoad.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace lovagerock::load {

TraceLoad::TraceLoad(Session& aSession, TraceLoadOptions aOptions, std::function<void()> aDone)
  : mSession(aSession)
  , mOptions(std::move(aOptions))
  , mDone(std::move(aDone))
  , mJobs(aSession)
  , mRequests(aSession)
{
}

void
TraceLoad::Start()
{
  mBegin = std::chrono::steady_clock::now();
  if (mOptions.mEntries.empty()) {
    mDone();
    return;
  }
  SendDue();
}

Duration
TraceLoad::ToRealTime(double aMinutes) const
{
  constexpr double kMsPerMinute = 60000;
  return Duration(static_cast<std::int64_t>(aMinutes * kMsPerMinute / mOptions.mSpeed));
}

void
TraceLoad::SendDue()
{
  const auto& entries = mOptions.mEntries;
  const auto now = std::chrono::steady_clock::now();
  while (mNext < entries.size() && mBegin + ToRealTime(entries[mNext].mMinute) <= now) {
    Send(entries[mNext++]);
  }
  if (mNext < entries.size()) {
    const auto wait = std::chrono::ceil<Duration>(mBegin + ToRealTime(entries[mNext].mMinute) -
                                                  std::chrono::steady_clock::now());
    mTimer = mSession.mLoop.After(std::max(wait, Duration(0)), [this] { SendDue(); });
  }
}

void
TraceLoad::Send(const TraceEntry& aEntry)
{
  const auto it = mOptions.mBearers.find(aEntry.mAccount);
  const auto bearer = it == mOptions.mBearers.end() ? std::string() : it->second;
  const auto intended = mBegin + ToRealTime(aEntry.mMinute);
  if (aEntry.mService.empty()) {
    SendJob(aEntry, bearer, intended);
  } else {
    SendRequest(aEntry, bearer, intended);
  }
}

void
TraceLoad::SendJob(const TraceEntry& aEntry, const std::string& aBearer, TimePoint aIntended)
{
  JobPlan plan;
  plan.mBearer = aBearer;
  plan.mTasks = aEntry.mTasks;
  plan.mAccelerators = aEntry.mAccelerators;
  plan.mAdjacency = aEntry.mAdjacency;
  plan.mUrgent = aEntry.mUrgent;
  plan.mIdempotent = mOptions.mIdempotent;
  plan.mRunTime = ToRealTime(aEntry.mRunMinutes);
  plan.mEstimate = ToRealTime(aEntry.mEstimateMinutes);
  plan.mLimit = mOptions.mLimit;
  plan.mIntended = aIntended;
  mJobs.Run(plan, [this, account = aEntry.mAccount](const std::string& aState,
                                                    std::chrono::microseconds aTime) {
    mTimes[account][aState].Add(aTime);
    OnEnd();
  });
}

void
TraceLoad::SendRequest(const TraceEntry& aEntry, const std::string& aBearer, TimePoint aIntended)
{
  RequestPlan plan;
  plan.mService = aEntry.mService;
  plan.mBearer = aBearer;
  plan.mIdempotent = mOptions.mIdempotent;
  plan.mRunTime = ToRealTime(aEntry.mRunMinutes);
  plan.mIntended = aIntended;
  mRequests.Send(plan, [this, account = aEntry.mAccount, aIntended](Outcome, auto) {
    mTimes[account]["request"].Add(std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::steady_clock::now() - aIntended));
    OnEnd();
  });
}

void
TraceLoad::OnEnd()
{
  if (++mEnded == mOptions.mEntries.size()) {
    mDone();
  }
}

Json
TraceLoad::AccountsToJson() const
{
  auto json = Json::object();
  for (const auto& [account, kinds] : mTimes) {
    for (const auto& it : kinds) {
      json[account][it.first] = it.second.ToJson();
    }
  }
  return json;
}

} // namespace lovagerock::load
