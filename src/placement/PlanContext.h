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
  // Started, waiting with a reason, or refused.
  bool mIsSettled = false;
};

// What the parts of one plan's computation share.
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
  // Plans the stop of whole borrowers, except of leases that are already stopping.
  void ReclaimAll(const std::vector<int>& aBorrowers, ReclaimReason aReason, const JobId& aForJob,
                  const ServiceId& aForService);
  // Whether the account would stay within its quota with this on top.
  bool IsWithinQuota(int aAccount, const ResourceVector& aMore) const;
  // The account's own workers by domain.
  std::vector<std::vector<int>> OwnDomains(int aAccount, Adjacency aLevel) const;

private:
  static std::vector<int> FailuresOf(const ClusterSnapshot& aSnapshot, const PlannerState& aState);
};

} // namespace lovagerock::placement
