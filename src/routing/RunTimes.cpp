#include "routing/RunTimes.h"

#include <cmath>

namespace lovagerock::routing {

namespace detail {
namespace {

// Weights of a new sample. The deviation moves twice as fast, as in TCP's estimate of round trips.
constexpr double kWeight = 1.0 / 16;
constexpr double kDeviationWeight = 1.0 / 8;
constexpr double kDeviations = 2;

void
Average(double& aMean, double aSample)
{
  aMean = aMean < 0 ? aSample : aMean + detail::kWeight * (aSample - aMean);
}

std::chrono::microseconds
ToTime(double aMicroseconds)
{
  return std::chrono::microseconds(aMicroseconds > 0 ? static_cast<std::int64_t>(aMicroseconds)
                                                     : 0);
}

} // namespace
} // namespace detail

void
RunTimes::OnEnd(std::chrono::microseconds aTime)
{
  --mOpen;
  detail::Average(mHeld, static_cast<double>(aTime.count()));
}

void
RunTimes::OnAnswered(std::chrono::microseconds aTime)
{
  const auto sample = static_cast<double>(aTime.count());
  if (mRun >= 0) {
    mDeviation += detail::kDeviationWeight * (std::abs(sample - mRun) - mDeviation);
  }
  detail::Average(mRun, sample);
}

void
RunTimes::OnCutOff(std::chrono::microseconds aTime)
{
  if (static_cast<double>(aTime.count()) > mRun) {
    OnAnswered(aTime);
  }
}

std::optional<std::chrono::microseconds>
RunTimes::Wait(double aAhead) const
{
  if (mOpen <= 0 || mHeld < 0) {
    return std::nullopt;
  }
  return detail::ToTime((aAhead + 1) * mHeld / mOpen);
}

std::chrono::microseconds
RunTimes::Mean() const
{
  return detail::ToTime(mRun);
}

std::chrono::microseconds
RunTimes::Typical() const
{
  return detail::ToTime(mRun + detail::kDeviations * mDeviation);
}

} // namespace lovagerock::routing
