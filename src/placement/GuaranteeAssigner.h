#pragma once

#include "placement/ClusterSnapshot.h"
#include "placement/Plan.h"
#include "placement/PlannerState.h"
#include "placement/ResourceVector.h"
#include "placement/Topology.h"

#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace lovagerock::placement {

// The first copy of a guarantee that does not fit; mDetail is the message for the operator.
struct UnpackableGuarantee
{
  AccountId mAccount;
  std::string mGuarantee;
  int mCopy = 0;
  std::string mDetail;
};

// Returns the part of a worker that goes with a number of its accelerators: the same fraction of
// every other resource, rounded down, so that the parts of one worker never exceed it.
ResourceVector
ProportionalShare(const ResourceVector& aCapacity, int aAccelerators);

// Returns the first copy of a guarantee that does not fit on the workers together with all others,
// regardless of the workers' health and leases; nullopt if all fit.
std::optional<UnpackableGuarantee>
FindUnpackableGuarantee(const std::vector<WorkerView>& aWorkers,
                        const std::vector<AccountView>& aAccounts);

// Assigns workers to every copy of every guarantee by first-fit decreasing.
class GuaranteeAssigner
{
public:
  // aUsable tells for each worker whether new work may be placed there.
  GuaranteeAssigner(const std::vector<WorkerView>& aWorkers, const Topology& aTopology,
                    std::vector<bool> aUsable);

  // Updates the assignment. A copy keeps its workers unless one of them is unusable and runs no
  // guaranteed work of the account, or is leaving; then only such workers are replaced if their
  // rack, availability zone or region has others. Copies without guaranteed work move if a copy
  // fits nowhere otherwise. Returns the copies without workers.
  std::vector<UnassignedCopy>
  Assign(const std::vector<AccountView>& aAccounts, std::vector<AssignedCopy>& aAssignment);

private:
  using Copies = std::vector<AssignedCopy>;

  bool MayStay(const AssignedCopy& aCopy, int aWorker) const;
  bool RunsGuaranteed(const AccountId& aAccount, int aWorker) const;
  bool IsInUse(const AssignedCopy& aCopy) const;
  // Places the wanted copies; those with workers keep them if possible. Returns the copies that did
  // not fit, which have no workers then.
  Copies Pack(Copies& aWanted);
  bool KeepWorkers(const AssignedCopy& aCopy);
  bool Place(AssignedCopy& aCopy, const std::vector<int>& aKept);
  bool PlaceOnOneWorker(AssignedCopy& aCopy);
  bool PlaceInDomain(AssignedCopy& aCopy, const std::vector<int>& aDomain,
                     const std::vector<int>& aKept);
  void Deduct(const AssignedCopy& aCopy, const std::vector<int>& aWorkers);
  bool Fits(int aWorker, int aAccelerators) const;
  std::vector<int> WorkersOf(const AssignedCopy& aCopy) const;

  const std::vector<WorkerView>& mWorkers;
  const Topology& mTopology;
  std::vector<bool> mUsable;
  std::unordered_map<WorkerId, int> mIndex;
  std::vector<ResourceVector> mCapacity;
  // Capacity that is neither assigned to a copy nor, once the kept copies are placed, used by
  // pinned work.
  std::vector<ResourceVector> mRemaining;
  // Zones to which a guarantee is bound.
  std::set<ZoneId> mNamedZones;
  // Use by borrowed work that can't be interrupted.
  std::vector<ResourceVector> mPinned;
};

} // namespace lovagerock::placement
