#include "routing/DeadlineWheel.h"

#include <utility>

namespace lovagerock::routing {

namespace detail {
namespace {

constexpr std::int64_t kTickMs = 10;

std::int64_t
ToMs(TimePoint aTime)
{
  return std::chrono::duration_cast<Duration>(aTime.time_since_epoch()).count();
}

} // namespace
} // namespace detail

DeadlineWheel::DeadlineWheel(EventLoop& aLoop, std::function<void(RequestNumber)> aWake)
  : mLoop(aLoop)
  , mWake(std::move(aWake))
{
}

void
DeadlineWheel::Add(TimePoint aTime, RequestNumber aRequest)
{
  mTicks[detail::ToMs(aTime) / detail::kTickMs + 1].push_back(aRequest);
  Arm();
}

void
DeadlineWheel::Arm()
{
  if (mTicks.empty()) {
    return;
  }
  const auto first = mTicks.begin()->first;
  if (mTimer.IsPending() && mArmedTick <= first) {
    return;
  }
  mArmedTick = first;
  const auto now = detail::ToMs(std::chrono::steady_clock::now());
  mTimer = mLoop.After(Duration(first * detail::kTickMs - now), [this] { Run(); });
}

void
DeadlineWheel::Run()
{
  const auto now = detail::ToMs(std::chrono::steady_clock::now()) / detail::kTickMs;
  while (!mTicks.empty() && mTicks.begin()->first <= now) {
    const auto due = mTicks.extract(mTicks.begin());
    for (const auto it : due.mapped()) {
      mWake(it);
    }
  }
  mArmedTick = 0;
  mTimer.Cancel();
  Arm();
}

} // namespace lovagerock::routing
