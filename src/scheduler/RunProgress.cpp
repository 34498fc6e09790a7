#include "scheduler/RunProgress.h"

#include <algorithm>
#include <chrono>

namespace lovagerock::scheduler {

namespace {

// The pace is known once a run has advanced by this many percent, since progress is reported in
// whole percents.
constexpr int kMinAdvance = 10;

} // namespace

void
RunProgress::OnReport(int aPercent, TimePoint aNow)
{
  mLast = { std::clamp(aPercent, 0, 100), aNow };
  // A run may have to wait before it begins to work, as the members of a gang do.
  const bool hasNotBegun = mLast.mPercent == 0;
  if (!mFirst || hasNotBegun) {
    mFirst = mLast;
  }
}

std::optional<Duration>
RunProgress::RemainingAtPace(TimePoint aNow, Duration aMaxSilence) const
{
  const auto whole = TimeAtPace();
  if (!whole || aNow - mLast.mAt > aMaxSilence) {
    return std::nullopt;
  }
  return Remaining(*whole, mFirst->mAt, aNow);
}

std::optional<TimePoint>
RunProgress::IdleUntil() const
{
  return mFirst && mFirst->mPercent == 0 ? std::optional(mFirst->mAt) : std::nullopt;
}

std::optional<Duration>
RunProgress::TimeAtPace() const
{
  const int advance = mFirst ? mLast.mPercent - mFirst->mPercent : 0;
  if (advance < kMinAdvance) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<Duration>(mLast.mAt - mFirst->mAt) * 100 / advance;
}

Duration
RunProgress::Remaining(Duration aEstimate, TimePoint aStarted, TimePoint aNow) const
{
  const auto whole = TimeAtPace().value_or(aEstimate);
  const auto lastKnown = mFirst ? mLast.mAt : aStarted;
  const auto since = std::chrono::duration_cast<Duration>(aNow - lastKnown);
  return std::max(Duration(0), whole * (100 - mLast.mPercent) / 100 - since);
}

} // namespace lovagerock::scheduler
