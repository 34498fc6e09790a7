#pragma once

#include "placement/PlanContext.h"

#include <vector>

namespace lovagerock::placement {

// Keeps each service at its configured number of slots.
class ServicePlanner
{
public:
  explicit ServicePlanner(PlanContext& aContext)
    : mContext(aContext)
  {
  }

  void Run();

private:
  struct Replica
  {
    int mBorrower;
    int mSlots;
    // On a worker that isn't suspected or leaving, and not being stopped.
    bool mCounts;
    bool mIsLeaving;
  };

  std::vector<Replica> ReplicasOf(const std::vector<int>& aBorrowers) const;
  void PlanService(const ServiceView& aService, std::vector<Replica> aReplicas);
  // Returns the slots that found no capacity now.
  int Grow(const ServiceView& aService, int aAccount, int aSlots);
  bool GrantNow(const ServiceView& aService, const GangNeed& aNeed);
  bool GrantByReclaim(const ServiceView& aService, const GangNeed& aNeed);
  void Grant(const ServiceView& aService, const GangNeed& aNeed, int aWorker, CapacityClass aClass);
  void Release(const Replica& aReplica);

  PlanContext& mContext;
};

} // namespace lovagerock::placement
