#include "scheduler/WorkerCondition.h"

#include <algorithm>

namespace lovagerock::scheduler {

namespace {

// The weight of a new sample in the moving average of the speed.
constexpr double kSampleWeight = 0.6;
// A worker counts as slow below this relative speed.
constexpr double kSlowSpeed = 0.5;
// The speed of a step's runs is typical after this many samples.
constexpr int kTypicalSamples = 3;
// The weight of the newest sample is 1 / this number once there are as many.
constexpr int kMaxSamples = 16;

} // namespace

std::optional<double>
TypicalSpeed::Relate(double aSpeed)
{
  const double mean = mMean;
  const bool isTypical = mSamples >= kTypicalSamples && mean > 0;
  mSamples = std::min(mSamples + 1, kMaxSamples);
  mMean += (aSpeed - mMean) / mSamples;
  return isTypical ? std::optional(aSpeed / mean) : std::nullopt;
}

void
WorkerCondition::OnDone()
{
  mConsecutiveFailures = 0;
  mLastFailedJob = JobId();
  mSuspectUntil = TimePoint();
}

bool
WorkerCondition::OnFailed(const JobId& aJob, TimePoint aNow, const SchedulerSettings& aSettings)
{
  mLastFailure = aNow;
  mSuspectUntil = aNow + aSettings.mDoubtTime;
  if (mLastFailedJob == aJob) {
    return false;
  }
  mLastFailedJob = aJob;
  return ++mConsecutiveFailures >= aSettings.mFailingThreshold;
}

bool
WorkerCondition::OnSpeed(double aSpeed, TimePoint aNow, const SchedulerSettings& aSettings)
{
  const bool wasSlow = IsSlow(aNow);
  mSpeed += kSampleWeight * (aSpeed - mSpeed);
  mSlowUntil = mSpeed < kSlowSpeed ? aNow + aSettings.mDoubtTime : TimePoint();
  return IsSlow(aNow) && !wasSlow;
}

} // namespace lovagerock::scheduler
