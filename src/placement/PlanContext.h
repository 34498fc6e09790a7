#pragma once

#include "placement/ClusterModel.h"
#include "placement/GangSearch.h"
#include "placement/Plan.h"
#include "placement/ReclaimSearch.h"
#include "placement/RunTimeForecast.h"

#include <string>
#include <vector>

namespace lovagerock::placement {

// A pending job that may be placed.
struct QueuedJob
{
  const PendingJob* mJob = nullptr;
  GangNeed mNeed;
  ResourceVector mTotal;
  // Whether the plan already starts the job or reports why it waits.
  bool mIsSettled = false;
};

// The state that the steps of one plan's computation share.
class PlanContext
{
public:
  PlanContext(const ClusterSnapshot& aSnapshot, PlannerState& aState);

  const ClusterSnapshot& mSnapshot;
  PlannerState& mState;
  Plan mPlan;
  ClusterModel mModel;
  GangSearch mSearch;
  RunTimeForecast mForecast;

  void Start(QueuedJob& aJob, const Placement& aPlacement, CapacityClass aClass);
  void Wait(QueuedJob& aJob, WaitReason aReason, std::string aDetail);
  // Adds a reclaim of each borrower with all of its leases that aren't stopping already.
  void ReclaimAll(const std::vector<int>& aBorrowers, ReclaimReason aReason, const JobId& aForJob,
                  const ServiceId& aForService);
  // Returns whether the account would stay within its quota if it used aMore in addition.
  bool IsWithinQuota(int aAccount, const ResourceVector& aMore) const;
  // Returns the workers on which the account has assigned capacity, grouped by domain.
  std::vector<std::vector<int>> OwnDomains(int aAccount, Adjacency aLevel) const;

private:
  static std::vector<int> FailuresOf(const ClusterSnapshot& aSnapshot, const PlannerState& aState);
};

} // namespace lovagerock::placement
