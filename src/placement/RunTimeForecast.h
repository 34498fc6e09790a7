#pragma once

#include "placement/ClusterModel.h"

#include <optional>
#include <vector>

namespace lovagerock::placement {

struct QueuedJob;

// What a plan expects of the run times of jobs. Guaranteed work never depends on it.
class RunTimeForecast
{
public:
  // A job is expected to run no longer than this part of the like jobs of its account when others
  // would wait for it.
  static constexpr double kCautious = 0.9;
  // Declared run times are often far off, so without a history backfill must be expected to end
  // well before the reservation.
  static constexpr int kDistrust = 3;
  // How long a borrower is expected to run on if nothing is known of it.
  static constexpr Duration kUnknown{ 900'000 };

  RunTimeForecast(const ClusterModel& aModel, const RunTimeHistory& aHistory, TimePoint aNow)
    : mModel(aModel)
    , mHistory(aHistory)
    , mNow(aNow)
  {
  }

  // A cautious bound on what a waiting job still has to run, by the history of its account, else by
  // what its caller declared; nothing if neither is known.
  std::optional<Duration> LongestRun(const QueuedJob& aJob) const;
  // When a borrower is expected to have ended, by what its caller declared.
  TimePoint EndOf(int aBorrower) const;

private:
  TimePoint ComputeEnd(const Borrower& aBorrower) const;

  const ClusterModel& mModel;
  const RunTimeHistory& mHistory;
  TimePoint mNow;
  // By borrower. A plan asks for the same borrowers for each reservation that it tries.
  mutable std::vector<std::optional<TimePoint>> mEnds;
};

} // namespace lovagerock::placement
