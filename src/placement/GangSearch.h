#pragma once

#include "placement/ClusterModel.h"

#include <vector>

namespace lovagerock::placement {

// The requirements of a gang on its placement.
struct GangNeed
{
  // Never zero in all components.
  ResourceVector mPerTask;
  int mTasks = 1;
  Adjacency mAdjacency = Adjacency::Region;
  int mAccount = -1;
  // Whether the gang can't be interrupted, and so never reclaimed.
  bool mIsPinned = false;
  // Workers that must not be used, because the job failed on them.
  std::vector<int> mExcluded;

  bool Excludes(int aWorker) const;
};

// The worker of each task; empty if no placement was found.
using Placement = std::vector<int>;

// Finds placements for gangs on capacity that is free now.
class GangSearch
{
public:
  // aFailures has the number of consecutive failures of each worker.
  GangSearch(const ClusterModel& aModel, const PolicyWeights& aWeights, std::vector<int> aFailures);

  // Searches the capacity that is assigned to the account.
  Placement FindOwn(const GangNeed& aNeed) const;
  // Searches the capacity that is assigned to no account, then, unless the gang is pinned, all free
  // capacity. Leaves out what is held for reservations unless aMayUseHeld is set.
  Placement FindFree(const GangNeed& aNeed, bool aMayUseHeld) const;
  // Searches only the capacity that is assigned to no account.
  Placement FindUnassigned(const GangNeed& aNeed, bool aMayUseHeld) const;
  // Returns whether the gang fits into a cluster in which nothing runs.
  bool FitsEmptyCluster(const GangNeed& aNeed) const;
  // Returns the cost of a task on the worker by the policy weights, from 0 (best) to 1.
  double WorkerCost(int aWorker, const GangNeed& aNeed) const;

private:
  template<typename Available>
  Placement FindIn(const GangNeed& aNeed, const Available& aAvailable) const;
  template<typename Available>
  bool HasRoom(const GangNeed& aNeed, const std::vector<int>& aWorkers,
               const Available& aAvailable) const;
  template<typename Available>
  Placement
  Fill(const GangNeed& aNeed, const std::vector<int>& aWorkers, const Available& aAvailable) const;
  bool MayHaveRoom(const GangNeed& aNeed, int aDomain) const;
  double DomainCost(const GangNeed& aNeed, int aDomain) const;

  const ClusterModel& mModel;
  PolicyWeights mWeights;
  std::vector<int> mFailures;
};

} // namespace lovagerock::placement
