#pragma once

#include "placement/ClusterModel.h"

#include <optional>
#include <vector>

namespace lovagerock::placement {

struct QueuedJob;

// Predicts the run times of jobs for backfill and reservations. Guaranteed work is placed without
// it.
class RunTimeForecast
{
public:
  // When other jobs would wait for a job, its run time is taken as this quantile of the run times
  // of similar jobs of its account.
  static constexpr double kBackfillQuantile = 0.9;
  // Without a history, the declared run time is multiplied by this, because it is often far off:
  // backfill must be expected to end well before the reservation starts.
  static constexpr int kDeclaredTimeFactor = 3;
  // The remaining run time of a borrower whose caller declared no run time.
  static constexpr Duration kDefaultRemainingTime{ 900'000 };

  RunTimeForecast(const ClusterModel& aModel, const RunTimeHistory& aHistory, TimePoint aNow)
    : mModel(aModel)
    , mHistory(aHistory)
    , mNow(aNow)
  {
  }

  // Returns a cautious bound on the remaining run time of a waiting job, by the history of its
  // account, else by its declared run time; nullopt if neither is known.
  std::optional<Duration> RemainingTimeBound(const QueuedJob& aJob) const;
  // Returns when a borrower is expected to have ended, by its declared run time.
  TimePoint ExpectedEnd(int aBorrower) const;

private:
  TimePoint ComputeEnd(const Borrower& aBorrower) const;

  const ClusterModel& mModel;
  const RunTimeHistory& mHistory;
  TimePoint mNow;
  // A cache by borrower, because a plan asks for the same ones for each reservation that it tries.
  mutable std::vector<std::optional<TimePoint>> mExpectedEnds;
};

} // namespace lovagerock::placement
