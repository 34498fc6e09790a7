#pragma once

#include "placement/GangSearch.h"

#include <functional>
#include <optional>
#include <vector>

namespace lovagerock::placement {

// Room for a gang once the borrowers have been reclaimed.
struct ReclaimChoice
{
  Placement mPlacement;
  std::vector<int> mBorrowers;
  double mCost = 0;
};

// Finds the cheapest borrowers to reclaim for a gang. The cost of a borrower is its size times the
// progress that is lost. The search is greedy: exact choice is a set cover problem.
class ReclaimSearch
{
public:
  // Which borrowers may be reclaimed. Guaranteed and uninterruptible ones never are.
  using Allowed = std::function<bool(const Borrower&)>;
  // The most that the gang may use of a worker.
  using Bound = std::function<ResourceVector(int)>;

  ReclaimSearch(const ClusterModel& aModel, TimePoint aNow);

  // The cheapest of the domains, each a list of workers.
  std::optional<ReclaimChoice>
  Find(const GangNeed& aNeed, const std::vector<std::vector<int>>& aDomains, const Bound& aBound,
       const Allowed& aAllowed);
  // For a gang whose workers are fixed.
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
  bool IsMissing(int aWorker, const ResourceVector& aAmount) const;
  // The cheapest borrowers that free the amount on one worker, on top of those already chosen.
  std::optional<std::vector<int>>
  Cover(int aWorker, const ResourceVector& aAmount, const Allowed& aAllowed) const;
  void Choose(const std::vector<int>& aBorrowers);
  void AddFreed(int aBorrower, bool aIsChosen);
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
