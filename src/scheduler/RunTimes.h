#pragma once

#include "base/Ids.h"
#include "scheduler/DecayedEstimate.h"

#include <map>
#include <string>
#include <utility>

namespace lovagerock::scheduler {

// How long work takes in relation to its caller's estimate, on a worker of the mean speed.
struct RunTimeRatio
{
  double mExpected = DecayedEstimate::kNeutral;
  // The expected ratio plus its spread, which is exceeded less often.
  double mCautious = DecayedEstimate::kNeutral;
};

// Learns the ratio of run times to the callers' estimates, by queue and account. Of an account of
// which little is known, the ratio of its queue is expected.
class RunTimes
{
public:
  // Work of the queue and account has taken aRan on a worker of the relative speed aSpeed, although
  // aEstimate was estimated. aPart is the part of a step that it was: a step counts as one sample,
  // since its tasks share one estimate.
  void OnDone(const std::string& aQueue, const AccountId& aAccount, Duration aEstimate,
              Duration aRan, double aSpeed, double aPart, TimePoint aNow);
  RunTimeRatio Ratio(const std::string& aQueue, const AccountId& aAccount, TimePoint aNow) const;
  // Returns the number of ratios.
  std::size_t Count() const { return mRatios.size(); }

  // Bounds the memory. Enough for the queues of a deployment with some tens of accounts each.
  static constexpr std::size_t kMaxEstimates = 512;

private:
  // A queue, and an account or none for all of them together.
  using Key = std::pair<std::string, AccountId>;

  void Add(const Key& aKey, double aRatio, double aPart, TimePoint aNow);
  // Moves the ratio by what is known under the key.
  void Refine(const Key& aKey, TimePoint aNow, RunTimeRatio& aRatio) const;

  std::map<Key, DecayedEstimate> mRatios;
};

} // namespace lovagerock::scheduler
