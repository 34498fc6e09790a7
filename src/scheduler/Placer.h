#pragma once

#include "scheduler/Fleet.h"
#include "scheduler/JobSpec.h"

#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace lovagerock::scheduler {

// Tasks of one step that need workers: all tasks of a gang, or any number of independent ones.
struct PlacementRequest
{
  ServiceId mService;
  const StepSpec* mStep = nullptr;
  int mCount = 1;
  // Workers that must not be chosen.
  std::vector<WorkerId> mExcludedWorkers;
  // Workers to which others are preferred, because runs of the step have failed there.
  std::vector<WorkerId> mAvoidedWorkers;
  // The number of tasks of the same step that each worker already runs.
  std::map<WorkerId, int> mPresent;
  // The rack to which the choice is limited; empty for any rack.
  RackId mRack;
  // Whether workers that recently failed a run must not be chosen.
  bool mAvoidsSuspects = false;
  // Whether workers on trial may take more than one of the tasks.
  bool mIgnoresTrials = false;
  // Whether the tasks may take what Placer::Gather() keeps for gangs that may be passed.
  bool mMayPassGangs = false;
};

// The runs to stop, and the workers that then have enough free resources, one per task.
struct EvictionPlan
{
  std::vector<std::pair<WorkerId, RunRef>> mVictims;
  std::vector<WorkerId> mWorkers;
};

// How much room there is for a request, for the log.
struct RoomReport
{
  // The workers of the service that are registered and not draining. Some of them may not be
  // chosen, because they haven't answered, are avoided or lack the required label.
  int mRegistered = 0;
  // The workers that may be chosen.
  int mWorkers = 0;
  // The tasks that fit now, and those that would fit if the workers were idle; for a rack-local
  // step the most of any rack.
  int mFitting = 0;
  int mFittingIdle = 0;
  // The accelerators of those workers.
  Accelerators mAccelerators;
};

// Whether a run may be stopped for the request.
using MayStop = std::function<bool(const PlacedRun&)>;

// Returns the cost of stopping a run; nullopt if it must not be stopped.
using EvictionCost = std::function<std::optional<double>(const PlacedRun&)>;

// Chooses workers for tasks. Tracks reserved resources, so that the choices of one plan don't
// overlap. Collects the usable workers and their free resources once, in the constructor, so that
// each choice takes only a few comparisons per worker. The fleet must outlive the placer.
class Placer
{
public:
  // With aIgnoresPauses, workers on which no run is started for a while may be chosen as well.
  Placer(const Fleet& aFleet, TimePoint aNow, bool aIgnoresPauses = false);

  // Reserves resources on a worker; later choices treat them as used.
  void Reserve(const WorkerId& aWorker, const Capacity& aDemand);
  // Releases resources that were reserved.
  void Release(const WorkerId& aWorker, const Capacity& aDemand);

  // Returns workers for all tasks of the request, one per task; nullopt if not all tasks fit.
  std::optional<std::vector<WorkerId>> Place(const PlacementRequest& aRequest) const;
  // Returns workers for as many tasks of the request as fit, one per task.
  std::vector<WorkerId> PlaceSome(const PlacementRequest& aRequest) const;
  // Returns a set of runs to stop so that all tasks of the request fit, chosen greedily by cost;
  // nullopt if there is none.
  std::optional<EvictionPlan>
  Evict(const PlacementRequest& aRequest, const EvictionCost& aCost) const;
  // Reserves everything that is free on a set of workers that can hold all tasks of the request
  // once their present runs have ended. Runs that last aren't expected to, unless they may be
  // stopped. Takes the workers with the most free resources, which are likely to have enough
  // soonest. Returns false if there is no such set. With aMayBePassed, requests with mMayPassGangs
  // may use what is reserved so.
  bool Gather(const PlacementRequest& aRequest, const MayStop& aMayStop, bool aMayBePassed);
  // Returns which part of the service's accelerators or of its processor cores runs occupied when
  // the plan began, whichever is more; 1 if the service has no usable workers.
  double UsedPart(const ServiceId& aService) const;
  RoomReport Room(const PlacementRequest& aRequest) const;
  // Whether the request would fit if no run occupied the workers that it may use.
  bool FitsOnIdleWorkers(const PlacementRequest& aRequest) const;

private:
  // A worker that accepts work, with its free resources.
  struct Candidate
  {
    const Worker* mWorker = nullptr;
    Capacity mFree;
    // What Gather() keeps free for gangs that may be passed; mFree doesn't count it.
    Capacity mGathered;
    // The numbers of the worker's rack and service, in the order of their first worker.
    int mRack = 0;
    int mService = 0;
    // See WorkerCondition. In a group, a worker that the request avoids is doubtful too.
    bool mIsSuspect = false;
    bool mIsDoubtful = false;
    // Whether the worker gets one run at a time, because it recently failed one, and how many more
    // it may get now.
    bool mIsOnTrial = false;
    int mTrialRuns = 0;
    // The number of tasks of the request that fit.
    int mCopies = 0;
  };
  using Group = std::vector<Candidate>;
  // A run that may be stopped, and the cost of stopping it.
  struct EvictionOption
  {
    double mCost = 0;
    const PlacedRun* mRun = nullptr;
  };
  // The runs to stop on a worker so that at least one more task fits there, and their total cost.
  struct CopyCost
  {
    bool mIsPossible = false;
    double mTotal = 0;
    std::vector<EvictionOption> mVictims;
  };

  // Returns the service's number in mServices; -1 if no candidate belongs to it.
  int ServiceNumber(const ServiceId& aService) const;
  // Returns how many tasks of the request the worker may take, regardless of its resources.
  static int MaxCopies(const Candidate& aCandidate, const PlacementRequest& aRequest);
  bool
  IsEligible(const Candidate& aCandidate, int aService, const PlacementRequest& aRequest) const;
  // Returns the eligible workers: one group per rack if the step is rack-local, else a single
  // group. With aIsEmpty, treats all their resources as free.
  std::vector<Group> Groups(const PlacementRequest& aRequest, bool aIsEmpty) const;
  // Chooses workers from the group, one per task, for as many tasks as fit. Takes workers in the
  // preferred rack first, then those that aren't doubtful, then those with the least free
  // resources.
  static std::vector<WorkerId> Fill(Group aGroup, const PlacementRequest& aRequest);
  // aOptions must be sorted by ascending cost.
  CopyCost CostOfCopy(const Candidate& aCandidate, const std::vector<EvictionOption>& aOptions,
                      const PlacementRequest& aRequest) const;
  // Implements Evict() for one group. Sets aTotal to the cost of the plan.
  std::optional<EvictionPlan> EvictIn(const Group& aGroup, const PlacementRequest& aRequest,
                                      const EvictionCost& aCost, double& aTotal) const;

  // Sorted by rack.
  std::vector<Candidate> mCandidates;
  // The index of each worker in mCandidates.
  std::unordered_map<WorkerId, std::size_t> mPositions;
  // The number of each service, see Candidate::mService.
  std::map<ServiceId, int> mServices;
  // See RoomReport::mRegistered.
  std::map<ServiceId, int> mRegistered;
  // The resources of each service's usable workers, and what runs occupied of them.
  std::map<ServiceId, Capacity> mTotal;
  std::map<ServiceId, Capacity> mUsed;
};

} // namespace lovagerock::scheduler
