#pragma once

#include "placement/PlanContext.h"

#include <optional>
#include <vector>

namespace lovagerock::placement {

// Keeps capacity for the large job that waits longest. There is one reservation at a time, so that
// at most one gang's capacity stands idle.
class ReservationPlanner
{
public:
  // After this time a reservation may also reclaim the borrowers that ran before it, if their
  // accounts have a higher share; otherwise it ends, and another job gets its turn.
  static constexpr Duration kLongestHold{ 900'000 };

  explicit ReservationPlanner(PlanContext& aContext)
    : mContext(aContext)
  {
  }

  // Keeps urgent work, which is placed before the reservation, off the reserved capacity.
  void KeepCapacity();
  // Starts the job, reclaims for it or keeps its capacity; ends a reservation that can't complete.
  // aJob is null if the job no longer waits.
  void Continue(QueuedJob* aJob);
  // Makes a reservation for the first of the jobs, longest waiting first, for which one can
  // complete. Returns that job.
  const QueuedJob* Make(const std::vector<QueuedJob*>& aJobs);

private:
  struct Option
  {
    Placement mPlacement;
    TimePoint mStart;
  };

  std::optional<Placement> PlacementNow() const;
  bool IsPossible(const GangNeed& aNeed, const Placement& aPlacement) const;
  ResourceVector Reachable(const GangNeed& aNeed, int aWorker) const;
  bool MayReclaim(const QueuedJob& aJob, const Borrower& aBorrower) const;
  void Hold(QueuedJob& aJob, const Placement& aPlacement);
  std::optional<Option> BestOption(const GangNeed& aNeed) const;
  std::optional<Option> OptionIn(const GangNeed& aNeed, const std::vector<int>& aWorkers) const;
  // When the borrowers of a worker have ended, by their estimates.
  TimePoint ReadyAt(int aWorker) const;

  PlanContext& mContext;
};

} // namespace lovagerock::placement
