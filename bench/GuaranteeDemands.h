#pragma once

#include "placement/PlanContext.h"

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace lovagerock::placement::replay {

// Records since when waiting jobs have demanded guaranteed capacity. A job demands it while it fits
// into the part of its account's assigned shares that guaranteed work and the account's earlier
// demands leave.
class GuaranteeDemands
{
public:
  // Updates the demands from the jobs that wait in the snapshot.
  void Update(const ClusterSnapshot& aSnapshot, PlannerState& aState);
  // Returns since when the job has demanded guaranteed capacity; nothing if it doesn't.
  std::optional<TimePoint> DemandedSince(const JobId& aJob) const { return Find(mDemanded, aJob); }
  // Returns since when only other accounts have kept the job from its guaranteed capacity: like
  // DemandedSince(), but not while work or an earlier job of its own account needs that capacity.
  std::optional<TimePoint> BlockedByOthersSince(const JobId& aJob) const
  {
    return Find(mBlockedByOthers, aJob);
  }
  void Forget(const JobId& aJob);
  // Number of jobs that demand guaranteed capacity.
  std::size_t Count() const { return mDemanded.size(); }

private:
  using StartTimes = std::map<JobId, TimePoint>;
  // Resources that demands reserve of an account's share of a worker, by worker and account index.
  using ReservedShares = std::map<std::pair<int, int>, ResourceVector>;

  static std::optional<TimePoint> Find(const StartTimes& aStartTimes, const JobId& aJob);
  static void Set(StartTimes& aStartTimes, const JobId& aJob, bool aIsActive, TimePoint aNow);
  void UpdateDemanded(const PlanContext& aContext, std::vector<const PendingJob*> aWaiting);
  void UpdateBlockedByOthers(const PlanContext& aContext,
                             const std::vector<const PendingJob*>& aWaiting);
  template<typename Left>
  static bool ReserveShare(const PlanContext& aContext, const PendingJob& aJob, const Left& aLeft,
                           ReservedShares& aReserved);

  StartTimes mDemanded;
  StartTimes mBlockedByOthers;
};

} // namespace lovagerock::placement::replay
