#pragma once

#include "placement/PlanContext.h"

#include <array>
#include <vector>

namespace lovagerock::placement {

// Computes one plan. Earlier steps of Build() take precedence over later ones.
class PlanBuilder
{
public:
  PlanBuilder(const ClusterSnapshot& aSnapshot, PlannerState& aState)
    : mContext(aSnapshot, aState)
  {
  }

  Plan Build();

private:
  // The need of a search that failed. A search for any need at least as large fails too, because
  // free capacity only shrinks while a plan is computed.
  struct FailedNeed
  {
    ResourceVector mPerTask;
    int mTasks;
  };
  // The failed needs of one kind of search, by adjacency and by whether the work is pinned.
  class FailedNeeds
  {
  public:
    bool Covers(const GangNeed& aNeed) const;
    void Add(const GangNeed& aNeed);

  private:
    std::array<std::array<std::vector<FailedNeed>, 2>, Topology::kLevels> mNeeds;
  };

  void AssignGuarantees();
  void DrainLeavingWorkers();
  void QueueJobs();
  // Fills aQueued and returns true, or adds the reason why the job waits or is refused to the plan.
  bool Admit(const PendingJob& aJob, QueuedJob& aQueued);
  GangNeed NeedOf(const PendingJob& aJob, int aAccount) const;
  bool FitsAnywhere(const GangNeed& aNeed);
  void StartGuaranteed();
  bool StartOnOwn(QueuedJob& aJob);
  bool StartOnOwnWith(QueuedJob& aJob, const GangNeed& aNeed);
  bool FitsOwnAssignment(const QueuedJob& aJob);
  QueuedJob* FindQueued(const JobId& aJob);
  bool HasReservation(const JobId& aJob) const;
  // Places the urgent or the other jobs one by one, each time the next job of the account with the
  // lowest dominant share.
  void PlaceByFairShare(bool aUrgent);
  // Starts the job on free capacity, reclaims for it if it is urgent, or records why it waits.
  void PlaceBorrowed(QueuedJob& aJob);
  Placement FindBorrowed(const QueuedJob& aJob, bool aMayUseHeld);
  // Returns whether the job is expected to end before the start of each reservation whose workers
  // it uses.
  bool MayBackfill(const QueuedJob& aJob, const Placement& aPlacement) const;
  bool UsesWorkersOf(const Reservation& aReservation, const Placement& aPlacement) const;
  void Backfill(QueuedJob& aJob, const Placement& aPlacement);
  bool ReclaimForUrgent(QueuedJob& aJob);
  void MakeReservations();
  bool IsLarge(const QueuedJob& aJob) const;

  PlanContext mContext;
  // By account; each queue has the urgent jobs first, then is sorted by time of submission.
  std::vector<std::vector<QueuedJob>> mQueues;
  // Accounts of which a job exceeded the quota. Later jobs of the account wait as well, even if
  // they are within the quota.
  std::vector<char> mIsQuotaBlocked;
  FailedNeeds mFailedEmptyCluster;
  FailedNeeds mFailedFree;
  FailedNeeds mFailedFreeWithHeld;
  // By account, because these searches depend on it.
  std::vector<FailedNeeds> mFailedUrgent;
  std::vector<FailedNeeds> mFailedOwn;
  // Jobs for which no capacity was found.
  std::vector<QueuedJob*> mWithoutCapacity;
};

} // namespace lovagerock::placement
