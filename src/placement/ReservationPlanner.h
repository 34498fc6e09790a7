#pragma once

#include "placement/PlanContext.h"

#include <functional>
#include <optional>
#include <vector>

namespace lovagerock::placement {

// Keeps capacity for the large jobs that wait longest. A reservation takes capacity only behind the
// earlier ones.
class ReservationPlanner
{
public:
  // A reservation that gains no capacity for this long may also reclaim the borrowers that ran
  // before it, if their accounts have a higher share; otherwise it ends, and another job gets its
  // turn. It may do so earlier once it has kept more accelerator time idle than the reclaim loses.
  static constexpr Duration kLongestHold{ 900'000 };
  // The second large job needs room before the first one has started; more than this many would
  // keep too much of the cluster idle.
  static constexpr std::size_t kMostReservations = 2;

  explicit ReservationPlanner(PlanContext& aContext)
    : mContext(aContext)
  {
  }

  // Keeps urgent work, which is placed before the reservation, off the reserved capacity.
  void KeepCapacity();
  // Size times waiting time, so that many jobs of half a worker don't keep a gang from its turn and
  // each job's turn comes.
  static double Priority(int aSize, TimePoint aSubmitted, TimePoint aNow);

  // Finds a waiting job; null if it no longer waits.
  using FindJob = std::function<QueuedJob*(const JobId&)>;

  // Starts the jobs, reclaims for them or keeps their capacity; ends reservations that can't
  // complete.
  void Continue(const FindJob& aFindJob);
  // Makes reservations for the jobs, by falling priority, for which one can complete. They take the
  // place of those with a lower priority.
  void Make(const std::vector<QueuedJob*>& aJobs);

private:
  struct Option
  {
    Placement mPlacement;
    TimePoint mStart;
    // Tasks that wait for the end of a job that is not smaller and so isn't reclaimed.
    int mBlocked = 0;
    // Tasks that have no room now.
    int mMissing = 0;
  };

  std::optional<Placement> PlacementOf(const Reservation& aReservation) const;
  // Whether the reservation goes on.
  double PriorityOf(const Reservation& aReservation) const;
  void DropBelow(double aPriority);
  void HoldAll(const Reservation& aReservation);
  bool ContinueOne(QueuedJob* aJob, Reservation& aReservation);
  void
  RecordProgress(Reservation& aReservation, const GangNeed& aNeed, const Placement& aPlacement);
  int FreeTasks(const GangNeed& aNeed, const Placement& aPlacement) const;
  bool ReclaimFor(QueuedJob& aJob, Reservation& aReservation, const Placement& aPlacement);
  bool IsPossible(const GangNeed& aNeed, const Placement& aPlacement) const;
  ResourceVector Reachable(const GangNeed& aNeed, int aWorker) const;
  bool MayReclaim(const QueuedJob& aJob, const Reservation& aReservation,
                  const Borrower& aBorrower) const;
  // Whether the other account keeps at least the share that the job's account then has, so that
  // two accounts can't displace each other in turn.
  bool StaysAhead(const QueuedJob& aJob, const Borrower& aBorrower) const;
  bool Hold(QueuedJob& aJob, Reservation& aReservation, const Placement& aPlacement);
  std::optional<Option> BestOption(const GangNeed& aNeed) const;
  // Whether a job that is not smaller runs on the worker.
  bool IsBlocked(const GangNeed& aNeed, int aWorker) const;
  std::optional<Option> OptionIn(const GangNeed& aNeed, const std::vector<int>& aWorkers) const;
  // When the borrowers of a worker have ended, by their estimates.
  TimePoint ReadyAt(int aWorker) const;

  PlanContext& mContext;
};

} // namespace lovagerock::placement
