#pragma once

#include "placement/PlanContext.h"

#include <vector>

namespace lovagerock::placement {

// Grants and releases service leases so that each service has its configured number of slots.
class ServicePlanner
{
public:
  explicit ServicePlanner(PlanContext& aContext)
    : mContext(aContext)
  {
  }

  void Run();

private:
  // A lease of a service.
  struct Replica
  {
    int mBorrower;
    int mSlots;
    // Whether its worker is live and it is neither stopping nor planned to stop.
    bool mIsAvailable;
    bool mIsLeaving;
  };

  std::vector<Replica> ReplicasOf(const std::vector<int>& aBorrowers) const;
  void PlanService(const ServiceView& aService, std::vector<Replica> aReplicas);
  // Grants leases for more slots. Returns the number of slots without capacity now, including those
  // that wait for a reclaim.
  int AddSlots(const ServiceView& aService, int aAccount, int aSlots);
  bool GrantNow(const ServiceView& aService, const GangNeed& aNeed);
  bool GrantByReclaim(const ServiceView& aService, const GangNeed& aNeed);
  void Grant(const ServiceView& aService, const GangNeed& aNeed, int aWorker, CapacityClass aClass);
  void Release(const Replica& aReplica);

  PlanContext& mContext;
};

} // namespace lovagerock::placement
