#include "load/RequestLoad.h"

#include <chrono>
#include <utility>

namespace lovagerock::load {

namespace detail {
namespace {

// Timers have a resolution of 1 ms; shorter waits poll the clock, or they would show as latency.
constexpr Duration kTimerResolution{ 2 };

} // namespace
} // namespace detail

RequestLoad::RequestLoad(Session& aSession, RequestLoadOptions aOptions,
                         std::function<void()> aDone)
  : mSession(aSession)
  , mOptions(std::move(aOptions))
  , mDone(std::move(aDone))
  , mSender(aSession)
{
  if (mOptions.mInterval.count() > 0) {
    mSeries.emplace(mOptions.mInterval);
  }
}

Json
RequestLoad::SeriesToJson() const
{
  return mSeries ? mSeries->ToJson() : Json();
}

void
RequestLoad::Start()
{
  mBegin = std::chrono::steady_clock::now();
  if (mOptions.mSchedule) {
    SendDue();
    return;
  }
  for (int i = 0; i < mOptions.mConnections && IsDue(mBegin); ++i) {
    SendOne(mBegin);
  }
  EndIfDone();
}

bool
RequestLoad::IsDue(TimePoint aWhen) const
{
  return aWhen != TimePoint::max() && (mOptions.mCount == 0 || mSent < mOptions.mCount) &&
         (mOptions.mTime.count() == 0 || aWhen < mBegin + mOptions.mTime);
}

TimePoint
RequestLoad::NextDue() const
{
  const auto offset = mOptions.mSchedule->DueAt(mSent);
  return offset ? mBegin + *offset : TimePoint::max();
}

void
RequestLoad::SendOne(TimePoint aIntended)
{
  ++mSent;
  ++mOpen;
  auto plan = mOptions.mPlan;
  plan.mIntended = aIntended;
  plan.mIdempotent =
    mSession.mRandom.Below(100) >= static_cast<std::uint64_t>(mOptions.mNonIdempotentPercent);
  mSender.Send(plan, [this, aIntended](Outcome aOutcome, std::chrono::microseconds aLatency) {
    OnAnswer(aIntended, aOutcome, aLatency);
  });
}

void
RequestLoad::SendDue()
{
  const auto now = std::chrono::steady_clock::now();
  while (mOpen < mOptions.mConnections && NextDue() <= now && IsDue(NextDue())) {
    SendOne(NextDue());
  }
  if (IsDue(NextDue())) {
    Schedule();
  } else {
    EndIfDone();
  }
}

void
RequestLoad::Schedule()
{
  const auto wait = NextDue() - std::chrono::steady_clock::now();
  if (wait > detail::kTimerResolution) {
    mTimer = mSession.mLoop.After(Duration(1), [this] { SendDue(); });
  } else {
    mSession.mLoop.Post([this] { SendDue(); });
  }
}

void
RequestLoad::OnAnswer(TimePoint aIntended, Outcome aOutcome, std::chrono::microseconds aLatency)
{
  --mOpen;
  if (mSeries) {
    mSeries->Add(std::chrono::duration_cast<std::chrono::microseconds>(aIntended - mBegin),
                 aOutcome, aLatency, mSession.mOptions.mDeadline);
  }
  const auto now = std::chrono::steady_clock::now();
  if (!mOptions.mSchedule && IsDue(now)) {
    SendOne(now);
  }
  EndIfDone();
}

void
RequestLoad::EndIfDone()
{
  const bool more = mOptions.mSchedule && IsDue(NextDue());
  if (mOpen == 0 && !more && !mEnded) {
    mEnded = true;
    mDone();
  }
}

} // namespace lovagerock::load
