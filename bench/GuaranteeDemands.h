#pragma once

#include "placement/PlanContext.h"

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace lovagerock::placement::replay {

// Since when waiting jobs have demanded guaranteed capacity. A job demands it while it fits what
// the account's own work leaves of the assigned shares, with earlier demands of the account first.
class GuaranteeDemands
{
public:
  // Looks at the jobs that wait after a plan.
  void Note(const ClusterSnapshot& aSnapshot, PlannerState& aState);
  // Since when the job has demanded; nothing if it doesn't.
  std::optional<TimePoint> DemandedAt(const JobId& aJob) const { return Find(mDemanded, aJob); }
  // The same without the time in which the account's own work or its earlier job is in the way.
  std::optional<TimePoint> BlockedSince(const JobId& aJob) const { return Find(mBlocked, aJob); }
  void Forget(const JobId& aJob);
  // Number of jobs that demand.
  std::size_t Count() const { return mDemanded.size(); }

private:
  using Times = std::map<JobId, TimePoint>;
  // What demands take of an account's share of a worker.
  using Shares = std::map<std::pair<int, int>, ResourceVector>;

  static std::optional<TimePoint> Find(const Times& aTimes, const JobId& aJob);
  static void Set(Times& aTimes, const JobId& aJob, bool aDemands, TimePoint aNow);
  void NoteDemanded(const PlanContext& aContext, std::vector<const PendingJob*> aWaiting);
  void NoteBlocked(const PlanContext& aContext, const std::vector<const PendingJob*>& aWaiting);
  template<typename Left>
  static bool
  TakeShare(const PlanContext& aContext, const PendingJob& aJob, const Left& aLeft, Shares& aTaken);

  Times mDemanded;
  Times mBlocked;
};

} // namespace lovagerock::placement::replay
