#pragma once

#include "scheduler/Fleet.h"
#include "scheduler/JobSpec.h"

#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace lovagerock::scheduler {

// Tasks of one step to place together: all of a gang, or any number of independent ones.
struct PlacementRequest
{
  ServiceId mService;
  const StepSpec* mStep = nullptr;
  int mCount = 1;
  // Workers to keep off.
  std::vector<WorkerId> mAvoid;
  // Tasks of the same step that each worker has already.
  std::map<WorkerId, int> mPresent;
  // The rack to stay in; empty if any will do.
  RackId mRack;
};

// Runs to stop, and the workers that then have room, one per task.
struct EvictionPlan
{
  std::vector<std::pair<WorkerId, RunRef>> mVictims;
  std::vector<WorkerId> mWorkers;
};

// What it costs to stop a run; nothing if it must not be stopped.
using EvictionCost = std::function<std::optional<double>(const PlacedRun&)>;

// Chooses workers for tasks. Keeps the resources set aside so far, so that the choices of one plan
// don't collide. Reads the fleet once, so that a choice costs a few comparisons per worker.
class Placer
{
public:
  Placer(const Fleet& aFleet, TimePoint aNow);

  // Sets resources on a worker aside; all later choices leave them free.
  void SetAside(const WorkerId& aWorker, const Capacity& aDemand);
  // Gives them back.
  void GiveBack(const WorkerId& aWorker, const Capacity& aDemand);

  // Workers for all tasks of the request, one per task; nothing if they don't fit.
  std::optional<std::vector<WorkerId>> Place(const PlacementRequest& aRequest) const;
  // Workers for as many tasks of the request as fit.
  std::vector<WorkerId> PlaceSome(const PlacementRequest& aRequest) const;
  // The cheapest runs to stop so that all tasks of the request fit.
  std::optional<EvictionPlan>
  Evict(const PlacementRequest& aRequest, const EvictionCost& aCost) const;
  // Keeps all that is free now on the workers on which all tasks of the request will fit soonest,
  // because they have most room, from all later choices.
  void Gather(const PlacementRequest& aRequest);
  // Whether the request would fit if nothing ran on the workers it may use.
  bool FitsEmpty(const PlacementRequest& aRequest) const;

private:
  // A worker that may take work, with what is free on it.
  struct Candidate
  {
    const Worker* mWorker = nullptr;
    Capacity mFree;
    // Racks and services are numbered in the order of their first worker.
    int mRack = 0;
    int mService = 0;
    int mCopies = 0;
  };
  using Group = std::vector<Candidate>;
  // A run that may be stopped.
  struct EvictionOption
  {
    double mCost = 0;
    const PlacedRun* mRun = nullptr;
  };
  // What to stop on a worker for one more task there.
  struct CopyCost
  {
    bool mIsPossible = false;
    double mTotal = 0;
    std::vector<EvictionOption> mVictims;
  };

  int ServiceNumber(const ServiceId& aService) const;
  int Limit(const Worker& aWorker, const PlacementRequest& aRequest) const;
  bool
  IsEligible(const Candidate& aCandidate, int aService, const PlacementRequest& aRequest) const;
  // The eligible workers, by rack if the tasks must share one, else all together.
  std::vector<Group> Groups(const PlacementRequest& aRequest, bool aIsEmpty) const;
  static std::vector<WorkerId> Fill(Group aGroup, const PlacementRequest& aRequest);
  // The options are sorted by cost.
  CopyCost CostOfCopy(const Candidate& aCandidate, const std::vector<EvictionOption>& aOptions,
                      const PlacementRequest& aRequest) const;
  std::optional<EvictionPlan> EvictIn(const Group& aGroup, const PlacementRequest& aRequest,
                                      const EvictionCost& aCost, double& aTotal) const;

  // Sorted by rack.
  std::vector<Candidate> mCandidates;
  std::unordered_map<WorkerId, std::size_t> mPositions;
  std::map<ServiceId, int> mServices;
};

} // namespace lovagerock::scheduler
