#include "scheduler/DecayedEstimate.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace lovagerock::scheduler {

DecayedEstimate::DecayedEstimate(double aMean, double aSpread, double aSamples,
                                 TimePoint aLastSample)
  : mMean(aMean)
  , mVariance(aSpread * aSpread)
  , mSamples(std::min(aSamples, kMaxSamples))
  , mLastSample(aLastSample)
{
}

void
DecayedEstimate::Add(double aSample, TimePoint aNow, double aWeight)
{
  mSamples = std::min(SamplesAt(aNow) + aWeight, std::max(kMaxSamples, aWeight));
  mLastSample = std::max(aNow, mLastSample);
  const double part = aWeight / mSamples;
  const double difference = aSample - mMean;
  mMean += part * difference;
  mVariance = (1 - part) * (mVariance + part * difference * difference);
}

double
DecayedEstimate::Spread() const
{
  return std::sqrt(mVariance);
}

double
DecayedEstimate::SamplesAt(TimePoint aNow) const
{
  using Seconds = std::chrono::duration<double>;
  const auto age = std::max(Seconds(aNow - mLastSample), Seconds(0));
  return mSamples * std::exp2(-age / Seconds(kHalfLife));
}

double
DecayedEstimate::Confidence(TimePoint aNow) const
{
  const double samples = SamplesAt(aNow);
  return samples / (samples + kNeutralSamples);
}

} // namespace lovagerock::scheduler
