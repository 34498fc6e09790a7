#pragma once

#include "placement/GangSearch.h"

#include <functional>
#include <optional>
#include <vector>

namespace lovagerock::placement {

// A placement for a gang, and the borrowers to reclaim for it.
struct ReclaimChoice
{
  Placement mPlacement;
  std::vector<int> mBorrowers;
  double mCost = 0;
};

// Finds cheap borrowers to reclaim for a gang. The cost of a borrower is its size times the run
// time that is lost and the time of a restart; it is 0 if it is stopping already. The search is
// greedy, because the exact choice is a set cover problem.
class ReclaimSearch
{
public:
  // Whether a borrower may be reclaimed. Guaranteed and pinned ones never are, whatever it returns.
  using Allowed = std::function<bool(const Borrower&)>;
  // The most that the gang may use on a worker.
  using Bound = std::function<ResourceVector(int)>;

  ReclaimSearch(const ClusterModel& aModel, TimePoint aNow);

  // Returns the cheapest choice found in any of the domains, each a list of workers.
  std::optional<ReclaimChoice>
  Find(const GangNeed& aNeed, const std::vector<std::vector<int>>& aDomains, const Bound& aBound,
       const Allowed& aAllowed);
  // Returns the borrowers to reclaim for a gang whose placement is fixed.
  std::optional<ReclaimChoice>
  FindOn(const GangNeed& aNeed, const Placement& aPlacement, const Allowed& aAllowed);

private:
  struct Candidate
  {
    int mWorker;
    int mTasks;
    double mCostPerTask;
  };

  std::optional<ReclaimChoice> FindInDomain(const GangNeed& aNeed, const std::vector<int>& aWorkers,
                                            const Bound& aBound, const Allowed& aAllowed);
  std::vector<Candidate> Candidates(const GangNeed& aNeed, const std::vector<int>& aWorkers,
                                    const Bound& aBound, const Allowed& aAllowed);
  bool IsAllowed(int aBorrower, const Allowed& aAllowed) const;
  double CostOf(int aBorrower) const;
  bool LacksRoom(int aWorker, const ResourceVector& aAmount) const;
  // Returns cheap borrowers that free the amount on one worker, in addition to those already
  // chosen.
  std::optional<std::vector<int>>
  Cover(int aWorker, const ResourceVector& aAmount, const Allowed& aAllowed) const;
  void Choose(const std::vector<int>& aBorrowers);
  void UpdateFreed(int aBorrower, bool aIsChosen);
  // Removes the chosen borrowers that the placement doesn't need, the most expensive first.
  void Prune(const GangNeed& aNeed, const Placement& aPlacement);
  ReclaimChoice TakeChoice(Placement aPlacement);
  void Reset();

  const ClusterModel& mModel;
  TimePoint mNow;
  std::vector<ResourceVector> mFreed;
  std::vector<char> mIsChosen;
  std::vector<int> mChosen;
};

} // namespace lovagerock::placement
