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

// The first guarantee that does not fit, for the error of an operator's file.
struct UnpackableGuarantee
{
  AccountId mAccount;
  std::string mGuarantee;
  int mCopy = 0;
  std::string mDetail;
};

// The part of a worker that belongs to a number of its accelerators: the same fraction of every
// other resource, rounded down, so that the parts of one worker never exceed it.
ResourceVector
ShareOf(const ResourceVector& aCapacity, int aAccelerators);

// Whether all copies of all guarantees fit at once on the workers, whatever their health. Gives
// nothing if they do.
std::optional<UnpackableGuarantee>
CanPackAll(const std::vector<WorkerView>& aWorkers, const std::vector<AccountView>& aAccounts);

// Assigns every copy of every guarantee to concrete workers by first-fit decreasing.
class GuaranteeAssigner
{
public:
  // aUsable tells for each worker whether new work may be placed there.
  GuaranteeAssigner(const std::vector<WorkerView>& aWorkers, const Topology& aTopology,
                    std::vector<bool> aUsable);

  // Brings the assignment up to date. A copy stays where it is unless one of its workers is lost
  // and doesn't run guaranteed work of the account; then only the lost workers are replaced if
  // their rack, zone or region has others. Idle copies move when a copy fits nowhere otherwise.
  // Returns the copies without capacity.
  std::vector<UnassignedCopy>
  Assign(const std::vector<AccountView>& aAccounts, std::vector<AssignedCopy>& aAssignment);

private:
  using Copies = std::vector<AssignedCopy>;

  bool IsKept(const AssignedCopy& aCopy, int aWorker) const;
  bool RunsGuaranteed(const AccountId& aAccount, int aWorker) const;
  bool IsInUse(const AssignedCopy& aCopy) const;
  // Places the wanted copies; those with workers are kept if possible. Returns the copies that
  // didn't fit, which have no workers.
  Copies Pack(Copies& aWanted);
  bool Keep(const AssignedCopy& aCopy);
  bool Place(AssignedCopy& aCopy, const std::vector<int>& aSurvivors);
  bool PlaceOnOneWorker(AssignedCopy& aCopy);
  bool PlaceInDomain(AssignedCopy& aCopy, const std::vector<int>& aDomain,
                     const std::vector<int>& aSurvivors);
  void Charge(const AssignedCopy& aCopy, const std::vector<int>& aWorkers);
  bool Fits(int aWorker, int aAccelerators) const;
  std::vector<int> WorkersOf(const AssignedCopy& aCopy) const;

  const std::vector<WorkerView>& mWorkers;
  const Topology& mTopology;
  std::vector<bool> mUsable;
  std::unordered_map<WorkerId, int> mIndex;
  std::vector<ResourceVector> mCapacity;
  // What neither a copy nor work that can't be interrupted holds.
  std::vector<ResourceVector> mRemaining;
  // Zones to which a guarantee is bound.
  std::set<ZoneId> mNamedZones;
  std::vector<ResourceVector> mPinned;
};

} // namespace lovagerock::placement
