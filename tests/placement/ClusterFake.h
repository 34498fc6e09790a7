#pragma once

#include "placement/Planner.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lovagerock::placement::tests {

// Returns a guarantee of whole workers in one rack.
inline Guarantee
RackGuarantee(int aWorkers, int aCount = 1)
{
  return { "shape", aCount, aWorkers, Accelerators(8), Adjacency::Rack, std::nullopt };
}

// Computes plans for a snapshot and applies them to it: starts and stops take effect at once.
// Asserts that each plan starts whole gangs, exceeds no worker's capacity and reclaims only whole
// borrowers that may be reclaimed.
class ClusterFake
{
public:
  // Makes workers named w0, w1, ... with 8 accelerators and 8 slots each.
  explicit ClusterFake(int aWorkers, int aPerRack = 8);

  AccountView& AddAccount(const std::string& aName, std::vector<Guarantee> aGuarantees = {});
  PendingJob& Submit(const std::string& aAccount, int aTasks, int aAccelerators,
                     Adjacency aAdjacency = Adjacency::Region);
  // Computes, checks and applies one plan, then advances the time by 2 s. Reclaimed jobs are queued
  // again.
  Plan Step();
  void Finish(const JobId& aJob);
  bool Runs(const JobId& aJob) const { return mRunning.contains(aJob); }
  // Returns the job's entry in Plan::mWaiting, or nullptr.
  const WaitingJob* FindWaiting(const Plan& aPlan, const JobId& aJob) const;

  ClusterSnapshot mSnapshot;
  PlannerState mState;
  // The running jobs as they were submitted.
  std::map<JobId, PendingJob> mRunning;
  std::map<JobId, CapacityClass> mClass;

private:
  void Check(const Plan& aPlan) const;
  void Apply(const Plan& aPlan);
  void RemoveLeases(const std::vector<LeaseId>& aLeases);

  int mNextId = 0;
};

} // namespace lovagerock::placement::tests
