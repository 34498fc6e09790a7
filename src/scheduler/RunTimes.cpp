#include "scheduler/RunTimes.h"

#include <algorithm>
#include <chrono>

namespace lovagerock::scheduler {

namespace {

// Ratios beyond these come from estimates that mean something else than the run time.
constexpr double kMinRatio = 0.05;
constexpr double kMaxRatio = 20;
// At this relative spread the mean ratio gets half the weight: the more the ratios differ, the less
// their mean says of a single estimate.
constexpr double kHalfTrustedSpread = 0.5;

} // namespace

void
RunTimes::OnDone(const std::string& aQueue, const AccountId& aAccount, Duration aEstimate,
                 Duration aRan, double aSpeed, double aPart, TimePoint aNow)
{
  if (aEstimate <= Duration(0) || aRan <= Duration(0) || aPart <= 0) {
    return;
  }
  const std::chrono::duration<double> ran = aRan * aSpeed;
  const double ratio = std::clamp(ran / aEstimate, kMinRatio, kMaxRatio);
  Add({ aQueue, AccountId() }, ratio, aPart, aNow);
  if (!aAccount.IsEmpty()) {
    Add({ aQueue, aAccount }, ratio, aPart, aNow);
  }
}

void
RunTimes::Add(const Key& aKey, double aRatio, double aPart, TimePoint aNow)
{
  if (mRatios.size() >= kMaxEstimates && !mRatios.contains(aKey)) {
    const auto oldest =
      std::min_element(mRatios.begin(), mRatios.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second.LastSample() < aRight.second.LastSample();
      });
    mRatios.erase(oldest);
  }
  mRatios[aKey].Add(aRatio, aNow, aPart);
}

RunTimeRatio
RunTimes::Ratio(const std::string& aQueue, const AccountId& aAccount, TimePoint aNow) const
{
  RunTimeRatio ratio;
  Refine({ aQueue, AccountId() }, aNow, ratio);
  if (!aAccount.IsEmpty()) {
    Refine({ aQueue, aAccount }, aNow, ratio);
  }
  return ratio;
}

void
RunTimes::Refine(const Key& aKey, TimePoint aNow, RunTimeRatio& aRatio) const
{
  const auto it = mRatios.find(aKey);
  if (it == mRatios.end()) {
    return;
  }
  const auto& learned = it->second;
  const double confidence = learned.Confidence(aNow);
  const double spread = learned.Spread() / (kHalfTrustedSpread * learned.Mean());
  const double weight = confidence / (1 + spread * spread);
  // The margin moves from the queue's to this estimate's spread by the confidence.
  const double margin = aRatio.mCautious - aRatio.mExpected;
  aRatio.mExpected += weight * (learned.Mean() - aRatio.mExpected);
  aRatio.mCautious = aRatio.mExpected + margin + confidence * (learned.Spread() - margin);
}

} // namespace lovagerock::scheduler
