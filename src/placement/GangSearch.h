#pragma once

#include "placement/ClusterModel.h"

#include <vector>

namespace lovagerock::placement {

// What a gang needs.
struct GangNeed
{
  // Never zero in all components.
  ResourceVector mPerTask;
  int mTasks = 1;
  Adjacency mAdjacency = Adjacency::Region;
  int mAccount = -1;
  // Whether it can't be interrupted.
  bool mIsPinned = false;
  // Workers on which it failed.
  std::vector<int> mExcluded;

  bool Excludes(int aWorker) const;
};

// The worker of each task; empty if there is none.
using Placement = std::vector<int>;

// Finds room for gangs on capacity that is free now.
class GangSearch
{
public:
  // aFailures counts the failures in a row of each worker.
  GangSearch(const ClusterModel& aModel, const PolicyWeights& aWeights, std::vector<int> aFailures);

  // On the account's own assigned capacity.
  Placement FindOwn(const GangNeed& aNeed) const;
  // On any free capacity, with capacity that is assigned to nobody first. Without aMayUseHeld, what
  // is kept for a reservation is left out.
  Placement FindFree(const GangNeed& aNeed, bool aMayUseHeld) const;
  // Only on capacity that is assigned to nobody.
  Placement FindUnassigned(const GangNeed& aNeed, bool aMayUseHeld) const;
  // Whether it fits into a cluster in which nothing runs.
  bool FitsEmptyCluster(const GangNeed& aNeed) const;
  // From 0 for the best worker to 1, by the policy weights.
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
