#pragma once

#include "placement/PlanContext.h"

#include <array>
#include <vector>

namespace lovagerock::placement {

// Computes one plan. The order of its steps is the order of precedence.
class PlanBuilder
{
public:
  PlanBuilder(const ClusterSnapshot& aSnapshot, PlannerState& aState)
    : mContext(aSnapshot, aState)
  {
  }

  Plan Build();

private:
  // A search that failed. It fails for every need that is at least as large, because free capacity
  // only shrinks while a plan is made.
  struct FailedNeed
  {
    ResourceVector mPerTask;
    int mTasks;
  };
  class FailedNeeds
  {
  public:
    bool Covers(const GangNeed& aNeed) const;
    void Add(const GangNeed& aNeed);

  private:
    std::array<std::array<std::vector<FailedNeed>, 2>, Topology::kLevels> mNeeds;
  };

  void AssignGuarantees();
  void MoveOffLeavingWorkers();
  void QueueJobs();
  bool Admit(const PendingJob& aJob, QueuedJob& aQueued);
  GangNeed NeedOf(const PendingJob& aJob, int aAccount) const;
  bool FitsAnywhere(const GangNeed& aNeed);
  void StartGuaranteed();
  bool StartOnOwn(QueuedJob& aJob);
  bool StartOnOwnWith(QueuedJob& aJob, const GangNeed& aNeed);
  bool FitsOwnAssignment(const QueuedJob& aJob);
  QueuedJob* FindQueued(const JobId& aJob);
  bool HasReservation(const JobId& aJob) const;
  void ShareOut(bool aUrgent);
  // Starts the job or gives it a reason to wait.
  void Borrow(QueuedJob& aJob);
  Placement FindBorrowed(const QueuedJob& aJob, bool aMayUseHeld);
  // Whether the job is expected to end well before each reservation of which it uses workers.
  bool MayBackfill(const QueuedJob& aJob, const Placement& aPlacement) const;
  bool Touches(const Reservation& aReservation, const Placement& aPlacement) const;
  void Backfill(QueuedJob& aJob, const Placement& aPlacement);
  bool ReclaimForUrgent(QueuedJob& aJob);
  void MakeReservation();
  bool IsLarge(const QueuedJob& aJob) const;

  PlanContext mContext;
  // By account; urgent jobs first, then by time of submission.
  std::vector<std::vector<QueuedJob>> mQueues;
  // Accounts whose first waiting job keeps later ones within the quota from starting.
  std::vector<char> mIsQuotaBlocked;
  FailedNeeds mFitsNowhere;
  FailedNeeds mNotFree;
  FailedNeeds mNotFreeWithHeld;
  // By account.
  std::vector<FailedNeeds> mNotUrgent;
  std::vector<FailedNeeds> mNotOwn;
  // Waiting for free capacity.
  std::vector<QueuedJob*> mWithoutCapacity;
};

} // namespace lovagerock::placement
