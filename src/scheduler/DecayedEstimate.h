#pragma once

#include "base/Units.h"

namespace lovagerock::scheduler {

// A ratio that is learned from samples, such as the speed of a worker relative to others. Recent
// samples count most: the weight of all earlier ones is bounded, and halves in each half-life. With
// few samples, and with increasing age, the value returns to a neutral one.
class DecayedEstimate
{
public:
  // The value of which nothing is known.
  static constexpr double kNeutral = 1;
  // The samples count as at most this many, so that the estimate follows a change.
  static constexpr double kMaxSamples = 32;
  // The neutral value counts as this many samples. A single one doesn't tell much then, since the
  // tasks of a step differ.
  static constexpr double kNeutralSamples = 3;
  // A worker that is avoided because of its estimate is tried again after some of these.
  static constexpr Duration kHalfLife{ 120'000 };

  DecayedEstimate() = default;
  // An estimate that was learned earlier. aSamples is bounded by kMaxSamples.
  DecayedEstimate(double aMean, double aSpread, double aSamples, TimePoint aLastSample);

  // Adds a sample that counts as aWeight samples; more than 0.
  void Add(double aSample, TimePoint aNow, double aWeight = 1);

  double Mean() const { return mMean; }
  // The standard deviation.
  double Spread() const;
  // The weight of all samples at the time of the last one.
  double Samples() const { return mSamples; }
  TimePoint LastSample() const { return mLastSample; }

  // Returns how much the mean tells, from 0 for nothing to 1.
  double Confidence(TimePoint aNow) const;
  // Returns the mean, moved towards the neutral value by what the confidence lacks.
  double Value(TimePoint aNow, double aNeutral = kNeutral) const
  {
    return aNeutral + Confidence(aNow) * (mMean - aNeutral);
  }

private:
  // Returns the weight of all samples at the time.
  double SamplesAt(TimePoint aNow) const;

  double mMean = kNeutral;
  double mVariance = 0;
  double mSamples = 0;
  TimePoint mLastSample;
};

} // namespace lovagerock::scheduler
