#pragma once

#include "scheduler/Fleet.h"
#include "scheduler/JobSpec.h"
#include "scheduler/RoomReport.h"
#include "scheduler/WorkerSpeeds.h"

#include <functional>
#include <limits>
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
  // Whether workers may be chosen on which no run is started for a while because runs have failed
  // there.
  bool mIgnoresFailures = false;
  // The same for any reason. Nothing may be started by such a request.
  bool mIgnoresPauses = false;
  // Whether workers in evacuated zones count. Nothing may be started by such a request.
  bool mIgnoresEvacuations = false;
  // Whether the workers may be in several racks although the step is rack-local.
  bool mMaySpread = false;
  // Whether the tasks may take what Placer::Gather() keeps for gangs that may be passed.
  bool mMayPassGangs = false;
  // What Placer::Gather() returned for the step itself, which may use what it has gathered; 0 for
  // nothing.
  int mGatherer = 0;
  // Whether all that runs don't occupy counts as free, whoever it is reserved for. Nothing may be
  // started by such a request.
  bool mIgnoresReservations = false;
  // The speed, relative to the mean of the fleet, at which the tasks meet their objective; at most
  // 1, and 0 if any speed will do. Slower workers are chosen if there is room on no others.
  double mNeededSpeed = 0;

  // Whether all tasks have to be in one rack.
  bool IsRackBound() const { return mStep->mRackLocal && !mMaySpread; }
};

// The runs to stop, and the workers that then have enough free resources, one per task.
struct EvictionPlan
{
  std::vector<std::pair<WorkerId, RunRef>> mVictims;
  std::vector<WorkerId> mWorkers;
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
  // Without aSpeeds, all workers count as equally fast. No worker gets more than aMaxRuns runs.
  Placer(const Fleet& aFleet, TimePoint aNow, const WorkerSpeeds* aSpeeds = nullptr,
         int aMaxRuns = std::numeric_limits<int>::max());

  // Reserves resources on a worker; later choices treat them as used. They may still be occupied by
  // runs that are being stopped.
  void Reserve(const WorkerId& aWorker, const Capacity& aDemand);
  // The same for a run that is started on the worker and occupies the resources from now on.
  void Occupy(const WorkerId& aWorker, const Capacity& aDemand);
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
  // soonest. Returns a number that identifies what was reserved; 0 if there is no such set. With
  // aMayBePassed, requests with mMayPassGangs may use it.
  int Gather(const PlacementRequest& aRequest, const MayStop& aMayStop, bool aMayBePassed);
  // Returns which part of the service's accelerators or of its processor cores runs occupied when
  // the plan began, whichever is more; 1 if the service has no usable workers.
  double UsedPart(const ServiceId& aService) const;
  // Returns the parts of the report that concern the request as it is.
  RoomReport Room(const PlacementRequest& aRequest) const;
  // Returns how many tasks of the request fit; of a rack-bound one the most of any rack.
  int Fitting(const PlacementRequest& aRequest) const;
  // Whether the request would fit if no run occupied the workers that it may use.
  bool FitsOnIdleWorkers(const PlacementRequest& aRequest) const;

private:
  // A worker that accepts work, with its free resources.
  struct Candidate
  {
    const Worker* mWorker = nullptr;
    Capacity mFree;
    // What Gather() keeps free, for which call of it, and whether others may take it; mFree doesn't
    // count it.
    Capacity mGathered;
    int mGatherer = 0;
    bool mMayBePassed = false;
    // What no run occupies, whether it is reserved or not.
    Capacity mUnoccupied;
    // The numbers of the worker's rack and service, in the order of their first worker.
    int mRack = 0;
    int mService = 0;
    // See WorkerCondition. In a group, a worker that the request avoids is doubtful too.
    bool mIsSuspect = false;
    bool mIsDoubtful = false;
    // Whether no run is started on the worker for a while: because runs have failed there, or
    // because it has refused a start or not answered.
    bool mIsFailing = false;
    bool mIsPaused = false;
    bool mIsInEvacuatedZone = false;
    // Whether the worker gets one run at a time, because it recently failed one, and how many more
    // it may get now.
    bool mIsOnTrial = false;
    int mTrialRuns = 0;
    // How many more runs the worker may get, whatever they need.
    int mRunRoom = 0;
    // The number of tasks of the request that fit.
    int mCopies = 0;
    WorkerSpeed mSpeed;
    // The rank of the speed for the request, see SpeedTier().
    int mSpeedTier = 0;
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
    // Whether the worker is too slow for the request.
    bool mIsTooSlow = false;
  };
  // The cost by which eviction plans are compared. Of two that cost the same, the one on workers
  // that are fast enough is better.
  struct PlanCost
  {
    double mWeighted = 0;
    bool mIsTooSlow = false;

    auto operator<=>(const PlanCost&) const = default; // NOLINT(modernize-use-nullptr)
  };
  // How the speeds of a group's workers suit a request for several tasks.
  struct GroupSpeed
  {
    // Lower is better.
    int mRank = 0;
    // The tier that holds all tasks; none if only several tiers together do.
    std::optional<int> mTier;
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
  // Returns the worker's place in the order of speeds for a request: first the classes that are
  // fast enough, the slowest of these first, so that fast workers stay free for tasks that need
  // them, then the others, the fastest first.
  static int SpeedTier(const WorkerSpeed& aSpeed, double aNeeded);
  // Returns how the workers' speeds suit the request. A gang is as slow as its slowest member, so
  // what counts is the slowest worker that has to be chosen, then whether all can be of one tier.
  static GroupSpeed SpeedOf(const Group& aGroup, const PlacementRequest& aRequest);
  // Chooses workers from the group, one per task, for as many tasks as fit. Takes workers in the
  // preferred rack first, then those that aren't doubtful, then those of the best speed, then those
  // with the least free accelerators, of these the ones in the fullest racks, so that racks stay
  // free for gangs. Takes the members of a gang from one tier of speed if it holds them all.
  static std::vector<WorkerId> Fill(Group aGroup, const PlacementRequest& aRequest);
  // aOptions must be sorted by ascending cost.
  CopyCost CostOfCopy(const Candidate& aCandidate, const std::vector<EvictionOption>& aOptions,
                      const PlacementRequest& aRequest) const;
  // Returns the cost of victims on workers of which one may be too slow for the request.
  static PlanCost WeightedCost(double aTotal, bool aIsTooSlow);
  // Whether any of the workers is too slow for the request, according to the group.
  static bool IsAnyTooSlow(const std::vector<WorkerId>& aWorkers, const Group& aGroup);
  // Implements Evict() for one group. Sets aPlanCost to the cost of the plan.
  std::optional<EvictionPlan> EvictIn(const Group& aGroup, const PlacementRequest& aRequest,
                                      const EvictionCost& aCost, PlanCost& aPlanCost) const;

  // Sorted by rack.
  std::vector<Candidate> mCandidates;
  // The number of calls of Gather() that have reserved something.
  int mGatherers = 0;
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
