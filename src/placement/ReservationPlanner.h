#pragma once

#include "placement/PlanContext.h"

#include <functional>
#include <optional>
#include <vector>

namespace lovagerock::placement {

// Holds capacity for large jobs by priority. A reservation gets only what reservations of higher
// priority leave.
class ReservationPlanner
{
public:
  // A reservation that has gained no capacity for this long may also reclaim smaller jobs that are
  // not its backfill, if their accounts have a higher dominant share. If that doesn't suffice, it
  // ends, and its job gets no other one for the same time, so that another job has its turn. It may
  // reclaim earlier once the time that it held capacity idle outweighs the cost of the reclaim.
  static constexpr Duration kStallTimeout{ 900'000 };
  // The second large job must gather capacity before the first one has started; more reservations
  // would hold too much of the cluster idle.
  static constexpr std::size_t kMaxReservations = 2;

  explicit ReservationPlanner(PlanContext& aContext)
    : mContext(aContext)
  {
  }

  // Holds the capacity of all reservations, because urgent jobs are placed before Continue().
  void HoldReservedCapacity();
  // Returns size times waiting time: many jobs of half a worker don't starve a gang, and the
  // priority of every job rises until its turn comes.
  static double Priority(int aSize, TimePoint aSubmitted, TimePoint aNow);

  // Returns the queued job, or nullptr if it is no longer queued.
  using FindJob = std::function<QueuedJob*(const JobId&)>;

  // For each reservation, starts its job, reclaims for it or holds its capacity. Removes
  // reservations whose job has started or can't complete.
  void Continue(const FindJob& aFindJob);
  // Makes reservations for those jobs that can get one. aJobs is in order of descending priority;
  // reservations of lower priority than a job are dropped before its capacity is searched.
  void Make(const std::vector<QueuedJob*>& aJobs);

private:
  // A placement that a reservation could hold.
  struct Option
  {
    Placement mPlacement;
    TimePoint mStart;
    // Tasks that wait for borrowed work that isn't smaller than the gang and so isn't reclaimed.
    int mBlocked = 0;
    // Tasks that have no room now.
    int mMissingTasks = 0;
  };

  std::optional<Placement> PlacementOf(const Reservation& aReservation) const;
  double PriorityOf(const Reservation& aReservation) const;
  void DropBelow(double aPriority);
  void HoldAll(const Reservation& aReservation);
  // Returns whether the reservation stays.
  bool ContinueOne(QueuedJob* aJob, Reservation& aReservation);
  void
  RecordProgress(Reservation& aReservation, const GangNeed& aNeed, const Placement& aPlacement);
  // Returns the number of tasks that have room now.
  int FreeTasks(const GangNeed& aNeed, const Placement& aPlacement) const;
  bool ReclaimFor(QueuedJob& aJob, Reservation& aReservation, const Placement& aPlacement);
  // Returns whether the gang fits on the placement once everything reclaimable has been reclaimed.
  bool CanComplete(const GangNeed& aNeed, const Placement& aPlacement) const;
  // Returns what the gang could get of a worker by reclaims, without what other reservations hold.
  ResourceVector Obtainable(const GangNeed& aNeed, int aWorker) const;
  bool MayReclaim(const QueuedJob& aJob, const Reservation& aReservation,
                  const Borrower& aBorrower) const;
  // Returns whether the borrower is smaller than the job and its account has at least the dominant
  // share that the job's account would have with the job, so that two accounts can't reclaim from
  // each other in turn.
  bool KeepsNoLowerShare(const QueuedJob& aJob, const Borrower& aBorrower) const;
  // Holds the placement; returns false if the reservation has timed out.
  bool Hold(QueuedJob& aJob, Reservation& aReservation, const Placement& aPlacement);
  std::optional<Option> BestOption(const GangNeed& aNeed) const;
  // Returns whether borrowed work that isn't smaller than the gang runs on the worker.
  bool IsBlocked(const GangNeed& aNeed, int aWorker) const;
  std::optional<Option> OptionIn(const GangNeed& aNeed, const std::vector<int>& aWorkers) const;
  // Returns when all borrowed work on the worker is expected to have ended.
  TimePoint ReadyAt(int aWorker) const;

  PlanContext& mContext;
};

} // namespace lovagerock::placement
