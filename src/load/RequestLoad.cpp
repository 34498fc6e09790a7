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
}

void
RequestLoad::Start()
{
  mBegin = std::chrono::steady_clock::now();
  if (mOptions.mRate > 0) {
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
  return (mOptions.mCount == 0 || mSent < mOptions.mCount) &&
         (mOptions.mTime.count() == 0 || aWhen < mBegin + mOptions.mTime);
}

TimePoint
RequestLoad::NextDue() const
{
  const std::chrono::duration<double> offset(static_cast<double>(mSent) / mOptions.mRate);
  return mBegin + std::chrono::duration_cast<std::chrono::nanoseconds>(offset);
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
  mSender.Send(plan, [this] { OnAnswer(); });
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
RequestLoad::OnAnswer()
{
  --mOpen;
  const auto now = std::chrono::steady_clock::now();
  if (mOptions.mRate <= 0 && IsDue(now)) {
    SendOne(now);
  }
  EndIfDone();
}

void
RequestLoad::EndIfDone()
{
  const bool more = mOptions.mRate > 0 && IsDue(NextDue());
  if (mOpen == 0 && !more && !mEnded) {
    mEnded = true;
    mDone();
  }
}

} // namespace lovagerock::load
