#include "routing/RunTimeEstimator.h"

#include <cmath>

namespace lovagerock::routing {

namespace detail {
namespace {

// Weights of a new sample in the moving averages. The deviation adapts twice as fast as the mean,
// as in TCP's round-trip time estimate.
constexpr double kMeanWeight = 1.0 / 16;
constexpr double kDeviationWeight = 1.0 / 8;
constexpr double kTypicalDeviations = 2;

void
UpdateAverage(double& aMean, double aSample)
{
  aMean = aMean < 0 ? aSample : aMean + detail::kMeanWeight * (aSample - aMean);
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
RunTimeEstimator::RecordEnd(std::chrono::microseconds aTime)
{
  --mOpenAttempts;
  detail::UpdateAverage(mMeanHoldTimeUs, static_cast<double>(aTime.count()));
}

void
RunTimeEstimator::RecordRunTime(std::chrono::microseconds aTime)
{
  const auto sample = static_cast<double>(aTime.count());
  if (mMeanRunTimeUs >= 0) {
    mDeviationUs += detail::kDeviationWeight * (std::abs(sample - mMeanRunTimeUs) - mDeviationUs);
  }
  detail::UpdateAverage(mMeanRunTimeUs, sample);
}

void
RunTimeEstimator::RecordDeadlineExceeded(std::chrono::microseconds aTime)
{
  if (static_cast<double>(aTime.count()) > mMeanRunTimeUs) {
    RecordRunTime(aTime);
  }
}

std::optional<std::chrono::microseconds>
RunTimeEstimator::EstimateWait(double aAhead) const
{
  if (mOpenAttempts <= 0 || mMeanHoldTimeUs < 0) {
    return std::nullopt;
  }
  return detail::ToTime((aAhead + 1) * mMeanHoldTimeUs / mOpenAttempts);
}

std::chrono::microseconds
RunTimeEstimator::MeanRunTime() const
{
  return detail::ToTime(mMeanRunTimeUs);
}

std::chrono::microseconds
RunTimeEstimator::TypicalRunTime() const
{
  return detail::ToTime(mMeanRunTimeUs + detail::kTypicalDeviations * mDeviationUs);
}

} // namespace lovagerock::routing
